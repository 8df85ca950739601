//! Runs lease acquisitions of several holders at the same replicas, with messages delivered in random order, lost or
//! delivered twice, and checks that the grants never sum to more than the budget.

use opalrun_store_client::lease_acquisition::{LeaseAcquisition, Progress, Round};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica},
    ids::NodeIdentity,
    store::CountEntry,
};

const REPLICAS: usize = 3;
const HOLDERS: usize = 3;
/// One unit less than there are holders, so the budget is exceeded if every holder is granted a unit.
const BUDGET: u64 = HOLDERS as u64 - 1;
const RUNS: u64 = 60_000;

fn partition(complete: [bool; REPLICAS]) -> PartitionReplicas {
    let replicas = complete
        .iter()
        .enumerate()
        .map(|(index, complete)| Replica { store: NodeIdentity(index as u64), is_complete: *complete })
        .collect();
    PartitionReplicas { replicas, sources: Vec::new() }
}

/// Request in flight.
#[derive(Clone, Copy)]
struct Write {
    holder: usize,
    round: Round,
    replica: usize,
    entry: CountEntry,
}

struct Reply {
    write: Write,
    entries: Vec<CountEntry>,
}

struct Holder {
    acquisition: LeaseAcquisition,
    entry: CountEntry,
    leased: u64,
    is_done: bool,
}

struct World {
    choices: fastrand::Rng,
    complete: [bool; REPLICAS],
    replicas: [Vec<CountEntry>; REPLICAS],
    holders: Vec<Holder>,
    writes: Vec<Write>,
    replies: Vec<Reply>,
    one_round_grants: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut choices = fastrand::Rng::with_seed(seed);
        // In some runs the last replica is incomplete: it replies, but does not count towards a quorum.
        let complete = [true, true, choices.bool()];
        let holders = (0..HOLDERS)
            .map(|number| Holder {
                acquisition: LeaseAcquisition::new(number as u64, &partition(complete)),
                entry: CountEntry { holder: number as u64, sequence: 1, taken: 1 },
                leased: 0,
                is_done: false,
            })
            .collect();
        let mut world = Self {
            choices,
            complete,
            replicas: Default::default(),
            holders,
            writes: Vec::new(),
            replies: Vec::new(),
            one_round_grants: 0,
        };
        (0..HOLDERS).for_each(|holder| world.send(holder, Round::First));
        world
    }

    fn send(&mut self, holder: usize, round: Round) {
        let entry = self.holders[holder].entry;
        self.writes.extend((0..REPLICAS).map(|replica| Write { holder, round, replica, entry }));
    }

    fn step(&mut self) {
        match self.choices.u8(..10) {
            0..=3 => self.deliver_write(),
            4..=6 => self.deliver_reply(),
            7..=8 => self.second_round(),
            _ => self.lose_or_reduce(),
        }
    }

    fn deliver_write(&mut self) {
        if self.writes.is_empty() {
            return;
        }
        let index = self.choices.usize(..self.writes.len());
        let write = self.writes[index];
        if !self.choices.bool() || self.choices.bool() {
            self.writes.swap_remove(index);
        }
        let entries = &mut self.replicas[write.replica];
        match entries.iter_mut().find(|entry| entry.holder == write.entry.holder) {
            Some(known) if known.sequence < write.entry.sequence => *known = write.entry,
            Some(_) => {}
            None => entries.push(write.entry),
        }
        let entries = entries.clone();
        self.replies.push(Reply { write, entries });
    }

    fn deliver_reply(&mut self) {
        if self.replies.is_empty() {
            return;
        }
        let index = self.choices.usize(..self.replies.len());
        let Reply { write, entries } = self.replies.swap_remove(index);
        let holder = &mut self.holders[write.holder];
        if holder.is_done || write.entry.sequence != holder.entry.sequence {
            return;
        }
        holder.acquisition.record_reply(
            write.round,
            NodeIdentity(write.replica as u64),
            self.complete[write.replica],
            &entries,
        );
        let Progress::Done { others_taken } = holder.acquisition.progress() else { return };
        holder.is_done = true;
        if others_taken < BUDGET {
            holder.leased = 1;
            self.one_round_grants += u64::from(write.round == Round::First);
        } else {
            self.reduce(write.holder);
        }
    }

    fn second_round(&mut self) {
        let holder = self.choices.usize(..HOLDERS);
        if self.holders[holder].acquisition.progress() == Progress::AtQuorum {
            self.holders[holder].acquisition.start_second_round();
            self.send(holder, Round::Second);
        }
    }

    /// Loses a request, or gives a holder's units back and starts a new acquisition.
    fn lose_or_reduce(&mut self) {
        if self.choices.bool() {
            if !self.writes.is_empty() {
                let index = self.choices.usize(..self.writes.len());
                self.writes.swap_remove(index);
            }
            return;
        }
        let holder = self.choices.usize(..HOLDERS);
        if self.holders[holder].is_done {
            self.reduce(holder);
            let state = &mut self.holders[holder];
            state.entry.sequence += 1;
            state.entry.taken = 1;
            state.acquisition = LeaseAcquisition::new(holder as u64, &partition(self.complete));
            state.is_done = false;
            self.send(holder, Round::First);
        }
    }

    fn reduce(&mut self, holder: usize) {
        let state = &mut self.holders[holder];
        state.leased = 0;
        state.entry.sequence += 1;
        state.entry.taken = 0;
        self.send(holder, Round::First);
    }

    fn leased(&self) -> u64 {
        self.holders.iter().map(|holder| holder.leased).sum()
    }
}

#[test]
fn grants_never_sum_to_more_than_the_budget() {
    let (mut one_round, mut full) = (0, 0);
    for seed in 0..RUNS {
        let mut world = World::new(seed);
        for _ in 0..80 {
            world.step();
            assert!(world.leased() <= BUDGET, "seed {seed}");
            full += u64::from(world.leased() == BUDGET);
        }
        one_round += world.one_round_grants;
    }
    assert!(one_round > RUNS / 4, "too few grants after one round: {one_round}");
    assert!(full > RUNS, "too few steps with the whole budget leased: {full}");
}

#[test]
fn a_quorum_alone_does_not_grant_in_one_round() {
    let mut acquisition = LeaseAcquisition::new(1, &partition([true; REPLICAS]));
    acquisition.record_reply(Round::First, NodeIdentity(0), true, &[]);
    assert_eq!(acquisition.progress(), Progress::Waiting);
    acquisition.record_reply(Round::First, NodeIdentity(1), true, &[]);
    assert_eq!(acquisition.progress(), Progress::AtQuorum);
    acquisition.start_second_round();
    acquisition.record_reply(
        Round::Second,
        NodeIdentity(1),
        true,
        &[CountEntry { holder: 2, sequence: 1, taken: 9 }],
    );
    assert_eq!(acquisition.progress(), Progress::Waiting);
    acquisition.record_reply(
        Round::Second,
        NodeIdentity(2),
        true,
        &[CountEntry { holder: 2, sequence: 2, taken: 4 }],
    );
    assert_eq!(acquisition.progress(), Progress::Done { others_taken: 4 });
}

#[test]
fn replies_of_all_complete_replicas_grant_in_one_round_even_after_the_second_began() {
    let mut acquisition = LeaseAcquisition::new(1, &partition([true; REPLICAS]));
    (0..2).for_each(|store| acquisition.record_reply(Round::First, NodeIdentity(store), true, &[]));
    acquisition.start_second_round();
    acquisition.record_reply(Round::First, NodeIdentity(2), true, &[]);
    assert_eq!(acquisition.progress(), Progress::Done { others_taken: 0 });
}

#[test]
fn an_incomplete_replica_does_not_count_towards_a_quorum() {
    let mut acquisition = LeaseAcquisition::new(1, &partition([true, true, false]));
    acquisition.record_reply(Round::First, NodeIdentity(0), true, &[]);
    acquisition.record_reply(Round::First, NodeIdentity(2), true, &[]);
    assert_eq!(acquisition.progress(), Progress::Waiting);
    // A replica may report that it is incomplete although the map shows it as complete.
    acquisition.record_reply(Round::First, NodeIdentity(1), false, &[]);
    assert_eq!(acquisition.progress(), Progress::Waiting);
}

#[test]
fn a_partition_without_replicas_grants_nothing() {
    assert_eq!(LeaseAcquisition::new(1, &PartitionReplicas::default()).progress(), Progress::Waiting);
}
