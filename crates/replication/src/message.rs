//! Messages between the replicas of a group: the remote procedure calls of the Raft paper (figures 2 and 13), with requests
//! and responses as separate messages. Any message may be lost, delayed, duplicated or reordered.

use crate::{Entry, LogIndex, MemberId, SnapshotMetadata, Term};
use rkyv::{Archive, Deserialize, Serialize};
use std::rc::Rc;

/// A message from one replica to another.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver. A process with a different identity drops the message.
    pub to: MemberId,
    /// The sender's term. In a pre-vote request: the term that the sender would begin.
    pub term: Term,
    /// The request or response.
    pub body: MessageBody,
}

/// A request or response.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum MessageBody {
    /// Asks whether the receiver would grant the sender its vote in the message's term (thesis §9.6).
    RequestPreVote {
        /// The index of the sender's last log entry.
        last_log_index: LogIndex,
        /// The term of that entry.
        last_log_term: Term,
    },
    /// Responds to a pre-vote request. If granted, the message's term is the requested term.
    RequestPreVoteResponse {
        /// Whether the responder would grant its vote.
        is_granted: bool,
    },
    /// Requests the receiver's vote.
    RequestVote {
        /// The index of the sender's last log entry.
        last_log_index: LogIndex,
        /// The term of that entry.
        last_log_term: Term,
        /// Whether the election was requested by the leader to transfer its leadership to the sender. The receiver then
        /// votes even if it has recently heard from a leader (thesis §3.10, §4.2.3).
        is_leadership_transfer: bool,
    },
    /// Responds to a vote request.
    RequestVoteResponse {
        /// Whether the candidate received the vote.
        is_granted: bool,
    },
    /// Replicates log entries; a heartbeat if it carries no entries.
    AppendEntries {
        /// The index of the entry immediately preceding `entries`.
        previous_log_index: LogIndex,
        /// The term of that entry.
        previous_log_term: Term,
        /// The entries to append.
        entries: Vec<Rc<Entry>>,
        /// The leader's commit index.
        leader_commit: LogIndex,
        /// The leader's latest heartbeat round.
        round: u64,
        /// The latest heartbeat round to which the leader has received this receiver's response.
        acknowledged_round: u64,
    },
    /// Responds to an append request, or to the last chunk of a snapshot.
    AppendEntriesResponse {
        /// The heartbeat round of the request.
        round: u64,
        /// Whether the entries were accepted.
        outcome: AppendOutcome,
    },
    /// A chunk of a snapshot.
    InstallSnapshot {
        /// The metadata of the snapshot: last included index and term, and the membership.
        metadata: SnapshotMetadata,
        /// The size of the complete state, in bytes.
        total_bytes: u64,
        /// The SHA-256 digest of the complete state.
        digest: [u8; 32],
        /// The byte offset of the chunk in the state.
        offset: u64,
        /// The bytes of the chunk.
        data: Vec<u8>,
        /// The leader's latest heartbeat round.
        round: u64,
        /// The latest heartbeat round to which the leader has received this receiver's response.
        acknowledged_round: u64,
    },
    /// Acknowledges the received part of a snapshot and requests the next chunk.
    InstallSnapshotResponse {
        /// The index of the last entry that the snapshot replaces.
        last_included_index: LogIndex,
        /// The number of contiguous bytes received from the start of the state.
        received_bytes: u64,
        /// The heartbeat round of the request.
        round: u64,
    },
    /// Asks the receiver to begin an election immediately, as the leader transfers its leadership (thesis §3.10).
    TimeoutNow,
}

/// The result of an append request.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The follower's log matches the leader's up to `match_index`, and is synced up to there.
    Accepted {
        /// The index of the last matching entry.
        match_index: LogIndex,
    },
    /// The follower's log has no entry with the request's previous index and term.
    Rejected {
        /// The previous log index of the request.
        previous_log_index: LogIndex,
        /// The last index up to which the logs may match; the leader continues from there (Raft §5.3, the optimization
        /// that skips a whole conflicting term).
        hint_index: LogIndex,
    },
}
