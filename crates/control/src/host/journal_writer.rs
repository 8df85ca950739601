//! Queue of writes to the journal: the disk thread processes one job at a time, later writes are batched into the
//! next job.

use super::{
    disk::DiskThread,
    groups::Checkpoint,
    journal::{self, Step},
};
use opalrun_replication::Write;
use opalrun_wire::ids::Shard;
use std::collections::BTreeMap;

/// Number of bytes by which the journal grows after a checkpoint before the next one is due.
const CHECKPOINT_BYTES: u64 = 4 << 20;

/// Submits writes to the disk thread. All writes queued while a job runs become one job with one sync.
pub(super) struct JournalWriter {
    disk: DiskThread,
    queued: Job,
    /// The job submitted to the disk thread, without its steps, which were moved there.
    in_flight: Option<Job>,
    /// Size of the journal in bytes after the last checkpoint; `None` while a checkpoint is queued or in flight.
    checkpoint_bytes: Option<u64>,
    /// Size of the journal in bytes after the last completed job.
    journal_bytes: u64,
}

/// Steps that become durable with one sync.
#[derive(Default)]
struct Job {
    steps: Vec<Step>,
    /// Sequence number of the newest write of each shard.
    writes: BTreeMap<Shard, u64>,
    has_checkpoint: bool,
}

/// The writes that a completed job has made durable.
pub(super) struct SyncedJob {
    /// Sequence number of the newest write of each shard.
    pub writes: BTreeMap<Shard, u64>,
    pub has_checkpoint: bool,
}

impl JournalWriter {
    pub fn new(disk: DiskThread) -> Self {
        Self { disk, queued: Job::default(), in_flight: None, checkpoint_bytes: Some(0), journal_bytes: 0 }
    }

    /// Returns the size of the journal in bytes after the last completed job.
    pub fn journal_bytes(&self) -> u64 {
        self.journal_bytes
    }

    /// Queues a write of a group for the next job.
    pub fn queue_write(&mut self, shard: Shard, write: &Write) {
        self.queued.steps.extend(journal::steps_of(shard, write));
        self.queued.writes.insert(shard, write.sequence);
    }

    /// Returns whether a checkpoint may be queued, because none is queued or in flight.
    pub fn can_checkpoint(&self) -> bool {
        self.checkpoint_bytes.is_some()
    }

    /// Returns whether the journal has grown by more than [`CHECKPOINT_BYTES`] since the last checkpoint.
    pub fn is_checkpoint_due(&self) -> bool {
        self.checkpoint_bytes.is_some_and(|bytes| self.journal_bytes > bytes + CHECKPOINT_BYTES)
    }

    /// Queues a checkpoint, which replaces the journal, for the next job.
    pub fn queue_checkpoint(&mut self, Checkpoint { snapshots, records }: Checkpoint) {
        self.checkpoint_bytes = None;
        self.queued.steps.push(Step::Checkpoint { snapshots, records });
        self.queued.has_checkpoint = true;
    }

    /// Submits the queued writes to the disk thread, if it is idle.
    pub fn submit(&mut self) {
        if self.in_flight.is_some() || self.queued.steps.is_empty() {
            return;
        }
        let mut job = std::mem::take(&mut self.queued);
        if self.disk.submit(std::mem::take(&mut job.steps)) {
            self.in_flight = Some(job);
        }
    }

    /// Records that the job in flight is durable and the size of the journal in bytes. Returns the writes of that
    /// job.
    pub fn synced(&mut self, journal_bytes: u64) -> SyncedJob {
        let job = self.in_flight.take().unwrap_or_default();
        if job.has_checkpoint {
            self.checkpoint_bytes = Some(journal_bytes);
        }
        self.journal_bytes = journal_bytes;
        SyncedJob { writes: job.writes, has_checkpoint: job.has_checkpoint }
    }
}
