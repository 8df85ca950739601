//! The addresses of runs side by side.

use super::run_address;
use std::collections::BTreeSet;

#[test]
fn runs_of_one_process_that_follow_each_other_have_addresses_of_their_own() {
    let addresses: BTreeSet<_> = (0..16).map(|_| run_address()).collect();
    assert_eq!(addresses.len(), 16);
}
