//! Pages of a partition transfer.

use opalrun_wire::store::{CountEntry, Turn};
use std::time::Duration;

/// Page of a partition, received from another store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartitionPage {
    /// Counts of programs.
    pub counts: Vec<ProgramEntries>,
    /// Retained turns.
    pub turns: Vec<TransferredTurn>,
}

/// A program with all entries of its count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramEntries {
    /// Name of the program.
    pub program: String,
    /// The newest entry of each holder.
    pub entries: Vec<CountEntry>,
}

/// A retained turn, received from another store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferredTurn {
    /// Content of the turn.
    pub turn: Turn,
    /// Remaining retention of the turn at the source when it sent the page.
    pub remaining: Duration,
}

impl PartitionPage {
    /// Converts the fields of a [`StoreReply::Page`](opalrun_wire::store::StoreReply::Page): programs with the entries of
    /// their counts, and turns with their remaining retention in milliseconds.
    #[must_use]
    pub fn from_wire(counts: Vec<(String, Vec<CountEntry>)>, turns: Vec<(Turn, u64)>) -> Self {
        let counts = counts.into_iter().map(|(program, entries)| ProgramEntries { program, entries });
        let turns = turns.into_iter().map(|(turn, remaining_ms)| TransferredTurn {
            turn,
            remaining: Duration::from_millis(remaining_ms),
        });
        Self { counts: counts.collect(), turns: turns.collect() }
    }
}
