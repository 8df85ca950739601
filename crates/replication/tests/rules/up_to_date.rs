//! When a member has applied every entry that was committed before the current term: once an entry of this term is committed
//! and applied (thesis §6.4).

use crate::support::{accept, append, elect, from, replica, restored, synced};
use opalrun_replication::{LogIndex, Replica, Term};

/// Returns a follower that has applied both entries of its log, in term 2.
fn follower_of_term_2() -> Replica {
    let mut replica = replica(1, restored(&[1, 2, 3], 2, &[1, 2]));
    replica.step(0, from(2, Term(2), append((2, 2), &[], 2)));
    synced(&mut replica);
    replica
}

#[test]
fn a_new_leader_has_applied_committed_entries_once_an_entry_of_its_own_term_is_committed() {
    let mut replica = follower_of_term_2();
    assert!(replica.has_applied_committed_entries());
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    assert_eq!(replica.commit_index(), LogIndex(2));
    assert!(!replica.has_applied_committed_entries(), "an earlier leader may have committed further entries");
    accept(&mut replica, now, 2, 0, 3);
    synced(&mut replica);
    assert_eq!(replica.commit_index(), LogIndex(3));
    assert!(replica.has_applied_committed_entries());
}

#[test]
fn a_follower_has_applied_committed_entries_once_it_has_applied_an_entry_of_the_leaders_term() {
    let mut replica = follower_of_term_2();
    replica.step(10, from(3, Term(3), append((2, 2), &[], 2)));
    synced(&mut replica);
    assert!(
        !replica.has_applied_committed_entries(),
        "the leader of term 3 has committed no entry of that term"
    );
    replica.step(20, from(3, Term(3), append((2, 2), &[(3, 3)], 2)));
    synced(&mut replica);
    assert!(!replica.has_applied_committed_entries(), "the entry of term 3 is not committed");
    replica.step(30, from(3, Term(3), append((3, 3), &[], 3)));
    synced(&mut replica);
    assert!(replica.has_applied_committed_entries());
}

#[test]
fn a_follower_behind_the_leaders_commit_index_has_not_applied_committed_entries() {
    let mut replica = follower_of_term_2();
    replica.step(10, from(2, Term(2), append((2, 2), &[], 9)));
    synced(&mut replica);
    assert!(!replica.has_applied_committed_entries(), "entries 3 to 9 are committed");
}
