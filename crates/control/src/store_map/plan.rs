//! Which replicas move where.
//!
//! Lost replicas are replaced at once. Otherwise a partition changes only while all its replicas are complete and live,
//! one replica at a time, and only so many partitions at a time.

use super::{DisplacedReplica, Liveness, PartitionEntry, StoreEntry, StoreTable, placement};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};

/// Partitions that may move at a time where no replica is lost.
const MAX_CONCURRENT_MOVES: usize = 8;

/// Whether all replicas of a partition are complete.
pub(super) fn all_complete(partition: &PartitionReplicas) -> bool {
    partition.replicas.iter().all(|replica| replica.is_complete)
}

impl PartitionEntry {
    /// Publishes the displaced replicas as sources.
    fn publish_sources(&mut self) {
        self.partition.sources = self.displaced.iter().map(|displaced| displaced.store).collect();
    }

    /// Assigns a slot among the replicas to a store that has no data of the partition.
    fn assign(&mut self, slot: usize, store: NodeIdentity, epoch: Epoch) {
        self.partition.replicas[slot] = Replica { store, is_complete: false };
        self.changed_epoch = epoch;
    }

    /// The slot that a source had among the replicas.
    fn slot_of_source(&self, store: NodeIdentity) -> Option<usize> {
        let displaced = self.displaced.iter().find(|displaced| displaced.store == store);
        displaced.map(|displaced| usize::from(displaced.slot))
    }

    /// Number of complete replicas in other slots than this one.
    fn complete_replicas_beside(&self, slot: Option<usize>) -> usize {
        let replicas = self.partition.replicas.iter().enumerate();
        replicas.filter(|(number, replica)| replica.is_complete && Some(*number) != slot).count()
    }
}

impl StoreTable {
    /// Assigns the slots of a store that lost its disk to the new identity of its machine, unless the machine is retired.
    /// Its data is lost.
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
            self.drop_sources(number);
            self.begin_anew_if_all_replicas_are_lost(number);
        }
        for entry in &mut self.partitions {
            entry.publish_sources();
        }
        let mut moving = self.partitions.iter().filter(|entry| !all_complete(&entry.partition)).count();
        for number in 0..self.partitions.len() {
            if moving >= MAX_CONCURRENT_MOVES {
                return;
            }
            if self.move_one(number) {
                self.partitions[number].publish_sources();
                moving += 1;
            }
        }
    }

    /// Whether there is a store without replicas that could replace a lost one.
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

    /// Live stores that may get replicas.
    fn candidates(&self, established_only: bool) -> Vec<&StoreNode> {
        self.stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Active && entry.liveness == Liveness::Live)
            .filter(|entry| !entry.is_shutting_down && (entry.is_established || !established_only))
            .map(|entry| &entry.node)
            .collect()
    }

    /// The best store without a replica of the partition for one of its slots, or for an additional slot. A source stays
    /// one: it may only return to its own slot, and not while too few other replicas are complete.
    fn best_other(&self, number: usize, slot: Option<usize>, established_only: bool) -> Option<NodeIdentity> {
        let entry = &self.partitions[number];
        let replicas = &entry.partition.replicas;
        let sources_needed = entry.complete_replicas_beside(slot) < entry.partition.quorum();
        let is_free = |node: &&StoreNode| match entry.slot_of_source(node.identity) {
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
            .filter(is_free)
            .filter(|node| spread.allows(node, &other_nodes))
            .max_by_key(|node| {
                let own_zone = !zones_in_use.contains(&node.zone.as_str());
                (own_zone, placement::weight(Partition(number as u16), &node.node_name), node.identity)
            })
            .map(|node| node.identity)
    }

    fn replace_lost_replicas(&mut self, number: usize, has_spare: bool) {
        for slot in 0..self.partitions[number].partition.replicas.len() {
            let old = self.partitions[number].partition.replicas[slot];
            if !self.is_lost(old.store, has_spare) {
                continue;
            }
            if let Some(new) = self.best_other(number, Some(slot), false) {
                self.replace(number, slot, new);
            }
        }
    }

    /// Replaces a replica by a store without data of the partition; the old one stays as a source, if it may have data.
    ///
    /// A replica that was not complete leaves the source of its slot as it is. So a slot counts once: by its replica once
    /// that is complete, else by its source. Every acknowledged write is in a quorum of the slots at any time, and any
    /// `n - q + 1` of them include one that has it.
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

    /// A partition that has lost all its data has nothing to catch up from: it begins anew, empty.
    fn begin_anew_if_all_replicas_are_lost(&mut self, number: usize) {
        let entry = &mut self.partitions[number];
        let partition = &mut entry.partition;
        let something_left =
            partition.replicas.iter().any(|replica| replica.is_complete) || !entry.displaced.is_empty();
        if !something_left {
            for replica in &mut partition.replicas {
                replica.is_complete = true;
            }
        }
    }

    fn drop_sources(&mut self, number: usize) {
        let known: Vec<NodeIdentity> = self.stores.iter().map(|entry| entry.node.identity).collect();
        let entry = &mut self.partitions[number];
        entry.displaced.retain(|displaced| known.contains(&displaced.store));
        if all_complete(&entry.partition) {
            entry.displaced.clear();
        }
    }

    /// Moves one replica of a partition whose replicas are all complete and live.
    fn move_one(&mut self, number: usize) -> bool {
        if !self.may_move(number) {
            return false;
        }
        if self.grow(number) {
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

    /// Adds a replica to a partition that has fewer than it should.
    fn grow(&mut self, number: usize) -> bool {
        if self.partitions[number].partition.replicas.len() >= usize::from(self.replicas_wanted) {
            return false;
        }
        let Some(new) = self.best_other(number, None, true) else { return false };
        let next_epoch = self.published.epoch.next();
        let entry = &mut self.partitions[number];
        entry.changed_epoch = next_epoch;
        entry.partition.replicas.push(Replica { store: new, is_complete: false });
        true
    }

    /// The slot of a replica on a store that is retiring or shutting down, and the store that replaces it.
    fn retiring_move(&self, number: usize) -> Option<(usize, NodeIdentity)> {
        let slot = self.partitions[number].partition.replicas.iter().position(|replica| {
            let goes = |entry: &StoreEntry| entry.node.state != StoreState::Active || entry.is_shutting_down;
            self.store(replica.store).is_some_and(goes)
        })?;
        Some((slot, self.best_other(number, Some(slot), false)?))
    }

    /// The slot of a replica that should be on another store by its hash, and that store.
    fn balancing_move(&self, number: usize) -> Option<(usize, NodeIdentity)> {
        if self.stores.iter().any(|entry| entry.liveness == Liveness::Unavailable) {
            return None;
        }
        let candidates = self.candidates(true);
        let replicas_wanted = usize::from(self.replicas_wanted);
        let spread = self.effective_spread();
        let wanted = placement::choose(Partition(number as u16), &candidates, replicas_wanted, &spread);
        if wanted.len() < replicas_wanted {
            return None;
        }
        let replicas = &self.partitions[number].partition.replicas;
        let slot = replicas.iter().position(|replica| !wanted.contains(&replica.store))?;
        let new = wanted.into_iter().find(|store| replicas.iter().all(|replica| replica.store != *store))?;
        Some((slot, new))
    }
}
