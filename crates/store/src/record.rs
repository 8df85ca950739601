//! The records of a store's log.
//!
//! Each record holds the full state of one program's count or one turn, and a later record about the same program or turn
//! replaces an earlier one. So replaying any suffix of the log restores the newest state of every item that has a record
//! in that suffix.
#![allow(
    missing_docs,
    reason = "the types that rkyv derives have undocumented fields; every type here is documented"
)]

use opalrun_wire::{
    frame::{self, FrameError},
    ids::Epoch,
    store::{CountEntry, Turn},
};
use rkyv::{Archive, Deserialize, Serialize, util::AlignedVec};

/// A record of the log. The encoding is persistent: the golden files in `tests/golden` cover every variant.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Highest epoch of the store map that the store has learned; older maps are rejected from then on.
    Epoch(Epoch),
    /// The count of a program.
    Program {
        /// Name of the program.
        program: String,
        /// All entries of the count, one per holder.
        entries: Vec<CountEntry>,
    },
    /// A retained turn.
    Turn {
        /// Content of the turn.
        turn: Turn,
        /// Time for which the turn is retained from a restart on, in milliseconds: the longest that a write or an extension
        /// of the turn has asked for, however much of it is left. Earlier builds stored what was left.
        keep_ms: u64,
    },
}

impl Record {
    /// Encodes the record.
    #[must_use]
    pub fn encode(&self) -> AlignedVec {
        frame::encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`] if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        frame::decode(bytes)
    }
}
