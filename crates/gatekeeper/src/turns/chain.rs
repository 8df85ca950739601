//! The chain of the turns that precede a turn.

use super::LoadedTurn;
use opalrun_transport::body::Segments;
use std::rc::Rc;

/// All turns that precede a turn, oldest first. They stay in memory for as long as the chain exists.
#[derive(Debug, Clone, Default)]
pub struct Chain {
    turns: Vec<Rc<LoadedTurn>>,
}

impl Chain {
    /// Creates the chain of these turns, which must be ordered oldest first.
    pub(super) fn new(turns: Vec<Rc<LoadedTurn>>) -> Self {
        Self { turns }
    }

    /// Returns the ids of the turns, oldest first. They are the `ancestors` of the new turn.
    #[must_use]
    pub fn ancestors(&self) -> Vec<String> {
        self.turns.iter().map(|turn| turn.id().to_owned()).collect()
    }

    /// Returns the id of the worker that answered the newest of the turns; `None` without turns.
    #[must_use]
    pub fn worker(&self) -> Option<&str> {
        self.turns.last().map(|turn| turn.worker())
    }

    /// Returns the request body for the worker: input and event data of each turn, followed by the new input. The turns are
    /// not copied.
    #[must_use]
    pub fn body(&self, input: &Segments) -> Segments {
        let mut body = Segments::default();
        for turn in &self.turns {
            body.push(turn.input().clone());
            body.push(turn.output().clone());
        }
        body.append(input);
        body
    }
}
