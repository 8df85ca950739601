//! A stored turn in memory.

use crate::memory::{BudgetExhausted, MemoryBudget, MemoryReservation};
use bytes::Bytes;
use opalrun_wire::store::Turn;
use std::mem::size_of;

/// Approximate memory of a turn in addition to its contents, in bytes.
const OVERHEAD_BYTES: usize = 320;

/// A stored turn in memory. The cache and all requests that continue the turn share it.
#[derive(Debug)]
pub struct LoadedTurn {
    id: String,
    ancestors: Vec<String>,
    input: Bytes,
    output: Bytes,
    retention_ms: u64,
    worker: String,
    bytes: usize,
    /// Held for as long as the turn is in memory.
    _memory: MemoryReservation,
}

impl LoadedTurn {
    /// Takes a turn into memory.
    ///
    /// # Errors
    /// The budget has fewer bytes left than the turn takes.
    pub fn new(turn: Turn, budget: &MemoryBudget) -> Result<Self, BudgetExhausted> {
        let bytes = size_in_bytes(&turn);
        let memory = budget.reserve(bytes)?;
        Ok(Self {
            id: turn.id,
            ancestors: turn.ancestors,
            input: turn.input.into(),
            output: turn.output.into(),
            retention_ms: turn.retention_ms,
            worker: turn.worker,
            bytes,
            _memory: memory,
        })
    }

    /// Returns the turn's id, the `Request-Id` of its request.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the ids of the earlier turns of the conversation, oldest first.
    #[must_use]
    pub fn ancestors(&self) -> &[String] {
        &self.ancestors
    }

    /// Returns the body of the turn's request, without the earlier turns.
    #[must_use]
    pub fn input(&self) -> &Bytes {
        &self.input
    }

    /// Returns the data of all events of the turn's answer.
    #[must_use]
    pub fn output(&self) -> &Bytes {
        &self.output
    }

    /// Returns the id of the worker that answered the turn.
    #[must_use]
    pub fn worker(&self) -> &str {
        &self.worker
    }

    /// Returns the approximate size in memory, in bytes.
    #[must_use]
    pub fn size_in_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns a copy of the turn for the stores.
    #[must_use]
    pub fn to_stored(&self) -> Turn {
        Turn {
            id: self.id.clone(),
            ancestors: self.ancestors.clone(),
            input: self.input.to_vec(),
            output: self.output.to_vec(),
            retention_ms: self.retention_ms,
            worker: self.worker.clone(),
        }
    }
}

/// Returns the approximate size of a turn in memory, in bytes.
#[must_use]
pub fn size_in_bytes(turn: &Turn) -> usize {
    let ancestors: usize = turn.ancestors.iter().map(|id| id.len() + size_of::<String>()).sum();
    turn.input.len() + turn.output.len() + ancestors + 2 * turn.id.len() + OVERHEAD_BYTES
}
