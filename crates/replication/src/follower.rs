//! Handling of a leader's entries and heartbeats by a follower (Raft §5.3).

use crate::{
    AppendOutcome, LogIndex, LogPosition, MemberId, MessageBody, entry::SharedEntry, replica::Replica,
    role::Role,
};

impl Replica {
    /// Records that a message from the leader of the current term arrived.
    pub(crate) fn on_leader_message(&mut self, leader_id: MemberId, round: u64, acknowledged_round: u64) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.hard_state.term, Some(leader_id));
        }
        self.leader_id = Some(leader_id);
        self.leader_heard_at = Some(self.now);
        self.leader_contact.on_leader_message(self.now, self.hard_state.term, round, acknowledged_round);
        self.election_timer.reset(self.now);
    }

    /// Appends entries if the log contains the entry that precedes them (Raft §5.3, the consistency check), and responds once
    /// they are synced. Heartbeats are answered immediately.
    pub(crate) fn on_append_entries(
        &mut self,
        leader_id: MemberId,
        previous: LogPosition,
        entries: Vec<SharedEntry>,
        leader_commit: LogIndex,
        round: u64,
    ) {
        self.leader_commit = self.leader_commit.max(leader_commit);
        // Committed entries are identical on all replicas (State Machine Safety, Raft §5.4.3), so they need no check.
        let is_committed = previous.index <= self.commit_index;
        if !is_committed && !self.log.contains(previous) {
            let hint_index = self.log.conflict_hint(previous.index, self.commit_index);
            let outcome = AppendOutcome::Rejected { previous_log_index: previous.index, hint_index };
            return self.send(leader_id, MessageBody::AppendEntriesResponse { round, outcome });
        }
        let is_heartbeat = entries.is_empty();
        let last_new_index = previous.index.saturating_add(entries.len() as u64);
        self.append_entries(entries);
        self.commit_index = self.commit_index.max(leader_commit.min(last_new_index));
        if is_heartbeat {
            let match_index = previous.index.min(self.write_queue.durable_index());
            let outcome = AppendOutcome::Accepted { match_index };
            return self.send(leader_id, MessageBody::AppendEntriesResponse { round, outcome });
        }
        let outcome = AppendOutcome::Accepted { match_index: last_new_index };
        self.send_after_sync(leader_id, MessageBody::AppendEntriesResponse { round, outcome });
    }

    /// Appends the entries that the log does not contain yet. An entry that conflicts with the log replaces the existing
    /// entry at its index and all that follow it; committed entries are never replaced.
    fn append_entries(&mut self, entries: Vec<SharedEntry>) {
        for entry in entries {
            if entry.index <= self.commit_index || self.log.contains(entry.position()) {
                continue;
            }
            if entry.index > self.log.last_index().next() {
                return;
            }
            if entry.index <= self.log.last_index() {
                self.log.truncate_from(entry.index);
                self.write_queue.truncate_durable(entry.index.previous());
            }
            self.append_to_log(entry);
        }
    }
}
