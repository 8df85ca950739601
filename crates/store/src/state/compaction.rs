//! Compaction of the log: rewrites the items with the oldest records at the end of the log, so that its oldest segments
//! can be deleted.

use super::{Item, StoreState, partition::PartitionData};
use crate::record::Record;
use opalrun_wire::ids::Epoch;
use rkyv::util::AlignedVec;
use std::time::Duration;

impl StoreState {
    /// Returns the number of the oldest record that is still needed. Records with lower numbers may be deleted.
    #[must_use]
    pub fn oldest_record(&self) -> u64 {
        let items = self.partitions.iter().filter_map(PartitionData::oldest_record);
        let epoch = (self.epoch > Epoch(0)).then_some(self.epoch_record);
        items.chain(epoch).min().unwrap_or(self.next_record)
    }

    /// Rewrites the items with the oldest records, until the rewritten records have about `bytes` bytes or all records that
    /// existed at the call are rewritten. Expired items are removed instead.
    pub fn rewrite_oldest(&mut self, bytes: usize, now: Duration) {
        let end = self.next_record;
        let target = self.pending_bytes() + bytes;
        while self.pending_bytes() < target {
            let oldest = self.oldest_record();
            if oldest >= end {
                return;
            }
            self.rewrite(oldest, now);
        }
    }

    fn rewrite(&mut self, number: u64, now: Duration) {
        if self.epoch > Epoch(0) && self.epoch_record == number {
            self.epoch_record = self.append(&Record::Epoch(self.epoch));
            return;
        }
        for partition in 0..self.partitions.len() {
            match self.partitions[partition].remove(number) {
                Some(item) if item.expires() <= now => {}
                Some(Item::Program(count)) => {
                    let program = count.program.to_string();
                    let record = Record::Program { program, entries: count.entries.clone() };
                    let new = self.append(&record);
                    self.partitions[partition].put_program(new, &count.program, count.entries, count.expires);
                }
                Some(Item::Turn(retained)) => {
                    self.write_turn(retained.turn, retained.expires, retained.stored_retention);
                }
                None => {}
            }
        }
    }

    fn pending_bytes(&self) -> usize {
        self.pending.iter().map(AlignedVec::len).sum()
    }
}
