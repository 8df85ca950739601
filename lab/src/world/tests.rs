//! Addresses of concurrent runs.

use super::run_address;
use std::collections::BTreeSet;

#[test]
fn consecutive_runs_of_one_process_get_different_addresses() {
    let addresses: BTreeSet<_> = (0..16).map(|_| run_address()).collect();
    assert_eq!(addresses.len(), 16);
}
