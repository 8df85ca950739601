//! Misaddressed messages, and arbitrary messages that no correct replica would send.

use crate::support::{append, elect, from, members, replica, restored, synced};
use opalrun_replication::{
    AppendOutcome, LogIndex, MemberId, Message, MessageBody, SnapshotMetadata, Term, timing,
};

#[test]
fn messages_for_another_identity_are_dropped() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    let message = Message { to: MemberId(9), ..from(2, Term(8), append((1, 1), &[(2, 8)], 2)) };
    replica.step(10, message);
    assert_eq!((replica.term(), replica.last_index()), (Term(1), LogIndex(1)));
}

#[test]
fn no_message_makes_a_replica_panic() {
    bolero::check!().with_type::<(u8, Vec<(u8, u8, u8, u8, u8, u8)>)>().for_each(|(kind, steps)| {
        let entries: &[u64] = if kind % 2 == 0 { &[1, 1, 2] } else { &[] };
        let mut replica = replica(usize::from(kind % 3), restored(&[1, 2, 3], 2, entries));
        if kind % 5 == 0 {
            elect(&mut replica, &[2]);
        }
        let mut now = timing::MAX_ELECTION_TIMEOUT_MS;
        for step in steps {
            now += u64::from(step.0);
            replica.step(now, arbitrary_message(*step));
            replica.tick(now);
            let ready = synced(&mut replica);
            if ready.is_snapshot_needed {
                replica.offer_snapshot(vec![1; 3]);
            }
        }
    });
}

fn arbitrary_message((kind, sender, term, a, b, c): (u8, u8, u8, u8, u8, u8)) -> Message {
    let wide =
        |value: u8| if value > 250 { u64::MAX - u64::from(u8::MAX - value) } else { u64::from(value % 8) };
    let (first, second, third) = (wide(a), wide(b), wide(c));
    let metadata = SnapshotMetadata {
        last_included_index: LogIndex(first % (1 << 40)),
        last_included_term: Term(second),
        membership: members(&[1, 2, 3]),
    };
    let body = match kind % 11 {
        0 => MessageBody::RequestPreVote { last_log_index: LogIndex(first), last_log_term: Term(second) },
        1 => MessageBody::RequestPreVoteResponse { is_granted: a % 2 == 0 },
        2 => MessageBody::RequestVote {
            last_log_index: LogIndex(first),
            last_log_term: Term(second),
            is_leadership_transfer: c % 2 == 0,
        },
        3 => MessageBody::RequestVoteResponse { is_granted: a % 2 == 0 },
        4 => append((first, second), &[(third, second), (first, second)], third),
        5 => append(
            (first, second),
            &[(first.wrapping_add(1), second), (first.wrapping_add(2), second)],
            third,
        ),
        6 => MessageBody::AppendEntriesResponse {
            round: first,
            outcome: AppendOutcome::Accepted { match_index: LogIndex(second) },
        },
        7 => MessageBody::AppendEntriesResponse {
            round: first,
            outcome: AppendOutcome::Rejected {
                previous_log_index: LogIndex(second),
                hint_index: LogIndex(third),
            },
        },
        8 => MessageBody::InstallSnapshot {
            metadata,
            total_bytes: third,
            offset: second,
            data: vec![1, 2],
            round: first,
            acknowledged_round: third,
            digest: [b; 32],
        },
        9 => MessageBody::InstallSnapshotResponse {
            last_included_index: LogIndex(first),
            received_bytes: second,
            round: third,
        },
        _ => MessageBody::TimeoutNow,
    };
    from(u64::from(sender % 4), Term(u64::from(term % 6)), body)
}
