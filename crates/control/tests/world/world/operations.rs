//! Starts, disks and messages of machines, and the pending operations that forward commands and reads to the owner of a group.

use super::*;
use opalrun_control::shards::log_index;
use opalrun_wire::ids::NodeIdentity;

impl World {
    pub(super) fn start_machines(&mut self) {
        let (now, hosts_lost, min_members) = (self.now, self.hosts_lost, self.min_members());
        for node in &mut self.nodes {
            if node.process.is_none() && node.restarts_at.is_some_and(|at| now >= at) {
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
                self.handle_ready(slot);
            }
        }
    }

    pub(super) fn deliver(&mut self) {
        while let Some((slot, packet)) = self.network.pop_arrived(self.now) {
            let now = self.now;
            let node = &mut self.nodes[slot];
            if now < node.frozen_until {
                // The message stays in the socket buffer until the process runs again.
                self.network.redeliver_at(node.frozen_until, slot, packet);
                continue;
            }
            let Some(process) = &mut node.process else { continue };
            match packet {
                Packet::Replication { group, message } => {
                    if node_identity(message.to) == node.identity {
                        process.last_contact.insert(node_identity(message.from), now);
                    }
                    process.replica(group).step(now, message);
                }
                Packet::Call { from, number, call } => {
                    let reply_target = ReplyTarget::Process { slot: from, number };
                    if let Some(answer) = process.answer(call, reply_target) {
                        self.answer(slot, reply_target, answer);
                    }
                }
                Packet::Answer { number, answer } => self.handle_answer(number, answer),
            }
            self.handle_ready(slot);
        }
    }

    pub(super) fn handle_ready(&mut self, slot: usize) {
        let node = &mut self.nodes[slot];
        let identity = node.identity;
        let Some(process) = &mut node.process else { return };
        let Effects { packets, writes, answers, leaderships, committed } = process.handle_ready(identity);
        for (group, write) in writes {
            let due = self.now + self.random.u64(1..MAX_SYNC_MS);
            let due = node.writes.back().map_or(due, |(last, _, _)| due.max(*last));
            node.writes.push_back((due, group, write));
        }
        for (group, term, leader) in leaderships {
            let known = *self.leaders.entry((group, term)).or_insert(leader);
            assert_eq!(known, leader, "term {term} of group {group} has two leaders");
        }
        for (group, entry) in committed {
            let known = self.committed.entry((group, entry.index)).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "different entries are committed at the same index");
        }
        for (to, packet) in packets {
            self.send(slot, to, &packet);
        }
        for (reply_target, answer) in answers {
            self.answer(slot, reply_target, answer);
        }
    }

    /// Sends a packet to the machine that currently has the identity `to`.
    pub(super) fn send(&mut self, from: usize, to: NodeIdentity, packet: &Packet) {
        if let Some(slot) = self.nodes.iter().position(|node| node.identity == to) {
            self.network.send(&mut self.random, self.now, from, slot, packet);
        }
    }

    pub(super) fn answer(&mut self, slot: usize, reply_target: ReplyTarget, answer: ControlAnswer) {
        match reply_target {
            ReplyTarget::Process { slot: to, number } => {
                let packet = Packet::Answer { number, answer };
                self.network.send(&mut self.random, self.now, slot, to, &packet);
            }
            ReplyTarget::Operation(number) => self.handle_answer(number, answer),
            ReplyTarget::Nobody => {}
        }
    }

    /// Begins an operation at a machine after a short delay. Its process may have ended by then.
    pub(super) fn begin_operation(&mut self, slot: usize, kind: OperationKind, caller: Caller) {
        self.next_number += 1;
        let phase = Phase::Starting { at: self.now + self.random.u64(1..4) };
        let until = self.now + OPERATION_TIMEOUT_MS;
        self.operations.insert(self.next_number, PendingOperation { slot, kind, phase, until, caller });
    }

    pub(super) fn advance_operations(&mut self) {
        for number in self.operations.keys().copied().collect::<Vec<_>>() {
            let Some(operation) = self.operations.get(&number) else { continue };
            let (slot, phase) = (operation.slot, operation.phase);
            if self.now >= operation.until {
                self.operations.remove(&number);
                continue;
            }
            let now = self.now;
            let node = &mut self.nodes[slot];
            if !node.is_running(now) {
                continue;
            }
            match phase {
                Phase::Starting { at } if now >= at => self.send_to_owner(number),
                Phase::AwaitingApply { offset } => {
                    let process = node.process.as_ref();
                    if process.is_some_and(|process| log_index(process.shards.offset(Shard(0))) >= offset) {
                        self.finish_read(number);
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn send_to_owner(&mut self, number: u64) {
        let Some(operation) = self.operations.get_mut(&number) else { return };
        operation.phase = Phase::AwaitingOwner;
        let (slot, kind) = (operation.slot, operation.kind.clone());
        let group = if let OperationKind::Propose { group, .. } = &kind { *group } else { Shard(0) };
        let Some(process) = &mut self.nodes[slot].process else { return };
        let reply_target = ReplyTarget::Operation(number);
        let call = match kind {
            OperationKind::Propose { group, command } => ControlCall::Propose { shard: group, command },
            OperationKind::Read => ControlCall::ReadIndex { shard: Shard(0) },
        };
        if process.leads(group) {
            if let Some(answer) = process.answer(call, reply_target) {
                self.handle_answer(number, answer);
            }
            return self.handle_ready(slot);
        }
        match process.replica(group).leader() {
            Some(owner) => self.send(slot, node_identity(owner), &Packet::Call { from: slot, number, call }),
            None => self.handle_answer(number, ControlAnswer::NotOwner),
        }
    }

    pub(super) fn handle_answer(&mut self, number: u64, answer: ControlAnswer) {
        let now = self.now;
        let Some(operation) = self.operations.get_mut(&number) else { return };
        if operation.phase != Phase::AwaitingOwner {
            return;
        }
        match (answer, &operation.kind) {
            (ControlAnswer::Proposed { outcome, .. }, OperationKind::Propose { .. }) => {
                let caller = operation.caller;
                self.operations.remove(&number);
                self.handle_outcome(caller, &outcome);
            }
            (ControlAnswer::Offset(offset), OperationKind::Read) => {
                operation.phase = Phase::AwaitingApply { offset }
            }
            (ControlAnswer::NotOwner, _) | (ControlAnswer::Unavailable, OperationKind::Read) => {
                operation.phase = Phase::Starting { at: now + OWNER_RETRY_DELAY_MS };
            }
            _ => {
                self.operations.remove(&number);
            }
        }
    }

    pub(super) fn handle_outcome(&mut self, caller: Caller, outcome: &[u8]) {
        match caller {
            Caller::Operator { number, history_index } => {
                let outcome: ConfigurationOutcome = decode(outcome).expect("the outcome can be decoded");
                if let Some(answer) = operator_answer(&outcome) {
                    self.answer_operator(number, history_index, answer);
                }
            }
            Caller::Worker { number, sequence, stage } => self.answer_worker(number, sequence, stage),
            Caller::Nobody => {}
        }
    }

    pub(super) fn finish_read(&mut self, number: u64) {
        let Some(operation) = self.operations.remove(&number) else { return };
        let Some(process) = &self.nodes[operation.slot].process else { return };
        let answer = process.shards.with_configuration(|shard| match shard.configuration() {
            None => OperatorAnswer::Configuration { generation: 0, body: 0 },
            Some(configuration) => OperatorAnswer::Configuration {
                generation: configuration.generation.0,
                body: u64::from_le_bytes(configuration.body[..8].try_into().expect("eight bytes")),
            },
        });
        if let Caller::Operator { number, history_index } = operation.caller {
            self.answer_operator(number, history_index, answer);
        }
    }
}
