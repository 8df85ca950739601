//! Commit rule (Raft §5.4.2), and limits on uncommitted entries.

use crate::support::{MEGABYTE, accept, elect, replica, restored, synced};
use opalrun_replication::{LogIndex, MAX_UNCOMMITTED_BYTES, ProposeError};

#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let mut replica = replica(1, restored(&[1, 2, 3], 2, &[1, 2]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 2);
    assert_eq!(
        replica.commit_index(),
        LogIndex(0),
        "entry 2 is on a majority, but its term is not the current one"
    );
    accept(&mut replica, now, 2, 0, 3);
    assert_eq!(replica.commit_index(), LogIndex(3));
}

#[test]
fn a_commit_needs_one_more_disk_than_may_be_lost() {
    let mut replica = replica(2, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(0), "two disks of three may be lost");
    accept(&mut replica, now, 3, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(1));
}

#[test]
fn the_leaders_own_disk_counts_only_once_synced() {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2]);
    let ready = replica.ready();
    accept(&mut replica, now, 2, 0, 1);
    assert_eq!(replica.commit_index(), LogIndex(0));
    replica.on_persisted(ready.writes.last().unwrap().sequence);
    assert_eq!(replica.commit_index(), LogIndex(1));
}

#[test]
fn the_size_of_uncommitted_entries_is_limited() {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    elect(&mut replica, &[2]);
    synced(&mut replica);
    let mut accepted_bytes = 0;
    while replica.propose(vec![0; 4 * MEGABYTE]).is_ok() {
        accepted_bytes += 4 * MEGABYTE;
        assert!(accepted_bytes <= MAX_UNCOMMITTED_BYTES);
    }
    assert!(accepted_bytes + 4 * MEGABYTE >= MAX_UNCOMMITTED_BYTES, "{accepted_bytes} bytes were accepted");
    assert_eq!(replica.propose(vec![0; 4 * MEGABYTE]), Err(ProposeError::TooManyUncommitted));
    replica.propose(vec![0; 100]).expect("a short command is within the limit");
}

#[test]
fn a_command_over_the_limit_is_accepted_if_nothing_else_is_uncommitted() {
    let mut replica = replica(0, restored(&[1], 0, &[]));
    elect(&mut replica, &[]);
    synced(&mut replica);
    replica.propose(vec![0; MAX_UNCOMMITTED_BYTES + 1]).expect("no other entry is uncommitted");
    assert_eq!(replica.propose(vec![0]), Err(ProposeError::TooManyUncommitted));
    synced(&mut replica);
    replica.propose(vec![0]).expect("the long command is committed");
}
