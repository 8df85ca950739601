//! Injection of machine and network faults.

use super::*;

impl World {
    /// Kills a process. If `power_stays`, all its queued writes reach the disk, otherwise a random number of the oldest ones.
    pub(super) fn kill(&mut self, slot: usize, restarts_at: Option<u64>, power_stays: bool) {
        self.log_fault(&format!(
            "machine {slot} ({}) is killed, restarts at {restarts_at:?}",
            self.nodes[slot].identity
        ));
        let waiting = self.nodes[slot].writes.len();
        let kept = if power_stays { waiting } else { self.random.usize(0..=waiting) };
        let node = &mut self.nodes[slot];
        node.process = None;
        node.frozen_until = 0;
        for (_, group, write) in node.writes.drain(..).take(kept) {
            node.disks[group.position()].write(&write);
        }
        node.restarts_at = restarts_at;
        self.operations.retain(|_, operation| operation.slot != slot);
    }

    pub(super) fn wipe(&mut self, slot: usize, restarts_at: u64) {
        self.log_fault(&format!("machine {slot} loses its disk"));
        self.kill(slot, Some(restarts_at), false);
        self.next_identity.0 += 1;
        let identity = self.next_identity;
        let fresh = Node::new(slot, identity, None);
        self.nodes[slot] = Node { restarts_at: Some(restarts_at), ..fresh };
        self.disks_lost += 1;
    }

    /// Returns the machines that are running or will restart, and are not asked to shut down.
    pub(super) fn present(&self) -> Vec<usize> {
        let ending = |slot: usize| self.shutdowns.iter().any(|shutdown| shutdown.slot == slot);
        let is_there = |slot: &usize| {
            (self.nodes[*slot].process.is_some() || self.nodes[*slot].restarts_at.is_some()) && !ending(*slot)
        };
        (0..self.nodes.len()).filter(is_there).collect()
    }

    pub(super) fn inject_fault(&mut self) {
        let now = self.now;
        self.losses.retain(|loss| now < loss.until);
        if self.random.u8(0..100) >= self.faults.percent {
            return;
        }
        let is_any_shutting_down = self
            .nodes
            .iter()
            .filter_map(|node| node.process.as_ref())
            .any(|process| process.shutdown.is_some());
        match self.random.u8(0..20) {
            // A machine that is shutting down can leave its groups only while they have a quorum.
            0 if !is_any_shutting_down => self.lose_power_everywhere(),
            1 if !is_any_shutting_down => self.partition_into_halves(),
            _ if self.losses.len() < self.hosts_lost && now >= self.recovering_until => self.lose_one(),
            _ => {}
        }
    }

    pub(super) fn lose_power_everywhere(&mut self) {
        for slot in self.present() {
            let restarts_at = self.now + self.random.u64(100..1_200);
            self.kill(slot, Some(restarts_at), false);
            self.recovering_until = self.recovering_until.max(restarts_at + CATCH_UP_MS);
        }
    }

    pub(super) fn partition_into_halves(&mut self) {
        let until = self.now + self.random.u64(500..6_000);
        self.log_fault(&format!("network is partitioned into halves until {until}"));
        let mut slots = self.present();
        self.random.shuffle(&mut slots);
        let half = slots.len() / 2;
        self.recovering_until = self.recovering_until.max(until + CATCH_UP_MS);
        for one in &slots[..half] {
            for other in &slots[half..] {
                self.partition(*one, *other, until);
                self.partition(*other, *one, until);
            }
        }
    }

    pub(super) fn partition(&mut self, from: usize, to: usize, until: u64) {
        self.network.partition(from, to);
        self.partitions.push(PartitionedLink { from, to, until });
    }

    /// One machine is lost temporarily or permanently.
    pub(super) fn lose_one(&mut self) {
        let present = self.present();
        let is_lost = |slot: &usize| self.losses.iter().any(|loss| loss.slot == *slot);
        let candidates: Vec<usize> = present.into_iter().filter(|slot| !is_lost(slot)).collect();
        let Some(slot) = self.random.choice(&candidates).copied() else { return };
        let kinds = if self.faults.changes_membership { 20 } else { 4 };
        let restarts_at = match self.random.u8(0..kinds) {
            0 => self.kill_for_a_while(slot),
            1 => self.freeze(slot),
            2 | 3 => self.isolate(slot),
            4..=10 => self.lose_disk(slot),
            11..=15 => self.replace_unplanned(slot),
            _ => return self.replace_planned(slot),
        };
        self.losses.push(Loss { slot, until: restarts_at + CATCH_UP_MS });
    }

    pub(super) fn kill_for_a_while(&mut self, slot: usize) -> u64 {
        let restarts_at = self.now + self.random.u64(50..4_000);
        let power_stays = self.random.bool();
        self.kill(slot, Some(restarts_at), power_stays);
        restarts_at
    }

    pub(super) fn freeze(&mut self, slot: usize) -> u64 {
        let until = self.now + self.random.u64(300..20_000);
        self.log_fault(&format!("machine {slot} is frozen until {until}"));
        self.nodes[slot].frozen_until = until;
        until
    }

    /// Partitions a machine from all others, in one or both directions.
    pub(super) fn isolate(&mut self, slot: usize) -> u64 {
        let until = self.now + self.random.u64(500..25_000);
        let direction = self.random.u8(0..4);
        self.log_fault(&format!("machine {slot} is isolated until {until}, direction {direction}"));
        for other in (0..self.nodes.len()).filter(|other| *other != slot) {
            if direction != 0 {
                self.partition(slot, other, until);
            }
            if direction != 1 {
                self.partition(other, slot, until);
            }
        }
        until
    }

    /// A machine loses its disk; in one of four cases all machines lose power at the same time.
    pub(super) fn lose_disk(&mut self, slot: usize) -> u64 {
        let restarts_at = self.now + self.random.u64(200..2_000);
        if self.random.u8(0..4) == 0 {
            self.lose_power_everywhere();
        }
        self.wipe(slot, restarts_at);
        restarts_at
    }

    /// A machine is removed permanently; an empty machine is added in another slot within 1.5 s.
    pub(super) fn replace_unplanned(&mut self, slot: usize) -> u64 {
        let restarts_at = self.now + self.random.u64(0..1_500);
        self.kill(slot, None, false);
        self.add_machine(restarts_at);
        restarts_at
    }

    /// An empty machine is added, and later the machine `slot` is asked to shut down permanently.
    pub(super) fn replace_planned(&mut self, slot: usize) {
        let added_at = self.now;
        self.add_machine(added_at);
        let ends_at = added_at + self.random.u64(200..7_000);
        self.log_fault(&format!("machine {slot} is to shut down at {ends_at}"));
        self.shutdowns.push(PlannedShutdown { slot, at: ends_at, restarts_at: None });
        // The machine counts as lost until its successor has had time to catch up.
        self.losses.push(Loss { slot, until: added_at + CATCH_UP_MS });
    }

    pub(super) fn add_machine(&mut self, restarts_at: u64) {
        self.log_fault(&format!("machine {} is added at {restarts_at}", self.nodes.len()));
        self.next_identity.0 += 1;
        self.machines_replaced += 1;
        let node = Node::new(self.nodes.len(), self.next_identity, None);
        self.nodes.push(Node { restarts_at: Some(restarts_at), ..node });
    }
}
