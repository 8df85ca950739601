//! Transfer of snapshots between members in chunks (Raft §7).

use crate::{MAX_SNAPSHOT_BYTES, MessageBody, Snapshot, SnapshotMetadata};
use sha2::{Digest, Sha256};
use std::rc::Rc;

/// Maximum size of a chunk, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

/// The SHA-256 digest with which a receiver verifies that it has reassembled a state correctly.
pub(crate) type StateDigest = [u8; 32];

/// A chunk of a snapshot.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotChunk {
    pub metadata: SnapshotMetadata,
    /// The size of the complete state, in bytes.
    pub total_bytes: u64,
    /// The digest of the complete state.
    pub digest: StateDigest,
    /// The byte offset of the chunk in the state.
    pub offset: u64,
    pub data: Vec<u8>,
}

impl SnapshotChunk {
    /// Returns whether the chunk lies within the stated size of the state, and that size is permitted.
    pub fn is_valid(&self) -> bool {
        let end = self.offset.checked_add(self.data.len() as u64);
        self.total_bytes <= MAX_SNAPSHOT_BYTES && end.is_some_and(|end| end <= self.total_bytes)
    }
}

/// A snapshot that is being received. Its chunks may come from several leaders: they are combined only if metadata, size
/// and digest of the complete state are the same, and the state is accepted only if it matches that digest.
#[derive(Debug, Clone)]
pub(crate) struct IncomingSnapshot {
    metadata: SnapshotMetadata,
    total_bytes: u64,
    digest: StateDigest,
    state: Vec<u8>,
}

impl IncomingSnapshot {
    /// Creates the empty snapshot to which a chunk belongs.
    pub fn new(chunk: &SnapshotChunk) -> Self {
        Self {
            metadata: chunk.metadata.clone(),
            total_bytes: chunk.total_bytes,
            digest: chunk.digest,
            state: Vec::new(),
        }
    }

    /// Returns whether a chunk belongs to this snapshot.
    pub fn is_continued_by(&self, chunk: &SnapshotChunk) -> bool {
        self.metadata == chunk.metadata
            && self.total_bytes == chunk.total_bytes
            && self.digest == chunk.digest
    }

    /// Appends a chunk if it is the next one.
    pub fn push(&mut self, chunk: &SnapshotChunk) {
        if chunk.offset == self.received_bytes() {
            self.state.extend_from_slice(&chunk.data);
        }
    }

    /// Returns the number of contiguous bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.state.len() as u64
    }

    /// Returns whether all bytes were received.
    pub fn is_complete(&self) -> bool {
        self.received_bytes() >= self.total_bytes
    }

    /// Returns the snapshot if its state matches the digest stated in its chunks.
    pub fn into_snapshot(self) -> Option<Snapshot> {
        let is_intact = digest_of(&self.state) == self.digest;
        is_intact.then_some(Snapshot { metadata: self.metadata, state: self.state })
    }
}

/// A snapshot that is being sent.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingSnapshot {
    snapshot: Rc<Snapshot>,
    digest: StateDigest,
}

impl OutgoingSnapshot {
    /// Prepares a snapshot for sending.
    pub fn new(snapshot: Snapshot) -> Self {
        let digest = digest_of(&snapshot.state);
        Self { snapshot: Rc::new(snapshot), digest }
    }

    /// Returns the snapshot's metadata.
    pub fn metadata(&self) -> &SnapshotMetadata {
        &self.snapshot.metadata
    }

    /// Returns the request that carries the chunk at this offset.
    pub fn chunk_at(&self, offset: u64, round: u64, acknowledged_round: u64) -> MessageBody {
        let state = &self.snapshot.state;
        let start = state.len().min(offset as usize);
        let end = state.len().min(start + CHUNK_BYTES);
        MessageBody::InstallSnapshot {
            metadata: self.snapshot.metadata.clone(),
            total_bytes: state.len() as u64,
            digest: self.digest,
            offset,
            data: state[start..end].to_vec(),
            round,
            acknowledged_round,
        }
    }
}

fn digest_of(state: &[u8]) -> StateDigest {
    Sha256::digest(state).into()
}
