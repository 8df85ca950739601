//! Linearizable reads without the log (`ReadIndex`: Raft §8, thesis §6.4).
//!
//! A leader may have been replaced without knowing it. It confirms a read only after a majority has responded to a heartbeat
//! round that began after the request: then no newer leader had been elected when the request arrived, and every entry that
//! was committed before the request is at or before the commit index, provided that an entry of the leader's own term is
//! committed. The argument does not rely on clocks.

use crate::{MemberId, ProposeError, ReadIndexResult, leader_state::PendingRead, replica::Replica};

impl Replica {
    /// Requests the index up to which the state machine must be applied before its state may be read. Every entry that was
    /// committed before the call is then applied, and this replica was still the leader after the call. `request` is the
    /// caller's identifier for the request, with which the result is returned in
    /// [`Ready::read_results`](crate::Ready::read_results).
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] if this replica is not the leader.
    pub fn read_index(&mut self, request: u64) -> Result<(), ProposeError> {
        let leader_id = self.leader_id;
        let Some(leader) = self.role.leader_mut() else {
            return Err(ProposeError::NotLeader { leader: leader_id });
        };
        let round = leader.heartbeats.current() + 1;
        leader.pending_reads.push_back(PendingRead { request, round });
        Ok(())
    }

    /// Confirms the reads whose heartbeat round has been acknowledged by a majority.
    pub(crate) fn confirm_reads(&mut self) {
        if !self.knows_committed_entries() {
            return;
        }
        let (own_identity, membership) = (self.options.identity, self.log.membership());
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        while let Some(read) = leader.pending_reads.front().copied() {
            let has_answered = |identity: &MemberId| {
                *identity == own_identity
                    || leader.progress.get(identity).is_some_and(|peer| peer.acknowledged_round >= read.round)
            };
            let answered = membership.voters().filter(has_answered).count();
            if read.round > leader.heartbeats.current() || answered < membership.majority() {
                return;
            }
            leader.pending_reads.pop_front();
            let result = ReadIndexResult::Confirmed { request: read.request, index: self.commit_index };
            self.pending.read_results.push(result);
        }
    }

    /// Fails all pending reads, as this replica is no longer the leader.
    pub(crate) fn fail_pending_reads(&mut self) {
        if let Some(leader) = self.role.leader_mut() {
            let failed = leader.pending_reads.drain(..);
            let results = failed.map(|read| ReadIndexResult::Failed { request: read.request });
            self.pending.read_results.extend(results);
        }
    }

    /// Returns whether this replica is a leader that knows which entries earlier leaders committed, because an entry of its
    /// own term is committed.
    pub(crate) fn knows_committed_entries(&self) -> bool {
        self.role.leader().is_some_and(|leader| self.commit_index >= leader.term_start_index)
    }
}
