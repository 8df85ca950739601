//! The store map: which epoch is known, since when each partition is placed as it is, and what has to be transferred.

use super::{StoreState, partition::PartitionData};
use crate::record::Record;
use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::rc::Rc;

/// Since which epochs a partition is placed as it is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PartitionEpochs {
    /// Since this epoch nothing about its placement has changed.
    pub(super) unchanged_since: Epoch,
    /// Since this epoch its replicas are the same stores, complete or not.
    replicas_since: Epoch,
}

/// A partition that this store has to catch up on, as its replica is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredTransfer {
    /// The partition.
    pub partition: Partition,
    /// Since this epoch its replicas are the same stores: a transfer that began in an older one does not count.
    pub replicas_since: Epoch,
}

impl StoreState {
    /// Applies a newer store map; returns whether it was newer. The data of partitions that are not placed on this store
    /// any more are dropped.
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

    /// Partitions of which this store is a replica that is not complete.
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
            // Without the map of the epoch before, nobody knows what has changed in between.
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
            // Before control has placed the partitions for the first time the map has none.
            if !is_placed_here && !map.partitions.is_empty() {
                *data = PartitionData::default();
            }
        }
    }
}

/// Whether a store is a replica of a partition, or a source for its replicas.
pub(crate) fn is_placed_on(partition: &PartitionReplicas, store: NodeIdentity) -> bool {
    partition.sources.contains(&store) || partition.replicas.iter().any(|replica| replica.store == store)
}

fn replica_stores(partition: &PartitionReplicas) -> Vec<NodeIdentity> {
    partition.replicas.iter().map(|replica| replica.store).collect()
}
