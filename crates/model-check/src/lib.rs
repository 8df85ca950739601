//! A small model checker for tests: it takes a state machine through every order of events, breadth first, and checks each
//! state that can be reached. A broken rule comes with the shortest sequence of events that leads to it.
//!
//! States are told apart by a 128-bit fingerprint of their [`Debug`] text, so a state needs neither `Eq` nor `Hash`: the
//! real state machines can be explored as they are. Two states that differ only in what `Debug` leaves out are taken for
//! one.
//!
//! Beside it, [`check_linearizable`] holds a recorded history of operations against a sequential state machine.
#![forbid(unsafe_code)]

mod fingerprint;
mod history;

pub use fingerprint::Fingerprint;
pub use history::{NotLinearizable, Operation, SequentialSpec, check_linearizable};

use fnv::FnvHashMap;
use std::{collections::VecDeque, error::Error, fmt::Debug};

/// What is explored.
pub trait Model {
    /// One state of everything.
    type State: Clone + Debug;
    /// What may happen in a state.
    type Event: Clone + Debug;
    /// The rules that a state can break.
    type InvariantViolation: Error;

    /// The events that may happen in a state.
    fn events(&self, state: &Self::State) -> Vec<Self::Event>;

    /// Lets an event happen.
    fn apply(&self, state: &mut Self::State, event: &Self::Event);

    /// Checks a state.
    ///
    /// # Errors
    /// The rule that it breaks.
    fn check(&self, state: &Self::State) -> Result<(), Self::InvariantViolation>;
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome<V> {
    /// Different states that were reached.
    pub states: usize,
    /// Events that were applied.
    pub transitions: u64,
    /// The longest shortest way to a state.
    pub depth: usize,
    /// Every state that can be reached was reached.
    pub is_exhaustive: bool,
    /// The first broken rule.
    pub counterexample: Option<Counterexample<V>>,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample<V> {
    /// The rule.
    pub violation: V,
    /// The `Debug` texts of the shortest sequence of events that leads there.
    pub events: Vec<String>,
}

/// A state that was reached.
struct Reached<S> {
    state: S,
    fingerprint: Fingerprint,
    /// Events of the shortest way to it.
    depth: usize,
}

/// How a state was first reached.
struct Origin<E> {
    parent: Fingerprint,
    event: Option<E>,
}

/// Explores from a state until all is reached, a rule is broken or `max_states` are known.
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
    /// States whose events were not applied yet, nearest first.
    queue: VecDeque<Reached<M::State>>,
}

impl<M: Model> Search<'_, M> {
    /// Takes in a state that was not known, and checks it.
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

    /// The events that lead to a state that was reached.
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
