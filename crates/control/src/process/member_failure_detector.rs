//! Failure detector of the control processes, for the owner of shard 0: which member has failed for so long that it is
//! dropped. Sans I/O.
//!
//! An owner must not judge members by its own absence: when it has just become the owner, was out of contact with the
//! quorum or did not run for a while, each member gets the full time-out anew.

use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use std::{collections::HashMap, time::Duration};

#[cfg(test)]
mod tests;

/// A member that was not heard from for longer is dropped if enough others are left.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest gap between two evaluations after which this process counts as having run all the while.
const MAX_EVALUATION_GAP: Duration = Duration::from_secs(1);

/// Detects failed members on behalf of the owner of shard 0.
#[derive(Debug)]
pub struct MemberFailureDetector {
    min_members: usize,
    first_seen: HashMap<NodeIdentity, Duration>,
    last_evaluation: Option<Duration>,
}

impl MemberFailureDetector {
    /// A detector that never lets the membership fall below `min_members`.
    #[must_use]
    pub fn new(min_members: usize) -> Self {
        Self { min_members, first_seen: HashMap::new(), last_evaluation: None }
    }

    /// The number of members that always remain.
    #[must_use]
    pub fn min_members(&self) -> u16 {
        self.min_members as u16
    }

    /// This process does not own shard 0 or is out of contact with its quorum: everything observed is forgotten.
    pub fn reset(&mut self) {
        self.first_seen.clear();
        self.last_evaluation = None;
    }

    /// The identity of the member to drop, if any. `since_last_contact` gives the time since each identity was last heard from.
    pub fn evaluate(
        &mut self,
        members: &[ControlNode],
        own_identity: NodeIdentity,
        since_last_contact: impl Fn(NodeIdentity) -> Duration,
        now: Duration,
    ) -> Option<NodeIdentity> {
        self.observe(members, now);
        if members.len() <= self.min_members {
            return None;
        }
        members
            .iter()
            .map(|node| node.identity)
            .filter(|identity| *identity != own_identity)
            .map(|identity| {
                (self.observed_since_contact(identity, since_last_contact(identity), now), identity)
            })
            .filter(|(since_contact, _)| *since_contact > MEMBER_TIMEOUT)
            .max()
            .map(|(_, identity)| identity)
    }

    /// Records when each member was first seen by this owner, without a gap.
    fn observe(&mut self, members: &[ControlNode], now: Duration) {
        if self.last_evaluation.is_some_and(|at| now.saturating_sub(at) > MAX_EVALUATION_GAP) {
            self.first_seen.clear();
        }
        self.last_evaluation = Some(now);
        self.first_seen.retain(|identity, _| members.iter().any(|node| node.identity == *identity));
        for node in members {
            self.first_seen.entry(node.identity).or_insert(now);
        }
    }

    /// The time since the last contact with a member, counted at most from when this owner first saw it.
    fn observed_since_contact(
        &self,
        identity: NodeIdentity,
        since_last_contact: Duration,
        now: Duration,
    ) -> Duration {
        let observed_for =
            self.first_seen.get(&identity).map_or(Duration::ZERO, |at| now.saturating_sub(*at));
        since_last_contact.min(observed_for)
    }
}
