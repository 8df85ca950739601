//! Model check of lease acquisitions of one program with few holders, in every order of events: writes arrive late, more
//! than once or never, replies are lost, and holders give units back, cancel acquisitions, or fail with units leased.
//!
//! A reply that is not lost arrives immediately. Delaying it would only delay the grant, and other holders can't observe
//! the grant in either case.

use opalrun_model_check::{Model, Outcome, explore};
use opalrun_store_client::lease_acquisition::{LeaseAcquisition, Progress, Round};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica},
    ids::NodeIdentity,
    store::CountEntry,
};
use std::{collections::BTreeSet, error::Error, fmt};

const REPLICAS: usize = 3;
/// Maximum number of states of a complete exploration.
const MAX_STATES: usize = 1_000_000;
/// Maximum number of states of a partial exploration, used where the state space is too large.
const NEAREST_STATES: usize = 15_000;
/// Maximum number of states of a partial exploration if the large model check is requested.
const LARGE_STATES: usize = 1_500_000;

/// Whether the environment requests the large model check.
fn is_large() -> bool {
    std::env::var_os("OPALRUN_MODEL_CHECK").is_some_and(|value| value == "large")
}

/// Bounds of the explored state space.
#[derive(Clone)]
struct Bounds {
    budget: u64,
    /// Maximum number of acquisitions that each holder begins.
    acquisitions: Vec<u32>,
    /// Whether holders give units back.
    holders_reduce: bool,
    /// Whether holders cancel acquisitions.
    holders_cancel: bool,
    /// Whether the first holder's write of a reduced entry is still in flight at the start.
    late_reduction: bool,
    /// Maximum number of holders that fail.
    failures: u32,
    /// Whether each replica is complete.
    complete: [bool; REPLICAS],
    /// Defect injected into the protocol.
    defect: Option<Defect>,
}

/// Defects of the protocol that the model check must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// A holder is granted units once a quorum has its entry, based on the entries read by then.
    GrantOnWriteQuorum,
    /// A holder reduces its entry before it stops using the units.
    ReduceBeforeGivingUp,
    /// A replica replaces a newer entry by an older one.
    OlderEntryWins,
    /// The units of a failed holder are removed from the count.
    RemoveFailedHolder,
}

/// Write of a holder's entry in flight to a replica. It may be delivered any number of times.
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
    /// The acquisition in progress, and the total units that it requests.
    acquisition: Option<(LeaseAcquisition, u64)>,
    acquisitions_left: u32,
    has_failed: bool,
}

#[derive(Debug, Clone)]
struct State {
    replicas: [Vec<(u64, u64)>; REPLICAS],
    holders: Vec<Holder>,
    /// All writes that were sent. Each may still arrive, for the first time or again.
    writes: BTreeSet<Write>,
    failures_left: u32,
}

#[derive(Debug, Clone)]
enum Event {
    Acquire(usize),
    SecondRound(usize),
    /// A write reaches its replica, and the reply reaches the holder.
    Deliver(Write),
    /// A write reaches its replica, and the reply is lost.
    DeliverWithoutReply(Write),
    Cancel(usize),
    Reduce(usize),
    Fail(usize),
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
            has_failed: false,
        };
        let holders: Vec<Holder> = self.0.acquisitions.iter().map(holder).collect();
        let mut state = State {
            replicas: std::array::from_fn(|_| vec![(0, 0); holders.len()]),
            holders,
            writes: BTreeSet::new(),
            failures_left: self.0.failures,
        };
        if self.0.late_reduction {
            Self::write_leased(&mut state, 0);
        }
        state
    }

    /// Sends a holder's entry to all replicas. Its earlier writes may still arrive.
    fn send(state: &mut State, holder: usize, is_second: bool, taken: u64) {
        let sequence = state.holders[holder].sequence;
        let write = |replica| Write { holder, is_second, replica, sequence, taken };
        state.writes.extend((0..REPLICAS).map(write));
    }

    fn begin_acquisition(&self, state: &mut State, holder: usize) {
        let holder_state = &mut state.holders[holder];
        let wanted = holder_state.leased + 1;
        holder_state.acquisitions_left -= 1;
        holder_state.sequence += 1;
        holder_state.acquisition = Some((LeaseAcquisition::new(holder as u64, &self.partition()), wanted));
        Self::send(state, holder, false, wanted);
    }

    fn write_leased(state: &mut State, holder: usize) {
        state.holders[holder].sequence += 1;
        let leased = state.holders[holder].leased;
        Self::send(state, holder, false, leased);
    }

    /// Whether a write would change the replica's entry of the holder.
    fn changes_entry(&self, state: &State, write: &Write) -> bool {
        let stored = state.replicas[write.replica][write.holder];
        stored.0 < write.sequence
            || self.0.defect == Some(Defect::OlderEntryWins) && stored.0 != write.sequence
    }

    /// Stores an entry at a replica, unless the replica has a newer one.
    fn store(&self, state: &mut State, write: &Write) {
        if self.changes_entry(state, write) {
            state.replicas[write.replica][write.holder] = (write.sequence, write.taken);
        }
    }

    /// Delivers a replica's reply to the acquisition that it belongs to, if that is still in progress.
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
        // Sequence 0 marks a holder without an entry at this replica.
        let present = entries.iter().enumerate().filter(|(_, (sequence, _))| *sequence > 0);
        let entries: Vec<CountEntry> = present.map(entry).collect();
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
        let holder_state = &mut state.holders[holder];
        if self.0.defect == Some(Defect::ReduceBeforeGivingUp) {
            holder_state.sequence += 1;
            let reduced = holder_state.leased - 1;
            return Self::send(state, holder, false, reduced);
        }
        holder_state.leased -= 1;
        Self::write_leased(state, holder);
    }
}

/// Violation of the invariant: the leased units sum to more than the budget.
#[derive(Debug, Clone, PartialEq, Eq)]
struct BudgetExceeded {
    leased: u64,
    budget: u64,
}

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} units are leased of a budget of {}", self.leased, self.budget)
    }
}

impl Error for BudgetExceeded {}

impl Model for Count {
    type State = State;
    type Event = Event;
    type InvariantViolation = BudgetExceeded;

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for (number, holder) in state.holders.iter().enumerate().filter(|(_, holder)| !holder.has_failed) {
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
            // A reduction only matters while another holder may still acquire the units.
            let others_acquire =
                state.holders.iter().any(|other| other.acquisition.is_some() || other.acquisitions_left > 0);
            if self.0.holders_reduce && holder.acquisition.is_none() && holder.leased > 0 && others_acquire {
                events.push(Event::Reduce(number));
            }
            if state.failures_left > 0 {
                events.push(Event::Fail(number));
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
            Event::Fail(holder) => {
                state.failures_left -= 1;
                state.holders[*holder].acquisition = None;
                state.holders[*holder].has_failed = true;
                if self.0.defect == Some(Defect::RemoveFailedHolder) {
                    state.replicas.iter_mut().for_each(|entries| entries[*holder].1 = 0);
                }
            }
        }
    }

    fn check(&self, state: &State) -> Result<(), BudgetExceeded> {
        // The units of a failed holder count as leased: its turns may still use them.
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
    failures: 0,
    complete: [true; REPLICAS],
    defect: None,
};

/// Explores all states within the bounds, and expects no violation.
fn assert_no_violation(bounds: Bounds) {
    let outcome = check(bounds, MAX_STATES);
    assert_eq!(outcome.counterexample, None);
    assert!(outcome.is_exhaustive);
}

/// Explores the states with a defect injected, and expects a violation.
fn assert_defect_is_found(bounds: Bounds, defect: Defect) {
    let outcome = check(Bounds { defect: Some(defect), ..bounds }, MAX_STATES);
    let counterexample = outcome.counterexample.unwrap_or_else(|| panic!("{defect:?} was not detected"));
    println!("{defect:?}: {} after {:?}", counterexample.violation, counterexample.events);
}

#[test]
fn two_holders_that_acquire_once_stay_within_the_budget() {
    assert_no_violation(Bounds { acquisitions: vec![1, 1], ..SMALL });
}

#[test]
fn two_holders_that_reduce_and_cancel_stay_within_the_budget() {
    assert_no_violation(Bounds {
        acquisitions: vec![1, 1],
        holders_reduce: true,
        holders_cancel: true,
        ..SMALL
    });
}

#[test]
fn two_holders_of_which_one_fails_stay_within_the_budget() {
    assert_no_violation(Bounds { acquisitions: vec![1, 1], failures: 1, ..SMALL });
}

#[test]
fn two_holders_with_an_incomplete_replica_stay_within_the_budget() {
    assert_no_violation(Bounds { acquisitions: vec![1, 1], complete: [true, true, false], ..SMALL });
}

#[test]
fn two_holders_with_a_late_reduction_stay_within_the_budget() {
    assert_no_violation(Bounds { acquisitions: vec![1, 1], late_reduction: true, ..SMALL });
}

/// Partial exploration: the state space is too large to explore completely, so only the states nearest to the start are.
#[test]
fn three_holders_stay_within_the_budget_in_the_nearest_states() {
    let max_states = if is_large() { LARGE_STATES } else { NEAREST_STATES };
    let outcome = check(Bounds { budget: 2, acquisitions: vec![1, 1, 1], ..SMALL }, max_states);
    assert_eq!(outcome.counterexample, None);
}

/// Runs only if the large model check is requested: it takes a minute in an optimised build.
#[test]
fn two_holders_that_acquire_twice_stay_within_the_budget() {
    if is_large() {
        assert_no_violation(Bounds { acquisitions: vec![2, 1], ..SMALL });
        assert_no_violation(Bounds { acquisitions: vec![2, 1], holders_reduce: true, ..SMALL });
    }
}

#[test]
fn a_grant_on_the_write_quorum_is_detected() {
    assert_defect_is_found(
        Bounds { budget: 2, acquisitions: vec![1, 1, 1], ..SMALL },
        Defect::GrantOnWriteQuorum,
    );
}

#[test]
fn removing_the_units_of_a_failed_holder_is_detected() {
    assert_defect_is_found(
        Bounds { acquisitions: vec![1, 1], failures: 1, ..SMALL },
        Defect::RemoveFailedHolder,
    );
}

#[test]
fn reducing_the_entry_before_giving_up_units_is_detected() {
    assert_defect_is_found(
        Bounds { acquisitions: vec![1, 1], holders_reduce: true, ..SMALL },
        Defect::ReduceBeforeGivingUp,
    );
}

#[test]
fn an_older_entry_that_replaces_a_newer_one_is_detected() {
    assert_defect_is_found(
        Bounds { acquisitions: vec![1, 1], late_reduction: true, ..SMALL },
        Defect::OlderEntryWins,
    );
}
