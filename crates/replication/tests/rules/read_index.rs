//! Reads confirmed by a heartbeat round (Raft §8).

use crate::support::{accept, elect, replica, restored, synced};
use opalrun_replication::{LogIndex, ReadIndexResult, timing};

#[test]
fn a_leader_without_followers_steps_down_and_fails_reads() {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 1);
    replica.read_index(5).unwrap();
    let ready = synced(&mut replica);
    assert!(ready.read_results.is_empty(), "no member has responded to the round");
    assert!(replica.has_recent_contact(now + 500, 500));
    assert!(!replica.has_recent_contact(now + 501, 500));
    // A late response to an old round does not confirm the leader.
    accept(&mut replica, now + 600, 2, 0, 1);
    replica.tick(now + timing::MAX_ELECTION_TIMEOUT_MS + 1);
    assert!(!replica.is_leader());
    assert_eq!(synced(&mut replica).read_results, [ReadIndexResult::Failed { request: 5 }]);
    assert!(replica.propose(Vec::new()).is_err());
}

#[test]
fn a_read_waits_for_a_heartbeat_round_and_for_the_first_commit_of_the_term() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    let now = elect(&mut replica, &[2]);
    synced(&mut replica);
    replica.read_index(5).unwrap();
    synced(&mut replica);
    accept(&mut replica, now, 2, 1, 1);
    assert!(
        synced(&mut replica).read_results.is_empty(),
        "entries committed by earlier leaders are not known yet"
    );
    accept(&mut replica, now, 2, 1, 2);
    assert_eq!(
        synced(&mut replica).read_results,
        [ReadIndexResult::Confirmed { request: 5, index: LogIndex(2) }]
    );
}
