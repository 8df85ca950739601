//! The files of this process's groups: one journal that all groups share, so that one sync covers all pending writes,
//! and a snapshot file for each shard.
//!
//! The logs of the shards are independent: each record has the number of its shard, and each shard has its own terms,
//! indexes and snapshots. A snapshot received from another process is written in two steps: first an
//! [`Content::Installing`] record in the journal, then the snapshot file. On replay the record clears the shard's
//! earlier entries only if the file holds that snapshot or a later one.

use super::{HostError, error};
use opalrun_replication::{
    Entry, HardState, LogIndex, Membership, RestoredState, Snapshot, SnapshotMetadata, Term, Write,
};
use opalrun_storage::{DataDirectory, RecordLog, RecordLogOptions, StorageError, VersionedFile};
use opalrun_wire::{
    frame::{decode, encode},
    ids::Shard,
};
use rkyv::{Archive, Deserialize, Serialize};
use snafu::ResultExt;
use std::{collections::BTreeMap, rc::Rc};

/// Name of the journal in the data directory.
const JOURNAL_NAME: &str = "journal";
/// Format version of the snapshot files.
const SNAPSHOT_FORMAT: u32 = 2;

/// A record of the journal.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) struct Record {
    pub shard: Shard,
    pub content: Content,
}

/// The content of a journal record.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) enum Content {
    /// A new current term or vote.
    HardState(HardState),
    /// A log entry; it replaces the entry at its index and removes all after it.
    Entry(Rc<Entry>),
    /// A snapshot up to this log index replaces all entries, once its file is written.
    Installing(LogIndex),
}

/// A shard's state as read from the disk.
#[derive(Debug, Default)]
pub(super) struct RestoredShard {
    pub log: RestoredState,
    /// Encoded state of the state machine as of the log's base; `None` without a snapshot.
    pub state: Option<Vec<u8>>,
}

/// One write operation for the disk thread. Holds only encoded bytes, so that it can be sent to that thread.
#[derive(Debug, Clone)]
pub(super) enum Step {
    /// Appends encoded records to the journal.
    Append(Vec<Vec<u8>>),
    /// Writes a snapshot received from another process, after the record that announces it.
    Install { shard: Shard, installing: Vec<u8>, snapshot: Vec<u8> },
    /// Writes snapshots of this process's state, and replaces the journal by the records that they don't cover.
    Checkpoint { snapshots: Vec<(Shard, Vec<u8>)>, records: Vec<Vec<u8>> },
}

/// Returns the steps that carry out a write of a replica.
pub(super) fn steps_of(shard: Shard, write: &Write) -> Vec<Step> {
    let mut steps = Vec::new();
    if let Some(snapshot) = &write.snapshot {
        let installing = encode_record(shard, Content::Installing(snapshot.metadata.last_included_index));
        steps.push(Step::Install { shard, installing, snapshot: encode(&**snapshot).to_vec() });
    }
    steps.push(Step::Append(records_of(shard, write.hard_state, &write.entries)));
    steps
}

/// Returns the encoded records of a term and vote and of log entries.
pub(super) fn records_of(shard: Shard, hard_state: Option<HardState>, entries: &[Rc<Entry>]) -> Vec<Vec<u8>> {
    let hard_state = hard_state.map(|hard_state| encode_record(shard, Content::HardState(hard_state)));
    let entries = entries.iter().map(|entry| encode_record(shard, Content::Entry(entry.clone())));
    hard_state.into_iter().chain(entries).collect()
}

fn encode_record(shard: Shard, content: Content) -> Vec<u8> {
    encode(&Record { shard, content }).to_vec()
}

/// The journal and the snapshot files of all groups of this process.
pub(super) struct Journal {
    log: RecordLog,
    snapshots: Vec<VersionedFile>,
}

impl Journal {
    /// Opens the files and reads the state of all shards. A shard without a snapshot starts with the membership
    /// `genesis`.
    pub fn open(
        directory: &DataDirectory,
        shards: usize,
        genesis: &Membership,
    ) -> Result<(Self, Vec<RestoredShard>), HostError> {
        let mut snapshots = Vec::new();
        let mut readers = Vec::new();
        for shard in 0..shards {
            let file = VersionedFile::new(directory, format!("shard-{shard}.snapshot"), SNAPSHOT_FORMAT);
            readers.push(ShardReader::new(read_snapshot(&file)?));
            snapshots.push(file);
        }
        let mut unreadable = None;
        let log = RecordLog::open(directory, JOURNAL_NAME, RecordLogOptions::default(), |_, bytes| {
            match decode::<Record>(bytes) {
                Ok(record) => {
                    if let Some(reader) = readers.get_mut(record.shard.position()) {
                        reader.replay(record.content);
                    }
                }
                Err(source) => unreadable = Some(source),
            }
        })
        .context(error::StorageSnafu)?;
        if let Some(source) = unreadable {
            return Err(HostError::Unreadable { what: "a record of the journal", source });
        }
        let mut journal = Self { log, snapshots };
        let needs_checkpoint = readers.iter().any(|reader| reader.has_pending_install);
        let mut restored = Vec::new();
        for (shard, reader) in readers.into_iter().enumerate() {
            restored.push(reader.finish(Shard(shard as u16), genesis)?);
        }
        if needs_checkpoint {
            journal.rewrite(&restored).context(error::StorageSnafu)?;
        }
        Ok((journal, restored))
    }

    /// Carries out steps. All of them are durable when this returns.
    pub fn carry_out(&mut self, steps: &[Step]) -> Result<(), StorageError> {
        for step in steps {
            match step {
                Step::Append(records) => self.append(records),
                Step::Install { shard, installing, snapshot } => {
                    self.log.append(installing);
                    self.log.sync()?;
                    self.snapshots[shard.position()].write(snapshot)?;
                }
                Step::Checkpoint { snapshots, records } => {
                    self.log.sync()?;
                    for (shard, snapshot) in snapshots {
                        self.snapshots[shard.position()].write(snapshot)?;
                    }
                    self.replace(records)?;
                }
            }
        }
        self.log.sync()
    }

    /// Returns the size of the journal in bytes.
    pub fn bytes(&self) -> u64 {
        self.log.bytes()
    }

    fn append(&mut self, records: &[Vec<u8>]) {
        for record in records {
            self.log.append(record);
        }
    }

    /// Replaces the journal by the given records.
    fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let first = self.log.next_record();
        self.log.roll();
        self.append(records);
        self.log.sync()?;
        self.log.drop_before(first)
    }

    /// Rewrites the journal without the [`Content::Installing`] records whose snapshot file was not written.
    /// Otherwise such a record would clear entries at a later replay, once a later snapshot has been written.
    fn rewrite(&mut self, shards: &[RestoredShard]) -> Result<(), StorageError> {
        let mut records = Vec::new();
        for (shard, restored) in shards.iter().enumerate() {
            let entries: Vec<_> = restored.log.entries.iter().cloned().map(Rc::new).collect();
            records.extend(records_of(Shard(shard as u16), Some(restored.log.hard_state), &entries));
        }
        self.replace(&records)
    }
}

fn read_snapshot(file: &VersionedFile) -> Result<Option<Snapshot>, HostError> {
    match file.read().context(error::StorageSnafu)? {
        Some(file) => {
            decode(&file.content).map(Some).context(error::UnreadableSnafu { what: "a snapshot file" })
        }
        None => Ok(None),
    }
}

/// Rebuilds the state of a shard from its snapshot and its journal records.
struct ShardReader {
    snapshot: Option<Snapshot>,
    hard_state: HardState,
    entries: BTreeMap<LogIndex, Rc<Entry>>,
    /// Whether the journal has an [`Content::Installing`] record whose snapshot file was not written.
    has_pending_install: bool,
}

impl ShardReader {
    fn new(snapshot: Option<Snapshot>) -> Self {
        Self {
            snapshot,
            hard_state: HardState::default(),
            entries: BTreeMap::new(),
            has_pending_install: false,
        }
    }

    fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.metadata.last_included_index)
    }

    fn replay(&mut self, content: Content) {
        match content {
            Content::HardState(hard_state) => self.hard_state = hard_state,
            Content::Entry(entry) => {
                self.entries.split_off(&entry.index);
                self.entries.insert(entry.index, entry);
            }
            Content::Installing(index) if index <= self.snapshot_index() => self.entries.clear(),
            Content::Installing(_) => self.has_pending_install = true,
        }
    }

    fn finish(self, shard: Shard, genesis: &Membership) -> Result<RestoredShard, HostError> {
        let (base, state) = match self.snapshot {
            Some(snapshot) => (snapshot.metadata, Some(snapshot.state)),
            None => (
                SnapshotMetadata {
                    last_included_index: LogIndex(0),
                    last_included_term: Term(0),
                    membership: genesis.clone(),
                },
                None,
            ),
        };
        let mut entries = Vec::new();
        for (index, entry) in
            self.entries.into_iter().skip_while(|(index, _)| *index <= base.last_included_index)
        {
            let expected = base.last_included_index + 1 + entries.len() as u64;
            if index != expected {
                return Err(HostError::Gap { shard, index: expected });
            }
            entries.push(Rc::unwrap_or_clone(entry));
        }
        Ok(RestoredShard { log: RestoredState { hard_state: self.hard_state, base, entries }, state })
    }
}
