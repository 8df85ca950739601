//! Sending and receiving of snapshots for members that need compacted entries (Raft §7). Snapshots are sent in chunks, one
//! chunk at a time to each member.

use crate::{
    AppendOutcome, LogIndex, MemberId, MessageBody, Snapshot,
    progress::{Progress, ProgressState},
    raft_log::RaftLog,
    replica::Replica,
    snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot, SnapshotChunk},
    timing,
};
use std::rc::Rc;

/// Sending of snapshots by the leader.
impl Replica {
    /// Accepts the state after all entries returned so far by [`ready`](Self::ready), to be sent to members that need a
    /// snapshot.
    pub fn offer_snapshot(&mut self, state: Vec<u8>) {
        let metadata = self.applied_snapshot_metadata();
        if let Some(leader) = self.role.leader_mut() {
            leader.snapshot = Some(OutgoingSnapshot::new(Snapshot { metadata, state }));
        }
    }

    /// Sends the next snapshot chunk to a member if it is due.
    pub(crate) fn send_snapshot_chunk(&mut self, identity: MemberId) {
        let now = self.now;
        let base_index = self.log.base_index();
        let Some(leader) = self.role.leader_mut() else {
            return;
        };
        let Some(peer) = leader.progress.get_mut(&identity) else {
            return;
        };
        let ProgressState::Snapshot(progress) = &mut peer.state else {
            return;
        };
        // After installing a snapshot that ends before the base index, the member would still lack compacted entries.
        let usable =
            leader.snapshot.as_ref().filter(|snapshot| snapshot.metadata().last_included_index >= base_index);
        let Some(snapshot) = usable else {
            self.pending.is_snapshot_needed = true;
            return;
        };
        let last_included_index = snapshot.metadata().last_included_index;
        if progress.last_included_index != last_included_index {
            progress.last_included_index = last_included_index;
            progress.received_bytes = 0;
            progress.chunk_sent_at = None;
        }
        if progress.chunk_sent_at.is_some_and(|sent_at| now < sent_at + timing::SNAPSHOT_CHUNK_RETRY_MS) {
            return;
        }
        progress.chunk_sent_at = Some(now);
        let offset = progress.received_bytes;
        let body = snapshot.chunk_at(offset, leader.heartbeats.current(), peer.acknowledged_round);
        self.send(identity, body);
    }

    pub(crate) fn on_install_snapshot_response(
        &mut self,
        from: MemberId,
        last_included_index: LogIndex,
        received_bytes: u64,
        round: u64,
    ) {
        if !self.record_response(from, round) {
            return;
        }
        if let Some(leader) = self.role.leader_mut()
            && let Some(peer) = leader.progress.get_mut(&from)
            && let ProgressState::Snapshot(progress) = &mut peer.state
            && progress.last_included_index == last_included_index
            && progress.received_bytes != received_bytes
        {
            progress.received_bytes = received_bytes;
            progress.chunk_sent_at = None;
        }
    }

    /// Drops the outgoing snapshot once no member needs it.
    pub(crate) fn drop_unused_snapshot(&mut self) {
        if let Some(leader) = self.role.leader_mut()
            && !leader.progress.values().any(Progress::is_receiving_snapshot)
        {
            leader.snapshot = None;
        }
    }
}

/// Receiving of snapshots by a follower.
impl Replica {
    pub(crate) fn on_install_snapshot(&mut self, leader_id: MemberId, chunk: &SnapshotChunk, round: u64) {
        let (index, term) = (chunk.metadata.last_included_index, chunk.metadata.last_included_term);
        if index <= self.commit_index || self.log.term(index) == Some(term) {
            self.incoming_snapshot = None;
            self.commit_index = self.commit_index.max(index);
            return self.accept_snapshot(leader_id, index, round);
        }
        if !chunk.is_valid() {
            return;
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.is_continued_by(chunk) => incoming,
            _ => IncomingSnapshot::new(chunk),
        };
        incoming.push(chunk);
        if !incoming.is_complete() {
            let received_bytes = incoming.received_bytes();
            self.incoming_snapshot = Some(incoming);
            return self.request_chunk(leader_id, index, received_bytes, round);
        }
        let Some(snapshot) = incoming.into_snapshot() else {
            // The digest does not match: restart the transfer from the first chunk.
            return self.request_chunk(leader_id, index, 0, round);
        };
        self.install(snapshot);
        self.accept_snapshot(leader_id, index, round);
    }

    fn accept_snapshot(&mut self, leader_id: MemberId, match_index: LogIndex, round: u64) {
        let outcome = AppendOutcome::Accepted { match_index };
        self.send_after_sync(leader_id, MessageBody::AppendEntriesResponse { round, outcome });
    }

    fn request_chunk(
        &mut self,
        leader_id: MemberId,
        last_included_index: LogIndex,
        received_bytes: u64,
        round: u64,
    ) {
        let body = MessageBody::InstallSnapshotResponse { last_included_index, received_bytes, round };
        self.send(leader_id, body);
    }

    /// Replaces the entire log with a snapshot.
    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.metadata.last_included_index;
        self.log = RaftLog::new(snapshot.metadata.clone());
        self.commit_index = index;
        self.applied_index = index;
        let snapshot = Rc::new(snapshot);
        self.write_queue.write_snapshot(snapshot.clone());
        self.pending.committed_entries.clear();
        self.pending.snapshot_to_install = Some(snapshot);
    }
}
