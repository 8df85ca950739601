//! Leadership transfer (thesis §3.10): the leader stops accepting proposals, replicates its complete log to the target, and
//! asks the target to begin an election immediately. If this takes too long, the leader aborts the transfer and resumes.

use crate::{
    MemberId, MessageBody, leader_state::LeadershipTransfer, progress::Progress, replica::Replica, timing,
};

impl Replica {
    /// Begins to transfer leadership to `target`, or to the voter with the most complete log. Returns false if this replica
    /// is not the leader or there is no suitable target.
    pub fn transfer_leadership(&mut self, target: Option<MemberId>) -> bool {
        let Some(target) = target.or_else(|| self.best_transfer_target()) else {
            return false;
        };
        let deadline = self.now + timing::LEADERSHIP_TRANSFER_TIMEOUT_MS;
        let Some(leader) = self.role.leader_mut() else {
            return false;
        };
        if leader.transfer.is_none() {
            leader.transfer = Some(LeadershipTransfer { target, deadline, is_target_notified: false });
        }
        true
    }

    /// Returns the active voter with the most complete log among those that are to remain members.
    fn best_transfer_target(&self) -> Option<MemberId> {
        let may_lead = |identity: MemberId, peer: &Progress| {
            let stays = self.desired_members.is_empty() || !self.must_be_removed(identity);
            self.is_recently_active(peer) && self.log.membership().is_voter(identity) && stays
        };
        let candidates = self.role.leader()?.progress.iter();
        let candidates = candidates.filter(|(identity, peer)| may_lead(**identity, peer));
        candidates.max_by_key(|(_, peer)| peer.match_index).map(|(identity, _)| *identity)
    }

    /// Aborts a transfer whose deadline has passed.
    pub(crate) fn abort_expired_transfer(&mut self) {
        let now = self.now;
        if let Some(leader) = self.role.leader_mut()
            && leader.transfer.as_ref().is_some_and(|transfer| now >= transfer.deadline)
        {
            leader.transfer = None;
        }
    }

    /// Asks the transfer target to begin an election once it has the complete log.
    pub(crate) fn notify_transfer_target(&mut self) {
        let last_index = self.log.last_index();
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let target = transfer.target;
        let has_complete_log =
            leader.progress.get(&target).is_some_and(|peer| peer.match_index == last_index);
        if has_complete_log && !transfer.is_target_notified {
            transfer.is_target_notified = true;
            self.send(target, MessageBody::TimeoutNow);
        }
    }
}
