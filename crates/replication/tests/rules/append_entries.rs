//! Handling of entries and heartbeats by a follower (Raft §5.3).

use crate::support::{append, from, replica, restored, synced};
use opalrun_replication::{AppendOutcome, LogIndex, MessageBody, Term};

#[test]
fn a_heartbeat_response_acknowledges_only_synced_entries() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    replica.step(10, from(2, Term(1), append((1, 1), &[(2, 1), (3, 1)], 0)));
    let ready = replica.ready();
    assert!(ready.messages.is_empty(), "entries are acknowledged only once they are synced");
    replica.step(20, from(2, Term(1), append((3, 1), &[], 0)));
    let answers = replica.ready().messages;
    let expected = MessageBody::AppendEntriesResponse {
        round: 1,
        outcome: AppendOutcome::Accepted { match_index: LogIndex(1) },
    };
    assert_eq!(answers.into_iter().map(|message| message.body).collect::<Vec<_>>(), [expected]);
    replica.on_persisted(ready.writes.last().unwrap().sequence);
    let answers = replica.ready().messages;
    let expected = MessageBody::AppendEntriesResponse {
        round: 1,
        outcome: AppendOutcome::Accepted { match_index: LogIndex(3) },
    };
    assert_eq!(answers.into_iter().map(|message| message.body).collect::<Vec<_>>(), [expected]);
}

#[test]
fn conflicting_entries_are_replaced_and_committed_ones_are_not() {
    let mut replica = replica(1, restored(&[1, 2, 3], 2, &[1, 1, 2, 2]));
    replica.step(10, from(2, Term(3), append((2, 1), &[(3, 3)], 3)));
    assert_eq!(replica.last_index(), LogIndex(3));
    let ready = synced(&mut replica);
    assert_eq!(ready.committed_entries.iter().map(|entry| entry.term.0).collect::<Vec<_>>(), [1, 1, 3]);
    replica.step(20, from(2, Term(3), append((1, 1), &[(2, 3), (3, 3)], 3)));
    assert!(synced(&mut replica).committed_entries.is_empty());
    assert_eq!(replica.last_index(), LogIndex(3));
}
