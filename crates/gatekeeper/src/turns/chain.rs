//! The chain of the turns that precede a turn.

use opalrun_wire::store::Turn;
use std::rc::Rc;

/// The inputs and outputs of all turns that precede a turn.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Chain {
    /// Input and event data of each earlier turn, oldest first. The worker receives them before the new input.
    pub bytes: Vec<u8>,
    /// Ids of the earlier turns, oldest first. They are the `ancestors` of the new turn.
    pub ancestors: Vec<String>,
    /// Id of the worker that answered the newest of the earlier turns; empty without earlier turns.
    pub worker: String,
}

impl Chain {
    /// Concatenates turns, which must be ordered oldest first.
    pub(super) fn from_turns(turns: &[Rc<Turn>]) -> Self {
        let length = turns.iter().map(|turn| turn.input.len() + turn.output.len()).sum();
        let mut bytes = Vec::with_capacity(length);
        for turn in turns {
            bytes.extend_from_slice(&turn.input);
            bytes.extend_from_slice(&turn.output);
        }
        let ancestors = turns.iter().map(|turn| turn.id.clone()).collect();
        let worker = turns.last().map(|turn| turn.worker.clone()).unwrap_or_default();
        Self { bytes, ancestors, worker }
    }

    /// Returns the request body for the worker: the chain followed by the new input.
    #[must_use]
    pub fn body(&self, input: &[u8]) -> Vec<u8> {
        [self.bytes.as_slice(), input].concat()
    }
}
