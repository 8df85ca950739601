//! Faults that can be injected into a worker's next responses.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

/// Fault of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The request runs to completion, and the connection closes without the complete response.
    LoseAnswer,
    /// The connection is reset in the middle of the response.
    ResetMidAnswer,
    /// A second, unsolicited response follows the complete one.
    SecondAnswer,
    /// Bytes that are not an HTTP response are sent instead.
    Garbage,
    /// No response is sent, and the connection stays open.
    Silence,
    /// The response is a 500.
    Failure,
}

/// Queue of faults for the next requests that run.
#[derive(Debug, Default)]
pub struct Faults(Mutex<VecDeque<Fault>>);

impl Faults {
    /// Appends a fault.
    pub fn push(&self, fault: Fault) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(fault);
    }

    /// Takes the fault for the request that now runs, if there is one.
    pub fn take(&self) -> Option<Fault> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}
