//! Reads the stored state of a control process without starting it.

use super::{
    HostError,
    identity::Identity,
    journal::{Journal, RestoredShard},
};
use opalrun_replication::{RestoredState, SnapshotMetadata};
use opalrun_storage::DataDirectory;
use opalrun_wire::ids::NodeIdentity;

/// A process's identity and its groups, as read from the disk.
pub(crate) struct StoredState {
    pub identity: NodeIdentity,
    /// Number of members with which the groups were bootstrapped; 0 in a process that joined later.
    pub first_members: usize,
    /// Size of the journal in bytes.
    pub journal_bytes: u64,
    /// State of each group, indexed by shard number.
    pub shards: Vec<StoredShard>,
}

/// One group, as read from the disk.
pub(crate) struct StoredShard {
    /// Current term, vote and log entries.
    pub log: RestoredState,
    /// Encoded state in the snapshot file, if there is one.
    pub snapshot: Option<Vec<u8>>,
}

impl StoredShard {
    /// Returns the metadata of the snapshot, if there is one.
    pub fn snapshot_header(&self) -> Option<&SnapshotMetadata> {
        self.snapshot.as_ref().map(|_| &self.log.base)
    }
}

/// Reads a data directory; returns `None` if no control process has stored its state in it.
pub(crate) fn read(directory: &DataDirectory, shards: u16) -> Result<Option<StoredState>, HostError> {
    let Some(identity) = Identity::load(directory)? else { return Ok(None) };
    let (journal, restored) = Journal::open(directory, usize::from(shards), &identity.genesis)?;
    let shard = |restored: RestoredShard| StoredShard { log: restored.log, snapshot: restored.state };
    Ok(Some(StoredState {
        identity: identity.identity,
        first_members: identity.genesis.members.len(),
        journal_bytes: journal.bytes(),
        shards: restored.into_iter().map(shard).collect(),
    }))
}
