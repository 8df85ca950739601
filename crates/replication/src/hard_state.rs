//! The persistent state of a replica other than its log (Raft, figure 2).

use crate::{MemberId, Term};
use rkyv::{Archive, Deserialize, Serialize};

/// The state that must be synced to disk before a replica responds to a message of the term.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HardState {
    /// The latest term that the replica has seen (`currentTerm`).
    pub term: Term,
    /// The candidate that received this replica's vote in that term (`votedFor`).
    pub voted_for: Option<MemberId>,
}
