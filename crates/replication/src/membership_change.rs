//! Membership changes, one member at a time through the log (thesis §4.1). The leader makes changes until the members are
//! those that the caller desires.
//!
//! When a single member is added or removed, any majority of the old members and any majority of the new ones share a voter,
//! so two leaders cannot be elected in one term. This requires that, before the next change begins, the latest change is
//! committed and the leader has committed an entry of its own term (D. Ongaro, "bug in single-server membership changes",
//! raft-dev, 2015).

use crate::{
    Member, MemberId, Membership, Payload,
    progress::{Progress, ProgressState},
    replica::Replica,
    timing,
};

/// A learner has caught up if its last catch-up round took at most this long (thesis §4.2.1).
const MAX_CATCH_UP_MS: u64 = timing::MIN_ELECTION_TIMEOUT_MS;

impl Replica {
    /// Sets the members that the group should have; all of them become voters. The leader makes one change at a time: new
    /// members are added as learners, each learner becomes a voter once it has caught up, and then members that are not
    /// desired are removed. The group never shrinks below `2 * hosts_lost + 1` voters.
    pub fn set_desired_members(&mut self, desired: Vec<Member>) {
        self.desired_members = desired;
    }

    /// Returns the voters if this replica is the leader and the latest membership change is committed.
    #[must_use]
    pub fn committed_voters(&self) -> Option<Vec<MemberId>> {
        self.is_membership_committed().then(|| self.log.membership().voters().collect())
    }

    /// Returns whether this replica is a leader that has committed an entry of its own term, and the latest membership
    /// change is committed.
    fn is_membership_committed(&self) -> bool {
        self.knows_committed_entries() && self.log.membership_index() <= self.commit_index
    }

    /// Makes the next change towards the desired members if one is currently possible.
    pub(crate) fn change_membership(&mut self) {
        self.drop_unused_snapshot();
        if self.desired_members.is_empty() || !self.is_membership_committed() {
            return;
        }
        if self.role.leader().is_some_and(|leader| leader.transfer.is_some()) {
            return;
        }
        let next = self
            .membership_with_new_learners()
            .or_else(|| self.membership_with_promotion())
            .or_else(|| self.membership_with_removal());
        if let Some(membership) = next {
            self.append_as_leader(Payload::MembershipChange(membership));
            self.track_members();
        } else if self.must_be_removed(self.options.identity) && self.may_shrink() {
            self.transfer_leadership(None);
        }
    }

    /// Returns whether a member is not among the desired members.
    pub(crate) fn must_be_removed(&self, identity: MemberId) -> bool {
        !self.desired_members.iter().any(|member| member.identity == identity)
    }

    /// Returns the membership with all new members added as learners and with updated addresses of existing members.
    /// Neither changes a quorum. `None` if there is no difference.
    fn membership_with_new_learners(&self) -> Option<Membership> {
        let mut members = self.log.membership().members.clone();
        for desired in &self.desired_members {
            match members.iter_mut().find(|member| member.identity == desired.identity) {
                Some(member) => member.address.clone_from(&desired.address),
                None => members.push(Member { is_voter: false, ..desired.clone() }),
            }
        }
        let membership = Membership::new(members);
        (membership != *self.log.membership()).then_some(membership)
    }

    /// Returns the membership with one caught-up learner promoted to voter, if there is one and a commit quorum is active.
    fn membership_with_promotion(&self) -> Option<Membership> {
        let progress = &self.role.leader()?.progress;
        let is_ready = |member: &&Member| {
            !member.is_voter
                && !self.must_be_removed(member.identity)
                && progress.get(&member.identity).is_some_and(|peer| self.has_caught_up(peer))
        };
        let promoted = self.log.membership().members.iter().find(is_ready)?.identity;
        let mut next = self.log.membership().clone();
        next.members
            .iter_mut()
            .filter(|member| member.identity == promoted)
            .for_each(|member| member.is_voter = true);
        self.can_commit_with(&next).then_some(next)
    }

    fn has_caught_up(&self, peer: &Progress) -> bool {
        peer.state == ProgressState::Replicate
            && peer.catch_up_ms.is_some_and(|elapsed| elapsed <= MAX_CATCH_UP_MS)
            && self.is_recently_active(peer)
    }

    /// Returns whether a member has responded within the last [`timing::RECENTLY_ACTIVE_MS`].
    pub(crate) fn is_recently_active(&self, peer: &Progress) -> bool {
        self.now.saturating_sub(peer.last_response_at) <= timing::RECENTLY_ACTIVE_MS
    }

    /// Returns the membership without one member that is not desired, learners first, if there is one that may be removed
    /// and a commit quorum is active.
    fn membership_with_removal(&self) -> Option<Membership> {
        let own_identity = self.options.identity;
        let is_removable =
            |member: &&Member| member.identity != own_identity && self.must_be_removed(member.identity);
        let members = &self.log.membership().members;
        let learner = members.iter().filter(is_removable).find(|member| !member.is_voter);
        let removed =
            learner.or_else(|| members.iter().find(is_removable).filter(|_| self.may_shrink()))?.identity;
        let mut next = self.log.membership().clone();
        next.members.retain(|member| member.identity != removed);
        self.can_commit_with(&next).then_some(next)
    }

    fn may_shrink(&self) -> bool {
        self.log.membership().voter_count() > 2 * self.options.hosts_lost + 1
    }

    /// Returns whether enough voters of `membership` are active to commit entries.
    fn can_commit_with(&self, membership: &Membership) -> bool {
        let Some(leader) = self.role.leader() else {
            return false;
        };
        let is_active = |identity: &MemberId| {
            *identity == self.options.identity
                || leader.progress.get(identity).is_some_and(|peer| self.is_recently_active(peer))
        };
        let active = membership.voters().filter(is_active).count();
        active >= membership.commit_quorum(self.options.hosts_lost)
    }

    /// Tracks the progress of exactly the other members of the latest membership.
    pub(crate) fn track_members(&mut self) {
        let (own_identity, now, next_index) = (self.options.identity, self.now, self.log.last_index() + 1);
        let membership = self.log.membership();
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        leader.progress.retain(|identity, _| membership.get(*identity).is_some());
        for member in membership.members.iter().filter(|member| member.identity != own_identity) {
            leader.progress.entry(member.identity).or_insert_with(|| Progress::new(next_index, now));
        }
    }

    /// Steps down if a committed membership change has removed this leader (thesis §4.2.2).
    pub(crate) fn step_down_when_removed(&mut self) {
        let is_committed = self.log.membership_index() <= self.commit_index;
        if is_committed && self.log.membership().get(self.options.identity).is_none() {
            self.become_follower(self.hard_state.term, None);
        }
    }
}
