//! Acknowledged writes stay where operations find them, through random orders of losses, moves and catch-ups.
//!
//! The table of stores is the real one; the data of the stores is modelled for one partition. A write is acknowledged once
//! a quorum of complete replicas has it, and nobody else has it then. A catch-up reads as few stores as it may, at random.
//! Disks are lost as long as no more slots than tolerated have neither a complete replica nor a source.

use super::{Liveness, Spread, StoreCommand, StoreTable};
use opalrun_wire::{
    feed::{PartitionReplicas, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::collections::{BTreeMap, BTreeSet};

/// The partition that is looked at.
const NUMBER: u16 = 0;
const STEPS: usize = 120;

type Writes = BTreeSet<u32>;

/// A catch-up in flight: what it has read, and as of which change of the replicas.
struct CatchUp {
    read: Writes,
    changed_epoch: u64,
}

struct World {
    random: fastrand::Rng,
    table: StoreTable,
    lost_at_once: usize,
    stored: BTreeMap<u64, Writes>,
    catch_ups: BTreeMap<u64, CatchUp>,
    acknowledged: Writes,
    next_identity: u64,
    lost_disks: usize,
}

impl World {
    fn new(seed: u64, stores: u64, lost_at_once: usize) -> Self {
        let mut world = Self {
            random: fastrand::Rng::with_seed(seed),
            table: StoreTable::default(),
            lost_at_once,
            stored: BTreeMap::new(),
            catch_ups: BTreeMap::new(),
            acknowledged: Writes::new(),
            next_identity: 100,
            lost_disks: 0,
        };
        for identity in 1..=stores {
            world.join(identity, &format!("store-{identity}"));
        }
        let replicas = 2 * lost_at_once as u16 + 1;
        world.table.apply(&StoreCommand::FormMap { replicas, spread: Spread::over_machines() });
        world
    }

    fn partition(&self) -> PartitionReplicas {
        self.table.map().partitions[usize::from(NUMBER)].clone()
    }

    fn join(&mut self, identity: u64, name: &str) {
        let node = StoreNode {
            identity: NodeIdentity(identity),
            node_name: name.to_owned(),
            address: format!("address of {name}"),
            zone: format!("zone-{}", identity % 4),
            state: StoreState::Active,
        };
        self.table.apply(&StoreCommand::Join { node });
    }

    fn any_store(&mut self) -> (u64, String) {
        let number = self.random.usize(0..self.table.stores().len());
        let node = &self.table.stores()[number].node;
        (node.identity.0, node.node_name.clone())
    }

    fn chosen(&mut self, from: &[u64], count: usize) -> Vec<u64> {
        let mut shuffled = from.to_vec();
        self.random.shuffle(&mut shuffled);
        shuffled.truncate(count);
        shuffled
    }

    fn step(&mut self) {
        match self.random.u8(0..20) {
            0..=5 => self.write(),
            6..=8 => self.begin_catch_up(),
            9..=11 => self.end_catch_up(),
            12 => self.lose_disk(),
            13 => self.add_store(),
            14 => {
                let (identity, _) = self.any_store();
                self.table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(identity) });
            }
            15 => {
                let (identity, _) = self.any_store();
                self.table.apply(&StoreCommand::RequestShutdown { identity: NodeIdentity(identity) });
            }
            16 => {
                let (_, node_name) = self.any_store();
                self.table.apply(&StoreCommand::Retire { node_name });
            }
            _ => {
                let (identity, _) = self.any_store();
                let liveness = [Liveness::Live, Liveness::Live, Liveness::Unavailable, Liveness::Dead];
                let liveness = liveness[self.random.usize(0..liveness.len())];
                self.table.apply(&StoreCommand::SetLiveness { identity: NodeIdentity(identity), liveness });
            }
        }
        self.forget_what_no_store_keeps();
        self.check();
    }

    fn write(&mut self) {
        let partition = self.partition();
        let complete = complete_stores(&partition);
        if complete.len() < partition.quorum() {
            return;
        }
        let write = self.acknowledged.len() as u32;
        for store in self.chosen(&complete, partition.quorum()) {
            self.stored.entry(store).or_default().insert(write);
        }
        self.acknowledged.insert(write);
    }

    fn begin_catch_up(&mut self) {
        let partition = self.partition();
        let copying: Vec<u64> = partition
            .replicas
            .iter()
            .filter(|replica| !replica.is_complete)
            .map(|replica| replica.store.0)
            .collect();
        let Some(store) = self.chosen(&copying, 1).first().copied() else { return };
        let mut readable = complete_stores(&partition);
        readable.extend(partition.sources.iter().map(|source| source.0));
        let needed = partition.replicas.len() + 1 - partition.quorum();
        if readable.len() < needed {
            return;
        }
        let mut read = Writes::new();
        for source in self.chosen(&readable, needed) {
            read.extend(self.stored.get(&source).into_iter().flatten());
        }
        let changed_epoch = self.table.partitions[usize::from(NUMBER)].changed_epoch;
        self.catch_ups.insert(store, CatchUp { read, changed_epoch: changed_epoch.0 });
    }

    fn end_catch_up(&mut self) {
        let in_flight: Vec<u64> = self.catch_ups.keys().copied().collect();
        let Some(store) = self.chosen(&in_flight, 1).first().copied() else { return };
        let Some(catch_up) = self.catch_ups.remove(&store) else { return };
        // A store begins anew with each change of the replicas, and reports the epoch of that change.
        if Epoch(catch_up.changed_epoch) != self.table.partitions[usize::from(NUMBER)].changed_epoch {
            return;
        }
        self.stored.entry(store).or_default().extend(catch_up.read);
        let epoch = catch_up.changed_epoch;
        self.table.apply(&StoreCommand::ReplicasComplete {
            store: NodeIdentity(store),
            epoch: Epoch(epoch),
            partitions: vec![Partition(NUMBER)],
        });
    }

    fn lose_disk(&mut self) {
        let (identity, name) = self.any_store();
        if self.slots_lost_without(identity) > self.lost_at_once {
            return;
        }
        self.stored.remove(&identity);
        self.catch_ups.remove(&identity);
        self.next_identity += 1;
        self.lost_disks += 1;
        self.join(self.next_identity, &name);
    }

    /// Slots that would have neither a complete replica nor a source without this store.
    fn slots_lost_without(&self, identity: u64) -> usize {
        let entry = &self.table.partitions[usize::from(NUMBER)];
        let replicas = entry.partition.replicas.iter().enumerate();
        let is_lost = |slot: usize, store: u64, is_complete: bool| {
            let source = entry.displaced.iter().find(|displaced| displaced.is_of_slot(slot));
            let has_source = source.is_some_and(|source| source.store != NodeIdentity(identity));
            !has_source && (!is_complete || store == identity)
        };
        replicas.filter(|(slot, replica)| is_lost(*slot, replica.store.0, replica.is_complete)).count()
    }

    fn add_store(&mut self) {
        if self.table.stores().len() < 9 {
            self.next_identity += 1;
            self.join(self.next_identity, &format!("store-{}", self.next_identity));
        }
    }

    /// A store drops a partition that does not refer to it any more.
    fn forget_what_no_store_keeps(&mut self) {
        let partition = self.partition();
        let is_referenced = |store: &u64| {
            partition.sources.contains(&NodeIdentity(*store))
                || partition.replicas.iter().any(|replica| replica.store == NodeIdentity(*store))
        };
        self.stored.retain(|store, _| is_referenced(store));
        self.catch_ups.retain(|store, _| is_referenced(store));
    }

    /// Every quorum of complete replicas has every acknowledged write.
    fn check(&self) {
        let partition = self.partition();
        let complete = complete_stores(&partition);
        if complete.len() < partition.quorum() {
            return;
        }
        for write in &self.acknowledged {
            let has_it = |store: &&u64| self.stored.get(store).is_some_and(|stored| stored.contains(write));
            let lack_it = complete.len() - complete.iter().filter(has_it).count();
            assert!(
                lack_it < partition.quorum(),
                "write {write} is lacking at a quorum: {partition:?} {:?}",
                self.stored
            );
        }
    }
}

fn complete_stores(partition: &PartitionReplicas) -> Vec<u64> {
    partition.replicas.iter().filter(|replica| replica.is_complete).map(|replica| replica.store.0).collect()
}

fn play(seeds: u64, stores: u64, lost_at_once: usize) {
    let (mut lost_disks, mut acknowledged) = (0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed, stores, lost_at_once);
        for _ in 0..STEPS {
            world.step();
        }
        lost_disks += world.lost_disks;
        acknowledged += world.acknowledged.len();
    }
    assert!(lost_disks as u64 > seeds, "{lost_disks} disks were lost");
    assert!(acknowledged as u64 > 5 * seeds, "{acknowledged} writes were acknowledged");
}

#[test]
fn three_replicas_keep_what_was_acknowledged() {
    play(1_000, 4, 1);
}

#[test]
fn five_replicas_keep_what_was_acknowledged() {
    play(700, 6, 2);
}

#[test]
fn three_replicas_on_three_stores_keep_what_was_acknowledged() {
    play(700, 3, 1);
}
