//! Handling of requests from gatekeepers and from other stores.

use super::{Item, PAGE_BYTES, RequestOutcome, StoreState, merge::full_retention, remaining_ms};
use opalrun_wire::{
    ResultCode,
    feed::{PartitionReplicas, partition_of},
    ids::{Epoch, NodeIdentity, Partition},
    store::{CountEntry, StoreReply, StoreRequest, Turn, keep_ms},
};
use std::time::Duration;

/// Result of checking the epoch of a request.
enum EpochCheck {
    /// The request can be served; `is_complete` says whether this store's replica of the partition is complete.
    Current { is_complete: bool },
    /// This store has not learned the epoch yet.
    Newer,
    /// The partition had a different placement in that epoch, or has no replica on this store.
    Stale,
}

impl StoreState {
    /// Handles a request at `now`.
    pub fn handle(&mut self, request: &StoreRequest, now: Duration) -> RequestOutcome {
        match request {
            StoreRequest::WriteCount { epoch, program, entry } => {
                let partition = partition_of(program);
                self.serve_in_epoch(*epoch, partition, |state, is_complete| {
                    state.write_count(is_complete, program, *entry, now)
                })
            }
            StoreRequest::PutTurn { epoch, turn } => {
                self.serve_in_epoch(*epoch, partition_of(&turn.id), |state, is_complete| {
                    state.put_turn(is_complete, turn, now)
                })
            }
            StoreRequest::GetTurn { epoch, id } => {
                self.serve_in_epoch(*epoch, partition_of(id), |state, is_complete| {
                    state.get_turn(is_complete, id, now)
                })
            }
            StoreRequest::ExtendTurns { epoch, partition, ids, retention_ms } => {
                self.serve_in_epoch(*epoch, *partition, |state, is_complete| {
                    state.extend_turns(is_complete, *partition, ids, *retention_ms, now)
                })
            }
            StoreRequest::CopyPartition { epoch, partition, cursor } => {
                self.copy_partition(*epoch, *partition, *cursor, now)
            }
        }
    }

    /// Serves a request about a partition if its epoch is current. `serve` is passed whether this store's replica of the
    /// partition is complete.
    fn serve_in_epoch(
        &mut self,
        epoch: Epoch,
        partition: Partition,
        serve: impl FnOnce(&mut Self, bool) -> RequestOutcome,
    ) -> RequestOutcome {
        match self.check_epoch(epoch, partition) {
            EpochCheck::Current { is_complete } => match serve(self, is_complete) {
                // The epoch of a reply must be on disk before the reply is sent.
                RequestOutcome::AfterSync { record, reply } => {
                    RequestOutcome::AfterSync { record: record.max(self.epoch_record), reply }
                }
                handled => handled,
            },
            EpochCheck::Newer => RequestOutcome::NewerEpoch,
            EpochCheck::Stale => RequestOutcome::Reply(self.stale_epoch_reply()),
        }
    }

    /// Checks the epoch of a request about a partition.
    fn check_epoch(&self, epoch: Epoch, partition: Partition) -> EpochCheck {
        let Some(map) = &self.map else { return EpochCheck::Newer };
        if epoch > map.epoch {
            return EpochCheck::Newer;
        }
        let Some(epochs) = self.partition_epochs.get(partition.position()) else {
            return EpochCheck::Stale;
        };
        let replica = map
            .partitions
            .get(partition.position())
            .and_then(|partition| partition.replicas.iter().find(|replica| replica.store == self.identity));
        match replica {
            Some(replica) if epoch >= epochs.unchanged_since => {
                EpochCheck::Current { is_complete: replica.is_complete }
            }
            _ => EpochCheck::Stale,
        }
    }

    /// Serves a page of a partition transfer, if this store is a complete or former replica that has learned the requesting
    /// store's epoch or a newer one: from then on it accepts no write of an older epoch, which the transfer could miss.
    fn copy_partition(
        &mut self,
        epoch: Epoch,
        partition: Partition,
        cursor: u64,
        now: Duration,
    ) -> RequestOutcome {
        let Some(map) = &self.map else { return RequestOutcome::NewerEpoch };
        if epoch > map.epoch {
            return RequestOutcome::NewerEpoch;
        }
        let Some(layout) = map.partitions.get(partition.position()) else {
            return RequestOutcome::Reply(self.stale_epoch_reply());
        };
        if !is_source(layout, self.identity) {
            return RequestOutcome::Reply(self.stale_epoch_reply());
        }
        let reply = self.page(partition, cursor, now);
        // The records of the page must be on disk first. Otherwise a restart could give their numbers, which serve as
        // cursors, to other records.
        RequestOutcome::AfterSync { record: self.next_record.saturating_sub(1), reply }
    }

    /// Returns the page of a partition that begins at the record number `cursor`.
    fn page(&self, partition: Partition, cursor: u64, now: Duration) -> StoreReply {
        let (mut counts, mut turns, mut next) = (Vec::new(), Vec::new(), None);
        let mut bytes = 0;
        for (number, item) in self.partitions[partition.position()].items_from(cursor) {
            if bytes >= PAGE_BYTES {
                next = Some(number);
                break;
            }
            bytes += item.bytes();
            match item {
                Item::Program(count) => counts.push((count.program.to_string(), count.entries.clone())),
                Item::Turn(retained) if retained.expires > now => {
                    turns.push((retained.turn.clone(), remaining_ms(retained.expires, now)));
                }
                Item::Turn(_) => {}
            }
        }
        StoreReply::Page { counts, turns, next, is_complete: true }
    }

    fn write_count(
        &mut self,
        is_complete: bool,
        program: &str,
        entry: CountEntry,
        now: Duration,
    ) -> RequestOutcome {
        if let Some(disk_full_reply) = self.disk_full_reply() {
            return disk_full_reply;
        }
        let record = self.merge_count(program, &[entry], now);
        let known = self.partitions[partition_of(program).position()].program(program);
        let entries = known.map(|(_, count)| count.entries.clone()).unwrap_or_default();
        RequestOutcome::AfterSync { record, reply: StoreReply::Count { is_complete, entries } }
    }

    fn put_turn(&mut self, is_complete: bool, turn: &Turn, now: Duration) -> RequestOutcome {
        if let Some(disk_full_reply) = self.disk_full_reply() {
            return disk_full_reply;
        }
        if self.live_bytes() >= self.limits.memory_bytes {
            return RequestOutcome::Reply(StoreReply::Failed { code: ResultCode::DISK_FULL.0 });
        }
        let record = self.retain_turn(turn.clone(), full_retention(turn), now);
        RequestOutcome::AfterSync { record, reply: StoreReply::Stored { is_complete } }
    }

    fn get_turn(&self, is_complete: bool, id: &str, now: Duration) -> RequestOutcome {
        let retained = self.partitions[partition_of(id).position()].turn(id, now);
        let left_ms = retained.map_or(0, |(_, retained)| remaining_ms(retained.expires, now));
        let turn = retained.map(|(_, retained)| retained.turn.clone());
        RequestOutcome::AfterSync {
            record: self.epoch_record,
            reply: StoreReply::Turn { is_complete, turn, left_ms },
        }
    }

    /// Extends the retention of turns. The reply counts towards a quorum only if this replica has all of the turns, and is
    /// sent once they are on disk, since their own writes may not have waited for this replica.
    ///
    /// An extension beyond what the log states of a turn is written, so it is rejected while the disk is full.
    fn extend_turns(
        &mut self,
        is_complete: bool,
        partition: Partition,
        ids: &[String],
        retention_ms: u64,
        now: Duration,
    ) -> RequestOutcome {
        let retention = Duration::from_millis(keep_ms(retention_ms));
        if self.must_write(partition, ids, retention)
            && let Some(disk_full_reply) = self.disk_full_reply()
        {
            return disk_full_reply;
        }
        let records: Vec<u64> =
            ids.iter().filter_map(|id| self.extend_turn(partition, id, retention, now)).collect();
        let has_all = records.len() == ids.len();
        RequestOutcome::AfterSync {
            record: records.into_iter().max().unwrap_or_default(),
            reply: StoreReply::Stored { is_complete: is_complete && has_all },
        }
    }

    /// Whether the log states less than `retention` of one of the turns.
    fn must_write(&self, partition: Partition, ids: &[String], retention: Duration) -> bool {
        let turns = &self.partitions[partition.position()];
        ids.iter().filter_map(|id| turns.turn_record(id)).any(|record| record.retention < retention)
    }

    /// Returns the reply that rejects a write if the disk is full or the log has reached its size limit.
    fn disk_full_reply(&self) -> Option<RequestOutcome> {
        let is_full = self.is_disk_full || self.log_bytes >= self.limits.disk_bytes;
        is_full.then_some(RequestOutcome::Reply(StoreReply::Failed { code: ResultCode::DISK_FULL.0 }))
    }
}

/// Whether replicas of a partition may catch up from a store, as it is a complete replica or a former one.
fn is_source(partition: &PartitionReplicas, store: NodeIdentity) -> bool {
    partition.sources.contains(&store)
        || partition.replicas.iter().any(|replica| replica.store == store && replica.is_complete)
}
