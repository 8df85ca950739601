//! The group, its disks and its network.

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
/// A new process's identity is its old one and this.
const NEW_IDENTITY: u64 = 10;

/// How much may happen.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Elections that begin because no leader was heard.
    pub timeouts: u32,
    /// Commands.
    pub proposals: u32,
    /// Heartbeats of leaders.
    pub heartbeats: u32,
    /// Losses of power.
    pub power_losses: u32,
    /// Lost disks.
    pub disk_losses: u32,
}

/// Mistakes that the check has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mistake {
    /// What is only handed to the disk counts as synced.
    AcknowledgeBeforeSync,
    /// A loss of power loses the vote, but not the term.
    ForgetVote,
    /// A process that lost its disk goes on under its old identity.
    KeepIdentityWithoutDisk,
}

/// A rule of Raft that was broken.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum InvariantViolation {
    /// State Machine Safety.
    #[snafu(display("{entry:?} is committed after {known:?}"))]
    EntryReplaced { known: Rc<Entry>, entry: Rc<Entry> },
    /// A committed entry may be lost with the disks that may be lost.
    #[snafu(display("{entry:?} is committed on {disks} disks"))]
    TooFewDisks { entry: Rc<Entry>, disks: usize },
    /// Election Safety.
    #[snafu(display("{first} and {second} both lead in term {term}"))]
    TwoLeaders { first: MemberId, second: MemberId, term: Term },
    /// Leader Completeness.
    #[snafu(display("the leader of term {term} lacks {missing:?}"))]
    IncompleteLeader { term: Term, missing: Rc<Entry> },
}

pub struct Group {
    pub budget: Budget,
    pub mistake: Option<Mistake>,
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

    fn has(&self, entry: &Entry) -> bool {
        entry.index <= self.base.last_included_index || self.entries.iter().any(|known| **known == *entry)
    }
}

#[derive(Debug, Clone)]
struct Node {
    identity: MemberId,
    now: u64,
    replica: Replica,
    disk: Disk,
    /// Handed to the disk and not synced.
    writes: VecDeque<Write>,
}

impl Node {
    /// Puts a snapshot in the place of what is applied.
    fn compact(&mut self) {
        let header = self.replica.applied_snapshot_metadata();
        self.replica.compact(header.last_included_index, 0, 0);
        self.disk.entries.retain(|entry| entry.index > header.last_included_index);
        self.disk.base = header;
    }
}

#[derive(Debug, Clone)]
pub struct State {
    nodes: Vec<Node>,
    messages: Vec<Message>,
    /// By index from 1.
    committed: Vec<Rc<Entry>>,
    /// By term.
    leaders: BTreeMap<Term, MemberId>,
    left: Budget,
    broken: Option<InvariantViolation>,
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
    /// Three members that have just started.
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
            left: self.budget,
            broken: None,
        }
    }

    /// The same with a leader whom all follow, and nothing in flight.
    pub fn led(&self) -> State {
        self.led_over(|_| true)
    }

    /// The same, but the last member has heard nothing of it: it was partitioned.
    pub fn led_with_partitioned_member(&self) -> State {
        let partitioned = MemberId(MEMBERS as u64);
        self.led_over(|message| message.from != partitioned && message.to != partitioned)
    }

    /// The same after the last member lost its disk and was let in again as another one. With `by_snapshot` the others held
    /// no entries any more that it needed.
    pub fn repaired(&self, by_snapshot: bool) -> State {
        let mut state = self.led();
        if by_snapshot {
            state.nodes.iter_mut().for_each(Node::compact);
        }
        state.left = Budget { disk_losses: 1, heartbeats: 100, ..self.budget };
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
        state.left = self.budget;
        state
    }

    /// Two that have begun an election in the same term; their requests for votes are in flight.
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
        state.left.timeouts = 2;
        self.apply(&mut state, &Event::Timeout(0));
        self.apply(&mut state, &Event::Timeout(2));
        self.run_until_idle(&mut state, is_pre_vote);
        state.messages.retain(|message| matches!(message.body, MessageBody::RequestVote { .. }));
        assert_eq!(state.messages.len(), 4, "each asks the two others for their votes");
        state.left = self.budget;
        state
    }

    fn led_over(&self, arrives: impl Fn(&Message) -> bool) -> State {
        let mut state = self.new_group();
        state.left = Budget { timeouts: 1, heartbeats: 1, ..self.budget };
        self.apply(&mut state, &Event::Timeout(0));
        self.run_until_idle(&mut state, &arrives);
        self.apply(&mut state, &Event::Heartbeat(0));
        self.run_until_idle(&mut state, &arrives);
        state.messages.clear();
        assert!(state.nodes[0].replica.is_leader() && state.committed.len() == 1, "a leader's first entry");
        state.left = self.budget;
        state
    }

    /// Syncs, and delivers the messages that arrive, until there is no more to do.
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

    /// Does what a replica asks for.
    fn carry_out(&self, state: &mut State, place: usize) {
        let node = &mut state.nodes[place];
        let mut ready = node.replica.ready();
        if ready.is_snapshot_needed {
            node.replica.offer_snapshot(vec![0; 3]);
            ready.messages.extend(node.replica.ready().messages);
        }
        if self.mistake == Some(Mistake::AcknowledgeBeforeSync)
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
            commit(state, place, &entry);
        }
        record_leader(state, place);
        // What is there counts, not how it came to be there.
        state.messages.sort_by_cached_key(|message| format!("{message:?}"));
    }

    fn lose_power(&self, state: &mut State, place: usize) {
        let node = &mut state.nodes[place];
        node.writes.clear();
        if self.mistake == Some(Mistake::ForgetVote) {
            node.disk.hard_state.voted_for = None;
        }
        node.replica = replica(node.identity, &node.disk, node.now);
    }

    fn lose_disk(&self, state: &mut State, place: usize) {
        let node = &mut state.nodes[place];
        let old = node.identity;
        let keeps = self.mistake == Some(Mistake::KeepIdentityWithoutDisk);
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
        for (place, node) in state.nodes.iter().enumerate() {
            let is_leader = node.replica.is_leader();
            if state.left.timeouts > 0 && !is_leader {
                events.push(Event::Timeout(place));
            }
            if state.left.heartbeats > 0 && is_leader {
                events.push(Event::Heartbeat(place));
            }
            if state.left.proposals > 0 && is_leader {
                events.push(Event::Propose(place));
            }
            if !node.writes.is_empty() {
                events.push(Event::Sync(place));
            }
            if state.left.power_losses > 0 {
                events.push(Event::LosePower(place));
            }
            if state.left.disk_losses > 0 {
                events.push(Event::LoseDisk(place));
            }
        }
        events.extend(state.messages.iter().cloned().map(Event::Deliver));
        events
    }

    fn apply(&self, state: &mut State, event: &Event) {
        let place = match event {
            Event::Timeout(place) => {
                state.left.timeouts -= 1;
                let node = &mut state.nodes[*place];
                node.now += timing::MAX_ELECTION_TIMEOUT_MS;
                node.replica.tick(node.now);
                *place
            }
            Event::Heartbeat(place) => {
                state.left.heartbeats -= 1;
                let node = &mut state.nodes[*place];
                node.now += timing::HEARTBEAT_INTERVAL_MS;
                node.replica.tick(node.now);
                *place
            }
            Event::Propose(place) => {
                state.left.proposals -= 1;
                let _ = state.nodes[*place].replica.propose(vec![1]);
                *place
            }
            Event::Deliver(message) => {
                let known = state.messages.iter().position(|other| other == message);
                state.messages.remove(known.expect("it is in flight"));
                let Some(place) = state.nodes.iter().position(|node| node.identity == message.to) else {
                    return;
                };
                let node = &mut state.nodes[place];
                node.replica.step(node.now, message.clone());
                place
            }
            Event::Sync(place) => {
                let node = &mut state.nodes[*place];
                let write = node.writes.pop_front().expect("there is one");
                node.disk.write(&write);
                node.replica.on_persisted(write.sequence);
                *place
            }
            Event::LosePower(place) => {
                state.left.power_losses -= 1;
                self.lose_power(state, *place);
                *place
            }
            Event::LoseDisk(place) => {
                state.left.disk_losses -= 1;
                self.lose_disk(state, *place);
                *place
            }
        };
        self.carry_out(state, place);
    }

    fn check(&self, state: &State) -> Result<(), InvariantViolation> {
        state.broken.clone().map_or(Ok(()), Err)
    }
}

/// A replica hands an entry over to be applied.
fn commit(state: &mut State, place: usize, entry: &Rc<Entry>) {
    let known = state.committed.get(entry.index.previous().0 as usize).cloned();
    match known {
        Some(known) if known != *entry => {
            state.broken = Some(InvariantViolation::EntryReplaced { known, entry: entry.clone() });
        }
        Some(_) => {}
        None => state.committed.push(entry.clone()),
    }
    if state.nodes[place].replica.is_leader() {
        let disks = state.nodes.iter().filter(|node| node.disk.has(entry)).count();
        let membership = state.nodes[place].replica.membership();
        // Disks may have been lost since.
        let lost = state.nodes.iter().filter(|node| node.identity > MemberId(NEW_IDENTITY)).count();
        if disks + lost < membership.commit_quorum(HOSTS_LOST) {
            state.broken = Some(InvariantViolation::TooFewDisks { entry: entry.clone(), disks });
        }
    }
}

/// A leader is alone in its term, and has what is committed.
fn record_leader(state: &mut State, place: usize) {
    let node = &state.nodes[place];
    if !node.replica.is_leader() {
        return;
    }
    let (term, identity) = (node.replica.term(), node.identity);
    let first = *state.leaders.entry(term).or_insert(identity);
    if first != identity {
        state.broken = Some(InvariantViolation::TwoLeaders { first, second: identity, term });
    }
    let is_newest = state.leaders.keys().next_back() == Some(&term);
    let known = node.replica.commit_index();
    let log = node.replica.entries_after(known);
    let lacks = |entry: &&Rc<Entry>| entry.index > known && !log.contains(entry);
    if let Some(missing) = state.committed.iter().find(|entry| is_newest && lacks(entry)) {
        state.broken = Some(InvariantViolation::IncompleteLeader { term, missing: missing.clone() });
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
