//! The simulated disk of one replica.

use opalrun_replication::{Entry, HardState, LogIndex, RestoredState, Snapshot, SnapshotMetadata, Write};
use std::rc::Rc;

/// The simulated disk of one replica. It holds every write passed to [`write`](Self::write) as if it were synced
/// immediately; the caller simulates delayed and lost writes.
#[derive(Debug, Clone, Default)]
pub struct ReplicaDisk {
    hard_state: HardState,
    snapshot: Option<Rc<Snapshot>>,
    base: SnapshotMetadata,
    entries: Vec<Rc<Entry>>,
}

impl ReplicaDisk {
    /// Creates the disk of a replica that starts after a snapshot, or at the start of a group with the initial membership.
    #[must_use]
    pub fn new(base: SnapshotMetadata) -> Self {
        Self { base, ..Self::default() }
    }

    /// Carries out a write.
    ///
    /// # Panics
    /// If the write leaves a gap between log entries.
    pub fn write(&mut self, write: &Write) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &write.snapshot {
            self.base = snapshot.metadata.clone();
            self.entries.clear();
            self.snapshot = Some(snapshot.clone());
        }
        for entry in &write.entries {
            let preceding = (entry.index - self.base.last_included_index - 1) as usize;
            assert!(preceding <= self.entries.len(), "write leaves a gap between log entries");
            self.entries.truncate(preceding);
            self.entries.push(entry.clone());
        }
    }

    /// Replaces the log entries up to the snapshot's last included index with a snapshot of this replica's own state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = (snapshot.metadata.last_included_index - self.base.last_included_index)
            .min(self.entries.len() as u64);
        self.entries.drain(..covered as usize);
        self.base = snapshot.metadata.clone();
        self.snapshot = Some(Rc::new(snapshot));
    }

    /// Returns the state that a replica restores when it starts.
    #[must_use]
    pub fn restored(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state,
            base: self.base.clone(),
            entries: self.entries.iter().map(|entry| (**entry).clone()).collect(),
        }
    }

    /// Returns the state in the snapshot; `None` if there is no snapshot.
    #[must_use]
    pub fn state(&self) -> Option<&[u8]> {
        self.snapshot.as_ref().map(|snapshot| snapshot.state.as_slice())
    }

    /// Returns the index of the last entry that the snapshot replaces.
    #[must_use]
    pub fn base_index(&self) -> LogIndex {
        self.base.last_included_index
    }
}
