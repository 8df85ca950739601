//! Log entries.

use crate::{LogIndex, LogPosition, Membership, Term};
use rkyv::{Archive, Deserialize, Serialize};
use std::rc::Rc;

/// A log entry.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The entry's index in the log.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The entry's content.
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// No operation: the first entry of a new leader, whose commit tells it which entries are committed (Raft §8).
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership in effect from this entry on, whether or not the entry is committed (Raft §6).
    MembershipChange(Membership),
}

impl Entry {
    /// Returns the entry's index and term.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition { index: self.index, term: self.term }
    }

    /// Returns the approximate size of the entry in memory and in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 48;
        match &self.payload {
            Payload::Command(command) => FIXED_BYTES + command.len(),
            _ => FIXED_BYTES,
        }
    }
}

/// An entry shared by the log, messages and disk writes.
pub(crate) type SharedEntry = Rc<Entry>;
