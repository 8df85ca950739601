//! Log replication by the leader: proposals, heartbeats, append requests and their responses (Raft §5.3).

use crate::{
    AppendOutcome, LogIndex, LogPosition, MemberId, MessageBody, Payload, ProposeError, Term,
    leader_state::LeaderState,
    progress::{Progress, ProgressState},
    replica::Replica,
    timing,
};

/// Maximum number of entries in one append request.
const MAX_APPEND_ENTRIES: usize = 256;
/// Maximum size of the entries in one append request, in bytes. A single larger entry is sent alone.
const MAX_APPEND_BYTES: usize = 256 << 10;
/// Maximum number of uncommitted entries.
const MAX_UNCOMMITTED_ENTRIES: u64 = 4096;
/// Maximum size of the uncommitted entries, in bytes. A larger command is accepted if no other entry is uncommitted.
pub const MAX_UNCOMMITTED_BYTES: usize = 32 << 20;

impl Replica {
    /// Appends a command to the log. Returns its position. If an entry with the same index and a different term is committed,
    /// the command was not and never will be.
    ///
    /// # Errors
    /// [`ProposeError`], in which case nothing was appended.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogPosition, ProposeError> {
        let not_leader = ProposeError::NotLeader { leader: self.leader_id.filter(|_| !self.is_leader()) };
        let Some(leader) = self.role.leader() else {
            return Err(not_leader);
        };
        if leader.transfer.is_some() {
            return Err(not_leader);
        }
        if !self.has_capacity_for(command.len()) {
            return Err(ProposeError::TooManyUncommitted);
        }
        let index = self.append_as_leader(Payload::Command(command));
        Ok(LogPosition { index, term: self.hard_state.term })
    }

    /// Returns whether a command of this length, in bytes, may be appended within the limits of uncommitted entries.
    fn has_capacity_for(&self, command_bytes: usize) -> bool {
        let last_index = self.log.last_index();
        if last_index == self.commit_index {
            return true;
        }
        let uncommitted_bytes = self.log.bytes_between(self.commit_index, last_index);
        last_index - self.commit_index < MAX_UNCOMMITTED_ENTRIES
            && uncommitted_bytes + command_bytes <= MAX_UNCOMMITTED_BYTES
    }

    /// Steps down if no majority responds (thesis §6.2), and sends heartbeats when they are due.
    pub(crate) fn tick_leader(&mut self) {
        if !self.has_recent_contact(self.now, timing::MAX_ELECTION_TIMEOUT_MS) {
            return self.become_follower(self.hard_state.term, None);
        }
        self.abort_expired_transfer();
        let now = self.now;
        if self.role.leader().is_some_and(|leader| leader.heartbeats.is_due(now)) {
            self.change_membership();
            self.send_heartbeats();
        }
    }

    /// Begins a new heartbeat round and sends a heartbeat to every other member.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.now;
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        leader.heartbeats.begin(now);
        if let Some(transfer) = &mut leader.transfer {
            transfer.is_target_notified = false;
        }
        for identity in leader.peers() {
            self.send_heartbeat(identity);
        }
    }

    /// Sends an append request without entries, which checks whether the member's log matches and carries the commit index.
    fn send_heartbeat(&mut self, identity: MemberId) {
        let leader_commit = self.commit_index;
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        let round = leader.heartbeats.current();
        let Some(peer) = leader.progress.get_mut(&identity) else {
            return;
        };
        // A member that is being sent a snapshot is asked about its last matching entry, or the start of the log, so that
        // it does not reject the heartbeat.
        let previous_index =
            if peer.is_receiving_snapshot() { peer.match_index } else { peer.next_index.previous() };
        let previous_term = self.log.term(previous_index);
        if previous_term.is_none() && !peer.is_receiving_snapshot() {
            peer.begin_snapshot();
        }
        peer.sent_commit_index = leader_commit;
        let (previous_log_index, previous_log_term) =
            previous_term.map_or((LogIndex::START, Term::default()), |term| (previous_index, term));
        let body = MessageBody::AppendEntries {
            previous_log_index,
            previous_log_term,
            entries: Vec::new(),
            leader_commit,
            round,
            acknowledged_round: peer.acknowledged_round,
        };
        self.send(identity, body);
    }

    /// Sends the messages that have become due since the last call of `ready`: a heartbeat round for reads, entries, the
    /// commit index, snapshot chunks, and the request that completes a leadership transfer.
    pub(crate) fn send_due_messages(&mut self) {
        let Some(leader) = self.role.leader() else {
            return;
        };
        if leader.pending_reads.back().is_some_and(|read| read.round > leader.heartbeats.current()) {
            self.send_heartbeats();
            self.confirm_reads();
        }
        self.advance_commit_index();
        for identity in self.role.leader().map(LeaderState::peers).unwrap_or_default() {
            self.send_entries(identity);
            self.send_commit_index(identity);
            self.send_snapshot_chunk(identity);
        }
        self.notify_transfer_target();
    }

    fn send_entries(&mut self, identity: MemberId) {
        while let Some(body) = self.next_append_entries(identity) {
            self.send(identity, body);
        }
    }

    /// Returns the next append request with entries for a member, if one may be sent.
    fn next_append_entries(&mut self, identity: MemberId) -> Option<MessageBody> {
        let leader = self.role.leader_mut()?;
        let round = leader.heartbeats.current();
        let peer = leader.progress.get_mut(&identity)?;
        if !peer.may_send_entries() || peer.next_index > self.log.last_index() {
            return None;
        }
        let previous_log_index = peer.next_index.previous();
        let Some(previous_log_term) = self.log.term(previous_log_index) else {
            peer.begin_snapshot();
            return None;
        };
        let entries = self.log.range(peer.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
        peer.on_sent(previous_log_index + entries.len() as u64);
        peer.sent_commit_index = self.commit_index;
        Some(MessageBody::AppendEntries {
            previous_log_index,
            previous_log_term,
            entries,
            leader_commit: self.commit_index,
            round,
            acknowledged_round: peer.acknowledged_round,
        })
    }

    /// Sends the commit index to a member that has not been sent the current one.
    fn send_commit_index(&mut self, identity: MemberId) {
        let commit_index = self.commit_index;
        let is_behind =
            |peer: &Progress| peer.state == ProgressState::Replicate && peer.sent_commit_index < commit_index;
        if self.role.leader().and_then(|leader| leader.progress.get(&identity)).is_some_and(is_behind) {
            self.send_heartbeat(identity);
        }
    }

    /// Records that a member responded to a heartbeat round. Returns whether the sender is a member.
    pub(crate) fn record_response(&mut self, from: MemberId, round: u64) -> bool {
        let now = self.now;
        let Some(leader) = self.role.leader_mut() else {
            return false;
        };
        let sent_at = leader.heartbeats.sent_at(round);
        let Some(peer) = leader.progress.get_mut(&from) else {
            return false;
        };
        peer.last_response_at = now;
        peer.followed_at = peer.followed_at.max(sent_at.unwrap_or_default());
        peer.acknowledged_round = peer.acknowledged_round.max(round);
        self.confirm_reads();
        true
    }

    pub(crate) fn on_append_entries_response(&mut self, from: MemberId, round: u64, outcome: AppendOutcome) {
        let (now, last_index) = (self.now, self.log.last_index());
        if !self.record_response(from, round) {
            return;
        }
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        let Some(peer) = leader.progress.get_mut(&from) else {
            return;
        };
        match outcome {
            AppendOutcome::Accepted { match_index } if match_index <= last_index => {
                peer.on_accepted(match_index);
                peer.record_catch_up(now, last_index);
                self.advance_commit_index();
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected { previous_log_index, hint_index } => {
                if peer.on_rejected(previous_log_index, hint_index) {
                    self.send_heartbeat(from);
                }
            }
        }
    }

    /// Advances the commit index to the last entry synced by a commit quorum. Only entries of the leader's own term are
    /// committed by counting replicas: an entry of an earlier term may still be replaced although a majority has it (Raft
    /// §5.4.2, figure 8). Preceding entries are committed indirectly, by the Log Matching property.
    pub(crate) fn advance_commit_index(&mut self) {
        let Some(leader) = self.role.leader() else {
            return;
        };
        let match_index = |identity: MemberId| {
            if identity == self.options.identity {
                return self.write_queue.durable_index();
            }
            leader.progress.get(&identity).map_or(LogIndex::START, |peer| peer.match_index)
        };
        let membership = self.log.membership();
        let Some(index) = membership.quorum_match_index(self.options.hosts_lost, match_index) else {
            return;
        };
        if index > self.commit_index && self.log.term(index) == Some(self.hard_state.term) {
            self.commit_index = index;
            self.confirm_reads();
            self.step_down_when_removed();
        }
    }
}
