//! Machines and the operations under way at them: starts, disks, messages, and commands and reads on their way to an owner.

use super::*;
use opalrun_control::shards::log_index;
use opalrun_wire::ids::NodeIdentity;

impl World {
    pub(super) fn start_machines(&mut self) {
        let (now, hosts_lost, min_members) = (self.now, self.hosts_lost, self.min_members());
        for node in &mut self.nodes {
            if node.process.is_none() && node.back_at.is_some_and(|at| now >= at) {
                node.start(now, self.random.u64(..), hosts_lost, min_members);
            }
        }
    }

    pub(super) fn sync_disks(&mut self) {
        for slot in 0..self.nodes.len() {
            let now = self.now;
            let node = &mut self.nodes[slot];
            if node.writes.front().is_some_and(|(due, _, _)| *due <= now) {
                node.sync(now);
                self.carry_out(slot);
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        while let Some((slot, packet)) = self.network.pop_arrived(self.now) {
            let now = self.now;
            let node = &mut self.nodes[slot];
            if now < node.frozen_until {
                // It lies in the socket until the process runs again.
                self.network.redeliver_at(node.frozen_until, slot, packet);
                continue;
            }
            let Some(process) = &mut node.process else { continue };
            match packet {
                Packet::Replication { group, message } => {
                    if node_identity(message.to) == node.identity {
                        process.heard.insert(node_identity(message.from), now);
                    }
                    process.replica(group).step(now, message);
                }
                Packet::Call { from, number, call } => {
                    let waiter = Waiter::Process { slot: from, number };
                    if let Some(answer) = process.answer(call, waiter) {
                        self.answer(slot, waiter, answer);
                    }
                }
                Packet::Answer { number, answer } => self.take_answer(number, answer),
            }
            self.carry_out(slot);
        }
    }

    pub(super) fn carry_out(&mut self, slot: usize) {
        let node = &mut self.nodes[slot];
        let identity = node.identity;
        let Some(process) = &mut node.process else { return };
        let Effects { packets, writes, answers, led, committed } = process.carry_out(identity);
        for (group, write) in writes {
            let due = self.now + self.random.u64(1..MAX_SYNC_MS);
            let due = node.writes.back().map_or(due, |(last, _, _)| due.max(*last));
            node.writes.push_back((due, group, write));
        }
        for (group, term, leader) in led {
            let known = *self.leaders.entry((group, term)).or_insert(leader);
            assert_eq!(known, leader, "two owners act in term {term} of group {group}");
        }
        for (group, entry) in committed {
            let known = self.committed.entry((group, entry.index)).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "a committed entry changed");
        }
        for (to, packet) in packets {
            self.post(slot, to, &packet);
        }
        for (waiter, answer) in answers {
            self.answer(slot, waiter, answer);
        }
    }

    /// Sends to the machine that has this identity now.
    pub(super) fn post(&mut self, from: usize, to: NodeIdentity, packet: &Packet) {
        if let Some(slot) = self.nodes.iter().position(|node| node.identity == to) {
            self.network.send(&mut self.random, self.now, from, slot, packet);
        }
    }

    pub(super) fn answer(&mut self, slot: usize, waiter: Waiter, answer: ControlAnswer) {
        match waiter {
            Waiter::Process { slot: to, number } => {
                let packet = Packet::Answer { number, answer };
                self.network.send(&mut self.random, self.now, slot, to, &packet);
            }
            Waiter::Operation(number) => self.take_answer(number, answer),
            Waiter::Nobody => {}
        }
    }

    /// Begins an operation at a machine; its process may be gone when it comes to it.
    pub(super) fn begin(&mut self, slot: usize, goal: Goal, caller: Caller) {
        self.next_number += 1;
        let phase = Phase::Begins { at: self.now + self.random.u64(1..4) };
        let until = self.now + OPERATION_TIMEOUT_MS;
        self.working.insert(self.next_number, Working { slot, goal, phase, until, caller });
    }

    pub(super) fn work(&mut self) {
        for number in self.working.keys().copied().collect::<Vec<_>>() {
            let Some(working) = self.working.get(&number) else { continue };
            let (slot, phase) = (working.slot, working.phase);
            if self.now >= working.until {
                self.working.remove(&number);
                continue;
            }
            let now = self.now;
            let node = &mut self.nodes[slot];
            if !node.is_running(now) {
                continue;
            }
            match phase {
                Phase::Begins { at } if now >= at => self.ask_owner(number),
                Phase::Applies { offset } => {
                    let process = node.process.as_ref();
                    if process.is_some_and(|process| log_index(process.shards.offset(Shard(0))) >= offset) {
                        self.finish_read(number);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn ask_owner(&mut self, number: u64) {
        let Some(working) = self.working.get_mut(&number) else { return };
        working.phase = Phase::Waits;
        let (slot, goal) = (working.slot, working.goal.clone());
        let group = if let Goal::Propose { group, .. } = &goal { *group } else { Shard(0) };
        let Some(process) = &mut self.nodes[slot].process else { return };
        let waiter = Waiter::Operation(number);
        let call = match goal {
            Goal::Propose { group, command } => ControlCall::Propose { shard: group, command },
            Goal::Read => ControlCall::ReadIndex { shard: Shard(0) },
        };
        if process.leads(group) {
            if let Some(answer) = process.answer(call, waiter) {
                self.take_answer(number, answer);
            }
            return self.carry_out(slot);
        }
        match process.replica(group).leader() {
            Some(owner) => self.post(slot, node_identity(owner), &Packet::Call { from: slot, number, call }),
            None => self.take_answer(number, ControlAnswer::NotOwner),
        }
    }

    pub(super) fn take_answer(&mut self, number: u64, answer: ControlAnswer) {
        let now = self.now;
        let Some(working) = self.working.get_mut(&number) else { return };
        if working.phase != Phase::Waits {
            return;
        }
        match (answer, &working.goal) {
            (ControlAnswer::Proposed { outcome, .. }, Goal::Propose { .. }) => {
                let caller = working.caller;
                self.working.remove(&number);
                self.proposed(caller, &outcome);
            }
            (ControlAnswer::Offset(offset), Goal::Read) => working.phase = Phase::Applies { offset },
            (ControlAnswer::NotOwner, _) | (ControlAnswer::Unavailable, Goal::Read) => {
                working.phase = Phase::Begins { at: now + OWNER_RETRY_DELAY_MS };
            }
            _ => {
                self.working.remove(&number);
            }
        }
    }

    pub(super) fn proposed(&mut self, caller: Caller, outcome: &[u8]) {
        match caller {
            Caller::Operator { number, recorded } => {
                let outcome: ConfigurationOutcome = decode(outcome).expect("an outcome");
                if let Some(answer) = operator_answer(&outcome) {
                    self.answer_operator(number, recorded, answer);
                }
            }
            Caller::Worker { number, sequence, stage } => self.answer_worker(number, sequence, stage),
            Caller::Nobody => {}
        }
    }

    pub(super) fn finish_read(&mut self, number: u64) {
        let Some(working) = self.working.remove(&number) else { return };
        let Some(process) = &self.nodes[working.slot].process else { return };
        let answer = process.shards.with_configuration(|shard| match shard.configuration() {
            None => OperatorAnswer::Configuration { generation: 0, body: 0 },
            Some(held) => OperatorAnswer::Configuration {
                generation: held.generation.0,
                body: u64::from_le_bytes(held.body[..8].try_into().expect("eight bytes")),
            },
        });
        if let Caller::Operator { number, recorded } = working.caller {
            self.answer_operator(number, recorded, answer);
        }
    }
}
