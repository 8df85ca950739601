//! What a control process has stored on its disk, read without starting it.

use super::{
    HostError,
    identity::Identity,
    journal::{Journal, RestoredShard},
};
use opalrun_replication::{RestoredState, SnapshotMetadata};
use opalrun_storage::DataDirectory;
use opalrun_wire::ids::NodeIdentity;

/// A process's identity and its groups as they were found on disk.
pub(crate) struct StoredState {
    pub identity: NodeIdentity,
    /// Number of the members that the groups began with; 0 in a process that joined later.
    pub first_members: usize,
    pub journal_bytes: u64,
    pub shards: Vec<StoredShard>,
}

/// One group as it was found on disk.
pub(crate) struct StoredShard {
    /// Terms, votes and entries.
    pub log: RestoredState,
    /// The state in the snapshot file, if there is one.
    pub snapshot: Option<Vec<u8>>,
}

impl StoredShard {
    /// What the snapshot stands for, if there is one.
    pub fn snapshot_header(&self) -> Option<&SnapshotMetadata> {
        self.snapshot.as_ref().map(|_| &self.log.base)
    }
}

/// Reads a data directory; `None` where no control process has stored anything in it.
pub(crate) fn read(directory: &DataDirectory, shards: u16) -> Result<Option<StoredState>, HostError> {
    let Some(identity) = Identity::load(directory)? else { return Ok(None) };
    let (journal, restored) = Journal::open(directory, usize::from(shards), &identity.genesis)?;
    let shard = |found: RestoredShard| StoredShard { log: found.log, snapshot: found.state };
    Ok(Some(StoredState {
        identity: identity.identity,
        first_members: identity.genesis.members.len(),
        journal_bytes: journal.bytes(),
        shards: restored.into_iter().map(shard).collect(),
    }))
}
