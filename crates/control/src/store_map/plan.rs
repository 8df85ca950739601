//! Which replicas move where.
//!
//! Lost replicas are replaced at once. Otherwise a partition changes only while all its replicas are whole and heard,
//! one replica at a time, and only so many partitions at a time.

use super::{Silence, StoreTable, placement};
use opalrun_wire::feed::{Partition, Replica, StoreNode, StoreState};

/// Partitions that may be on the move at a time by our own choice.
const MOVES_AT_ONCE: usize = 8;

/// Whether all replicas of a partition are whole.
pub(super) fn all_whole(partition: &Partition) -> bool {
    partition.replicas.iter().all(|replica| replica.whole)
}

impl StoreTable {
    /// Puts the new identity of a wiped machine in the places of the old one. What it held is gone.
    pub(super) fn substitute_wiped(&mut self, lost: u64, new: u64, state: StoreState) {
        let next_epoch = self.published.epoch + 1;
        for entry in &mut self.partitions {
            entry.partition.sources.retain(|source| *source != lost);
            for replica in &mut entry.partition.replicas {
                if replica.store == lost && state == StoreState::Active {
                    *replica = Replica { store: new, whole: false };
                    entry.changed_epoch = next_epoch;
                }
            }
        }
    }

    /// Brings each partition one step nearer to where it should be.
    pub(super) fn replan(&mut self) {
        let unplaced = self.unplaced_store();
        for number in 0..self.partitions.len() {
            self.replace_lost(number, unplaced);
            self.give_up_if_nothing_is_left(number);
            self.drop_sources(number);
        }
        let mut moving = self.partitions.iter().filter(|entry| !all_whole(&entry.partition)).count();
        for number in 0..self.partitions.len() {
            if moving >= MOVES_AT_ONCE {
                return;
            }
            if self.move_one(number) {
                moving += 1;
            }
        }
    }

    /// Whether there is a store that could take the place of a lost one and holds nothing yet.
    fn unplaced_store(&self) -> bool {
        self.stores.iter().any(|entry| {
            entry.node.state == StoreState::Active
                && entry.silence == Silence::Heard
                && !self.is_named(entry.node.identity)
        })
    }

    fn is_lost(&self, identity: u64, unplaced: bool) -> bool {
        match self.store(identity) {
            None => true,
            Some(entry) => match entry.silence {
                Silence::Heard => false,
                Silence::Short => unplaced,
                Silence::Long => true,
            },
        }
    }

    /// Stores that are well and may be given replicas.
    fn candidates(&self, settled_only: bool) -> Vec<&StoreNode> {
        self.stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Active && entry.silence == Silence::Heard)
            .filter(|entry| entry.settled || !settled_only)
            .map(|entry| &entry.node)
            .collect()
    }

    /// The best store for a partition that does not hold it yet. While too few replicas are whole, a store that others
    /// have to copy from stays what it is.
    fn best_other(&self, number: usize, settled_only: bool) -> Option<u64> {
        let partition = &self.partitions[number].partition;
        let replicas = &partition.replicas;
        let whole = replicas.iter().filter(|replica| replica.whole).count();
        let sources_needed = whole < partition.quorum();
        let zones: Vec<&str> = replicas
            .iter()
            .filter_map(|replica| self.store(replica.store))
            .filter(|entry| entry.silence == Silence::Heard && entry.node.state == StoreState::Active)
            .map(|entry| entry.node.zone.as_str())
            .collect();
        self.candidates(settled_only)
            .into_iter()
            .filter(|node| replicas.iter().all(|replica| replica.store != node.identity))
            .filter(|node| !(sources_needed && partition.sources.contains(&node.identity)))
            .max_by_key(|node| {
                let own_zone = !zones.contains(&node.zone.as_str());
                (own_zone, placement::weight(number as u16, &node.node_name), node.identity)
            })
            .map(|node| node.identity)
    }

    fn replace_lost(&mut self, number: usize, unplaced: bool) {
        for place in 0..self.partitions[number].partition.replicas.len() {
            let old = self.partitions[number].partition.replicas[place];
            if !self.is_lost(old.store, unplaced) {
                continue;
            }
            if let Some(new) = self.best_other(number, false) {
                self.replace(number, place, new);
            }
        }
    }

    /// Puts a store that has nothing yet in the place of a replica; the old one is kept as a source, if it may have data.
    fn replace(&mut self, number: usize, place: usize, new: u64) {
        let next_epoch = self.published.epoch + 1;
        let old = self.partitions[number].partition.replicas[place];
        let old_may_return = old.whole && self.store(old.store).is_some();
        let entry = &mut self.partitions[number];
        entry.changed_epoch = next_epoch;
        entry.partition.replicas[place] = Replica { store: new, whole: false };
        entry.partition.sources.retain(|source| *source != new);
        if old_may_return && !entry.partition.sources.contains(&old.store) {
            entry.partition.sources.push(old.store);
        }
    }

    /// A partition whose every copy was wiped has nothing to copy from: it begins anew, empty.
    fn give_up_if_nothing_is_left(&mut self, number: usize) {
        let partition = &mut self.partitions[number].partition;
        let something_left =
            partition.replicas.iter().any(|replica| replica.whole) || !partition.sources.is_empty();
        if !something_left {
            for replica in &mut partition.replicas {
                replica.whole = true;
            }
        }
    }

    fn drop_sources(&mut self, number: usize) {
        let known: Vec<u64> = self.stores.iter().map(|entry| entry.node.identity).collect();
        let partition = &mut self.partitions[number].partition;
        if all_whole(partition) {
            partition.sources.clear();
        } else {
            partition.sources.retain(|source| known.contains(source));
        }
    }

    /// Moves one replica of a partition whose replicas are all whole and heard.
    fn move_one(&mut self, number: usize) -> bool {
        if !self.may_move(number) {
            return false;
        }
        if self.grow(number) {
            return true;
        }
        let Some((place, new)) = self.retiring_move(number).or_else(|| self.balancing_move(number)) else {
            return false;
        };
        self.replace(number, place, new);
        true
    }

    fn may_move(&self, number: usize) -> bool {
        let partition = &self.partitions[number].partition;
        all_whole(partition)
            && partition
                .replicas
                .iter()
                .all(|replica| self.store(replica.store).is_some_and(|entry| entry.silence == Silence::Heard))
    }

    /// Adds a replica to a partition that has fewer than it should.
    fn grow(&mut self, number: usize) -> bool {
        if self.partitions[number].partition.replicas.len() >= usize::from(self.replicas_wanted) {
            return false;
        }
        let Some(new) = self.best_other(number, true) else { return false };
        let next_epoch = self.published.epoch + 1;
        let entry = &mut self.partitions[number];
        entry.changed_epoch = next_epoch;
        entry.partition.replicas.push(Replica { store: new, whole: false });
        true
    }

    /// A replica on a store that is being emptied, and where it goes.
    fn retiring_move(&self, number: usize) -> Option<(usize, u64)> {
        let place = self.partitions[number].partition.replicas.iter().position(|replica| {
            self.store(replica.store).is_some_and(|entry| entry.node.state != StoreState::Active)
        })?;
        Some((place, self.best_other(number, false)?))
    }

    /// A replica that should lie on another store by its hash.
    fn balancing_move(&self, number: usize) -> Option<(usize, u64)> {
        if self.stores.iter().any(|entry| entry.silence == Silence::Short) {
            return None;
        }
        let candidates = self.candidates(true);
        let wanted = placement::choose(number as u16, &candidates, usize::from(self.replicas_wanted));
        if wanted.len() < usize::from(self.replicas_wanted) {
            return None;
        }
        let replicas = &self.partitions[number].partition.replicas;
        let place = replicas.iter().position(|replica| !wanted.contains(&replica.store))?;
        let new = wanted.into_iter().find(|store| replicas.iter().all(|replica| replica.store != *store))?;
        Some((place, new))
    }
}
