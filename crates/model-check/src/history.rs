//! Checks whether a recorded history of operations is linearizable: whether there is an order in which each operation took
//! effect at one instant between its call and its response, such that a sequential state machine gives the recorded responses.
//!
//! The algorithm is that of J. Wing and C. Gong, "Testing and Verifying Concurrent Objects" (1993), with memoization of
//! visited states. An operation without a definite response may take effect at any time after its call, or never.

use fnv::FnvHashSet;
use snafu::Snafu;
use std::{fmt::Debug, hash::Hash};

const BITS_PER_WORD: usize = u64::BITS as usize;

/// No linearization of the operations gives the recorded responses.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "history is not linearizable: after {linearized} operations no candidate for the next one is consistent: {candidates:#?}"
))]
pub struct NotLinearizable {
    /// Number of operations in the longest partial linearization found.
    pub linearized: usize,
    /// The candidates for the next operation after that linearization, none of which is consistent: position in the history
    /// and `Debug` text.
    pub candidates: Vec<String>,
}

/// An operation as observed by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation<C, R> {
    /// When the operation was called.
    pub called_at: u64,
    /// When the response arrived, and the response; `None` without a definite response.
    pub answer: Option<(u64, R)>,
    /// The requested operation.
    pub call: C,
}

/// The sequential state machine against which a history is checked.
pub trait SequentialSpec {
    /// An operation with its arguments.
    type Call: Debug;
    /// The response to an operation.
    type Reply: Debug + PartialEq;
    /// The state of the state machine.
    type State: Clone + Eq + Hash;

    /// Returns the state after a call, and the response.
    fn apply(&self, state: &Self::State, call: &Self::Call) -> (Self::State, Self::Reply);
}

/// Checks whether a history that starts in the state `initial` is linearizable.
///
/// # Errors
/// [`NotLinearizable`] if no linearization of the operations gives the recorded responses.
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
        candidates: Vec::new(),
    };
    if search.linearize_next(initial) {
        return Ok(());
    }
    let candidates = search.candidates.iter().map(|number| format!("{number}: {:?}", history[*number]));
    Err(NotLinearizable { linearized: search.max_linearized, candidates: candidates.collect() })
}

struct Search<'a, S: SequentialSpec> {
    machine: &'a S,
    history: &'a [Operation<S::Call, S::Reply>],
    /// Visited sets of linearized operations, one bit each, with the state after them. The search is not repeated from them.
    visited: FnvHashSet<(Vec<u64>, S::State)>,
    /// Whether each operation is part of the current partial linearization.
    linearized: Vec<bool>,
    /// Number of operations in the longest partial linearization so far.
    max_linearized: usize,
    /// Positions of the candidates for the next operation after that linearization.
    candidates: Vec<usize>,
}

impl<S: SequentialSpec> Search<'_, S> {
    /// Linearizes one of the candidates next, then all remaining operations. Returns whether that succeeds.
    fn linearize_next(&mut self, state: &S::State) -> bool {
        // An operation called after the earliest response of the remaining operations cannot be next.
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
            self.candidates.clone_from(&candidates);
        }
        if !self.visited.insert((self.linearized_bits(), state.clone())) {
            return false;
        }
        candidates.into_iter().any(|number| self.linearize(number, state))
    }

    /// Linearizes an operation next, then all remaining operations. Returns whether that succeeds.
    fn linearize(&mut self, number: usize, state: &S::State) -> bool {
        let operation = &self.history[number];
        let (next, reply) = self.machine.apply(state, &operation.call);
        let fits = match &operation.answer {
            Some((_, answered)) => *answered == reply,
            // An operation without a response is relevant only if it changes the state.
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

    /// Returns the set of linearized operations, one bit each.
    fn linearized_bits(&self) -> Vec<u64> {
        let mut bits = vec![0; self.linearized.len().div_ceil(BITS_PER_WORD)];
        for (number, linearized) in self.linearized.iter().enumerate() {
            bits[number / BITS_PER_WORD] |= u64::from(*linearized) << (number % BITS_PER_WORD);
        }
        bits
    }
}
