//! A store's state machine, without I/O: it takes requests, store maps and pages of partition transfers with the time,
//! and says which records to write to the log and what to reply once they are on disk.
//!
//! All times are [`Duration`]s since the process started, by a monotonic clock that the caller reads.
//!
//! # Epochs
//!
//! Once a store has learned an epoch of the store map, it serves no request about a partition from an epoch in which that
//! partition was placed otherwise. The epoch is written to the log before anything is answered in it, so this is true
//! after a restart as well. So an operation that got its quorum in an old epoch comes entirely before each operation of
//! a newer epoch that shares a replica with it, and any two quorums share one.

mod compaction;
mod merge;
mod page;
mod partition;
mod requests;
mod store_map;

use crate::record::Record;
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

/// A program's count is forgotten this long after its last write.
pub const COUNT_RETENTION: Duration = Duration::from_mins(10);
/// Bytes of data above which a page of a partition transfer ends; its last item may exceed it.
pub const PAGE_BYTES: usize = 64 << 10;

/// The outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The reply may be sent at once.
    Reply(StoreReply),
    /// The reply may be sent once this record and all before it are on disk.
    AfterSync {
        /// The record's number.
        record: u64,
        /// The reply.
        reply: StoreReply,
    },
    /// The request comes from a newer epoch: handle it again once the map has arrived, or reply
    /// [`StoreState::stale_epoch_reply`] where it does not arrive in time.
    NewerEpoch,
}

/// Limits of what a store takes.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Bytes of data in memory from which on turns are rejected.
    pub memory_bytes: usize,
    /// Bytes of the log from which on all writes are rejected.
    pub disk_bytes: u64,
}

/// A store's state.
#[derive(Debug)]
pub struct StoreState {
    identity: NodeIdentity,
    limits: StoreLimits,
    /// The highest epoch ever learned; a map below it is ignored.
    epoch: Epoch,
    /// The number of the record that holds it.
    epoch_record: u64,
    map: Option<Rc<StoreMap>>,
    /// By partition.
    partition_epochs: Vec<PartitionEpochs>,
    /// By partition.
    partitions: Vec<PartitionData>,
    next_record: u64,
    /// Records that are not handed to the log yet, the last of them the one before `next_record`.
    pending: Vec<AlignedVec>,
    log_bytes: u64,
    is_disk_full: bool,
}

impl StoreState {
    /// The state of a store with an empty log.
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

    /// Applies a record of the log at a start. What is retained for a time is retained for all of it from `now` on, since
    /// nobody knows for how long the store was down.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`] where the bytes are no record.
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
                let data = &mut self.partitions[partition_of(&turn.id).position()];
                data.put_turn(number, turn, now + Duration::from_millis(keep_ms));
            }
        }
        Ok(())
    }

    /// Sets the number of the next record, once the log is replayed.
    pub fn set_next_record(&mut self, next_record: u64) {
        self.next_record = next_record;
    }

    /// The highest epoch known.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The map in force.
    #[must_use]
    pub fn map(&self) -> Option<&Rc<StoreMap>> {
        self.map.as_ref()
    }

    /// The reply to a request of an epoch that can't be served.
    #[must_use]
    pub fn stale_epoch_reply(&self) -> StoreReply {
        StoreReply::StaleEpoch { epoch: self.epoch }
    }

    /// Records that are to be written to the log, in order, from number `next_record - len` on.
    pub fn take_pending_records(&mut self) -> Vec<AlignedVec> {
        std::mem::take(&mut self.pending)
    }

    /// Whether records wait to be written.
    #[must_use]
    pub fn has_pending_records(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The number that the next record gets.
    #[must_use]
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Updates what is known of the disk: the log's size in bytes, and whether writes fail as the disk is full.
    pub fn set_disk_status(&mut self, log_bytes: u64, is_full: bool) {
        self.log_bytes = log_bytes;
        self.is_disk_full = is_full;
    }

    /// Drops what has expired at `now` in one of the partitions.
    pub fn expire(&mut self, partition: Partition, now: Duration) {
        if let Some(data) = self.partitions.get_mut(partition.position()) {
            data.expire(now);
        }
    }

    /// The sizes of the partitions, by number.
    pub fn sizes(&self) -> impl Iterator<Item = PartitionSize> + '_ {
        self.partitions.iter().map(PartitionData::size)
    }

    /// Bytes of data in memory, an estimate.
    #[must_use]
    pub fn live_bytes(&self) -> usize {
        self.partitions.iter().map(PartitionData::bytes).sum()
    }

    /// Appends a record to those that wait for the log; returns its number.
    fn append(&mut self, record: &Record) -> u64 {
        self.pending.push(record.encode());
        self.next_record += 1;
        self.next_record - 1
    }
}

/// Milliseconds from `now` until something expires; 0 if it has.
fn remaining_ms(expires: Duration, now: Duration) -> u64 {
    duration_ms(expires.saturating_sub(now))
}

/// A duration in whole milliseconds.
fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
