//! The records of a store's log.
//!
//! A later record about the same program or turn replaces an earlier one, so replaying the log from any of its records
//! on yields the newest state of everything that was written since.
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

/// A record of the log. Its encoding is stored: golden files in `tests/golden` hold every variant.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The store has learned this epoch of the store map and accepts no older map.
    Epoch(Epoch),
    /// A program's count: all entries.
    Program {
        /// The program.
        program: String,
        /// Its entries, one of each holder.
        entries: Vec<CountEntry>,
    },
    /// A retained turn.
    Turn {
        /// The turn.
        turn: Turn,
        /// Milliseconds for which it is retained from the writing, or the replay, of this record on.
        keep_ms: u64,
    },
}

impl Record {
    /// The record's bytes.
    #[must_use]
    pub fn encode(&self) -> AlignedVec {
        frame::encode(self)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// [`FrameError::Unreadable`] where the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        frame::decode(bytes)
    }
}
