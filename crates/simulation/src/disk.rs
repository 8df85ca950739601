//! A simulated disk of one replica.

use opalrun_replication::{Entry, HardState, LogIndex, RestoredState, Snapshot, SnapshotMetadata, Write};
use std::rc::Rc;

/// The disk of one replica: all writes that were carried out, as if each were synced at once.
#[derive(Debug, Clone, Default)]
pub struct ReplicaDisk {
    hard_state: HardState,
    snapshot: Option<Rc<Snapshot>>,
    base: SnapshotMetadata,
    entries: Vec<Rc<Entry>>,
}

impl ReplicaDisk {
    /// The disk of a replica that begins after a snapshot, or at a group's start with its first members.
    #[must_use]
    pub fn new(base: SnapshotMetadata) -> Self {
        Self { base, ..Self::default() }
    }

    /// Carries a write out.
    ///
    /// # Panics
    /// Where it leaves a gap between the entries.
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
            assert!(preceding <= self.entries.len(), "a gap on disk");
            self.entries.truncate(preceding);
            self.entries.push(entry.clone());
        }
    }

    /// Replaces the entries that a snapshot of the own state covers by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = (snapshot.metadata.last_included_index - self.base.last_included_index)
            .min(self.entries.len() as u64);
        self.entries.drain(..covered as usize);
        self.base = snapshot.metadata.clone();
        self.snapshot = Some(Rc::new(snapshot));
    }

    /// What a replica finds at its start.
    #[must_use]
    pub fn restored(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state,
            base: self.base.clone(),
            entries: self.entries.iter().map(|entry| (**entry).clone()).collect(),
        }
    }

    /// The state in the snapshot; `None` without a snapshot.
    #[must_use]
    pub fn state(&self) -> Option<&[u8]> {
        self.snapshot.as_ref().map(|snapshot| snapshot.state.as_slice())
    }

    /// The last entry that the snapshot covers.
    #[must_use]
    pub fn base_index(&self) -> LogIndex {
        self.base.last_included_index
    }
}
