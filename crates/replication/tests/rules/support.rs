//! Helpers that drive one replica with scripted messages.

use opalrun_replication::{
    AppendOutcome, Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Options,
    Payload, Ready, Replica, RestoredState, SnapshotMetadata, Term, timing,
};
use std::rc::Rc;

pub const MEGABYTE: usize = 1 << 20;

pub fn members(identities: &[u64]) -> Membership {
    let member = |identity: &u64| Member {
        identity: MemberId(*identity),
        address: identity.to_string(),
        is_voter: true,
    };
    Membership::new(identities.iter().map(member).collect())
}

pub fn restored(identities: &[u64], term: u64, entries: &[u64]) -> RestoredState {
    let entry = |(position, term): (usize, &u64)| Entry {
        index: LogIndex(position as u64 + 1),
        term: Term(*term),
        payload: Payload::Command(Vec::new()),
    };
    RestoredState {
        hard_state: HardState { term: Term(term), voted_for: None },
        base: SnapshotMetadata {
            last_included_index: LogIndex(0),
            last_included_term: Term(0),
            membership: members(identities),
        },
        entries: entries.iter().enumerate().map(entry).collect(),
    }
}

pub fn replica(hosts_lost: usize, restored: RestoredState) -> Replica {
    Replica::new(Options { identity: MemberId(1), hosts_lost, seed: 7 }, restored, 0)
}

/// Syncs all writes of `ready`, and those that result from the syncs, immediately. Returns the combined result.
pub fn synced(replica: &mut Replica) -> Ready {
    let mut ready = replica.ready();
    let mut newest = ready.writes.last().map(|write| write.sequence);
    while let Some(sequence) = newest {
        replica.on_persisted(sequence);
        let then = replica.ready();
        newest = then.writes.last().map(|write| write.sequence);
        ready.messages.extend(then.messages);
        ready.committed_entries.extend(then.committed_entries);
        ready.read_results.extend(then.read_results);
        ready.is_snapshot_needed |= then.is_snapshot_needed;
    }
    ready
}

pub fn from(identity: u64, term: Term, body: MessageBody) -> Message {
    Message { from: MemberId(identity), to: MemberId(1), term, body }
}

pub fn accept(replica: &mut Replica, now: u64, identity: u64, round: u64, matched: u64) {
    let answer = MessageBody::AppendEntriesResponse {
        round,
        outcome: AppendOutcome::Accepted { match_index: LogIndex(matched) },
    };
    replica.step(now, from(identity, replica.term(), answer));
}

/// Has the replica elected by the votes of other members. Returns the time of the election, in milliseconds.
pub fn elect(replica: &mut Replica, voters: &[u64]) -> u64 {
    let now = timing::MAX_ELECTION_TIMEOUT_MS;
    replica.tick(now);
    for voter in voters {
        replica.step(
            now,
            from(*voter, replica.term().next(), MessageBody::RequestPreVoteResponse { is_granted: true }),
        );
    }
    synced(replica);
    for voter in voters {
        replica
            .step(now, from(*voter, replica.term(), MessageBody::RequestVoteResponse { is_granted: true }));
    }
    assert!(replica.is_leader());
    now
}

pub fn append(previous: (u64, u64), entries: &[(u64, u64)], commit: u64) -> MessageBody {
    let entry = |(index, term): &(u64, u64)| {
        Rc::new(Entry { index: LogIndex(*index), term: Term(*term), payload: Payload::Command(vec![1]) })
    };
    MessageBody::AppendEntries {
        previous_log_index: LogIndex(previous.0),
        previous_log_term: Term(previous.1),
        entries: entries.iter().map(entry).collect(),
        leader_commit: LogIndex(commit),
        round: 1,
        acknowledged_round: 0,
    }
}

/// Returns the leader of members 1, 2 and 3, with member 4 as an additional desired member, and the current time. Member 2
/// has acknowledged the leader's first entry.
pub fn leader_with_learner() -> (Replica, u64) {
    let mut replica = replica(1, restored(&[1, 2, 3], 0, &[]));
    let now = elect(&mut replica, &[2, 3]);
    synced(&mut replica);
    accept(&mut replica, now, 2, 0, 1);
    let member = |identity: u64| Member {
        identity: MemberId(identity),
        address: identity.to_string(),
        is_voter: true,
    };
    replica.set_desired_members((1..=4).map(member).collect());
    (replica, now)
}

/// Advances the time by one heartbeat interval (100 ms). Members 2 and 3 acknowledge all entries, and the learner those up
/// to `learner_matched`. Returns the messages that the leader sent.
pub fn advance(replica: &mut Replica, now: &mut u64, learner_matched: Option<u64>) -> Vec<Message> {
    *now += timing::HEARTBEAT_INTERVAL_MS;
    replica.tick(*now);
    let messages = synced(replica).messages;
    let round = messages
        .iter()
        .filter_map(|message| match &message.body {
            MessageBody::AppendEntries { round, .. } => Some(*round),
            _ => None,
        })
        .max()
        .unwrap_or(0);
    for identity in [2, 3] {
        accept(replica, *now, identity, round, replica.last_index().0);
    }
    if let Some(matched) = learner_matched {
        accept(replica, *now, 4, round, matched);
    }
    synced(replica);
    messages
}
