//! The store map that operations use, and waiting for changes of a partition's placement.

use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::sync::Notify;

/// Placement of a partition in an epoch of the store map.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Number of the partition.
    pub number: Partition,
    /// Epoch of the store map.
    pub epoch: Epoch,
    /// Replicas of the partition, and the sources that they catch up from.
    pub partition: PartitionReplicas,
    /// Whether a store has rejected a request because it knows a newer map.
    is_stale: Cell<bool>,
}

impl Layout {
    /// Records that a store has rejected a request because it knows a newer map.
    pub fn set_stale(&self) {
        self.is_stale.set(true);
    }
}

/// The newest store map, and the notification of its changes.
#[derive(Default)]
pub struct Layouts {
    map: RefCell<Rc<StoreMap>>,
    changed: Notify,
}

impl Layouts {
    /// Applies a map if it is newer than the current one; returns whether it was.
    pub fn set(&self, map: Rc<StoreMap>) -> bool {
        if map.epoch <= self.map.borrow().epoch {
            return false;
        }
        self.map.replace(map);
        self.changed.notify_waiters();
        true
    }

    /// Returns the newest map received so far; an empty one of epoch 0 before the first.
    pub fn map(&self) -> Rc<StoreMap> {
        self.map.borrow().clone()
    }

    /// Returns the current placement of a partition; waits for the first map if there is none yet.
    pub async fn get(&self, number: Partition) -> Layout {
        loop {
            let changed = self.changed.notified();
            if let Some(layout) = self.current(number) {
                return layout;
            }
            changed.await;
        }
    }

    /// Waits until the partition's placement differs from `layout`. If the layout is marked stale, any newer map ends the
    /// wait as well.
    pub async fn wait_until_outdated(&self, layout: &Layout) {
        loop {
            let changed = self.changed.notified();
            if self.is_outdated(layout) {
                return;
            }
            changed.await;
        }
    }

    /// Whether [`wait_until_outdated`](Self::wait_until_outdated) would return at once.
    pub fn is_outdated(&self, layout: &Layout) -> bool {
        let Some(current) = self.current(layout.number) else { return false };
        current.partition != layout.partition || (layout.is_stale.get() && current.epoch > layout.epoch)
    }

    /// Wakes all waiting operations, so that they check again whether their layout is outdated.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Whether the map places a store in a zone.
    pub fn is_in_zone(&self, store: NodeIdentity, zone: &str) -> bool {
        self.map.borrow().stores.iter().any(|node| node.identity == store && node.zone == zone)
    }

    fn current(&self, number: Partition) -> Option<Layout> {
        let map = self.map.borrow();
        let partition = map.partitions.get(number.position())?.clone();
        Some(Layout { number, epoch: map.epoch, partition, is_stale: Cell::new(false) })
    }
}
