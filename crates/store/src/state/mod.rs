//! The store's state machine, without I/O. Its inputs are requests, store maps and pages of partition transfers, each with
//! the current time; its outputs are the records to write to the log and the replies to send once those are on disk.
//!
//! All times are [`Duration`]s since the start of the process, on a monotonic clock that the caller reads.
//!
//! # Epochs
//!
//! Once a store has learned an epoch of the store map, it serves no request about a partition from an older epoch in which
//! the partition had a different placement. The epoch is written to the log before any reply is sent in it, so this also
//! holds after a restart. Hence an operation that reached its quorum in an old epoch precedes every operation of a newer
//! epoch that shares a replica with it, and any two quorums share a replica.

mod compaction;
mod merge;
mod page;
mod partition;
mod requests;
mod store_map;

use crate::record::Record;
use merge::full_retention;
use opalrun_wire::{
    feed::{STORE_PARTITIONS, StoreMap, partition_of},
    frame::FrameError,
    ids::{Epoch, NodeIdentity, Partition},
    store::StoreReply,
};
pub use page::{PartitionPage, ProgramEntries, TransferredTurn};
pub use partition::PartitionSize;
use partition::{Item, PartitionData};
use rkyv::util::AlignedVec;
use std::{rc::Rc, time::Duration};
use store_map::PartitionEpochs;
pub use store_map::RequiredTransfer;
pub(crate) use store_map::is_placed_on;

/// Retention of a program's count, from its last write.
pub const COUNT_RETENTION: Duration = Duration::from_mins(10);
/// Target size of a page of a partition transfer, in bytes of item data. A page ends with the item that reaches it.
pub const PAGE_BYTES: usize = 64 << 10;

/// Outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The reply may be sent immediately.
    Reply(StoreReply),
    /// The reply may be sent once all records up to `record` are synced to disk.
    AfterSync {
        /// Number of the last record that must be synced.
        record: u64,
        /// Reply to send after the sync.
        reply: StoreReply,
    },
    /// The request is from an epoch that this store has not learned yet. The caller handles it again once a newer map has
    /// arrived, or replies [`StoreState::stale_epoch_reply`] after a time-out.
    NewerEpoch,
}

/// Capacity limits of a store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Size of the data in memory, in bytes, at which writes of turns are rejected.
    pub memory_bytes: usize,
    /// Size of the log, in bytes, at which all writes are rejected.
    pub disk_bytes: u64,
}

/// State of a store.
#[derive(Debug)]
pub struct StoreState {
    identity: NodeIdentity,
    limits: StoreLimits,
    /// Highest epoch ever learned; maps with a lower epoch are ignored.
    epoch: Epoch,
    /// Number of the log record that holds `epoch`.
    epoch_record: u64,
    map: Option<Rc<StoreMap>>,
    /// Placement epochs of each partition, indexed by partition number.
    partition_epochs: Vec<PartitionEpochs>,
    /// Data of each partition, indexed by partition number.
    partitions: Vec<PartitionData>,
    next_record: u64,
    /// Records not handed to the log yet; the last one has the number `next_record - 1`.
    pending: Vec<AlignedVec>,
    log_bytes: u64,
    is_disk_full: bool,
}

impl StoreState {
    /// Creates the state of a store with an empty log.
    #[must_use]
    pub fn new(identity: NodeIdentity, limits: StoreLimits) -> Self {
        Self {
            identity,
            limits,
            epoch: Epoch(0),
            epoch_record: 0,
            map: None,
            partition_epochs: vec![PartitionEpochs::default(); usize::from(STORE_PARTITIONS)],
            partitions: (0..STORE_PARTITIONS).map(|_| PartitionData::default()).collect(),
            next_record: 0,
            pending: Vec::new(),
            log_bytes: 0,
            is_disk_full: false,
        }
    }

    /// Applies a record of the log during the replay at a start. Counts and turns are retained for their full retention
    /// time from `now`, because the store does not know for how long it was down.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`] if the bytes are not a valid record.
    pub fn replay(&mut self, number: u64, bytes: &[u8], now: Duration) -> Result<(), FrameError> {
        self.next_record = number + 1;
        match Record::decode(bytes)? {
            Record::Epoch(epoch) => {
                self.epoch = self.epoch.max(epoch);
                self.epoch_record = number;
            }
            Record::Program { program, entries } => {
                let data = &mut self.partitions[partition_of(&program).position()];
                data.put_program(number, &program, entries, now + COUNT_RETENTION);
            }
            Record::Turn { turn, keep_ms } => {
                // Compaction of earlier builds stored the time that was left, which a later extension exceeded.
                let retention = Duration::from_millis(keep_ms).max(full_retention(&turn));
                let data = &mut self.partitions[partition_of(&turn.id).position()];
                data.put_turn(number, turn, now + retention, retention);
            }
        }
        Ok(())
    }

    /// Sets the number of the next record. To be called after the log is replayed.
    pub fn set_next_record(&mut self, next_record: u64) {
        self.next_record = next_record;
    }

    /// Returns the highest epoch learned so far.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the newest store map received since the start, if any.
    #[must_use]
    pub fn map(&self) -> Option<&Rc<StoreMap>> {
        self.map.as_ref()
    }

    /// Returns the reply to a request that can't be served in its epoch: the highest epoch that this store has learned.
    #[must_use]
    pub fn stale_epoch_reply(&self) -> StoreReply {
        StoreReply::StaleEpoch { epoch: self.epoch }
    }

    /// Takes the pending records, to be written to the log in order. The first has the number `next_record - len`.
    pub fn take_pending_records(&mut self) -> Vec<AlignedVec> {
        std::mem::take(&mut self.pending)
    }

    /// Whether there are records that [`take_pending_records`](Self::take_pending_records) would return.
    #[must_use]
    pub fn has_pending_records(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number that the next record will get.
    #[must_use]
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Updates the status of the disk: the size of the log in bytes, and whether writes fail because the disk is full.
    pub fn set_disk_status(&mut self, log_bytes: u64, is_full: bool) {
        self.log_bytes = log_bytes;
        self.is_disk_full = is_full;
    }

    /// Removes the items of a partition that have expired at `now`.
    pub fn expire(&mut self, partition: Partition, now: Duration) {
        if let Some(data) = self.partitions.get_mut(partition.position()) {
            data.expire(now);
        }
    }

    /// Iterates over the sizes of all partitions, in order of their numbers.
    pub fn sizes(&self) -> impl Iterator<Item = PartitionSize> + '_ {
        self.partitions.iter().map(PartitionData::size)
    }

    /// Returns the estimated size of the data in memory, in bytes.
    #[must_use]
    pub fn live_bytes(&self) -> usize {
        self.partitions.iter().map(PartitionData::bytes).sum()
    }

    /// Appends a record to the pending records; returns its number.
    fn append(&mut self, record: &Record) -> u64 {
        self.pending.push(record.encode());
        self.next_record += 1;
        self.next_record - 1
    }
}

/// Milliseconds from `now` until `expires`; 0 if that has passed.
fn remaining_ms(expires: Duration, now: Duration) -> u64 {
    duration_ms(expires.saturating_sub(now))
}

/// Converts a duration to whole milliseconds.
fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
