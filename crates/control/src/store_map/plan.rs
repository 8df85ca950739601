//! Plans the moves of replicas between stores.
//!
//! Lost replicas are replaced at once. Otherwise a partition changes only while all its replicas are complete and live,
//! by one replica at a time, and at most [`MAX_CONCURRENT_MOVES`] partitions change at a time.

use super::{DisplacedReplica, Liveness, PartitionEntry, StoreEntry, StoreTable, placement};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};

/// Maximum number of partitions that move at a time while no replica is lost.
const MAX_CONCURRENT_MOVES: usize = 8;

/// Whether all replicas of a partition are complete.
pub(super) fn all_complete(partition: &PartitionReplicas) -> bool {
    partition.replicas.iter().all(|replica| replica.is_complete)
}

impl PartitionEntry {
    /// Publishes the displaced replicas as catch-up sources.
    fn publish_sources(&mut self) {
        self.partition.sources = self.displaced.iter().map(|displaced| displaced.store).collect();
    }

    /// Assigns a replica slot to a store that has no data of the partition.
    fn assign(&mut self, slot: usize, store: NodeIdentity, epoch: Epoch) {
        self.partition.replicas[slot] = Replica { store, is_complete: false };
        self.changed_epoch = epoch;
    }

    /// The replica slot in which a source was before.
    fn slot_of_source(&self, store: NodeIdentity) -> Option<usize> {
        let displaced = self.displaced.iter().find(|displaced| displaced.store == store);
        displaced.map(|displaced| usize::from(displaced.slot))
    }

    /// Number of complete replicas in slots other than the given one.
    fn complete_replicas_beside(&self, slot: Option<usize>) -> usize {
        let replicas = self.partition.replicas.iter().enumerate();
        replicas.filter(|(number, replica)| replica.is_complete && Some(*number) != slot).count()
    }
}

impl StoreTable {
    /// Assigns the slots of a store that lost its disk to the new identity of the same machine, unless the machine is
    /// being retired. The data of the old identity is lost.
    pub(super) fn substitute_replaced_store(
        &mut self,
        lost: NodeIdentity,
        new: NodeIdentity,
        state: StoreState,
    ) {
        let next_epoch = self.published.epoch.next();
        for entry in &mut self.partitions {
            entry.displaced.retain(|displaced| displaced.store != lost);
            let Some(slot) = entry.partition.replicas.iter().position(|replica| replica.store == lost) else {
                continue;
            };
            if state == StoreState::Active {
                entry.assign(slot, new, next_epoch);
            } else {
                entry.partition.replicas[slot].is_complete = false;
            }
        }
    }

    /// Moves each partition one step towards its intended placement.
    pub(super) fn replan(&mut self) {
        let has_spare = self.has_spare_store();
        for number in 0..self.partitions.len() {
            self.replace_lost_replicas(number, has_spare);
            self.drop_obsolete_sources(number);
            self.reset_if_all_data_is_lost(number);
        }
        for entry in &mut self.partitions {
            entry.publish_sources();
        }
        let mut moving = self.partitions.iter().filter(|entry| !all_complete(&entry.partition)).count();
        for number in 0..self.partitions.len() {
            if moving >= MAX_CONCURRENT_MOVES {
                return;
            }
            if self.move_one_replica(number) {
                self.partitions[number].publish_sources();
                moving += 1;
            }
        }
    }

    /// Whether there is a live store without replicas that could replace a lost one.
    fn has_spare_store(&self) -> bool {
        self.stores.iter().any(|entry| {
            entry.node.state == StoreState::Active
                && entry.liveness == Liveness::Live
                && !entry.is_shutting_down
                && !self.is_referenced(entry.node.identity)
        })
    }

    fn is_lost(&self, identity: NodeIdentity, has_spare: bool) -> bool {
        match self.store(identity) {
            None => true,
            Some(entry) => match entry.liveness {
                Liveness::Live => false,
                Liveness::Unavailable => has_spare || self.has_successor_of(identity),
                Liveness::Dead => true,
            },
        }
    }

    /// Live stores that may receive replicas.
    fn candidates(&self, established_only: bool) -> Vec<&StoreNode> {
        self.stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Active && entry.liveness == Liveness::Live)
            .filter(|entry| !entry.is_shutting_down && (entry.is_established || !established_only))
            .map(|entry| &entry.node)
            .collect()
    }

    /// The best store without a replica of the partition, for one of its slots or for an additional one. A source
    /// remains a source: it may only return to its own slot, and only while a quorum of the other replicas is complete.
    fn best_replacement(
        &self,
        number: usize,
        slot: Option<usize>,
        established_only: bool,
    ) -> Option<NodeIdentity> {
        let entry = &self.partitions[number];
        let replicas = &entry.partition.replicas;
        let sources_needed = entry.complete_replicas_beside(slot) < entry.partition.quorum();
        let is_eligible = |node: &&StoreNode| match entry.slot_of_source(node.identity) {
            None => true,
            own => own == slot && !sources_needed,
        };
        let others: Vec<&StoreEntry> = replicas
            .iter()
            .enumerate()
            .filter(|(other, _)| Some(*other) != slot)
            .filter_map(|(_, replica)| self.store(replica.store))
            .collect();
        let other_nodes: Vec<&StoreNode> = others.iter().map(|other| &other.node).collect();
        let zones_in_use: Vec<&str> = others
            .iter()
            .filter(|other| other.liveness == Liveness::Live && other.node.state == StoreState::Active)
            .map(|other| other.node.zone.as_str())
            .collect();
        let spread = self.effective_spread();
        self.candidates(established_only)
            .into_iter()
            .filter(|node| replicas.iter().all(|replica| replica.store != node.identity))
            .filter(is_eligible)
            .filter(|node| spread.allows(node, &other_nodes))
            .max_by_key(|node| {
                let is_in_new_zone = !zones_in_use.contains(&node.zone.as_str());
                (is_in_new_zone, placement::weight(Partition(number as u16), &node.node_name), node.identity)
            })
            .map(|node| node.identity)
    }

    fn replace_lost_replicas(&mut self, number: usize, has_spare: bool) {
        for slot in 0..self.partitions[number].partition.replicas.len() {
            let old = self.partitions[number].partition.replicas[slot];
            if !self.is_lost(old.store, has_spare) {
                continue;
            }
            if let Some(new) = self.best_replacement(number, Some(slot), false) {
                self.replace(number, slot, new);
            }
        }
    }

    /// Replaces a replica by a store that has no data of the partition. The old store remains as a source if it may
    /// have data.
    ///
    /// An incomplete replica does not displace the source of its slot. Each slot therefore counts once: by its replica
    /// if that is complete, and by its source otherwise. Every acknowledged write is in a quorum of the slots at any
    /// time, and any `n - q + 1` slots include one that has it (`n` slots, quorum `q`).
    fn replace(&mut self, number: usize, slot: usize, new: NodeIdentity) {
        let next_epoch = self.published.epoch.next();
        let old = self.partitions[number].partition.replicas[slot];
        let old_may_return = old.is_complete && self.store(old.store).is_some();
        let entry = &mut self.partitions[number];
        entry.assign(slot, new, next_epoch);
        entry.displaced.retain(|displaced| displaced.store != new);
        if old_may_return {
            entry.displaced.push(DisplacedReplica { slot: slot as u16, store: old.store });
        }
    }

    /// Resets a partition whose data is lost at all replicas and sources: there is nothing to catch up from, so that
    /// its replicas count as complete and empty.
    fn reset_if_all_data_is_lost(&mut self, number: usize) {
        let entry = &mut self.partitions[number];
        let partition = &mut entry.partition;
        let has_data =
            partition.replicas.iter().any(|replica| replica.is_complete) || !entry.displaced.is_empty();
        if !has_data {
            for replica in &mut partition.replicas {
                replica.is_complete = true;
            }
        }
    }

    fn drop_obsolete_sources(&mut self, number: usize) {
        let known: Vec<NodeIdentity> = self.stores.iter().map(|entry| entry.node.identity).collect();
        let entry = &mut self.partitions[number];
        entry.displaced.retain(|displaced| known.contains(&displaced.store));
        if all_complete(&entry.partition) {
            entry.displaced.clear();
        }
    }

    /// Moves one replica of a partition whose replicas are all complete and live; returns whether one was moved.
    fn move_one_replica(&mut self, number: usize) -> bool {
        if !self.may_move(number) {
            return false;
        }
        if self.add_missing_replica(number) {
            return true;
        }
        let Some((slot, new)) = self.retiring_move(number).or_else(|| self.balancing_move(number)) else {
            return false;
        };
        self.replace(number, slot, new);
        true
    }

    fn may_move(&self, number: usize) -> bool {
        let partition = &self.partitions[number].partition;
        all_complete(partition)
            && partition.replicas.iter().all(|replica| {
                self.store(replica.store).is_some_and(|entry| entry.liveness == Liveness::Live)
            })
    }

    /// Adds a replica to a partition that has fewer than the replication factor; returns whether one was added.
    fn add_missing_replica(&mut self, number: usize) -> bool {
        if self.partitions[number].partition.replicas.len() >= usize::from(self.replicas_wanted) {
            return false;
        }
        let Some(new) = self.best_replacement(number, None, true) else { return false };
        let next_epoch = self.published.epoch.next();
        let entry = &mut self.partitions[number];
        entry.changed_epoch = next_epoch;
        entry.partition.replicas.push(Replica { store: new, is_complete: false });
        true
    }

    /// The slot of a replica whose store is being retired or shut down, with the store that replaces it.
    fn retiring_move(&self, number: usize) -> Option<(usize, NodeIdentity)> {
        let slot = self.partitions[number].partition.replicas.iter().position(|replica| {
            let is_leaving =
                |entry: &StoreEntry| entry.node.state != StoreState::Active || entry.is_shutting_down;
            self.store(replica.store).is_some_and(is_leaving)
        })?;
        Some((slot, self.best_replacement(number, Some(slot), false)?))
    }

    /// The slot of a replica that is not on the store intended by its hash, with that store.
    fn balancing_move(&self, number: usize) -> Option<(usize, NodeIdentity)> {
        if self.stores.iter().any(|entry| entry.liveness == Liveness::Unavailable) {
            return None;
        }
        let candidates = self.candidates(true);
        let replicas_wanted = usize::from(self.replicas_wanted);
        let spread = self.effective_spread();
        let intended =
            placement::select_stores(Partition(number as u16), &candidates, replicas_wanted, &spread);
        if intended.len() < replicas_wanted {
            return None;
        }
        let replicas = &self.partitions[number].partition.replicas;
        let slot = replicas.iter().position(|replica| !intended.contains(&replica.store))?;
        let new =
            intended.into_iter().find(|store| replicas.iter().all(|replica| replica.store != *store))?;
        Some((slot, new))
    }
}
