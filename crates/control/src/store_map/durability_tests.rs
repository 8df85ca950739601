//! Acknowledged writes remain readable through random sequences of disk losses, moves and catch-ups.
//!
//! The test uses the real table of stores and models the stores' data for one partition. A write is acknowledged once a
//! quorum of the complete replicas has it, and exactly that quorum gets it. A catch-up reads the minimum number of
//! stores, selected at random. A disk is lost only while the number of slots with neither a complete replica nor a
//! source stays within the tolerated losses.

use super::{Liveness, Spread, StoreCommand, StoreTable};
use opalrun_wire::{
    feed::{PartitionReplicas, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::collections::{BTreeMap, BTreeSet};

/// The partition whose data is modelled.
const PARTITION_NUMBER: u16 = 0;
const STEPS: usize = 120;

type Writes = BTreeSet<u32>;

/// A catch-up in flight: the writes read so far and the epoch of the replica set that it started from.
struct CatchUp {
    read: Writes,
    changed_epoch: u64,
}

struct Simulation {
    random: fastrand::Rng,
    table: StoreTable,
    tolerated_losses: usize,
    stored: BTreeMap<u64, Writes>,
    catch_ups: BTreeMap<u64, CatchUp>,
    acknowledged: Writes,
    next_identity: u64,
    disk_losses: usize,
}

impl Simulation {
    fn new(seed: u64, stores: u64, tolerated_losses: usize) -> Self {
        let mut simulation = Self {
            random: fastrand::Rng::with_seed(seed),
            table: StoreTable::default(),
            tolerated_losses,
            stored: BTreeMap::new(),
            catch_ups: BTreeMap::new(),
            acknowledged: Writes::new(),
            next_identity: 100,
            disk_losses: 0,
        };
        for identity in 1..=stores {
            simulation.join(identity, &format!("store-{identity}"));
        }
        let replicas = 2 * tolerated_losses as u16 + 1;
        simulation.table.apply(&StoreCommand::FormMap { replicas, spread: Spread::over_machines() });
        simulation
    }

    fn partition(&self) -> PartitionReplicas {
        self.table.map().partitions[usize::from(PARTITION_NUMBER)].clone()
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

    fn random_store(&mut self) -> (u64, String) {
        let number = self.random.usize(0..self.table.stores().len());
        let node = &self.table.stores()[number].node;
        (node.identity.0, node.node_name.clone())
    }

    fn random_sample(&mut self, stores: &[u64], count: usize) -> Vec<u64> {
        let mut shuffled = stores.to_vec();
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
                let (identity, _) = self.random_store();
                self.table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(identity) });
            }
            15 => {
                let (identity, _) = self.random_store();
                self.table.apply(&StoreCommand::RequestShutdown { identity: NodeIdentity(identity) });
            }
            16 => {
                let (_, node_name) = self.random_store();
                self.table.apply(&StoreCommand::Retire { node_name });
            }
            _ => {
                let (identity, _) = self.random_store();
                let liveness = [Liveness::Live, Liveness::Live, Liveness::Unavailable, Liveness::Dead];
                let liveness = liveness[self.random.usize(0..liveness.len())];
                self.table.apply(&StoreCommand::SetLiveness { identity: NodeIdentity(identity), liveness });
            }
        }
        self.drop_unreferenced_data();
        self.check();
    }

    fn write(&mut self) {
        let partition = self.partition();
        let complete = complete_stores(&partition);
        if complete.len() < partition.quorum() {
            return;
        }
        let write = self.acknowledged.len() as u32;
        for store in self.random_sample(&complete, partition.quorum()) {
            self.stored.entry(store).or_default().insert(write);
        }
        self.acknowledged.insert(write);
    }

    fn begin_catch_up(&mut self) {
        let partition = self.partition();
        let incomplete_stores: Vec<u64> = partition
            .replicas
            .iter()
            .filter(|replica| !replica.is_complete)
            .map(|replica| replica.store.0)
            .collect();
        let Some(store) = self.random_sample(&incomplete_stores, 1).first().copied() else { return };
        let mut readable = complete_stores(&partition);
        readable.extend(partition.sources.iter().map(|source| source.0));
        let needed = partition.replicas.len() + 1 - partition.quorum();
        if readable.len() < needed {
            return;
        }
        let mut read = Writes::new();
        for source in self.random_sample(&readable, needed) {
            read.extend(self.stored.get(&source).into_iter().flatten());
        }
        let changed_epoch = self.table.partitions[usize::from(PARTITION_NUMBER)].changed_epoch;
        self.catch_ups.insert(store, CatchUp { read, changed_epoch: changed_epoch.0 });
    }

    fn end_catch_up(&mut self) {
        let in_flight: Vec<u64> = self.catch_ups.keys().copied().collect();
        let Some(store) = self.random_sample(&in_flight, 1).first().copied() else { return };
        let Some(catch_up) = self.catch_ups.remove(&store) else { return };
        // A store restarts its catch-up after each change of the replicas and reports the epoch of that change.
        if Epoch(catch_up.changed_epoch) != self.table.partitions[usize::from(PARTITION_NUMBER)].changed_epoch
        {
            return;
        }
        self.stored.entry(store).or_default().extend(catch_up.read);
        let epoch = catch_up.changed_epoch;
        self.table.apply(&StoreCommand::ReplicasComplete {
            store: NodeIdentity(store),
            epoch: Epoch(epoch),
            partitions: vec![Partition(PARTITION_NUMBER)],
        });
    }

    fn lose_disk(&mut self) {
        let (identity, name) = self.random_store();
        if self.slots_lost_without(identity) > self.tolerated_losses {
            return;
        }
        self.stored.remove(&identity);
        self.catch_ups.remove(&identity);
        self.next_identity += 1;
        self.disk_losses += 1;
        self.join(self.next_identity, &name);
    }

    /// Number of slots that would have neither a complete replica nor a source without this store.
    fn slots_lost_without(&self, identity: u64) -> usize {
        let entry = &self.table.partitions[usize::from(PARTITION_NUMBER)];
        let replicas = entry.partition.replicas.iter().enumerate();
        let is_lost = |slot: usize, store: u64, is_complete: bool| {
            let source = entry.displaced.iter().find(|displaced| displaced.was_in_slot(slot));
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

    /// Drops the data of stores to which the partition no longer refers.
    fn drop_unreferenced_data(&mut self) {
        let partition = self.partition();
        let is_referenced = |store: &u64| {
            partition.sources.contains(&NodeIdentity(*store))
                || partition.replicas.iter().any(|replica| replica.store == NodeIdentity(*store))
        };
        self.stored.retain(|store, _| is_referenced(store));
        self.catch_ups.retain(|store, _| is_referenced(store));
    }

    /// Checks that each acknowledged write is at one replica or more of every quorum of complete replicas.
    fn check(&self) {
        let partition = self.partition();
        let complete = complete_stores(&partition);
        if complete.len() < partition.quorum() {
            return;
        }
        for write in &self.acknowledged {
            let has_write =
                |store: &&u64| self.stored.get(store).is_some_and(|stored| stored.contains(write));
            let replicas_without_write = complete.len() - complete.iter().filter(has_write).count();
            assert!(
                replicas_without_write < partition.quorum(),
                "write {write} is missing at a quorum: {partition:?} {:?}",
                self.stored
            );
        }
    }
}

fn complete_stores(partition: &PartitionReplicas) -> Vec<u64> {
    partition.replicas.iter().filter(|replica| replica.is_complete).map(|replica| replica.store.0).collect()
}

fn run_simulations(seeds: u64, stores: u64, tolerated_losses: usize) {
    let (mut disk_losses, mut acknowledged) = (0, 0);
    for seed in 0..seeds {
        let mut simulation = Simulation::new(seed, stores, tolerated_losses);
        for _ in 0..STEPS {
            simulation.step();
        }
        disk_losses += simulation.disk_losses;
        acknowledged += simulation.acknowledged.len();
    }
    assert!(disk_losses as u64 > seeds, "only {disk_losses} disks were lost");
    assert!(acknowledged as u64 > 5 * seeds, "only {acknowledged} writes were acknowledged");
}

#[test]
fn three_replicas_on_four_stores_keep_acknowledged_writes() {
    run_simulations(1_000, 4, 1);
}

#[test]
fn five_replicas_on_six_stores_keep_acknowledged_writes() {
    run_simulations(700, 6, 2);
}

#[test]
fn three_replicas_on_three_stores_keep_acknowledged_writes() {
    run_simulations(700, 3, 1);
}
