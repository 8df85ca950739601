//! A small explicit-state model checker for tests. It explores every order of events of a state machine, breadth first, and
//! checks the invariants in each reachable state. A violation is reported with a shortest sequence of events that leads to it.
//!
//! States are identified by a 128-bit fingerprint of their [`Debug`] text, so a state needs neither `Eq` nor `Hash`, and
//! production state machines can be explored unchanged. States that differ only in what `Debug` omits are considered equal.
//!
//! [`check_linearizable`] checks a recorded history of operations against a sequential state machine.
#![forbid(unsafe_code)]

mod fingerprint;
mod history;

pub use fingerprint::Fingerprint;
pub use history::{NotLinearizable, Operation, SequentialSpec, check_linearizable};

use fnv::FnvHashMap;
use std::{collections::VecDeque, error::Error, fmt::Debug};

/// A model to explore.
pub trait Model {
    /// A state of the whole system.
    type State: Clone + Debug;
    /// A transition between states.
    type Event: Clone + Debug;
    /// A violated invariant.
    type InvariantViolation: Error;

    /// Returns the events that are possible in a state.
    fn events(&self, state: &Self::State) -> Vec<Self::Event>;

    /// Applies an event to a state.
    fn apply(&self, state: &mut Self::State, event: &Self::Event);

    /// Checks the invariants in a state.
    ///
    /// # Errors
    /// The invariant that the state violates.
    fn check(&self, state: &Self::State) -> Result<(), Self::InvariantViolation>;
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome<V> {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of events applied.
    pub transitions: u64,
    /// The largest number of events on a shortest path to an explored state.
    pub depth: usize,
    /// Whether every reachable state was reached.
    pub is_exhaustive: bool,
    /// The first violation found.
    pub counterexample: Option<Counterexample<V>>,
}

/// A violated invariant and the events that lead to the violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample<V> {
    /// The violated invariant.
    pub violation: V,
    /// The `Debug` texts of a shortest sequence of events that leads to the violation.
    pub events: Vec<String>,
}

/// A reached state.
struct Reached<S> {
    state: S,
    fingerprint: Fingerprint,
    /// Number of events on the shortest path to the state.
    depth: usize,
}

/// The transition by which a state was first reached.
struct Origin<E> {
    parent: Fingerprint,
    event: Option<E>,
}

/// Explores from `initial` until all reachable states are reached, an invariant is violated or `max_states` are known.
pub fn explore<M: Model>(model: &M, initial: M::State, max_states: usize) -> Outcome<M::InvariantViolation> {
    let mut search = Search { model, origins: FnvHashMap::default(), queue: VecDeque::new() };
    let mut outcome =
        Outcome { states: 0, transitions: 0, depth: 0, is_exhaustive: false, counterexample: None };
    let first = Fingerprint::of(&initial);
    outcome.counterexample = search.reach(initial, first, Origin { parent: first, event: None }, 0);
    while outcome.counterexample.is_none() && search.origins.len() < max_states {
        let Some(Reached { state, fingerprint, depth }) = search.queue.pop_front() else {
            outcome.is_exhaustive = true;
            break;
        };
        outcome.depth = depth;
        for event in model.events(&state) {
            let mut next = state.clone();
            model.apply(&mut next, &event);
            outcome.transitions += 1;
            let reached = Fingerprint::of(&next);
            if search.origins.contains_key(&reached) {
                continue;
            }
            let origin = Origin { parent: fingerprint, event: Some(event) };
            outcome.counterexample = search.reach(next, reached, origin, depth + 1);
            if outcome.counterexample.is_some() {
                break;
            }
        }
    }
    outcome.states = search.origins.len();
    outcome
}

struct Search<'a, M: Model> {
    model: &'a M,
    origins: FnvHashMap<Fingerprint, Origin<M::Event>>,
    /// States whose events have not been applied yet, in order of depth.
    queue: VecDeque<Reached<M::State>>,
}

impl<M: Model> Search<'_, M> {
    /// Adds a new state and checks it. Returns the counterexample if the state violates an invariant.
    fn reach(
        &mut self,
        state: M::State,
        fingerprint: Fingerprint,
        origin: Origin<M::Event>,
        depth: usize,
    ) -> Option<Counterexample<M::InvariantViolation>> {
        self.origins.insert(fingerprint, origin);
        let checked = self.model.check(&state);
        self.queue.push_back(Reached { state, fingerprint, depth });
        let violation = checked.err()?;
        Some(Counterexample { violation, events: self.path_to(fingerprint) })
    }

    /// Returns the events that lead to a reached state.
    fn path_to(&self, mut fingerprint: Fingerprint) -> Vec<String> {
        let mut events = Vec::new();
        while let Some(Origin { parent, event: Some(event) }) = self.origins.get(&fingerprint) {
            events.push(format!("{event:?}"));
            fingerprint = *parent;
        }
        events.reverse();
        events
    }
}
