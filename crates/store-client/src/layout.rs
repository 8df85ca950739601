//! The store map that operations use, and waiting for a newer one.

use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::sync::Notify;

/// The placement of a partition as of an epoch of the store map.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The partition's number.
    pub number: Partition,
    /// The epoch of the map.
    pub epoch: Epoch,
    /// Its replicas.
    pub partition: PartitionReplicas,
    /// A store has said that it knows a newer map.
    is_stale: Cell<bool>,
}

impl Layout {
    /// Records that a store has said that it knows a newer map.
    pub fn set_stale(&self) {
        self.is_stale.set(true);
    }
}

/// The newest store map.
#[derive(Default)]
pub struct Layouts {
    map: RefCell<Rc<StoreMap>>,
    changed: Notify,
}

impl Layouts {
    /// Applies a newer map; returns whether it was newer.
    pub fn set(&self, map: Rc<StoreMap>) -> bool {
        if map.epoch <= self.map.borrow().epoch {
            return false;
        }
        self.map.replace(map);
        self.changed.notify_waiters();
        true
    }

    /// The map.
    pub fn map(&self) -> Rc<StoreMap> {
        self.map.borrow().clone()
    }

    /// The placement of a partition; waits for the first map.
    pub async fn get(&self, number: Partition) -> Layout {
        loop {
            let changed = self.changed.notified();
            if let Some(layout) = self.current(number) {
                return layout;
            }
            changed.await;
        }
    }

    /// Waits until the partition is placed otherwise than `layout` says, or until there is any newer map where a store
    /// has said that it knows one.
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

    /// Lets waiting operations check again whether their layout is outdated.
    pub fn notify_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Whether a store is in a zone.
    pub fn is_in_zone(&self, store: NodeIdentity, zone: &str) -> bool {
        self.map.borrow().stores.iter().any(|node| node.identity == store && node.zone == zone)
    }

    fn current(&self, number: Partition) -> Option<Layout> {
        let map = self.map.borrow();
        let partition = map.partitions.get(number.position())?.clone();
        Some(Layout { number, epoch: map.epoch, partition, is_stale: Cell::new(false) })
    }
}
