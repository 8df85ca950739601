//! Model of a store with a disk that loses unsynced records on a restart.

use opalrun_store::{
    state::{PartitionPage, RequestOutcome, StoreLimits, StoreState},
    transfer::TransferPlan,
};
use opalrun_wire::{
    feed::StoreMap,
    ids::{Epoch, NodeIdentity, Partition},
    store::{StoreReply, StoreRequest},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 1 << 30, disk_bytes: 1 << 30 };

/// Recipient of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// An operation of a holder, in its first or second round.
    Operation { holder: usize, operation: u64, second_round: bool },
    /// The transfer of a partition to a store, which began in `epoch`.
    Transfer { store: NodeIdentity, partition: Partition, epoch: Epoch },
}

pub struct Node {
    pub identity: NodeIdentity,
    pub state: StoreState,
    pub transfers: BTreeMap<Partition, RunningTransfer>,
    disk: Vec<Vec<u8>>,
    /// Number of the first record that is not deleted from the log.
    first_record: usize,
    unsynced: Vec<Vec<u8>>,
    unsent_replies: Vec<(u64, Requester, StoreReply)>,
}

pub struct RunningTransfer {
    pub epoch: Epoch,
    pub replicas_since: Epoch,
    pub plan: TransferPlan,
    /// Number of the last record of its merged pages, which must be synced before the transfer is complete.
    pub last_record: u64,
}

impl Node {
    pub fn new(identity: NodeIdentity) -> Self {
        Self {
            identity,
            state: StoreState::new(identity, LIMITS),
            transfers: BTreeMap::new(),
            disk: Vec::new(),
            first_record: 0,
            unsynced: Vec::new(),
            unsent_replies: Vec::new(),
        }
    }

    /// Restarts the store: it loses unsynced records, and its map until it is notified again.
    pub fn restart(&mut self, now: Duration) {
        self.unsynced.clear();
        self.unsent_replies.clear();
        self.transfers.clear();
        self.state = StoreState::new(self.identity, LIMITS);
        for (number, record) in self.disk.iter().enumerate().skip(self.first_record) {
            self.state.replay(number as u64, record, now).unwrap();
        }
        self.state.set_next_record(self.disk.len() as u64);
    }

    pub fn set_map(&mut self, map: &Rc<StoreMap>) {
        self.state.set_map(map.clone());
        self.collect();
        let required = self.state.required_transfers();
        self.transfers.retain(|partition, transfer| {
            required.iter().any(|required| {
                required.partition == *partition && required.replicas_since == transfer.replicas_since
            })
        });
    }

    /// Serves a request; returns the reply if it may be sent immediately.
    pub fn handle(
        &mut self,
        requester: Requester,
        request: &StoreRequest,
        now: Duration,
    ) -> Option<StoreReply> {
        let handled = self.state.handle(request, now);
        self.collect();
        match handled {
            RequestOutcome::Reply(reply) => Some(reply),
            RequestOutcome::AfterSync { record, reply } if record < self.disk.len() as u64 => Some(reply),
            RequestOutcome::AfterSync { record, reply } => {
                self.unsent_replies.push((record, requester, reply));
                None
            }
            RequestOutcome::NewerEpoch => Some(self.state.stale_epoch_reply()),
        }
    }

    /// Syncs all records and deletes those that are no longer needed; returns the replies that may be sent now.
    pub fn sync(&mut self) -> Vec<(Requester, StoreReply)> {
        self.disk.append(&mut self.unsynced);
        self.first_record = usize::try_from(self.state.oldest_record()).unwrap();
        let synced = self.disk.len() as u64;
        let (sendable, unsent_replies) = std::mem::take(&mut self.unsent_replies)
            .into_iter()
            .partition::<Vec<_>, _>(|(record, _, _)| *record < synced);
        self.unsent_replies = unsent_replies;
        sendable.into_iter().map(|(_, requester, reply)| (requester, reply)).collect()
    }

    /// Starts the required transfers among these partitions.
    pub fn start_transfers(&mut self, partitions: &[Partition]) {
        let Some(map) = self.state.map().cloned() else { return };
        for required in self.state.required_transfers() {
            if partitions.contains(&required.partition) {
                let layout = &map.partitions[required.partition.position()];
                self.transfers.entry(required.partition).or_insert_with(|| RunningTransfer {
                    epoch: map.epoch,
                    replicas_since: required.replicas_since,
                    plan: TransferPlan::new(layout, self.identity),
                    last_record: 0,
                });
            }
        }
    }

    /// Merges a page of a running transfer.
    pub fn merge_page(
        &mut self,
        partition: Partition,
        epoch: Epoch,
        source: NodeIdentity,
        reply: StoreReply,
        now: Duration,
    ) {
        let StoreReply::Page { counts, turns, next, is_complete: true } = reply else { return };
        if self.transfers.get(&partition).is_none_or(|transfer| transfer.epoch != epoch) {
            return;
        }
        let record = self.state.merge_page(PartitionPage::from_wire(counts, turns), now);
        self.collect();
        if let Some(transfer) = self.transfers.get_mut(&partition) {
            transfer.plan.record_page(source, next);
            transfer.last_record = record;
        }
    }

    /// Returns the lowest epoch in which a transfer of these partitions began, once all of them are complete and synced.
    pub fn transferred_epoch(&self, partitions: &[Partition]) -> Option<Epoch> {
        let synced = self.disk.len() as u64;
        let is_done =
            |transfer: &&RunningTransfer| transfer.plan.is_complete() && transfer.last_record < synced;
        let epochs: Vec<Epoch> = partitions
            .iter()
            .filter_map(|partition| {
                self.transfers.get(partition).filter(is_done).map(|transfer| transfer.epoch)
            })
            .collect();
        (epochs.len() == partitions.len()).then(|| epochs.into_iter().min().unwrap_or_default())
    }

    /// Runs a compaction step, which moves records to the end of the log.
    pub fn compact(&mut self, now: Duration) {
        self.state.rewrite_oldest(1, now);
        self.collect();
    }

    /// Removes the items of these partitions that have expired.
    pub fn expire(&mut self, partitions: &[Partition], now: Duration) {
        for partition in partitions {
            self.state.expire(*partition, now);
        }
    }

    fn collect(&mut self) {
        self.unsynced.extend(self.state.take_pending_records().iter().map(|record| record.to_vec()));
    }
}
