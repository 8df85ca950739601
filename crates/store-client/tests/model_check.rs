//! Raises of a program's count at small bounds, in every order of events: writes arrive late, again or never, replies are lost,
//! holders give units back, give acquisitions up, or are lost with what they hold.
//!
//! A reply that arrives does so at once. A later one would only grant later what others can't see before either way.

use opalrun_model_check::{Model, Outcome, explore};
use opalrun_store_client::lease_acquisition::{LeaseAcquisition, Progress, Round};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica},
    ids::NodeIdentity,
    store::CountEntry,
};
use std::{collections::BTreeSet, error::Error, fmt};

const REPLICAS: usize = 3;
/// Bound on the states that are explored.
const MAX_STATES: usize = 1_000_000;
/// States that are explored where all are too many: always, and when larger bounds are asked for.
const NEAREST_STATES: usize = 15_000;
const LARGE_STATES: usize = 1_500_000;

/// Whether larger bounds are asked for.
fn is_large() -> bool {
    std::env::var_os("OPALRUN_MODEL_CHECK").is_some_and(|value| value == "large")
}

/// Bounds on what may happen.
#[derive(Clone)]
struct Bounds {
    budget: u64,
    /// Acquisitions that each holder begins.
    acquisitions: Vec<u32>,
    /// Whether holders give units back.
    holders_reduce: bool,
    /// Whether holders give acquisitions up.
    holders_cancel: bool,
    /// The first holder has given units back before, and that may still be on its way.
    late_reduction: bool,
    /// Holders that may be lost.
    losses: u32,
    /// Replicas that are complete.
    complete: [bool; REPLICAS],
    /// A defect made on purpose.
    defect: Option<Defect>,
}

/// Mistakes that the check has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// Grants as soon as a quorum has the entry, on what was read meanwhile.
    GrantOnWriteQuorum,
    /// Reduces the entry before the units are given up.
    ReduceBeforeGivingUp,
    /// A replica takes an older entry in place of a newer one.
    OlderEntryWins,
    /// The units of a lost holder are taken out of the count.
    ForgetLostHolder,
}

/// A holder's entry on its way to a replica. It may be delivered any number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Write {
    holder: usize,
    is_second: bool,
    replica: usize,
    sequence: u64,
    taken: u64,
}

#[derive(Debug, Clone)]
struct Holder {
    sequence: u64,
    leased: u64,
    /// The acquisition under way, and the units that it asks for in all.
    acquisition: Option<(LeaseAcquisition, u64)>,
    acquisitions_left: u32,
    is_lost: bool,
}

#[derive(Debug, Clone)]
struct State {
    replicas: [Vec<(u64, u64)>; REPLICAS],
    holders: Vec<Holder>,
    /// Everything that was sent and might still arrive.
    writes: BTreeSet<Write>,
    losses_left: u32,
}

#[derive(Debug, Clone)]
enum Event {
    Acquire(usize),
    SecondRound(usize),
    /// A write arrives, and its reply does.
    Deliver(Write),
    /// A write arrives, and its reply is lost.
    DeliverWithoutReply(Write),
    Cancel(usize),
    Reduce(usize),
    Lose(usize),
}

struct Count(Bounds);

impl Count {
    fn partition(&self) -> PartitionReplicas {
        let replica = |(store, complete): (usize, &bool)| Replica {
            store: NodeIdentity(store as u64),
            is_complete: *complete,
        };
        PartitionReplicas {
            replicas: self.0.complete.iter().enumerate().map(replica).collect(),
            sources: Vec::new(),
        }
    }

    fn initial(&self) -> State {
        let holder = |acquisitions: &u32| Holder {
            sequence: 0,
            leased: 0,
            acquisition: None,
            acquisitions_left: *acquisitions,
            is_lost: false,
        };
        let holders: Vec<Holder> = self.0.acquisitions.iter().map(holder).collect();
        let mut state = State {
            replicas: std::array::from_fn(|_| vec![(0, 0); holders.len()]),
            holders,
            writes: BTreeSet::new(),
            losses_left: self.0.losses,
        };
        if self.0.late_reduction {
            Self::write_leased(&mut state, 0);
        }
        state
    }

    /// Sends a holder's entry to all replicas. What it sent before may still arrive.
    fn send(state: &mut State, holder: usize, is_second: bool, taken: u64) {
        let sequence = state.holders[holder].sequence;
        let write = |replica| Write { holder, is_second, replica, sequence, taken };
        state.writes.extend((0..REPLICAS).map(write));
    }

    fn begin_acquisition(&self, state: &mut State, holder: usize) {
        let known = &mut state.holders[holder];
        let wanted = known.leased + 1;
        known.acquisitions_left -= 1;
        known.sequence += 1;
        known.acquisition = Some((LeaseAcquisition::new(holder as u64, &self.partition()), wanted));
        Self::send(state, holder, false, wanted);
    }

    fn write_leased(state: &mut State, holder: usize) {
        state.holders[holder].sequence += 1;
        let leased = state.holders[holder].leased;
        Self::send(state, holder, false, leased);
    }

    /// Whether a replica would take an entry.
    fn changes_entry(&self, state: &State, write: &Write) -> bool {
        let known = state.replicas[write.replica][write.holder];
        known.0 < write.sequence || self.0.defect == Some(Defect::OlderEntryWins) && known.0 != write.sequence
    }

    /// A replica takes an entry, unless it knows a newer one.
    fn store(&self, state: &mut State, write: &Write) {
        if self.changes_entry(state, write) {
            state.replicas[write.replica][write.holder] = (write.sequence, write.taken);
        }
    }

    /// Hands a replica's reply to the acquisition that it belongs to, if that is still in progress.
    fn deliver_reply(&self, state: &mut State, write: &Write) {
        let entries = state.replicas[write.replica].clone();
        let holder = &mut state.holders[write.holder];
        let Some((acquisition, wanted)) =
            holder.acquisition.as_mut().filter(|_| holder.sequence == write.sequence)
        else {
            return;
        };
        let round = if write.is_second { Round::Second } else { Round::First };
        let entry = |(holder, (sequence, taken)): (usize, &(u64, u64))| CountEntry {
            holder: holder as u64,
            sequence: *sequence,
            taken: *taken,
        };
        // Nobody writes an entry with sequence 0.
        let known = entries.iter().enumerate().filter(|(_, (sequence, _))| *sequence > 0);
        let entries: Vec<CountEntry> = known.map(entry).collect();
        acquisition.record_reply(
            round,
            NodeIdentity(write.replica as u64),
            self.0.complete[write.replica],
            &entries,
        );
        if self.0.defect == Some(Defect::GrantOnWriteQuorum) && acquisition.progress() == Progress::AtQuorum {
            acquisition.start_second_round();
            (0..REPLICAS as u64)
                .for_each(|store| acquisition.record_reply(Round::Second, NodeIdentity(store), true, &[]));
        }
        let Progress::Done { others_taken } = acquisition.progress() else { return };
        let wanted = *wanted;
        holder.acquisition = None;
        holder.leased = holder.leased.max(wanted.min(self.0.budget.saturating_sub(others_taken)));
        if holder.leased < wanted {
            Self::write_leased(state, write.holder);
        }
    }

    fn reduce(&self, state: &mut State, holder: usize) {
        let known = &mut state.holders[holder];
        if self.0.defect == Some(Defect::ReduceBeforeGivingUp) {
            known.sequence += 1;
            let less = known.leased - 1;
            return Self::send(state, holder, false, less);
        }
        known.leased -= 1;
        Self::write_leased(state, holder);
    }
}

/// More units are granted than the budget has.
#[derive(Debug, Clone, PartialEq, Eq)]
struct BudgetExceeded {
    leased: u64,
    budget: u64,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} units are leased of {}", self.leased, self.budget)
    }
}

impl Error for BudgetExceeded {}

impl Model for Count {
    type State = State;
    type Event = Event;
    type BrokenRule = BudgetExceeded;

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for (number, holder) in state.holders.iter().enumerate().filter(|(_, holder)| !holder.is_lost) {
            match &holder.acquisition {
                None if holder.acquisitions_left > 0 => events.push(Event::Acquire(number)),
                None => {}
                Some((acquisition, _)) => {
                    if acquisition.progress() == Progress::AtQuorum {
                        events.push(Event::SecondRound(number));
                    }
                    if self.0.holders_cancel {
                        events.push(Event::Cancel(number));
                    }
                }
            }
            // Giving back is worth looking at while others may still be granted it.
            let others_acquire =
                state.holders.iter().any(|other| other.acquisition.is_some() || other.acquisitions_left > 0);
            if self.0.holders_reduce && holder.acquisition.is_none() && holder.leased > 0 && others_acquire {
                events.push(Event::Reduce(number));
            }
            if state.losses_left > 0 {
                events.push(Event::Lose(number));
            }
        }
        for write in &state.writes {
            let holder = &state.holders[write.holder];
            if holder.acquisition.is_some() && holder.sequence == write.sequence {
                events.push(Event::Deliver(*write));
            }
            if self.changes_entry(state, write) {
                events.push(Event::DeliverWithoutReply(*write));
            }
        }
        events
    }

    fn apply(&self, state: &mut State, event: &Event) {
        match event {
            Event::Acquire(holder) => self.begin_acquisition(state, *holder),
            Event::SecondRound(holder) => {
                if let Some((acquisition, wanted)) = &mut state.holders[*holder].acquisition {
                    acquisition.start_second_round();
                    let wanted = *wanted;
                    Self::send(state, *holder, true, wanted);
                }
            }
            Event::Deliver(write) => {
                self.store(state, write);
                self.deliver_reply(state, write);
            }
            Event::DeliverWithoutReply(write) => self.store(state, write),
            Event::Cancel(holder) => {
                state.holders[*holder].acquisition = None;
                Self::write_leased(state, *holder);
            }
            Event::Reduce(holder) => self.reduce(state, *holder),
            Event::Lose(holder) => {
                state.losses_left -= 1;
                state.holders[*holder].acquisition = None;
                state.holders[*holder].is_lost = true;
                if self.0.defect == Some(Defect::ForgetLostHolder) {
                    state.replicas.iter_mut().for_each(|entries| entries[*holder].1 = 0);
                }
            }
        }
    }

    fn check(&self, state: &State) -> Result<(), BudgetExceeded> {
        // What a lost holder leases may be in use by its turns.
        let leased: u64 = state.holders.iter().map(|holder| holder.leased).sum();
        let budget = self.0.budget;
        if leased > budget { Err(BudgetExceeded { leased, budget }) } else { Ok(()) }
    }
}

fn check(bounds: Bounds, max_states: usize) -> Outcome<BudgetExceeded> {
    let model = Count(bounds);
    let initial = model.initial();
    let outcome = explore(&model, initial, max_states);
    println!("{} states, {} transitions, depth {}", outcome.states, outcome.transitions, outcome.depth);
    outcome
}

const SMALL: Bounds = Bounds {
    budget: 1,
    acquisitions: Vec::new(),
    holders_reduce: false,
    holders_cancel: false,
    late_reduction: false,
    losses: 0,
    complete: [true; REPLICAS],
    defect: None,
};

/// Explores everything, and expects that no rule is broken.
fn assert_holds_in_all_states(bounds: Bounds) {
    let outcome = check(bounds, MAX_STATES);
    assert_eq!(outcome.violation, None);
    assert!(outcome.is_exhausted);
}

fn assert_defect_is_found(bounds: Bounds, defect: Defect) {
    let outcome = check(Bounds { defect: Some(defect), ..bounds }, MAX_STATES);
    let violation = outcome.violation.unwrap_or_else(|| panic!("{defect:?} was not found"));
    println!("{defect:?}: {} after {:?}", violation.rule, violation.events);
}

#[test]
fn two_holders_that_acquire_once() {
    assert_holds_in_all_states(Bounds { acquisitions: vec![1, 1], ..SMALL });
}

#[test]
fn two_holders_that_give_back() {
    assert_holds_in_all_states(Bounds {
        acquisitions: vec![1, 1],
        holders_reduce: true,
        holders_cancel: true,
        ..SMALL
    });
}

#[test]
fn two_holders_of_whom_one_is_lost() {
    assert_holds_in_all_states(Bounds { acquisitions: vec![1, 1], losses: 1, ..SMALL });
}

#[test]
fn an_incomplete_replica() {
    assert_holds_in_all_states(Bounds { acquisitions: vec![1, 1], complete: [true, true, false], ..SMALL });
}

#[test]
fn two_holders_and_a_late_return() {
    assert_holds_in_all_states(Bounds { acquisitions: vec![1, 1], late_reduction: true, ..SMALL });
}

/// Too many states to reach all of them: so many of the nearest.
#[test]
fn three_holders_to_a_depth() {
    let max_states = if is_large() { LARGE_STATES } else { NEAREST_STATES };
    let outcome = check(Bounds { budget: 2, acquisitions: vec![1, 1, 1], ..SMALL }, max_states);
    assert_eq!(outcome.violation, None);
}

/// Takes a minute in an optimised build, so it is asked for.
#[test]
fn two_holders_that_acquire_twice() {
    if is_large() {
        assert_holds_in_all_states(Bounds { acquisitions: vec![2, 1], ..SMALL });
        assert_holds_in_all_states(Bounds { acquisitions: vec![2, 1], holders_reduce: true, ..SMALL });
    }
}

#[test]
fn grant_on_write_quorum_is_found() {
    assert_defect_is_found(
        Bounds { budget: 2, acquisitions: vec![1, 1, 1], ..SMALL },
        Defect::GrantOnWriteQuorum,
    );
}

#[test]
fn a_forgotten_lost_holder_is_found() {
    assert_defect_is_found(Bounds { acquisitions: vec![1, 1], losses: 1, ..SMALL }, Defect::ForgetLostHolder);
}

#[test]
fn reducing_before_giving_up_is_found() {
    assert_defect_is_found(
        Bounds { acquisitions: vec![1, 1], holders_reduce: true, ..SMALL },
        Defect::ReduceBeforeGivingUp,
    );
}

#[test]
fn an_older_entry_that_wins_is_found() {
    assert_defect_is_found(
        Bounds { acquisitions: vec![1, 1], late_reduction: true, ..SMALL },
        Defect::OlderEntryWins,
    );
}
