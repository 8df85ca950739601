//! The addresses of runs side by side.

use super::own_ip;
use std::collections::BTreeSet;

#[test]
fn runs_of_one_process_that_follow_each_other_have_addresses_of_their_own() {
    let addresses: BTreeSet<_> = (0..16).map(|_| own_ip()).collect();
    assert_eq!(addresses.len(), 16);
}
