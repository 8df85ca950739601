//! The model of a group: three replicas, their disks and the messages in flight.

use opalrun_model_check::Model;
use opalrun_replication::{
    Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Options, Replica,
    RestoredState, SnapshotMetadata, Term, Write, timing,
};
use snafu::Snafu;
use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

const MEMBERS: usize = 3;
const HOSTS_LOST: usize = 1;
/// A process that lost its disk gets its old identity plus this offset as its new identity.
const NEW_IDENTITY: u64 = 10;

/// Limits on the number of events of each kind.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Election time-outs.
    pub timeouts: u32,
    /// Proposed commands.
    pub proposals: u32,
    /// Heartbeat rounds of leaders.
    pub heartbeats: u32,
    /// Power failures of single machines.
    pub power_losses: u32,
    /// Losses of a disk.
    pub disk_losses: u32,
}

/// Implementation faults injected into the model, which the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Writes are reported as synced when they are only queued.
    AcknowledgeBeforeSync,
    /// A power failure loses the vote, but not the term.
    ForgetVote,
    /// A process that lost its disk continues under its old identity.
    KeepIdentityWithoutDisk,
}

/// A violated safety property of Raft.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum InvariantViolation {
    /// State Machine Safety: two different entries are committed at the same index.
    #[snafu(display("{entry:?} is committed at the index of committed entry {known:?}"))]
    EntryReplaced { known: Rc<Entry>, entry: Rc<Entry> },
    /// A committed entry is on fewer disks than a commit quorum, so losing `hosts_lost` disks may lose it.
    #[snafu(display("{entry:?} is committed, but synced on {disks} disks only"))]
    TooFewDisks { entry: Rc<Entry>, disks: usize },
    /// Election Safety: a term has two leaders.
    #[snafu(display("{first} and {second} are both leaders in term {term}"))]
    TwoLeaders { first: MemberId, second: MemberId, term: Term },
    /// Leader Completeness: a leader's log lacks a committed entry.
    #[snafu(display("the leader of term {term} lacks {missing:?}"))]
    IncompleteLeader { term: Term, missing: Rc<Entry> },
}

/// The model: a group of three members, with limits on events and an optional fault in its implementation.
pub struct Group {
    pub budget: Budget,
    pub injected_fault: Option<InjectedFault>,
}

#[derive(Debug, Clone)]
struct Disk {
    hard_state: HardState,
    base: SnapshotMetadata,
    entries: Vec<Rc<Entry>>,
}

impl Disk {
    fn write(&mut self, write: &Write) {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = &write.snapshot {
            self.base = snapshot.metadata.clone();
            self.entries.clear();
        }
        for entry in &write.entries {
            self.entries.truncate((entry.index - self.base.last_included_index - 1) as usize);
            self.entries.push(entry.clone());
        }
    }

    fn contains(&self, entry: &Entry) -> bool {
        entry.index <= self.base.last_included_index || self.entries.iter().any(|known| **known == *entry)
    }
}

#[derive(Debug, Clone)]
struct Node {
    identity: MemberId,
    now: u64,
    replica: Replica,
    disk: Disk,
    /// Writes that are queued and not synced, oldest first.
    writes: VecDeque<Write>,
}

impl Node {
    /// Replaces the applied entries with a snapshot, in memory and on disk.
    fn compact(&mut self) {
        let metadata = self.replica.applied_snapshot_metadata();
        self.replica.compact(metadata.last_included_index, 0, 0);
        self.disk.entries.retain(|entry| entry.index > metadata.last_included_index);
        self.disk.base = metadata;
    }
}

#[derive(Debug, Clone)]
pub struct State {
    nodes: Vec<Node>,
    messages: Vec<Message>,
    /// The committed entries, in the order of their indexes, which start at 1.
    committed: Vec<Rc<Entry>>,
    /// The first leader seen in each term.
    leaders: BTreeMap<Term, MemberId>,
    remaining: Budget,
    violation: Option<InvariantViolation>,
}

#[derive(Debug, Clone)]
pub enum Event {
    Timeout(usize),
    Heartbeat(usize),
    Propose(usize),
    Deliver(Message),
    Sync(usize),
    LosePower(usize),
    LoseDisk(usize),
}

impl Group {
    /// Returns three members that have just started.
    pub fn new_group(&self) -> State {
        let members = (1..=MEMBERS as u64).map(MemberId).map(member).collect();
        let base = SnapshotMetadata {
            last_included_index: LogIndex(0),
            last_included_term: Term(0),
            membership: Membership::new(members),
        };
        let disk = Disk { hard_state: HardState::default(), base, entries: Vec::new() };
        let node = |identity| Node {
            identity,
            now: 0,
            replica: replica(identity, &disk, 0),
            disk: disk.clone(),
            writes: VecDeque::new(),
        };
        State {
            nodes: (1..=MEMBERS as u64).map(MemberId).map(node).collect(),
            messages: Vec::new(),
            committed: Vec::new(),
            leaders: BTreeMap::new(),
            remaining: self.budget,
            violation: None,
        }
    }

    /// Returns a group in which all members follow a leader, with no messages in flight.
    pub fn with_leader(&self) -> State {
        self.elect_leader_with(|_| true)
    }

    /// Like [`with_leader`](Self::with_leader), but the last member was partitioned and has received nothing from the leader.
    pub fn with_leader_and_partitioned_member(&self) -> State {
        let partitioned = MemberId(MEMBERS as u64);
        self.elect_leader_with(|message| message.from != partitioned && message.to != partitioned)
    }

    /// Like [`with_leader`](Self::with_leader), but afterwards the last member lost its disk and was added again under a new identity. With
    /// `by_snapshot`, the other members had compacted their logs, so the new member received a snapshot.
    pub fn repaired(&self, by_snapshot: bool) -> State {
        let mut state = self.with_leader();
        if by_snapshot {
            state.nodes.iter_mut().for_each(Node::compact);
        }
        state.remaining = Budget { disk_losses: 1, heartbeats: 100, ..self.budget };
        self.apply(&mut state, &Event::LoseDisk(MEMBERS - 1));
        let replaced = MemberId(MEMBERS as u64 + NEW_IDENTITY);
        while state.nodes[0]
            .replica
            .committed_voters()
            .is_none_or(|voters| voters != [MemberId(1), MemberId(2), replaced])
        {
            self.apply(&mut state, &Event::Heartbeat(0));
            self.run_until_idle(&mut state, |_| true);
        }
        state.messages.clear();
        state.remaining = self.budget;
        state
    }

    /// Returns a group in which two candidates have begun an election in the same term and their vote requests are in flight.
    pub fn two_candidates(&self) -> State {
        let voter = 2;
        let is_pre_vote = |message: &Message| {
            let is_for_voter = message.from == MemberId(voter) || message.to == MemberId(voter);
            is_for_voter
                && matches!(
                    message.body,
                    MessageBody::RequestPreVote { .. } | MessageBody::RequestPreVoteResponse { .. }
                )
        };
        let mut state = self.new_group();
        state.remaining.timeouts = 2;
        self.apply(&mut state, &Event::Timeout(0));
        self.apply(&mut state, &Event::Timeout(2));
        self.run_until_idle(&mut state, is_pre_vote);
        state.messages.retain(|message| matches!(message.body, MessageBody::RequestVote { .. }));
        assert_eq!(state.messages.len(), 4, "each candidate requests votes from the two other members");
        state.remaining = self.budget;
        state
    }

    fn elect_leader_with(&self, arrives: impl Fn(&Message) -> bool) -> State {
        let mut state = self.new_group();
        state.remaining = Budget { timeouts: 1, heartbeats: 1, ..self.budget };
        self.apply(&mut state, &Event::Timeout(0));
        self.run_until_idle(&mut state, &arrives);
        self.apply(&mut state, &Event::Heartbeat(0));
        self.run_until_idle(&mut state, &arrives);
        state.messages.clear();
        assert!(
            state.nodes[0].replica.is_leader() && state.committed.len() == 1,
            "the leader's first entry is committed"
        );
        state.remaining = self.budget;
        state
    }

    /// Syncs writes and delivers the messages for which `arrives` is true, until none are left.
    fn run_until_idle(&self, state: &mut State, arrives: impl Fn(&Message) -> bool) {
        loop {
            let is_due = |event: &Event| match event {
                Event::Deliver(message) => arrives(message),
                event => matches!(event, Event::Sync(_)),
            };
            let Some(event) = self.events(state).into_iter().find(is_due) else { return };
            self.apply(state, &event);
        }
    }

    /// Carries out the actions that a replica requires, and records commits and leadership.
    fn carry_out(&self, state: &mut State, slot: usize) {
        let node = &mut state.nodes[slot];
        let mut ready = node.replica.ready();
        if ready.is_snapshot_needed {
            node.replica.offer_snapshot(vec![0; 3]);
            ready.messages.extend(node.replica.ready().messages);
        }
        if self.injected_fault == Some(InjectedFault::AcknowledgeBeforeSync)
            && let Some(newest) = ready.writes.last()
        {
            node.replica.on_persisted(newest.sequence);
            let more = node.replica.ready();
            ready.messages.extend(more.messages);
            ready.committed_entries.extend(more.committed_entries);
            ready.writes.extend(more.writes);
        }
        node.writes.extend(ready.writes);
        state.messages.extend(ready.messages);
        for entry in ready.committed_entries {
            commit(state, slot, &entry);
        }
        record_leader(state, slot);
        // States that differ only in the order of the messages in flight are equal.
        state.messages.sort_by_cached_key(|message| format!("{message:?}"));
    }

    fn lose_power(&self, state: &mut State, slot: usize) {
        let node = &mut state.nodes[slot];
        node.writes.clear();
        if self.injected_fault == Some(InjectedFault::ForgetVote) {
            node.disk.hard_state.voted_for = None;
        }
        node.replica = replica(node.identity, &node.disk, node.now);
    }

    fn lose_disk(&self, state: &mut State, slot: usize) {
        let node = &mut state.nodes[slot];
        let old = node.identity;
        let keeps = self.injected_fault == Some(InjectedFault::KeepIdentityWithoutDisk);
        let base = if keeps { node.disk.base.clone() } else { SnapshotMetadata::default() };
        node.identity = if keeps { old } else { MemberId(old.0 + NEW_IDENTITY) };
        node.disk = Disk { hard_state: HardState::default(), base, entries: Vec::new() };
        node.writes.clear();
        node.replica = replica(node.identity, &node.disk, node.now);
        let desired: Vec<Member> = state.nodes.iter().map(|node| member(node.identity)).collect();
        state.nodes.iter_mut().for_each(|node| node.replica.set_desired_members(desired.clone()));
        state.messages.retain(|message| keeps || message.to != old);
    }
}

impl Model for Group {
    type State = State;
    type Event = Event;
    type InvariantViolation = InvariantViolation;

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for (slot, node) in state.nodes.iter().enumerate() {
            let is_leader = node.replica.is_leader();
            if state.remaining.timeouts > 0 && !is_leader {
                events.push(Event::Timeout(slot));
            }
            if state.remaining.heartbeats > 0 && is_leader {
                events.push(Event::Heartbeat(slot));
            }
            if state.remaining.proposals > 0 && is_leader {
                events.push(Event::Propose(slot));
            }
            if !node.writes.is_empty() {
                events.push(Event::Sync(slot));
            }
            if state.remaining.power_losses > 0 {
                events.push(Event::LosePower(slot));
            }
            if state.remaining.disk_losses > 0 {
                events.push(Event::LoseDisk(slot));
            }
        }
        events.extend(state.messages.iter().cloned().map(Event::Deliver));
        events
    }

    fn apply(&self, state: &mut State, event: &Event) {
        let slot = match event {
            Event::Timeout(slot) => {
                state.remaining.timeouts -= 1;
                let node = &mut state.nodes[*slot];
                node.now += timing::MAX_ELECTION_TIMEOUT_MS;
                node.replica.tick(node.now);
                *slot
            }
            Event::Heartbeat(slot) => {
                state.remaining.heartbeats -= 1;
                let node = &mut state.nodes[*slot];
                node.now += timing::HEARTBEAT_INTERVAL_MS;
                node.replica.tick(node.now);
                *slot
            }
            Event::Propose(slot) => {
                state.remaining.proposals -= 1;
                let _ = state.nodes[*slot].replica.propose(vec![1]);
                *slot
            }
            Event::Deliver(message) => {
                let known = state.messages.iter().position(|other| other == message);
                state.messages.remove(known.expect("the message is in flight"));
                let Some(slot) = state.nodes.iter().position(|node| node.identity == message.to) else {
                    return;
                };
                let node = &mut state.nodes[slot];
                node.replica.step(node.now, message.clone());
                slot
            }
            Event::Sync(slot) => {
                let node = &mut state.nodes[*slot];
                let write = node.writes.pop_front().expect("Sync is offered only if a write is queued");
                node.disk.write(&write);
                node.replica.on_persisted(write.sequence);
                *slot
            }
            Event::LosePower(slot) => {
                state.remaining.power_losses -= 1;
                self.lose_power(state, *slot);
                *slot
            }
            Event::LoseDisk(slot) => {
                state.remaining.disk_losses -= 1;
                self.lose_disk(state, *slot);
                *slot
            }
        };
        self.carry_out(state, slot);
    }

    fn check(&self, state: &State) -> Result<(), InvariantViolation> {
        state.violation.clone().map_or(Ok(()), Err)
    }
}

/// Records an entry that a replica returned for application, and checks State Machine Safety and the commit quorum.
fn commit(state: &mut State, slot: usize, entry: &Rc<Entry>) {
    let known = state.committed.get(entry.index.previous().0 as usize).cloned();
    match known {
        Some(known) if known != *entry => {
            state.violation = Some(InvariantViolation::EntryReplaced { known, entry: entry.clone() });
        }
        Some(_) => {}
        None => state.committed.push(entry.clone()),
    }
    if state.nodes[slot].replica.is_leader() {
        let disks = state.nodes.iter().filter(|node| node.disk.contains(entry)).count();
        let membership = state.nodes[slot].replica.membership();
        // A disk may have been lost since the leader committed the entry.
        let lost = state.nodes.iter().filter(|node| node.identity > MemberId(NEW_IDENTITY)).count();
        if disks + lost < membership.commit_quorum(HOSTS_LOST) {
            state.violation = Some(InvariantViolation::TooFewDisks { entry: entry.clone(), disks });
        }
    }
}

/// Records the leader of a term, and checks Election Safety and Leader Completeness.
fn record_leader(state: &mut State, slot: usize) {
    let node = &state.nodes[slot];
    if !node.replica.is_leader() {
        return;
    }
    let (term, identity) = (node.replica.term(), node.identity);
    let first = *state.leaders.entry(term).or_insert(identity);
    if first != identity {
        state.violation = Some(InvariantViolation::TwoLeaders { first, second: identity, term });
    }
    let is_newest = state.leaders.keys().next_back() == Some(&term);
    let known = node.replica.commit_index();
    let log = node.replica.entries_after(known);
    let lacks = |entry: &&Rc<Entry>| entry.index > known && !log.contains(entry);
    if let Some(missing) = state.committed.iter().find(|entry| is_newest && lacks(entry)) {
        state.violation = Some(InvariantViolation::IncompleteLeader { term, missing: missing.clone() });
    }
}

fn member(identity: MemberId) -> Member {
    Member { identity, address: identity.to_string(), is_voter: true }
}

fn replica(identity: MemberId, disk: &Disk, now: u64) -> Replica {
    let options = Options { identity, hosts_lost: HOSTS_LOST, seed: identity.0 };
    let entries = disk.entries.iter().map(|entry| Entry::clone(entry)).collect();
    let restored = RestoredState { hard_state: disk.hard_state, base: disk.base.clone(), entries };
    Replica::new(options, restored, now)
}
