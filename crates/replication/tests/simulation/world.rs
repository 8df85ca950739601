//! The simulated world: network, disks, clients and fault injection, with checks of the safety properties.

use opalrun_replication::{
    Entry, LogIndex, LogPosition, Member, MemberId, Membership, Message, Options, Payload, ReadIndexResult,
    Replica, Snapshot, SnapshotMetadata, Term, Write, timing,
};
use opalrun_simulation::ReplicaDisk;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

/// Probabilities and limits of injected faults.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub drop_percent: u8,
    pub duplicate_percent: u8,
    pub slow_percent: u8,
    /// Probability of a partition, a crash or a lost disk at each tick (50 ms), in percent.
    pub fault_percent: u8,
    /// Upper bound (exclusive) of the duration of a sync, in milliseconds.
    pub max_sync_ms: u64,
    pub disk_losses: bool,
}

/// The state machine: a compare-and-set register, and the number of commands applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Register {
    value: u64,
    applied: u64,
}

impl Register {
    fn apply(&mut self, command: &[u8]) -> bool {
        let (expected, new) = decode(command);
        self.applied += 1;
        let matches = self.value == expected;
        if matches {
            self.value = new;
        }
        matches
    }

    /// Encodes the state with padding to 600 KiB, so that a snapshot takes several chunks.
    fn encode(self) -> Vec<u8> {
        let mut bytes = vec![0; 600 << 10];
        bytes[..8].copy_from_slice(&self.value.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.applied.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        let (value, applied) = decode(bytes);
        Self { value, applied }
    }
}

fn encode(a: u64, b: u64) -> Vec<u8> {
    [a.to_le_bytes(), b.to_le_bytes()].concat()
}

fn decode(bytes: &[u8]) -> (u64, u64) {
    let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
    (number(0), number(8))
}

struct Node {
    identity: MemberId,
    address: usize,
    replica: Option<Replica>,
    disk: ReplicaDisk,
    /// Queued writes, oldest first, with the time at which each is synced.
    writes: VecDeque<(u64, Write)>,
    register: Register,
    applied: LogIndex,
    restarts_at: u64,
}

/// A client's command that was proposed at a node and not applied there yet.
struct PendingProposal {
    node: usize,
    term: Term,
    proposed_at: u64,
}

/// A simulated group with its clients. Times are in milliseconds of the simulation's clock.
pub struct World {
    random: fastrand::Rng,
    faults: Faults,
    hosts_lost: usize,
    now: u64,
    nodes: Vec<Node>,
    /// Messages in flight, by delivery time and sequence number.
    messages: BTreeMap<(u64, u64), Message>,
    next_number: u64,
    partitions: BTreeSet<(usize, usize)>,
    partition_ends_at: u64,
    /// The committed entries, which must be the same on all replicas.
    committed: BTreeMap<LogIndex, Rc<Entry>>,
    /// The state after each committed entry.
    states: BTreeMap<LogIndex, Register>,
    leaders: BTreeMap<Term, MemberId>,
    pending: BTreeMap<LogIndex, PendingProposal>,
    /// Pending reads by request number, with the highest index acknowledged before the read.
    reads: BTreeMap<u64, LogIndex>,
    highest_acknowledged: LogIndex,
    acknowledged: usize,
    next_value: u64,
    next_identity: MemberId,
    disk_lost_at: u64,
    is_healthy: bool,
    are_clients_idle: bool,
    /// A node that is currently excluded from the desired members.
    excluded: Option<usize>,
}

impl World {
    pub fn new(seed: u64, nodes: usize, hosts_lost: usize, faults: Faults) -> Self {
        let member = |address: usize| Member {
            identity: MemberId(address as u64 + 1),
            address: address.to_string(),
            is_voter: true,
        };
        let first_members = Membership::new((0..nodes).map(member).collect());
        let mut world = Self {
            random: fastrand::Rng::with_seed(seed),
            faults,
            hosts_lost,
            now: 0,
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            next_number: 0,
            partitions: BTreeSet::new(),
            partition_ends_at: 0,
            committed: BTreeMap::new(),
            states: BTreeMap::new(),
            leaders: BTreeMap::new(),
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            highest_acknowledged: LogIndex(0),
            acknowledged: 0,
            next_value: 1,
            next_identity: MemberId(100),
            disk_lost_at: 0,
            is_healthy: false,
            are_clients_idle: false,
            excluded: None,
        };
        for address in 0..nodes {
            let base = SnapshotMetadata {
                last_included_index: LogIndex(0),
                last_included_term: Term(0),
                membership: first_members.clone(),
            };
            let disk = ReplicaDisk::new(base);
            world.nodes.push(Node {
                identity: MemberId(address as u64 + 1),
                address,
                replica: None,
                disk,
                writes: VecDeque::new(),
                register: Register::default(),
                applied: LogIndex(0),
                restarts_at: 0,
            });
        }
        world
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.step();
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged
    }

    pub fn terms_with_leader(&self) -> usize {
        self.leaders.len()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads =
            |node: &Node| node.replica.as_ref().filter(|replica| replica.is_leader()).map(Replica::term);
        let newest = self.nodes.iter().filter_map(|node| Some((leads(node)?, node.address))).max()?;
        Some(newest.1)
    }

    pub fn transfer_from(&mut self, node: usize) {
        let replica = self.nodes[node].replica.as_mut().expect("the node is running");
        assert!(replica.transfer_leadership(None));
        self.handle_ready(node);
    }

    /// Excludes a node from the desired members; with `None`, all nodes are desired members.
    pub fn exclude(&mut self, node: Option<usize>) {
        self.excluded = node;
    }

    pub fn voters(&self) -> Vec<MemberId> {
        let leader = self.leader().expect("the group has a leader");
        let replica = self.nodes[leader].replica.as_ref().expect("the leader is running");
        replica.membership().voters().collect()
    }

    /// Ends all faults, and checks that the group makes progress again and that no acknowledged entry is lost.
    pub fn heal_and_check(&mut self) {
        self.is_healthy = true;
        self.partitions.clear();
        let before = self.acknowledged;
        self.run(6_000);
        // Clients pause until all messages in flight have arrived.
        self.are_clients_idle = true;
        self.run(500);
        assert!(self.acknowledged > before + 20, "no progress: {} acknowledged", self.acknowledged - before);
        self.pending.clear();
        let leader = self.leader().expect("the group has a leader");
        let leader = self.nodes[leader].replica.as_ref().expect("the leader is running");
        let members = leader.membership().clone();
        let identities: BTreeSet<MemberId> = self.nodes.iter().map(|node| node.identity).collect();
        let voters: BTreeSet<MemberId> = members.voters().collect();
        assert_eq!(voters, identities, "the voters are the running processes");
        assert!(leader.commit_index() >= self.highest_acknowledged);
        for node in &self.nodes {
            assert!(
                node.applied >= self.highest_acknowledged,
                "a member has not applied all acknowledged entries"
            );
        }
    }

    fn step(&mut self) {
        self.restart_nodes();
        self.sync_disks();
        self.deliver();
        if self.now.is_multiple_of(timing::TICK_INTERVAL_MS) {
            self.tick();
            self.inject_faults();
        }
        if self.now.is_multiple_of(20) && !self.are_clients_idle {
            self.issue_client_requests();
        }
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.random.u8(0..100) < percent
    }

    fn restart_nodes(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].replica.is_some() || self.now < self.nodes[index].restarts_at {
                continue;
            }
            let seed = self.random.u64(..);
            let node = &mut self.nodes[index];
            let restored = node.disk.restored();
            let options = Options { identity: node.identity, hosts_lost: self.hosts_lost, seed };
            node.register = node.disk.state().map_or(Register::default(), Register::decode);
            node.applied = node.disk.base_index();
            node.replica = Some(Replica::new(options, restored, self.now));
        }
    }

    fn sync_disks(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let mut newest = None;
            while node.writes.front().is_some_and(|(due, _)| *due <= self.now) {
                if let Some((_, write)) = node.writes.pop_front() {
                    node.disk.write(&write);
                    newest = Some(write.sequence);
                }
            }
            if let (Some(sequence), Some(replica)) = (newest, &mut node.replica) {
                replica.on_persisted(sequence);
                self.handle_ready(index);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            let Some(index) = self.nodes.iter().position(|node| node.identity == message.to) else {
                continue;
            };
            if let Some(replica) = &mut self.nodes[index].replica {
                replica.step(self.now, message);
                self.handle_ready(index);
            }
        }
    }

    fn tick(&mut self) {
        let stays = |node: &&Node| Some(node.address) != self.excluded;
        let desired: Vec<Member> = self.nodes.iter().filter(stays).map(member_of).collect();
        for index in 0..self.nodes.len() {
            if let Some(replica) = &mut self.nodes[index].replica {
                replica.set_desired_members(desired.clone());
                replica.tick(self.now);
                self.handle_ready(index);
                self.compact(index);
            }
        }
    }

    fn compact(&mut self, index: usize) {
        const KEPT_ENTRIES: u64 = 40;
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        // The snapshot is written directly to the disk, so no earlier write may be queued.
        if node.applied < node.disk.base_index() + KEPT_ENTRIES || !node.writes.is_empty() {
            return;
        }
        let kept = self.random.u64(0..30);
        let metadata = replica.applied_snapshot_metadata();
        assert_eq!(metadata.last_included_index, node.applied);
        replica.compact(metadata.last_included_index, kept, 1 << 20);
        node.disk.compact(Snapshot { metadata, state: node.register.encode() });
    }

    fn handle_ready(&mut self, index: usize) {
        loop {
            let node = &mut self.nodes[index];
            let Some(replica) = &mut node.replica else {
                return;
            };
            let ready = replica.ready();
            if replica.is_leader() {
                let known = self.leaders.entry(replica.term()).or_insert(node.identity);
                assert_eq!(*known, node.identity, "term {} has two leaders", replica.term());
            }
            for write in ready.writes {
                let due = self.now + self.random.u64(1..self.faults.max_sync_ms);
                let due = node.writes.back().map_or(due, |(last, _)| due.max(*last));
                node.writes.push_back((due, write));
            }
            if let Some(snapshot) = ready.snapshot_to_install {
                node.register = Register::decode(&snapshot.state);
                node.applied = snapshot.metadata.last_included_index;
                if let Some(expected) = self.states.get(&node.applied) {
                    assert_eq!(
                        *expected, node.register,
                        "the snapshot's state differs from the state at its index"
                    );
                }
            }
            for entry in ready.committed_entries {
                self.apply(index, &entry);
            }
            for read in ready.read_results {
                self.finish_read(index, read);
            }
            for message in ready.messages {
                self.send(index, &message);
            }
            if !ready.is_snapshot_needed {
                return;
            }
            let node = &mut self.nodes[index];
            let state = node.register.encode();
            if let Some(replica) = &mut node.replica {
                replica.offer_snapshot(state);
            }
        }
    }

    fn apply(&mut self, index: usize, entry: &Rc<Entry>) {
        let node = &mut self.nodes[index];
        assert_eq!(entry.index, node.applied.next(), "entries are applied out of order");
        node.applied = entry.index;
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "different entries are committed at the same index");
        let mut succeeded = true;
        if let Payload::Command(command) = &entry.payload {
            succeeded = node.register.apply(command);
        }
        let state = self.states.entry(entry.index).or_insert(node.register);
        assert_eq!(*state, node.register, "the states of replicas differ at the same index");
        if let Some(pending) = self.pending.get(&entry.index)
            && pending.node == index
        {
            let is_ours = pending.term == entry.term;
            assert!(!is_ours || pending.proposed_at <= self.now);
            self.pending.remove(&entry.index);
            if is_ours {
                self.highest_acknowledged = self.highest_acknowledged.max(entry.index);
                self.acknowledged += usize::from(succeeded);
            }
        }
    }

    fn finish_read(&mut self, index: usize, read: ReadIndexResult) {
        match read {
            ReadIndexResult::Confirmed { request, index: at } => {
                let expected = self.reads.remove(&request).expect("each read has one result");
                assert!(at >= expected, "a read misses an entry acknowledged before it");
                assert!(self.nodes[index].applied >= at);
            }
            ReadIndexResult::Failed { request } => {
                self.reads.remove(&request);
            }
        }
    }

    fn issue_client_requests(&mut self) {
        let index = self.random.usize(0..self.nodes.len());
        let value = self.nodes[index].register.value;
        let new = self.next_value;
        self.next_value += 1;
        let request = self.next_value;
        let node = &mut self.nodes[index];
        let Some(replica) = &mut node.replica else {
            return;
        };
        if let Ok(LogPosition { index: at, term }) = replica.propose(encode(value, new)) {
            self.pending.insert(at, PendingProposal { node: index, term, proposed_at: self.now });
        }
        if replica.read_index(request).is_ok() {
            self.reads.insert(request, self.highest_acknowledged);
        }
        self.handle_ready(index);
    }

    fn send(&mut self, from: usize, message: &Message) {
        let is_partitioned = self
            .nodes
            .iter()
            .any(|node| node.identity == message.to && self.partitions.contains(&(from, node.address)));
        if is_partitioned || (!self.is_healthy && self.chance(self.faults.drop_percent)) {
            return;
        }
        let deliveries = 1 + usize::from(!self.is_healthy && self.chance(self.faults.duplicate_percent));
        for _ in 0..deliveries {
            let is_slow = !self.is_healthy && self.chance(self.faults.slow_percent);
            let delay = if is_slow { self.random.u64(50..900) } else { self.random.u64(1..6) };
            self.next_number += 1;
            self.messages.insert((self.now + delay, self.next_number), message.clone());
        }
    }

    fn inject_faults(&mut self) {
        if self.now >= self.partition_ends_at {
            self.partitions.clear();
        }
        let percent = self.faults.fault_percent;
        if self.is_healthy || !self.chance(percent) {
            return;
        }
        let index = self.random.usize(0..self.nodes.len());
        match self.random.u8(0..4) {
            0 => self.partition(),
            1 if self.faults.disk_losses => self.lose_disk(index),
            2 => (0..self.nodes.len()).for_each(|node| self.crash(node)),
            _ => self.crash(index),
        }
    }

    fn partition(&mut self) {
        self.partition_ends_at = self.now + self.random.u64(200..2_500);
        let one_way = self.random.bool();
        let (from, to) = (self.random.usize(0..self.nodes.len()), self.random.usize(0..self.nodes.len()));
        for other in 0..self.nodes.len() {
            self.partitions.insert((from, if one_way { to } else { other }));
            if !one_way {
                self.partitions.insert((other, from));
            }
        }
    }

    /// Crashes a process; a random number of its oldest writes in flight reach the disk.
    fn crash(&mut self, index: usize) {
        let kept = self.random.usize(0..=self.nodes[index].writes.len());
        let downtime_ms = self.random.u64(10..1_500);
        let node = &mut self.nodes[index];
        node.replica = None;
        for (_, write) in node.writes.drain(..).take(kept) {
            node.disk.write(&write);
        }
        node.restarts_at = self.now + downtime_ms;
        self.pending.retain(|_, pending| pending.node != index);
    }

    /// Loses a disk, if the group has recovered from the previous loss.
    fn lose_disk(&mut self, index: usize) {
        const RECOVERY_MS: u64 = 4_000;
        let has_recovered = self.leader().is_some_and(|leader| {
            let replica = self.nodes[leader].replica.as_ref().expect("the leader is running");
            let members: BTreeSet<MemberId> = replica.membership().voters().collect();
            members == self.nodes.iter().map(|node| node.identity).collect()
                && replica.commit_index() == replica.last_index()
        });
        if !has_recovered || self.now < self.disk_lost_at + RECOVERY_MS {
            return;
        }
        self.disk_lost_at = self.now;
        self.crash(index);
        let node = &mut self.nodes[index];
        node.identity = self.next_identity;
        node.disk = ReplicaDisk::default();
        self.next_identity.0 += 1;
    }
}

fn member_of(node: &Node) -> Member {
    Member { identity: node.identity, address: node.address.to_string(), is_voter: true }
}
