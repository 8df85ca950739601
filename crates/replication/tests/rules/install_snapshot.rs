//! Chunked snapshot transfer, and the log entries that are kept for members catching up (Raft §7).

use crate::support::{MEGABYTE, advance, from, leader_with_learner, members, replica, synced};
use opalrun_replication::{
    AppendOutcome, LogIndex, MAX_CATCH_UP_BYTES, MAX_SNAPSHOT_BYTES, MessageBody, Ready, RestoredState,
    SnapshotMetadata, Term, timing,
};
use sha2::{Digest, Sha256};

fn metadata() -> SnapshotMetadata {
    SnapshotMetadata {
        last_included_index: LogIndex(40),
        last_included_term: Term(1),
        membership: members(&[1, 2, 3]),
    }
}

/// Returns the chunk of `state` from byte `from` to byte `to`, as a leader with that state would send it.
fn chunk(state: &[u8], from: usize, to: usize) -> MessageBody {
    MessageBody::InstallSnapshot {
        metadata: metadata(),
        total_bytes: state.len() as u64,
        digest: Sha256::digest(state).into(),
        offset: from as u64,
        data: state[from..to].to_vec(),
        round: 1,
        acknowledged_round: 0,
    }
}

fn sent_bodies(ready: &Ready) -> Vec<MessageBody> {
    ready.messages.iter().map(|message| message.body.clone()).collect()
}

fn chunk_request_from(bytes: u64) -> Vec<MessageBody> {
    vec![MessageBody::InstallSnapshotResponse {
        last_included_index: LogIndex(40),
        received_bytes: bytes,
        round: 1,
    }]
}

#[test]
fn chunks_of_one_snapshot_may_come_from_two_leaders() {
    let mut replica = replica(1, RestoredState::default());
    let state = vec![7; 100];
    replica.step(10, from(2, Term(1), chunk(&state, 0, 60)));
    assert_eq!(sent_bodies(&synced(&mut replica)), chunk_request_from(60));
    replica.step(20, from(3, Term(2), chunk(&state, 60, 100)));
    let ready = synced(&mut replica);
    assert_eq!(ready.snapshot_to_install.map(|snapshot| snapshot.state.clone()), Some(state));
    assert_eq!(replica.applied_snapshot_metadata(), metadata());
}

#[test]
fn chunks_of_different_states_with_the_same_metadata_are_not_combined() {
    let mut replica = replica(1, RestoredState::default());
    let (state, other) = (vec![7; 100], vec![8; 100]);
    replica.step(10, from(2, Term(1), chunk(&state, 0, 60)));
    synced(&mut replica);
    replica.step(20, from(3, Term(2), chunk(&other, 60, 100)));
    let ready = synced(&mut replica);
    assert!(ready.snapshot_to_install.is_none());
    assert_eq!(
        sent_bodies(&ready),
        chunk_request_from(0),
        "the other leader's snapshot is requested from its first chunk"
    );
    replica.step(30, from(3, Term(2), chunk(&other, 0, 100)));
    assert_eq!(synced(&mut replica).snapshot_to_install.map(|snapshot| snapshot.state.clone()), Some(other));
}

#[test]
fn a_snapshot_with_a_wrong_digest_is_requested_again() {
    let mut replica = replica(1, RestoredState::default());
    let state = vec![7; 100];
    let MessageBody::InstallSnapshot {
        metadata,
        total_bytes: total,
        digest,
        offset,
        data: mut bytes,
        round,
        acknowledged_round,
    } = chunk(&state, 0, 100)
    else {
        unreachable!("chunk() returns InstallSnapshot");
    };
    bytes[50] = 9;
    let corrupted = MessageBody::InstallSnapshot {
        metadata,
        total_bytes: total,
        digest,
        offset,
        data: bytes,
        round,
        acknowledged_round,
    };
    replica.step(10, from(2, Term(1), corrupted));
    let ready = synced(&mut replica);
    assert!(ready.snapshot_to_install.is_none());
    assert_eq!(sent_bodies(&ready), chunk_request_from(0));
    replica.step(20, from(2, Term(1), chunk(&state, 0, 100)));
    assert!(synced(&mut replica).snapshot_to_install.is_some());
}

#[test]
fn a_chunk_beyond_the_state_or_of_an_oversized_state_is_dropped() {
    let sized = |total: u64, offset: u64| {
        let MessageBody::InstallSnapshot { metadata, digest, data: bytes, round, acknowledged_round, .. } =
            chunk(&[7; 100], 0, 100)
        else {
            unreachable!("chunk() returns InstallSnapshot");
        };
        MessageBody::InstallSnapshot {
            metadata,
            total_bytes: total,
            digest,
            offset,
            data: bytes,
            round,
            acknowledged_round,
        }
    };
    for (total, offset) in [(99, 0), (100, 1), (MAX_SNAPSHOT_BYTES + 1, 0), (u64::MAX, u64::MAX)] {
        let mut replica = replica(1, RestoredState::default());
        replica.step(10, from(2, Term(1), sized(total, offset)));
        let ready = synced(&mut replica);
        assert!(ready.snapshot_to_install.is_none() && ready.messages.is_empty(), "{total} {offset}");
    }
}

#[test]
fn entries_that_a_member_needs_after_its_snapshot_are_kept_up_to_the_limit() {
    let (mut replica, mut now) = leader_with_learner();
    let mut bytes = 0;
    while bytes <= MAX_CATCH_UP_BYTES {
        replica.propose(vec![0; 4 * MEGABYTE]).expect("below the limit of uncommitted entries");
        synced(&mut replica);
        advance(&mut replica, &mut now, None);
        bytes += 4 * MEGABYTE;
    }
    replica.compact(replica.commit_index(), 0, 0);
    // The learner's log is empty and the entries that it needs exceed the limit, so it is sent a snapshot.
    let round = 100;
    let rejected =
        AppendOutcome::Rejected { previous_log_index: replica.last_index(), hint_index: LogIndex(0) };
    replica
        .step(now, from(4, replica.term(), MessageBody::AppendEntriesResponse { round, outcome: rejected }));
    now += timing::HEARTBEAT_INTERVAL_MS;
    replica.tick(now);
    let ready = synced(&mut replica);
    assert!(ready.is_snapshot_needed);
    replica.offer_snapshot(vec![1; 600 << 10]);
    let sent_at = replica.commit_index();
    synced(&mut replica);
    // During the transfer, entries are committed, and the log is compacted after each of them.
    for _ in 0..20 {
        replica.propose(vec![0; MEGABYTE]).expect("below the limit of uncommitted entries");
        synced(&mut replica);
        advance(&mut replica, &mut now, None);
        let answer = MessageBody::InstallSnapshotResponse {
            last_included_index: sent_at,
            received_bytes: 0,
            round: 0,
        };
        replica.step(now, from(4, replica.term(), answer));
        replica.compact(replica.commit_index(), 0, 0);
    }
    let ready = advance(&mut replica, &mut now, None);
    let chunks = ready.iter().filter_map(|message| match &message.body {
        MessageBody::InstallSnapshot { metadata, .. } => Some(metadata.last_included_index),
        _ => None,
    });
    assert!(chunks.clone().all(|index| index == sent_at), "the transfer continues with the same snapshot");
    assert!(replica.entries_after(sent_at).len() >= 20, "entries after the snapshot are kept");
    // Beyond the limit, the entries are compacted and a new snapshot is needed.
    let mut bytes = 0;
    while bytes <= MAX_CATCH_UP_BYTES {
        replica.propose(vec![0; 4 * MEGABYTE]).expect("below the limit of uncommitted entries");
        synced(&mut replica);
        advance(&mut replica, &mut now, None);
        bytes += 4 * MEGABYTE;
    }
    replica.compact(replica.commit_index(), 0, 0);
    assert!(replica.entries_after(sent_at).len() < 4, "entries beyond the limit are compacted");
}
