//! Compatibility of the encodings that replication sends to other processes or stores on disk. Golden files written by an
//! earlier build must decode to the same values, and the values must encode to the same bytes.
//!
//! `WRITE_GOLDEN=1` creates missing files. It never changes existing ones.

use opalrun_replication::{
    AppendOutcome, Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Payload,
    Snapshot, SnapshotMetadata, Term,
};
use opalrun_wire::frame::{decode, encode};
use std::{path::PathBuf, rc::Rc};

/// Asserts that the golden file decodes to the value, and that the value encodes to the bytes of the file.
macro_rules! assert_golden {
    ($name:expr, $type:ty, $value:expr) => {{
        let (name, value): (&str, $type) = ($name, $value);
        let encoded = encode(&value);
        let golden = golden(name, &encoded);
        assert_eq!(decode::<$type>(&golden), Ok(value), "{name} decodes to a different value");
        assert_eq!(encoded.as_slice(), golden.as_slice(), "{name} encodes to different bytes");
    }};
}

fn golden(name: &str, encoded: &[u8]) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.bin"));
    let may_write = std::env::var("WRITE_GOLDEN").is_ok_and(|value| value == "1");
    if may_write && !path.exists() {
        std::fs::write(&path, encoded).unwrap();
    }
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn membership() -> Membership {
    let member =
        |identity, address: &str, is_voter| Member { identity, address: address.to_owned(), is_voter };
    Membership::new(vec![
        member(MemberId(0x0102_0304_0506_0708), "10.1.0.42:7380", true),
        member(MemberId(17), "10.2.0.43:7380", true),
        member(MemberId(u64::MAX), "short", false),
    ])
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry { index: LogIndex(index), term: Term(term), payload }
}

fn header() -> SnapshotMetadata {
    SnapshotMetadata {
        last_included_index: LogIndex(900),
        last_included_term: Term(41),
        membership: membership(),
    }
}

fn message(body: MessageBody) -> Message {
    Message { from: MemberId(0x1112_1314_1516_1718), to: MemberId(17), term: Term(42), body }
}

fn digest() -> [u8; 32] {
    std::array::from_fn(|position| position as u8)
}

#[test]
fn log_entries_keep_their_encoding() {
    assert_golden!("entry_empty", Entry, entry(1, 2, Payload::Empty));
    assert_golden!("entry_command", Entry, entry(0x0A0B_0C0D, 7, Payload::Command(b"set x".to_vec())));
    assert_golden!("entry_command_without_bytes", Entry, entry(3, 2, Payload::Command(Vec::new())));
    assert_golden!("entry_members", Entry, entry(4, 2, Payload::MembershipChange(membership())));
    assert_golden!(
        "entry_members_none",
        Entry,
        entry(5, 2, Payload::MembershipChange(Membership::default()))
    );
}

#[test]
fn memberships_keep_their_encoding() {
    let [member, ..] = &membership().members[..] else { panic!("no members") };
    assert_golden!("member", Member, member.clone());
    assert_golden!("membership", Membership, membership());
}

#[test]
fn hard_states_keep_their_encoding() {
    assert_golden!("hard_state_first", HardState, HardState::default());
    assert_golden!("hard_state_without_vote", HardState, HardState { term: Term(42), voted_for: None });
    assert_golden!(
        "hard_state_with_vote",
        HardState,
        HardState { term: Term(42), voted_for: Some(MemberId(17)) }
    );
}

#[test]
fn snapshots_keep_their_encoding() {
    assert_golden!("snapshot_header_first", SnapshotMetadata, SnapshotMetadata::default());
    assert_golden!("snapshot_header", SnapshotMetadata, header());
    assert_golden!("snapshot", Snapshot, Snapshot { metadata: header(), state: b"the state".to_vec() });
}

#[test]
fn election_messages_keep_their_encoding() {
    let (last_log_index, last_log_term) = (900, Term(41));
    assert_golden!(
        "message_pre_vote",
        Message,
        message(MessageBody::RequestPreVote { last_log_index: LogIndex(last_log_index), last_log_term })
    );
    for is_granted in [true, false] {
        let name = format!("message_pre_vote_answer_{is_granted}");
        assert_golden!(&name, Message, message(MessageBody::RequestPreVoteResponse { is_granted }));
        let name = format!("message_vote_answer_{is_granted}");
        assert_golden!(&name, Message, message(MessageBody::RequestVoteResponse { is_granted }));
    }
    for is_leadership_transfer in [true, false] {
        let name = format!("message_vote_transfer_{is_leadership_transfer}");
        assert_golden!(
            &name,
            Message,
            message(MessageBody::RequestVote {
                last_log_index: LogIndex(last_log_index),
                last_log_term,
                is_leadership_transfer
            })
        );
    }
    assert_golden!("message_timeout_now", Message, message(MessageBody::TimeoutNow));
}

#[test]
fn append_messages_keep_their_encoding() {
    let append = |entries| MessageBody::AppendEntries {
        previous_log_index: LogIndex(900),
        previous_log_term: Term(41),
        entries,
        leader_commit: LogIndex(899),
        round: 1234,
        acknowledged_round: 1233,
    };
    assert_golden!("message_append_heartbeat", Message, message(append(Vec::new())));
    let entries = vec![
        Rc::new(entry(901, 42, Payload::Empty)),
        Rc::new(entry(902, 42, Payload::Command(b"a command".to_vec()))),
        Rc::new(entry(903, 42, Payload::MembershipChange(membership()))),
    ];
    assert_golden!("message_append_entries", Message, message(append(entries)));
    let accepted = AppendOutcome::Accepted { match_index: LogIndex(903) };
    let rejected = AppendOutcome::Rejected { previous_log_index: LogIndex(900), hint_index: LogIndex(880) };
    for (name, answer) in [("accepted", accepted), ("rejected", rejected)] {
        let name = format!("message_append_answer_{name}");
        assert_golden!(
            &name,
            Message,
            message(MessageBody::AppendEntriesResponse { round: 1234, outcome: answer })
        );
    }
}

#[test]
fn snapshot_messages_keep_their_encoding() {
    let chunk = MessageBody::InstallSnapshot {
        metadata: header(),
        total_bytes: 1000,
        digest: digest(),
        offset: 512,
        data: b"a chunk".to_vec(),
        round: 1234,
        acknowledged_round: 1233,
    };
    assert_golden!("message_snapshot_chunk", Message, message(chunk));
    let answer = MessageBody::InstallSnapshotResponse {
        last_included_index: LogIndex(900),
        received_bytes: 519,
        round: 1234,
    };
    assert_golden!("message_snapshot_answer", Message, message(answer));
}
