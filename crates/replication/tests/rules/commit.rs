//! When an entry counts as committed (Raft §5.4.2), and how much may wait for it.

use crate::support::{MEGABYTE, accept, elect, replica, restored, synced};
use opalrun_replication::{LogIndex, MAX_UNCOMMITTED_BYTES, ProposeError};

#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let mut replica = replica(1, restored(&[1, 2, 3], 2, &[1, 2]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 2);
    assert_eq!(replica.commit_index(), LogIndex(0), "entry 2 is on a majority, but of an earlier term");
    accept(&mut replica, now, 2, 0, 3);
    assert_eq!(replica.commit_index(), LogIndex(3));
}

#[test]
fn a_commit_needs_one_disk_more_than_may_be_lost() {
    let mut replica = replica(2, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(0), "two disks of three may be lost");
    accept(&mut replica, now, 3, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(1));
}

#[test]
fn the_own_disk_counts_only_when_synced() {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2]);
    let ready = replica.ready();
    accept(&mut replica, now, 2, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(0));
    replica.on_persisted(ready.writes.last().unwrap().sequence);
    assert_eq!(replica.commit_index(), LogIndex(1));
}

#[test]
fn uncommitted_entries_are_bounded_in_bytes() {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    elect(&mut replica, &[2]);
    synced(&mut replica);
    let mut taken = 0;
    while replica.propose(vec![0; 4 * MEGABYTE]).is_ok() {
        taken += 4 * MEGABYTE;
        assert!(taken <= MAX_UNCOMMITTED_BYTES);
    }
    assert!(taken + 4 * MEGABYTE >= MAX_UNCOMMITTED_BYTES, "{taken} bytes were taken");
    assert_eq!(replica.propose(vec![0; 4 * MEGABYTE]), Err(ProposeError::TooManyUncommitted));
    replica.propose(vec![0; 100]).expect("a short one has room");
}

#[test]
fn a_command_longer_than_the_bound_is_taken_alone() {
    let mut replica = replica(0, restored(&[1], 0, &[]));
    elect(&mut replica, &[]);
    synced(&mut replica);
    replica.propose(vec![0; MAX_UNCOMMITTED_BYTES + 1]).expect("nothing else waits");
    assert_eq!(replica.propose(vec![0]), Err(ProposeError::TooManyUncommitted));
    synced(&mut replica);
    replica.propose(vec![0]).expect("it is committed");
}
