//! Messages between gatekeepers and stores: unit counts of programs and retained turns.

#![allow(
    missing_docs,
    reason = "the types that rkyv derives have undocumented fields; every type defined here is documented"
)]

use crate::ids::{Epoch, Partition};
use rkyv::{Archive, Deserialize, Serialize};

/// Factor by which a store prolongs the requested retention, so that turns of an active conversation rarely have to be
/// extended.
const RETENTION_FACTOR: u64 = 2;
/// Added to the retention, in milliseconds, because a turn is stored before the end of its response reaches the client.
pub const RETENTION_SLACK_MS: u64 = 10_000;
/// Upper bound on the requested retention, in milliseconds: 30 days, the longest duration that a configuration may state.
const MAX_RETENTION_MS: u64 = 30 * 24 * 3_600_000;

/// Returns how long, in milliseconds, a store keeps a turn whose requested retention is `retention_ms`.
#[must_use]
pub fn keep_ms(retention_ms: u64) -> u64 {
    retention_ms.min(MAX_RETENTION_MS) * RETENTION_FACTOR + RETENTION_SLACK_MS
}

/// A holder's entry in the unit count of a program. Only the holder writes it, with increasing sequence numbers.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountEntry {
    /// Identity of the holder, generated at each start of a gatekeeper's proxy.
    pub holder: u64,
    /// Sequence number; increases with each write of the holder for this program.
    pub sequence: u64,
    /// Units that the holder has taken from the budget since its start, less the units that it has returned.
    pub taken: u64,
}

/// Merges entries into the known entries of the same program, keeping the one with the highest sequence number of each
/// holder. Returns whether any entry was newer than the known one.
pub fn merge_count_entries(known: &mut Vec<CountEntry>, entries: &[CountEntry]) -> bool {
    let mut is_changed = false;
    for entry in entries {
        match known.iter_mut().find(|known| known.holder == entry.holder) {
            Some(known) if known.sequence >= entry.sequence => continue,
            Some(known) => *known = *entry,
            None => known.push(*entry),
        }
        is_changed = true;
    }
    is_changed
}

/// A turn with a complete response.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// Value of the turn's `Request-Id` header.
    pub id: String,
    /// Ids of all preceding turns of the conversation, oldest first.
    pub ancestors: Vec<String>,
    /// Input of this turn only, without that of preceding turns.
    pub input: Vec<u8>,
    /// Data of each event of the response, each followed by a line feed.
    pub output: Vec<u8>,
    /// Minimum time for which the turn must be kept after it is written, in milliseconds. Stores keep it longer.
    pub retention_ms: u64,
    /// Identifier of the worker that served the turn, as a hint for routing the next turn.
    pub worker: String,
}

/// A request to a store.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Writes a holder's entry durably and returns all entries of the program.
    WriteCount {
        /// Epoch of the sender's store map.
        epoch: Epoch,
        /// Name of the program.
        program: String,
        /// Entry to write.
        entry: CountEntry,
    },
    /// Writes a turn durably.
    PutTurn {
        /// Epoch of the sender's store map.
        epoch: Epoch,
        /// Turn to write.
        turn: Turn,
    },
    /// Reads a turn.
    GetTurn {
        /// Epoch of the sender's store map.
        epoch: Epoch,
        /// Id of the turn.
        id: String,
    },
    /// Restarts the retention of turns as if they were written now, because a new turn depends on them. All turns must
    /// belong to one partition. A store that lacks one of them extends the others and replies that it does not count towards
    /// the quorum.
    ExtendTurns {
        /// Epoch of the sender's store map.
        epoch: Epoch,
        /// Partition of the turns.
        partition: Partition,
        /// Ids of the turns.
        ids: Vec<String>,
        /// Minimum time for which the turns must be kept from now on, in milliseconds.
        retention_ms: u64,
    },
    /// From a store with an incomplete replica: reads a page of all data that the receiver has of a partition.
    CopyPartition {
        /// Epoch of the sender's store map. The receiver must have reached this epoch as well.
        epoch: Epoch,
        /// Partition to read.
        partition: Partition,
        /// Position at which the page begins; 0 for the first page.
        cursor: u64,
    },
}

impl StoreRequest {
    /// Returns the epoch of the sender's store map.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        match self {
            Self::WriteCount { epoch, .. }
            | Self::PutTurn { epoch, .. }
            | Self::GetTurn { epoch, .. }
            | Self::ExtendTurns { epoch, .. }
            | Self::CopyPartition { epoch, .. } => *epoch,
        }
    }
}

/// A reply of a store.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The entry has been written durably.
    Count {
        /// Whether the replica is complete, so that its reply counts towards the quorum.
        is_complete: bool,
        /// All entries of the program, including the one just written.
        entries: Vec<CountEntry>,
    },
    /// The turn has been written durably, or the retention of the turns has been extended.
    Stored {
        /// Whether the reply counts towards the quorum: the replica is complete, and it has all turns that were to be
        /// extended.
        is_complete: bool,
    },
    /// The result of reading a turn.
    Turn {
        /// Whether the replica is complete. Only then does a missing turn mean that it was not stored here.
        is_complete: bool,
        /// The turn; `None` if the store does not have it.
        turn: Option<Turn>,
        /// Remaining time for which this store keeps the turn, in milliseconds. The other replicas may keep it for less.
        left_ms: u64,
    },
    /// A page of a partition's data.
    Page {
        /// Names of programs, each with all entries of its count.
        counts: Vec<(String, Vec<CountEntry>)>,
        /// Turns, each with the remaining time for which it is kept, in milliseconds.
        turns: Vec<(Turn, u64)>,
        /// Cursor of the next page; `None` if this is the last page.
        next: Option<u64>,
        /// Whether the replica of the replying store is complete.
        is_complete: bool,
    },
    /// The request carries an older epoch than the store's, or refers to a partition that the store does not hold.
    StaleEpoch {
        /// Epoch of the store's map.
        epoch: Epoch,
    },
    /// The store can't perform the operation now, for example because its disk is full.
    Failed {
        /// Result code, as listed in `docs/results.md`.
        code: u16,
    },
}
