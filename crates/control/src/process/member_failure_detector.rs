//! Failure detector of the control processes, run by the owner of shard 0: selects the failed member to remove from
//! the membership. Sans I/O.
//!
//! An owner that was itself unavailable must not conclude that others have failed: after it has become the owner, was
//! out of contact with the quorum or did not run for a while, the time-out of every member starts again.

use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use std::{collections::HashMap, time::Duration};

#[cfg(test)]
mod tests;

/// A member without contact for longer than this is removed if enough others remain.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time between two evaluations. After a longer gap this process was suspended, and all time-outs start
/// again.
const MAX_EVALUATION_GAP: Duration = Duration::from_secs(1);

/// Detects failed members for the owner of shard 0. Times are those of the process's monotonic clock.
#[derive(Debug)]
pub struct MemberFailureDetector {
    min_members: usize,
    /// When this owner first observed each member since the last reset.
    first_seen: HashMap<NodeIdentity, Duration>,
    last_evaluation: Option<Duration>,
}

impl MemberFailureDetector {
    /// Creates a detector that never reduces the membership below `min_members`.
    #[must_use]
    pub fn new(min_members: usize) -> Self {
        Self { min_members, first_seen: HashMap::new(), last_evaluation: None }
    }

    /// Returns the number of members that always remain.
    #[must_use]
    pub fn min_members(&self) -> u16 {
        self.min_members as u16
    }

    /// Discards all observations. Called while this process does not own shard 0 or is out of contact with its
    /// quorum.
    pub fn reset(&mut self) {
        self.first_seen.clear();
        self.last_evaluation = None;
    }

    /// Returns the identity of the member to remove, if any: of several the one without contact for longest.
    /// `since_last_contact` returns the time since the last message of a member.
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

    /// Records when this owner first observed each member; starts again after a gap between evaluations.
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

    /// Returns the time since the last contact with a member, limited to the time for which this owner has observed
    /// it.
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
