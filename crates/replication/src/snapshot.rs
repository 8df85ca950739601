//! Snapshots of the state machine, which replace a prefix of the log (Raft §7).

use crate::{LogIndex, Membership, Term};
use rkyv::{Archive, Deserialize, Serialize};

/// The maximum size of the state in a snapshot, in bytes. Chunks that state a larger size are dropped.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// Identifies the log prefix that a snapshot replaces.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct SnapshotMetadata {
    /// The index of the last entry that the snapshot replaces; 0 at the start of a group.
    pub last_included_index: LogIndex,
    /// The term of that entry.
    pub last_included_term: Term,
    /// The membership in effect at that entry.
    pub membership: Membership,
}

/// The state of the state machine after a log entry was applied.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The log prefix that the snapshot replaces.
    pub metadata: SnapshotMetadata,
    /// The encoded state.
    pub state: Vec<u8>,
}
