//! What may go wrong with a worker's next answers, on demand.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

/// What goes wrong with one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The request runs to its end and the connection closes without the answer.
    LoseAnswer,
    /// The answer breaks off in its middle, by a reset.
    ResetMidAnswer,
    /// A second answer follows the whole one.
    SecondAnswer,
    /// Bytes that are no answer come in its place.
    Garbage,
    /// Nothing is heard of the request again.
    Silence,
    /// The worker fails by itself: 500.
    Failure,
}

/// The faults of the next requests that run, in order.
#[derive(Debug, Default)]
pub struct Faults(Mutex<VecDeque<Fault>>);

impl Faults {
    /// Has one more request go wrong.
    pub fn push(&self, fault: Fault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(fault);
    }

    /// What goes wrong with the request that runs now.
    pub fn take(&self) -> Option<Fault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}
