//! The role of a replica in its current term (Raft §5.1), with the state specific to each role.

use crate::{MemberId, leader_state::LeaderState};
use std::collections::BTreeSet;

/// The role of a replica in its current term.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Has requested pre-votes: asks whether it would win an election (thesis §9.6).
    PreCandidate {
        /// Members that granted their pre-vote.
        votes: BTreeSet<MemberId>,
        /// When the pre-votes were requested, in milliseconds of the replica's clock.
        since: u64,
    },
    /// Has requested votes.
    Candidate {
        /// Members that granted their vote.
        votes: BTreeSet<MemberId>,
        /// The sequence number of the write of the replica's own vote, which counts once that write is synced.
        own_vote_write: u64,
    },
    /// The leader of its term.
    Leader(Box<LeaderState>),
}

impl Role {
    /// Returns the leader state if this replica is the leader.
    pub fn leader(&self) -> Option<&LeaderState> {
        match self {
            Self::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Returns the leader state if this replica is the leader.
    pub fn leader_mut(&mut self) -> Option<&mut LeaderState> {
        match self {
            Self::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
