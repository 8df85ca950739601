//! A store with a disk that loses what was not synced.

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
pub const NOW: Duration = Duration::from_secs(1);

/// Whom a reply goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requester {
    /// An operation of a holder, and the round it belongs to.
    Operation { holder: usize, operation: u64, second_round: bool },
    /// The copy of a partition at a store that began in an epoch.
    Copy { store: NodeIdentity, partition: Partition, epoch: Epoch },
}

pub struct Node {
    pub identity: NodeIdentity,
    pub state: StoreState,
    pub transfers: BTreeMap<Partition, RunningTransfer>,
    disk: Vec<Vec<u8>>,
    unsynced: Vec<Vec<u8>>,
    waiting: Vec<(u64, Requester, StoreReply)>,
}

pub struct RunningTransfer {
    pub epoch: Epoch,
    pub replicas_since: Epoch,
    pub plan: TransferPlan,
    /// Its pages are synced up to the record after which it counts.
    pub last_record: u64,
}

impl Node {
    pub fn new(identity: NodeIdentity) -> Self {
        Self {
            identity,
            state: StoreState::new(identity, LIMITS),
            transfers: BTreeMap::new(),
            disk: Vec::new(),
            unsynced: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Loses what was not synced and starts again. It learns the map anew.
    pub fn restart(&mut self) {
        self.unsynced.clear();
        self.waiting.clear();
        self.transfers.clear();
        self.state = StoreState::new(self.identity, LIMITS);
        for (number, record) in self.disk.iter().enumerate() {
            self.state.replay(number as u64, record, NOW).unwrap();
        }
        self.state.set_next_record(self.disk.len() as u64);
    }

    pub fn set_map(&mut self, map: &Rc<StoreMap>) {
        self.state.set_map(map.clone());
        self.collect();
        let needed = self.state.required_transfers();
        self.transfers.retain(|partition, copy| {
            needed
                .iter()
                .any(|needed| needed.partition == *partition && needed.replicas_since == copy.replicas_since)
        });
    }

    /// Serves a request; answers that may go out at once are returned.
    pub fn handle(&mut self, requester: Requester, request: &StoreRequest) -> Option<StoreReply> {
        let handled = self.state.handle(request, NOW);
        self.collect();
        match handled {
            RequestOutcome::Reply(reply) => Some(reply),
            RequestOutcome::AfterSync { record, reply } if record < self.disk.len() as u64 => Some(reply),
            RequestOutcome::AfterSync { record, reply } => {
                self.waiting.push((record, requester, reply));
                None
            }
            RequestOutcome::NewerEpoch => Some(self.state.stale_epoch_reply()),
        }
    }

    /// Syncs everything; returns the answers that may go out now.
    pub fn sync(&mut self) -> Vec<(Requester, StoreReply)> {
        self.disk.append(&mut self.unsynced);
        let synced = self.disk.len() as u64;
        let (out, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<_>, _>(|(record, _, _)| *record < synced);
        self.waiting = waiting;
        out.into_iter().map(|(_, requester, reply)| (requester, reply)).collect()
    }

    /// Begins transfers that are needed of these partitions.
    pub fn start_transfers(&mut self, partitions: &[Partition]) {
        let Some(map) = self.state.map().cloned() else { return };
        for needed in self.state.required_transfers() {
            if partitions.contains(&needed.partition) {
                let layout = &map.partitions[needed.partition.position()];
                self.transfers.entry(needed.partition).or_insert_with(|| RunningTransfer {
                    epoch: map.epoch,
                    replicas_since: needed.replicas_since,
                    plan: TransferPlan::new(layout, self.identity),
                    last_record: 0,
                });
            }
        }
    }

    /// Takes in a page of a copy.
    pub fn take_page(&mut self, partition: Partition, epoch: Epoch, source: NodeIdentity, reply: StoreReply) {
        let StoreReply::Page { counts, turns, next, is_complete: true } = reply else { return };
        if self.transfers.get(&partition).is_none_or(|copy| copy.epoch != epoch) {
            return;
        }
        let record = self.state.merge_page(PartitionPage::from_wire(counts, turns), NOW);
        self.collect();
        if let Some(copy) = self.transfers.get_mut(&partition) {
            copy.plan.record_page(source, next);
            copy.last_record = record;
        }
    }

    /// The epoch of the oldest of the transfers, once all of these partitions are copied and synced.
    pub fn transferred_epoch(&self, partitions: &[Partition]) -> Option<Epoch> {
        let synced = self.disk.len() as u64;
        let done = |copy: &&RunningTransfer| copy.plan.is_complete() && copy.last_record < synced;
        let epochs: Vec<Epoch> = partitions
            .iter()
            .filter_map(|partition| self.transfers.get(partition).filter(done).map(|copy| copy.epoch))
            .collect();
        (epochs.len() == partitions.len()).then(|| epochs.into_iter().min().unwrap_or_default())
    }

    /// Cleans the log as the store does, so that records move.
    pub fn rewrite(&mut self) {
        self.state.rewrite_oldest(1, NOW);
        self.collect();
    }

    fn collect(&mut self) {
        self.unsynced.extend(self.state.take_pending_records().iter().map(|record| record.to_vec()));
    }
}
