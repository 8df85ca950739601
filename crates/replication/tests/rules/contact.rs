//! Detection by a follower of whether its responses reach the leader.

use crate::support::{from, replica, restored, synced};
use opalrun_replication::{LogIndex, MessageBody, Replica, Term};

const LIMIT_MS: u64 = 500;

/// Delivers a heartbeat from the leader, member 2.
fn heartbeat(replica: &mut Replica, now: u64, round: u64, acknowledged_round: u64) {
    let body = MessageBody::AppendEntries {
        previous_log_index: LogIndex(1),
        previous_log_term: Term(1),
        entries: Vec::new(),
        leader_commit: LogIndex(0),
        round,
        acknowledged_round,
    };
    replica.step(now, from(2, Term(1), body));
    synced(replica);
}

#[test]
fn a_follower_whose_responses_arrive_is_acknowledged() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    for round in 1..100 {
        heartbeat(&mut replica, round * 100, round, round - 1);
        assert!(replica.is_acknowledged_by_leader(round * 100, LIMIT_MS));
    }
}

#[test]
fn a_follower_whose_responses_are_lost_has_contact_but_is_not_acknowledged() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    for round in 1..=10 {
        heartbeat(&mut replica, round * 100, round, round - 1);
    }
    // Round 9, which arrived at 900 ms, is the last one whose response reached the leader.
    for round in 11..=30 {
        heartbeat(&mut replica, round * 100, round, 9);
    }
    assert!(replica.has_recent_contact(3_000, LIMIT_MS), "the follower receives the leader's heartbeats");
    assert!(replica.is_acknowledged_by_leader(900 + LIMIT_MS, LIMIT_MS));
    assert!(!replica.is_acknowledged_by_leader(901 + LIMIT_MS, LIMIT_MS));
    heartbeat(&mut replica, 3_100, 31, 30);
    assert!(replica.is_acknowledged_by_leader(3_100, LIMIT_MS), "responses reach the leader again");
}

#[test]
fn a_new_leader_has_the_full_limit_to_acknowledge_a_follower() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    heartbeat(&mut replica, 100, 50, 49);
    let body = MessageBody::AppendEntries {
        previous_log_index: LogIndex(1),
        previous_log_term: Term(1),
        entries: Vec::new(),
        leader_commit: LogIndex(0),
        round: 1,
        acknowledged_round: 0,
    };
    replica.step(2_000, from(3, Term(2), body));
    assert!(replica.is_acknowledged_by_leader(2_000 + LIMIT_MS, LIMIT_MS));
    assert!(!replica.is_acknowledged_by_leader(2_001 + LIMIT_MS, LIMIT_MS));
}

#[test]
fn a_replica_without_a_leader_is_not_acknowledged() {
    let replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    assert!(!replica.is_acknowledged_by_leader(0, LIMIT_MS));
}
