//! The volatile state of a leader (Raft, figure 2).

use crate::{
    LogIndex, MemberId, Membership, heartbeat_rounds::HeartbeatRounds, progress::Progress,
    snapshot_transfer::OutgoingSnapshot,
};
use std::collections::{BTreeMap, VecDeque};

/// The volatile state of a leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderState {
    /// The replication progress of the other members.
    pub progress: BTreeMap<MemberId, Progress>,
    pub heartbeats: HeartbeatRounds,
    /// The index of the leader's first entry in its term. Once it is committed, the leader knows which entries earlier
    /// leaders committed (Raft §8).
    pub term_start_index: LogIndex,
    /// Read requests that are not confirmed yet, oldest first.
    pub pending_reads: VecDeque<PendingRead>,
    /// The leadership transfer in progress, if any.
    pub transfer: Option<LeadershipTransfer>,
    /// The snapshot that is being sent, if any.
    pub snapshot: Option<OutgoingSnapshot>,
}

/// A read request that is not confirmed yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    /// The caller's identifier for the request.
    pub request: u64,
    /// The heartbeat round to which a majority must respond.
    pub round: u64,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone)]
pub(crate) struct LeadershipTransfer {
    /// The member to which leadership is transferred.
    pub target: MemberId,
    /// When the transfer is aborted, in milliseconds of the replica's clock.
    pub deadline: u64,
    /// Whether the target was asked to begin an election since the last heartbeat round.
    pub is_target_notified: bool,
}

impl LeaderState {
    /// Creates the state of a leader that was elected at `now`.
    pub fn new(term_start_index: LogIndex, now: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            heartbeats: HeartbeatRounds::new(now),
            term_start_index,
            pending_reads: VecDeque::new(),
            transfer: None,
            snapshot: None,
        }
    }

    /// Returns the identities of the other members.
    pub fn peers(&self) -> Vec<MemberId> {
        self.progress.keys().copied().collect()
    }

    /// Returns the number of other voters that are known to have followed this leader within the last `limit_ms`. A response
    /// counts for the time at which its heartbeat round was sent, however late the response arrives.
    pub fn count_following_voters(&self, membership: &Membership, now: u64, limit_ms: u64) -> usize {
        let follows = |peer: &Progress| now.saturating_sub(peer.followed_at) <= limit_ms;
        let following =
            self.progress.iter().filter(|(identity, peer)| membership.is_voter(**identity) && follows(peer));
        following.count()
    }
}
