//! Handling of store maps: the highest epoch learned, the epoch in which the placement of each partition last changed, and
//! the partitions that this store has to catch up on.

use super::{StoreState, partition::PartitionData};
use crate::record::Record;
use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::rc::Rc;

/// Epochs in which the placement of a partition last changed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PartitionEpochs {
    /// Epoch of the last change of the placement: of the replicas, of their completeness, or of the sources.
    pub(super) unchanged_since: Epoch,
    /// Epoch of the last change of the set of stores that are replicas, whether complete or not.
    replicas_since: Epoch,
}

/// A partition of which this store is an incomplete replica, so that it has to catch up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredTransfer {
    /// Number of the partition.
    pub partition: Partition,
    /// Epoch in which the replicas of the partition last changed. A transfer that began in an older epoch is not valid.
    pub replicas_since: Epoch,
}

impl StoreState {
    /// Applies a store map if it is newer than the current one; returns whether it was. Discards the data of partitions
    /// that are no longer placed on this store.
    pub fn set_map(&mut self, map: Rc<StoreMap>) -> bool {
        let current = self.map.as_ref().map(|map| map.epoch);
        if map.epoch < self.epoch || current.is_some_and(|current| map.epoch <= current) {
            return false;
        }
        self.update_partition_epochs(&map);
        if map.epoch > self.epoch {
            self.epoch = map.epoch;
            self.epoch_record = self.append(&Record::Epoch(map.epoch));
        }
        self.map = Some(map);
        self.drop_misplaced_partitions();
        true
    }

    /// Returns the partitions of which this store is an incomplete replica.
    #[must_use]
    pub fn required_transfers(&self) -> Vec<RequiredTransfer> {
        let Some(map) = &self.map else { return Vec::new() };
        let is_incomplete = |partition: &PartitionReplicas| {
            partition.replicas.iter().any(|replica| replica.store == self.identity && !replica.is_complete)
        };
        map.partitions
            .iter()
            .zip(0_u16..)
            .filter(|(partition, _)| is_incomplete(partition))
            .map(|(_, number)| RequiredTransfer {
                partition: Partition(number),
                replicas_since: self.partition_epochs[usize::from(number)].replicas_since,
            })
            .collect()
    }

    fn update_partition_epochs(&mut self, map: &StoreMap) {
        let previous = self.map.as_ref().filter(|previous| previous.epoch.next() == map.epoch);
        for (number, epochs) in self.partition_epochs.iter_mut().enumerate() {
            let old = previous.and_then(|map| map.partitions.get(number));
            let new = map.partitions.get(number);
            if old != new {
                epochs.unchanged_since = map.epoch;
            }
            if old.map(replica_stores) != new.map(replica_stores) {
                epochs.replicas_since = map.epoch;
            }
            // Without the map of the preceding epoch, a change of the placement in between can't be ruled out.
            if previous.is_none() {
                *epochs = PartitionEpochs { unchanged_since: map.epoch, replicas_since: map.epoch };
            }
        }
    }

    fn drop_misplaced_partitions(&mut self) {
        let Some(map) = self.map.clone() else { return };
        for (number, data) in self.partitions.iter_mut().enumerate() {
            let is_placed_here =
                map.partitions.get(number).is_some_and(|partition| is_placed_on(partition, self.identity));
            // The map has no partitions until control has placed them for the first time.
            if !is_placed_here && !map.partitions.is_empty() {
                *data = PartitionData::default();
            }
        }
    }
}

/// Whether a store is a replica of a partition, or a source that its replicas catch up from.
pub(crate) fn is_placed_on(partition: &PartitionReplicas, store: NodeIdentity) -> bool {
    partition.sources.contains(&store) || partition.replicas.iter().any(|replica| replica.store == store)
}

fn replica_stores(partition: &PartitionReplicas) -> Vec<NodeIdentity> {
    partition.replicas.iter().map(|replica| replica.store).collect()
}
