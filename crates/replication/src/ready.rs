//! The actions that a replica requires of its caller.

use crate::{Entry, HardState, LogIndex, Message, Snapshot};
use std::rc::Rc;

/// The actions that a replica requires of its caller.
#[derive(Debug, Clone, Default)]
pub struct Ready {
    /// Writes to be written and synced in this order. Once they are synced, the caller calls
    /// [`Replica::on_persisted`](crate::Replica::on_persisted) with the sequence number of the last one.
    pub writes: Vec<Write>,
    /// Messages to be sent. Order and delivery need not be guaranteed.
    pub messages: Vec<Message>,
    /// A received snapshot that replaces the state of the state machine, before `committed_entries` are applied.
    pub snapshot_to_install: Option<Rc<Snapshot>>,
    /// Entries to be applied to the state machine in this order.
    pub committed_entries: Vec<Rc<Entry>>,
    /// Results of [`Replica::read_index`](crate::Replica::read_index).
    pub read_results: Vec<ReadIndexResult>,
    /// Whether another replica needs a snapshot. If so, the caller passes the state to
    /// [`Replica::offer_snapshot`](crate::Replica::offer_snapshot) after it has applied `committed_entries`.
    pub is_snapshot_needed: bool,
}

/// One disk write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The sequence number, which increases by one with each write.
    pub sequence: u64,
    /// The new term and vote, if either changed.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the entire log.
    pub snapshot: Option<Rc<Snapshot>>,
    /// Entries, each of which replaces the entry at its index and all later ones.
    pub entries: Vec<Rc<Entry>>,
}

/// The result of a read request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadIndexResult {
    /// The state may be read once the state machine has applied the entry at `index`.
    Confirmed {
        /// The caller's identifier for the request.
        request: u64,
        /// The commit index at the time of confirmation.
        index: LogIndex,
    },
    /// This replica is no longer the leader.
    Failed {
        /// The caller's identifier for the request.
        request: u64,
    },
}
