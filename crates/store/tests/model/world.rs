//! Model of all processes, the messages in flight between them, and the events that may happen in any order.

use crate::{
    Choices,
    holder::{Holder, PendingAcquisition},
    node::{Node, Requester},
};
use opalrun_store::state::COUNT_RETENTION;
use opalrun_store_client::{
    QuorumTracker,
    lease_acquisition::{LeaseAcquisition, Progress, Round},
};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, partition_of},
    ids::{Epoch, NodeIdentity, Partition},
    store::{CountEntry, StoreReply, StoreRequest, Turn, keep_ms},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Time at which a run begins.
const START: Duration = Duration::from_secs(1);
const BUDGET: u64 = 2;
const PROGRAM: &str = "p";
const HOLDERS: usize = 3;
const TURN_IDS: [&str; 3] = ["t0", "t1", "t2"];
/// Number of requests in flight at which operations add no further ones.
const MAX_MESSAGES: usize = 24;
/// Requested retention of turns and extensions, in milliseconds.
const RETENTIONS_MS: [u64; 3] = [5_000, 20_000, 60_000];
/// Upper bound on one step of the clock.
const MAX_CLOCK_STEP: Duration = Duration::from_secs(20);

pub struct World<C> {
    choices: C,
    nodes: Vec<Node>,
    holders: Vec<Holder>,
    /// All maps published so far; the last one is current at control.
    maps: Vec<Rc<StoreMap>>,
    /// Epoch in which the replicas of the partitions last changed.
    replicas_changed_in: Epoch,
    /// The store that replaces one with a lost disk, until its replicas are complete.
    recovering: Option<NodeIdentity>,
    next_identity: NodeIdentity,
    next_operation: u64,
    requests: Vec<(NodeIdentity, Requester, StoreRequest)>,
    replies: Vec<(NodeIdentity, Requester, StoreReply)>,
    turn_operations: BTreeMap<u64, TurnOperation>,
    /// Time until which each acknowledged turn must be kept.
    kept_until: BTreeMap<&'static str, Duration>,
    /// Time on the clock of all processes.
    now: Duration,
    pub grants: u64,
    pub replicas_completed: u64,
}

struct TurnOperation {
    id: &'static str,
    kind: TurnOperationKind,
    /// Time until which the turn must be kept by what was acknowledged before this operation began.
    kept_until: Duration,
    quorum: QuorumTracker,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TurnOperationKind {
    Read,
    /// A write or an extension, which keeps the turn until this time once it is acknowledged.
    Retain {
        until: Duration,
    },
}

impl<C: Choices> World<C> {
    pub fn new(choices: C) -> Self {
        let mut nodes: Vec<Node> = (1..=3).map(NodeIdentity).map(Node::new).collect();
        let replicas = nodes.iter().map(|node| Replica { store: node.identity, is_complete: true }).collect();
        let partition = PartitionReplicas { replicas, sources: Vec::new() };
        let partitions = vec![partition; usize::from(STORE_PARTITIONS)];
        let map = Rc::new(StoreMap { epoch: Epoch(1), stores: Vec::new(), partitions });
        let mut holders: Vec<Holder> = (0..HOLDERS as u64).map(|number| Holder::new(100 + number)).collect();
        for node in &mut nodes {
            node.set_map(&map);
        }
        for holder in &mut holders {
            holder.map = map.clone();
        }
        Self {
            choices,
            nodes,
            holders,
            maps: vec![map],
            replicas_changed_in: Epoch(1),
            recovering: None,
            next_identity: NodeIdentity(4),
            next_operation: 1,
            requests: Vec::new(),
            replies: Vec::new(),
            turn_operations: BTreeMap::new(),
            kept_until: BTreeMap::new(),
            now: START,
            grants: 0,
            replicas_completed: 0,
        }
    }

    pub fn check(&self, seed: u64) {
        let leased: u64 = self.holders.iter().map(|holder| holder.leased).sum();
        assert!(leased <= BUDGET, "seed {seed}: {leased} units are leased");
    }

    pub fn step(&mut self) {
        match self.choices.below(100) {
            0..=39 => self.deliver_request(),
            40..=62 => self.deliver_reply(),
            63..=72 => self.sync_one(),
            73..=77 => self.start_acquisition(),
            78..=81 => self.start_second_round(),
            82..=84 => self.notify_holder(),
            85..=88 => self.notify_node(),
            89..=91 => self.start_turn_operation(),
            92..=93 => self.request_pages(),
            94..=95 => self.mark_complete(),
            96..=97 => self.reduce_or_cancel(),
            98 => self.advance_clock(),
            _ => self.inject_fault(),
        }
        self.check(0);
    }

    fn map(&self) -> &Rc<StoreMap> {
        &self.maps[self.maps.len() - 1]
    }

    fn publish(&mut self, change: impl Fn(&mut PartitionReplicas)) {
        let mut map = StoreMap::clone(self.map());
        map.epoch = map.epoch.next();
        map.partitions.iter_mut().for_each(change);
        self.maps.push(Rc::new(map));
    }

    fn deliver_request(&mut self) {
        if self.requests.is_empty() {
            return;
        }
        let index = self.choices.below(self.requests.len());
        // A request may be delivered twice, like a retry.
        let (to, requester, request) = if self.choices.once_in(8) {
            self.requests[index].clone()
        } else {
            self.requests.swap_remove(index)
        };
        let now = self.now;
        if let Some(node) = self.nodes.iter_mut().find(|node| node.identity == to)
            && let Some(reply) = node.handle(requester, &request, now)
        {
            self.replies.push((to, requester, reply));
        }
    }

    fn deliver_reply(&mut self) {
        if self.replies.is_empty() {
            return;
        }
        let index = self.choices.below(self.replies.len());
        let (from, requester, reply) = self.replies.swap_remove(index);
        match requester {
            Requester::Transfer { store, partition, epoch } => {
                if let Some(node) = self.nodes.iter_mut().find(|node| node.identity == store) {
                    node.merge_page(partition, epoch, from, reply, self.now);
                }
            }
            Requester::Operation { holder, operation, second_round } => match reply {
                StoreReply::Count { is_complete, entries } => {
                    self.acquisition_replied(holder, operation, second_round, from, is_complete, &entries);
                }
                reply => self.turn_replied(operation, from, &reply),
            },
        }
    }

    fn sync_one(&mut self) {
        let index = self.choices.below(self.nodes.len());
        let node = &mut self.nodes[index];
        let from = node.identity;
        let sent = node.sync();
        self.replies.extend(sent.into_iter().map(|(requester, reply)| (from, requester, reply)));
    }

    fn send_to_all(&mut self, partition: &PartitionReplicas, requester: Requester, request: &StoreRequest) {
        if self.requests.len() < MAX_MESSAGES {
            for replica in &partition.replicas {
                self.requests.push((replica.store, requester, request.clone()));
            }
        }
    }

    fn start_acquisition(&mut self) {
        let holder = self.choices.below(HOLDERS);
        let wanted_more = 1 + self.choices.below(8) as u64 / 7;
        let operation = self.next_operation;
        let state = &mut self.holders[holder];
        if state.pending.is_some() {
            self.send_acquisition(holder);
            return;
        }
        self.next_operation += 1;
        let wanted = state.leased + wanted_more;
        let entry = state.next_entry(wanted);
        let partition = state.map.partitions[partition_of(PROGRAM).position()].clone();
        let epoch = state.map.epoch;
        state.pending = Some(PendingAcquisition {
            operation,
            epoch,
            entry,
            acquisition: LeaseAcquisition::new(state.number, &partition),
            partition,
            second_round_sent: false,
        });
        self.send_acquisition(holder);
    }

    /// Sends the requests of an acquisition's current round, for the first time or as a retry.
    fn send_acquisition(&mut self, holder: usize) {
        let Some(pending) = &self.holders[holder].pending else { return };
        let second_round = pending.second_round_sent;
        let requester = Requester::Operation { holder, operation: pending.operation, second_round };
        let (partition, request) = (pending.partition.clone(), write(pending.epoch, pending.entry));
        self.send_to_all(&partition, requester, &request);
    }

    fn start_second_round(&mut self) {
        let holder = self.choices.below(HOLDERS);
        let state = &mut self.holders[holder];
        let Some(pending) = &mut state.pending else { return };
        if pending.acquisition.progress() != Progress::AtQuorum || pending.second_round_sent {
            return;
        }
        pending.acquisition.start_second_round();
        pending.second_round_sent = true;
        self.send_acquisition(holder);
    }

    fn acquisition_replied(
        &mut self,
        holder: usize,
        operation: u64,
        second_round: bool,
        from: NodeIdentity,
        is_complete: bool,
        entries: &[CountEntry],
    ) {
        let state = &mut self.holders[holder];
        let Some(pending) = state.pending.as_mut().filter(|pending| pending.operation == operation) else {
            return;
        };
        let round = if second_round { Round::Second } else { Round::First };
        pending.acquisition.record_reply(round, from, is_complete, entries);
        let Progress::Done { others_taken } = pending.acquisition.progress() else { return };
        let wanted = pending.entry.taken;
        state.pending = None;
        let fits = wanted.min(BUDGET.saturating_sub(others_taken));
        if fits > state.leased {
            state.leased = fits;
            self.grants += 1;
        }
        if state.leased < wanted {
            self.write_leased(holder);
        }
    }

    /// Gives units back, or cancels the acquisition in progress.
    fn reduce_or_cancel(&mut self) {
        let holder = self.choices.below(HOLDERS);
        let back = 1 + self.choices.below(3) as u64;
        let cancels = self.choices.once_in(3);
        let state = &mut self.holders[holder];
        if state.pending.is_none() {
            state.leased = state.leased.saturating_sub(back);
        } else if cancels {
            state.pending = None;
        } else {
            return;
        }
        self.write_leased(holder);
    }

    fn write_leased(&mut self, holder: usize) {
        let operation = self.next_operation;
        self.next_operation += 1;
        let state = &mut self.holders[holder];
        let entry = state.next_entry(state.leased);
        let partition = state.map.partitions[partition_of(PROGRAM).position()].clone();
        let request = write(state.map.epoch, entry);
        self.send_to_all(
            &partition,
            Requester::Operation { holder, operation, second_round: false },
            &request,
        );
    }

    /// Starts a write, an extension or a read of a turn.
    fn start_turn_operation(&mut self) {
        let holder = self.choices.below(HOLDERS);
        let id = TURN_IDS[self.choices.below(TURN_IDS.len())];
        let retention_ms = RETENTIONS_MS[self.choices.below(RETENTIONS_MS.len())];
        let map = self.holders[holder].map.clone();
        let operation = self.next_operation;
        self.next_operation += 1;
        let (epoch, partition) = (map.epoch, &map.partitions[partition_of(id).position()]);
        let retain =
            TurnOperationKind::Retain { until: self.now + Duration::from_millis(keep_ms(retention_ms)) };
        let (kind, request) = match self.choices.below(3) {
            0 => (retain, StoreRequest::PutTurn { epoch, turn: turn(id, retention_ms) }),
            1 => {
                let (partition, ids) = (partition_of(id), vec![id.to_owned()]);
                (retain, StoreRequest::ExtendTurns { epoch, partition, ids, retention_ms })
            }
            _ => (TurnOperationKind::Read, StoreRequest::GetTurn { epoch, id: id.to_owned() }),
        };
        let kept_until = self.kept_until.get(id).copied().unwrap_or_default();
        let quorum = QuorumTracker::new(partition);
        self.turn_operations.insert(operation, TurnOperation { id, kind, kept_until, quorum });
        self.send_to_all(
            partition,
            Requester::Operation { holder, operation, second_round: false },
            &request,
        );
    }

    fn turn_replied(&mut self, operation: u64, from: NodeIdentity, reply: &StoreReply) {
        let Some(turn_operation) = self.turn_operations.get_mut(&operation) else { return };
        match reply {
            StoreReply::Stored { is_complete } | StoreReply::Turn { turn: None, is_complete, .. } => {
                turn_operation.quorum.record(from, *is_complete);
            }
            StoreReply::Turn { turn: Some(_), .. } => {
                self.turn_operations.remove(&operation);
                return;
            }
            _ => return,
        }
        if !turn_operation.quorum.is_quorum() {
            return;
        }
        let (id, kind, kept_until) = (turn_operation.id, turn_operation.kind, turn_operation.kept_until);
        self.turn_operations.remove(&operation);
        match kind {
            TurnOperationKind::Read => {
                assert!(kept_until <= self.now, "an acknowledged turn was reported as absent");
            }
            TurnOperationKind::Retain { until } => {
                let kept_until = self.kept_until.entry(id).or_default();
                *kept_until = until.max(*kept_until);
            }
        }
    }

    /// Advances the clock, and removes what has expired. A run is too short for the expiry of counts.
    fn advance_clock(&mut self) {
        let step = MAX_CLOCK_STEP.mul_f64(self.choices.below(256) as f64 / 255.0);
        if self.now + step >= START + COUNT_RETENTION {
            return;
        }
        self.now += step;
        for node in &mut self.nodes {
            node.expire(&used_partitions(), self.now);
        }
    }

    fn notify_holder(&mut self) {
        // The first holder receives maps later than the others.
        let holder = self.choices.below(HOLDERS);
        if holder == 0 && !self.choices.once_in(12) {
            return;
        }
        let map = self.map().clone();
        let state = &mut self.holders[holder];
        if state.map.epoch < map.epoch {
            state.map = map;
            // An acquisition in progress is cancelled, and its entry is reverted in the new layout.
            if state.pending.take().is_some() {
                self.write_leased(holder);
            }
        }
    }

    /// Sends a store the newest map, or the one after the epoch that it has learned.
    fn notify_node(&mut self) {
        // The first store receives maps later than the others.
        let index = self.choices.below(self.nodes.len());
        if index == 0 && !self.choices.once_in(8) {
            return;
        }
        let learned_epoch = self.nodes[index].state.epoch();
        let next = self.maps.iter().find(|map| map.epoch > learned_epoch).cloned();
        let map = if self.choices.once_in(3) { next } else { Some(self.map().clone()) };
        if let Some(map) = map {
            self.nodes[index].set_map(&map);
            self.nodes[index].start_transfers(&used_partitions());
        }
    }

    /// Requests the next page of every running transfer.
    fn request_pages(&mut self) {
        for node in &mut self.nodes {
            for (partition, transfer) in &mut node.transfers {
                let Some(page) = transfer.plan.next_page() else { continue };
                let (partition, epoch) = (*partition, transfer.epoch);
                let requester = Requester::Transfer { store: node.identity, partition, epoch };
                let request = StoreRequest::CopyPartition { epoch, partition, cursor: page.cursor };
                self.requests.push((page.store, requester, request));
                // Next time another source is tried first, as this one may be down.
                transfer.plan.record_failure(page.store);
            }
        }
    }

    /// Control marks the replicas of a store as complete once the store has reported so.
    fn mark_complete(&mut self) {
        let completed_store = self.nodes.iter().find_map(|node| {
            let is_incomplete = |replica: &Replica| replica.store == node.identity && !replica.is_complete;
            let epoch = node.transferred_epoch(&used_partitions())?;
            let is_waiting = self.map().partitions[0].replicas.iter().any(is_incomplete);
            (is_waiting && epoch >= self.replicas_changed_in).then_some(node.identity)
        });
        let Some(store) = completed_store else { return };
        self.publish(|partition| {
            partition
                .replicas
                .iter_mut()
                .filter(|replica| replica.store == store)
                .for_each(|replica| replica.is_complete = true);
            if partition.replicas.iter().all(|replica| replica.is_complete) {
                partition.sources.clear();
            }
        });
        if self.recovering == Some(store) {
            self.recovering = None;
        }
        self.replicas_completed += 1;
    }

    fn inject_fault(&mut self) {
        match self.choices.below(10) {
            0..=2 => {
                let index = self.choices.below(self.nodes.len());
                self.nodes[index].restart(self.now);
            }
            3..=4 => self.lose_message(),
            5..=6 => {
                let index = self.choices.below(self.nodes.len());
                self.nodes[index].compact(self.now);
            }
            7..=8 => self.lose_disk(),
            _ => self.retire(),
        }
    }

    fn lose_message(&mut self) {
        if !self.requests.is_empty() {
            let index = self.choices.below(self.requests.len());
            self.requests.swap_remove(index);
        }
        if !self.replies.is_empty() {
            let index = self.choices.below(self.replies.len());
            self.replies.swap_remove(index);
        }
    }

    /// A store loses its disk and returns with a new identity. Only one at a time, as `hosts_lost` is 1.
    fn lose_disk(&mut self) {
        if self.recovering.is_some() {
            return;
        }
        let index = self.choices.below(self.nodes.len());
        let lost = self.nodes[index].identity;
        let new = self.new_identity();
        self.nodes[index] = Node::new(new);
        self.requests.retain(|(to, _, _)| *to != lost);
        let is_replica = self.map().partitions[0].replicas.iter().any(|replica| replica.store == lost);
        self.replace(lost, new, false);
        if is_replica {
            self.recovering = Some(new);
        }
    }

    /// A store is retired: a new store replaces it and may use it as a source.
    fn retire(&mut self) {
        let map = self.map().clone();
        let replicas = &map.partitions[0].replicas;
        if self.recovering.is_some() || !replicas.iter().all(|replica| replica.is_complete) {
            return;
        }
        let old = replicas[self.choices.below(replicas.len())].store;
        let new = self.new_identity();
        // The store that was retired before is no longer needed as a source.
        self.nodes.retain(|node| replicas.iter().any(|replica| replica.store == node.identity));
        self.nodes.push(Node::new(new));
        self.replace(old, new, true);
    }

    fn new_identity(&mut self) -> NodeIdentity {
        self.next_identity.0 += 1;
        self.next_identity
    }

    fn replace(&mut self, old: NodeIdentity, new: NodeIdentity, old_is_source: bool) {
        self.publish(|partition| {
            partition.sources.retain(|source| *source != old);
            for replica in &mut partition.replicas {
                if replica.store == old {
                    *replica = Replica { store: new, is_complete: false };
                    if old_is_source {
                        partition.sources.push(old);
                    }
                }
            }
        });
        self.replicas_changed_in = self.map().epoch;
    }
}

fn used_partitions() -> Vec<Partition> {
    let mut partitions: Vec<Partition> = TURN_IDS.iter().map(|id| partition_of(id)).collect();
    partitions.push(partition_of(PROGRAM));
    partitions.sort_unstable();
    partitions.dedup();
    partitions
}

fn write(epoch: Epoch, entry: CountEntry) -> StoreRequest {
    StoreRequest::WriteCount { epoch, program: PROGRAM.to_owned(), entry }
}

fn turn(id: &str, retention_ms: u64) -> Turn {
    Turn {
        id: id.to_owned(),
        ancestors: Vec::new(),
        input: vec![1],
        output: vec![2],
        retention_ms,
        worker: String::new(),
    }
}
