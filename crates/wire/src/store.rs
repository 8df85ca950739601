//! What gatekeepers and stores say to each other: counts of programs and retained turns.

#![allow(
    missing_docs,
    reason = "the types that rkyv derives have undocumented fields; every type here is documented"
)]

use crate::ids::{Epoch, Partition};
use rkyv::{Archive, Deserialize, Serialize};

/// A turn is kept for this many times its retention, so that one that goes on being built on rarely has to be extended.
const RETENTION_FACTOR: u64 = 2;
/// A turn is kept for this much longer: it is stored before the end of its answer reaches the client.
const RETENTION_SLACK_MS: u64 = 10_000;
/// Longest retention that is taken over, so that no client can fill a store for good.
const MAX_RETENTION_MS: u64 = 3_600_000;

/// For how long a store keeps a turn that is to be kept for `retention_ms` at least.
#[must_use]
pub fn keep_ms(retention_ms: u64) -> u64 {
    retention_ms.min(MAX_RETENTION_MS) * RETENTION_FACTOR + RETENTION_SLACK_MS
}

/// One holder's entry in the count of a program. Only the holder writes it, with a rising sequence.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountEntry {
    /// The holder: drawn at each start of a gatekeeper's proxy.
    pub holder: u64,
    /// Rises with each write of the holder for this program.
    pub sequence: u64,
    /// Units that the holder has taken from the budget and not given back, over its life.
    pub taken: u64,
}

/// Merges entries into those that are known of the same program: of each holder the one with the highest sequence stays.
/// Returns whether one was newer than what was known.
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

/// A turn that was answered whole.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// The `Request-Id` of the turn.
    pub id: String,
    /// The turns before it, oldest first: the whole chain.
    pub ancestors: Vec<String>,
    /// What the turn itself brought.
    pub input: Vec<u8>,
    /// The data of each of its events, each followed by a line feed.
    pub output: Vec<u8>,
    /// Milliseconds for which it is to be kept from when it is written. Stores keep it for longer.
    pub retention_ms: u64,
    /// The worker that answered it, as a hint for the next turn.
    pub worker: String,
}

/// A request to a store. `epoch` is that of the sender's map.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Writes a holder's entry durably and reads all entries of the program.
    WriteCount {
        /// The epoch of the sender's map.
        epoch: Epoch,
        /// The program.
        program: String,
        /// The entry.
        entry: CountEntry,
    },
    /// Writes a turn durably.
    PutTurn {
        /// The epoch of the sender's map.
        epoch: Epoch,
        /// The turn.
        turn: Turn,
    },
    /// Reads a turn.
    GetTurn {
        /// The epoch of the sender's map.
        epoch: Epoch,
        /// Its id.
        id: String,
    },
    /// Keeps turns for as long as if they had been written now, since another turn builds on them. All of them lie in one
    /// partition; those that are not here are passed over.
    ExtendTurns {
        /// The epoch of the sender's map.
        epoch: Epoch,
        /// The partition.
        partition: Partition,
        /// Their ids.
        ids: Vec<String>,
        /// Milliseconds for which they are to be kept from now on.
        retention_ms: u64,
    },
    /// From another store: a page of everything that it holds of a partition, for an incomplete replica.
    CopyPartition {
        /// The epoch of the asking store's map: the answer must come from a store that knows it, too.
        epoch: Epoch,
        /// The partition.
        partition: Partition,
        /// Where the page begins; 0 at first.
        cursor: u64,
    },
}

impl StoreRequest {
    /// The epoch of the sender's map.
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

/// A store's answer.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The entry is durable; these are all entries of the program.
    Count {
        /// This replica is complete: its answer counts towards the quorum.
        is_complete: bool,
        /// All entries, the one written included.
        entries: Vec<CountEntry>,
    },
    /// The turn is durable, or the turns are extended.
    Stored {
        /// This replica is complete.
        is_complete: bool,
    },
    /// What is known of a turn.
    Turn {
        /// This replica is complete: a missing turn is really missing here.
        is_complete: bool,
        /// The turn, if it is here.
        turn: Option<Turn>,
        /// Milliseconds for which it is kept yet.
        left_ms: u64,
    },
    /// A page of a partition.
    Page {
        /// Programs with all entries of their counts.
        counts: Vec<(String, Vec<CountEntry>)>,
        /// Turns, with the milliseconds that are left of their time.
        turns: Vec<(Turn, u64)>,
        /// Where the next page begins; `None`: that was all.
        next: Option<u64>,
        /// The replica that answered is complete.
        is_complete: bool,
    },
    /// The request names an older epoch than this store knows, or a partition that it does not hold.
    StaleEpoch {
        /// The epoch that the store knows.
        epoch: Epoch,
    },
    /// The store can't do it now (a full disk, say): numbered as in `docs/results.md`.
    Failed {
        /// The result code.
        code: u16,
    },
}
