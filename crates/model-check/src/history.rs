//! Whether a recorded history of operations is linearizable: whether each operation can have taken effect at one moment
//! between its call and its answer, in one order, so that a plain sequential state machine gives the answers recorded.
//!
//! After J. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (1993), with the states that were visited already
//! remembered. An operation without a clear answer may take
//! effect at any moment after its call, or never.

use fnv::FnvHashSet;
use snafu::Snafu;
use std::{fmt::Debug, hash::Hash};

const BITS_PER_WORD: usize = u64::BITS as usize;

/// No order of the operations explains the answers.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "no order explains the answers; after {linearized} operations none of these fits: {candidates_left:#?}"
))]
pub struct NotLinearizable {
    /// Operations in the longest order that was found.
    pub linearized: usize,
    /// The operations that could come next after that order, none of which fits: number in the history and `Debug` text.
    pub candidates_left: Vec<String>,
}

/// An operation as a caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation<C, R> {
    /// When it was called.
    pub called_at: u64,
    /// When it was answered, and by what; `None` where no clear answer came.
    pub answer: Option<(u64, R)>,
    /// What was asked.
    pub call: C,
}

/// The state machine that a history is held against.
pub trait SequentialSpec {
    /// What may be asked.
    type Call: Debug;
    /// What is answered.
    type Reply: Debug + PartialEq;
    /// Its state.
    type State: Clone + Eq + Hash;

    /// The state after a call, and its answer.
    fn apply(&self, state: &Self::State, call: &Self::Call) -> (Self::State, Self::Reply);
}

/// Checks a history that begins in a state.
///
/// # Errors
/// [`NotLinearizable`] where no order of the operations explains the answers.
pub fn check_linearizable<S: SequentialSpec>(
    machine: &S,
    initial: &S::State,
    history: &[Operation<S::Call, S::Reply>],
) -> Result<(), NotLinearizable> {
    let mut search = Search {
        machine,
        history,
        visited: FnvHashSet::default(),
        linearized: vec![false; history.len()],
        max_linearized: 0,
        candidates_left: Vec::new(),
    };
    if search.linearize_next(initial) {
        return Ok(());
    }
    let candidates_left =
        search.candidates_left.iter().map(|number| format!("{number}: {:?}", history[*number]));
    Err(NotLinearizable { linearized: search.max_linearized, candidates_left: candidates_left.collect() })
}

struct Search<'a, S: SequentialSpec> {
    machine: &'a S,
    history: &'a [Operation<S::Call, S::Reply>],
    /// Sets of linearized operations, with the state after them, from which no way leads on.
    visited: FnvHashSet<(Vec<u64>, S::State)>,
    /// Whether each operation has its position in the order.
    linearized: Vec<bool>,
    /// Operations in the longest order so far.
    max_linearized: usize,
    /// Operations that could come next after the longest order so far.
    candidates_left: Vec<usize>,
}

impl<S: SequentialSpec> Search<'_, S> {
    /// Places one of the operations that may come next, and all after it. Returns whether that succeeds.
    fn linearize_next(&mut self, state: &S::State) -> bool {
        // What was called after the first answer that is still to come can't be next.
        let remaining = || (0..self.history.len()).filter(|number| !self.linearized[*number]);
        let answers = remaining().filter_map(|number| self.history[number].answer.as_ref());
        let Some(first_answer) = answers.map(|(at, _)| *at).min() else {
            return true;
        };
        let candidates: Vec<usize> =
            remaining().filter(|number| self.history[*number].called_at <= first_answer).collect();
        let count = self.linearized.iter().filter(|linearized| **linearized).count();
        if count >= self.max_linearized {
            self.max_linearized = count;
            self.candidates_left.clone_from(&candidates);
        }
        if !self.visited.insert((self.linearized_bits(), state.clone())) {
            return false;
        }
        candidates.into_iter().any(|number| self.linearize(number, state))
    }

    /// Places an operation next, and all others after it. Returns whether that succeeds.
    fn linearize(&mut self, number: usize, state: &S::State) -> bool {
        let operation = &self.history[number];
        let (next, reply) = self.machine.apply(state, &operation.call);
        let fits = match &operation.answer {
            Some((_, answered)) => *answered == reply,
            // Without an answer it matters only where it changes something.
            None => next != *state,
        };
        if !fits {
            return false;
        }
        self.linearized[number] = true;
        let succeeds = self.linearize_next(&next);
        self.linearized[number] = succeeds;
        succeeds
    }

    /// The operations that are linearized, one bit each.
    fn linearized_bits(&self) -> Vec<u64> {
        let mut bits = vec![0; self.linearized.len().div_ceil(BITS_PER_WORD)];
        for (number, linearized) in self.linearized.iter().enumerate() {
            bits[number / BITS_PER_WORD] |= u64::from(*linearized) << (number % BITS_PER_WORD);
        }
        bits
    }
}
