//! Contact of a replica with its group.

use crate::replica::Replica;

impl Replica {
    /// Returns whether this replica heard from the leader within the last `limit_ms`, or, if it is the leader, whether a
    /// majority followed it within that time.
    #[must_use]
    pub fn has_recent_contact(&self, now: u64, limit_ms: u64) -> bool {
        let membership = self.log.membership();
        if let Some(leader) = self.role.leader() {
            let own = usize::from(membership.is_voter(self.options.identity));
            let following = leader.count_following_voters(membership, now, limit_ms);
            return following + own >= membership.majority();
        }
        let is_heard = self.leader_heard_at.is_some_and(|at| now.saturating_sub(at) <= limit_ms);
        is_heard && self.leader_id.is_some()
    }

    /// Returns whether the leader is known to have received a response to a message that arrived here within the last
    /// `limit_ms`, so that messages pass in both directions. A follower behind a one-way partition still learns what is
    /// committed, but none of its messages reach the leader.
    #[must_use]
    pub fn is_acknowledged_by_leader(&self, now: u64, limit_ms: u64) -> bool {
        self.is_leader() || self.leader_contact.is_acknowledged_within(now, limit_ms)
    }
}
