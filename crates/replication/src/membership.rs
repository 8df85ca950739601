//! The members of a group: voters and learners.

use crate::MemberId;
use rkyv::{Archive, Deserialize, Serialize};

/// A member of a Raft group.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The member's identity.
    pub identity: MemberId,
    /// The address at which the other members reach it. This crate stores and forwards it, and does not interpret it.
    pub address: String,
    /// Whether the member votes and counts towards commits. A learner (non-voting member) only receives the log.
    pub is_voter: bool,
}

/// The members of a Raft group.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// All members, sorted by identity.
    pub members: Vec<Member>,
}

impl Membership {
    /// Creates a membership. If several members have the same identity, the first one is kept.
    #[must_use]
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by_key(|member| member.identity);
        members.dedup_by_key(|member| member.identity);
        Self { members }
    }

    /// Returns the member with this identity.
    #[must_use]
    pub fn get(&self, identity: MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.identity == identity)
    }

    /// Returns whether this identity belongs to a voter.
    #[must_use]
    pub fn is_voter(&self, identity: MemberId) -> bool {
        self.get(identity).is_some_and(|member| member.is_voter)
    }

    /// Returns the identities of the voters, in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|member| member.is_voter).map(|member| member.identity)
    }

    /// Returns the number of voters.
    #[must_use]
    pub fn voter_count(&self) -> usize {
        self.voters().count()
    }
}
