//! What is on its way to the journal: one job at a time is with the disk's thread, the rest is queued.

use super::{
    disk::DiskThread,
    groups::Checkpoint,
    journal::{self, Step},
};
use opalrun_replication::Write;
use opalrun_wire::ids::Shard;
use std::collections::BTreeMap;

/// A checkpoint is due once the journal has grown by this many bytes since the last one.
const CHECKPOINT_BYTES: u64 = 4 << 20;

/// Hands writes to the disk's thread, as one job with one sync for all that came while the job before it ran.
pub(super) struct JournalWriter {
    disk: DiskThread,
    queued: Job,
    /// The job that the disk's thread works on; it has taken the steps.
    in_flight: Option<Job>,
    /// Bytes of the journal after the last checkpoint; `None` while one is queued or in flight.
    checkpoint_bytes: Option<u64>,
    /// Bytes of the journal after the last job.
    journal_bytes: u64,
}

/// Steps that are synced together.
#[derive(Default)]
struct Job {
    steps: Vec<Step>,
    /// The sequence of the newest write of each shard.
    writes: BTreeMap<Shard, u64>,
    has_checkpoint: bool,
}

/// What a job has made durable.
pub(super) struct SyncedJob {
    /// The sequence of the newest write of each shard.
    pub writes: BTreeMap<Shard, u64>,
    pub has_checkpoint: bool,
}

impl JournalWriter {
    pub fn new(disk: DiskThread) -> Self {
        Self { disk, queued: Job::default(), in_flight: None, checkpoint_bytes: Some(0), journal_bytes: 0 }
    }

    /// Bytes of the journal after the last job.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Queues a write of a group.
    pub fn queue_write(&mut self, shard: Shard, write: &Write) {
        self.queued.steps.extend(journal::steps_of(shard, write));
        self.queued.writes.insert(shard, write.sequence);
    }

    /// Whether a checkpoint may be queued: none is queued or in flight.
    pub fn can_checkpoint(&self) -> bool {
        self.checkpoint_bytes.is_some()
    }

    /// Whether the journal has grown so much since the last checkpoint that another one is due.
    pub fn is_checkpoint_due(&self) -> bool {
        self.checkpoint_bytes.is_some_and(|bytes| self.journal_bytes > bytes + CHECKPOINT_BYTES)
    }

    /// Queues a checkpoint, which replaces the journal.
    pub fn queue_checkpoint(&mut self, Checkpoint { snapshots, records }: Checkpoint) {
        self.checkpoint_bytes = None;
        self.queued.steps.push(Step::Checkpoint { snapshots, records });
        self.queued.has_checkpoint = true;
    }

    /// Hands what is queued to the disk's thread, if that is idle.
    pub fn submit(&mut self) {
        if self.in_flight.is_some() || self.queued.steps.is_empty() {
            return;
        }
        let mut job = std::mem::take(&mut self.queued);
        if self.disk.submit(std::mem::take(&mut job.steps)) {
            self.in_flight = Some(job);
        }
    }

    /// The job in flight is synced; the journal has this many bytes now. Returns what is durable by it.
    pub fn synced(&mut self, journal_bytes: u64) -> SyncedJob {
        let job = self.in_flight.take().unwrap_or_default();
        if job.has_checkpoint {
            self.checkpoint_bytes = Some(journal_bytes);
        }
        self.journal_bytes = journal_bytes;
        SyncedJob { writes: job.writes, has_checkpoint: job.has_checkpoint }
    }
}
