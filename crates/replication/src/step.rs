//! The entry points that drive a replica: `tick`, `step`, `on_persisted` and `ready`.

use crate::{
    LogPosition, Message, MessageBody, Ready, replica::Replica, role::Role, snapshot_transfer::SnapshotChunk,
};

impl Replica {
    /// Advances the replica's time to `now`, in milliseconds of a monotonic clock, and runs expired timers.
    pub fn tick(&mut self, now: u64) {
        self.now = now.max(self.now);
        match &self.role {
            Role::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Handles a message. Messages addressed to another identity are dropped.
    pub fn step(&mut self, now: u64, message: Message) {
        self.now = now.max(self.now);
        if message.to != self.options.identity || message.from == self.options.identity {
            return;
        }
        if message.term > self.hard_state.term && !self.adopt_term(&message) {
            return;
        }
        if message.term < self.hard_state.term {
            return self.reject_stale_term(&message);
        }
        self.dispatch(message);
    }

    fn dispatch(&mut self, message: Message) {
        let (from, term) = (message.from, message.term);
        match message.body {
            MessageBody::RequestPreVote { last_log_index, last_log_term } => {
                let last_log = LogPosition { index: last_log_index, term: last_log_term };
                self.on_request_pre_vote(from, term, last_log);
            }
            MessageBody::RequestPreVoteResponse { is_granted } => {
                self.on_request_pre_vote_response(from, term, is_granted);
            }
            MessageBody::RequestVote { last_log_index, last_log_term, .. } => {
                self.on_request_vote(from, LogPosition { index: last_log_index, term: last_log_term });
            }
            MessageBody::RequestVoteResponse { is_granted } => {
                self.on_request_vote_response(from, is_granted);
            }
            MessageBody::AppendEntries {
                previous_log_index,
                previous_log_term,
                entries,
                leader_commit,
                round,
                acknowledged_round,
            } => {
                self.on_leader_message(from, round, acknowledged_round);
                let previous = LogPosition { index: previous_log_index, term: previous_log_term };
                self.on_append_entries(from, previous, entries, leader_commit, round);
            }
            MessageBody::InstallSnapshot {
                metadata,
                total_bytes,
                digest,
                offset,
                data,
                round,
                acknowledged_round,
            } => {
                self.on_leader_message(from, round, acknowledged_round);
                let chunk = SnapshotChunk { metadata, total_bytes, digest, offset, data };
                self.on_install_snapshot(from, &chunk, round);
            }
            MessageBody::AppendEntriesResponse { round, outcome } => {
                self.on_append_entries_response(from, round, outcome);
            }
            MessageBody::InstallSnapshotResponse { last_included_index, received_bytes, round } => {
                self.on_install_snapshot_response(from, last_included_index, received_bytes, round);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(),
        }
    }

    /// Records that every write up to this sequence number is synced.
    pub fn on_persisted(&mut self, sequence: u64) {
        let released = self.write_queue.on_persisted(sequence);
        self.pending.messages.extend(released);
        self.count_own_vote();
        self.advance_commit_index();
    }

    /// Returns the actions that the caller must carry out. Called after one or more inputs.
    pub fn ready(&mut self) -> Ready {
        if self.is_leader() {
            self.send_due_messages();
        }
        self.collect_committed_entries();
        let writes = self.write_queue.issue(self.log.last_index());
        Ready { writes, ..std::mem::take(&mut self.pending) }
    }

    fn collect_committed_entries(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index.next()) else {
                break;
            };
            self.pending.committed_entries.push(entry.clone());
            self.applied_index = self.applied_index.next();
        }
    }
}
