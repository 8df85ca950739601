//! Limits on what is transferred between this process and the stores at a time. Encoded and decoded messages are several
//! copies of a turn, and how long a turn is shows only once it was read.

use super::LoadedTurn;
use std::rc::Rc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Size from which on a turn is long, in bytes.
const LONG_TURN_BYTES: usize = 256 << 10;
/// Maximum number of long turns that are transferred at a time.
const MAX_LONG_TRANSFERS: usize = 2;
/// Bytes of a chain that are read at a time, unless a single turn is longer.
const READ_WINDOW_BYTES: usize = 1 << 20;
/// Maximum number of turns of a chain that are read at a time.
const MAX_PARALLEL_READS: usize = 64;

/// Limits how many long turns are transferred at a time, by all requests together.
#[derive(Debug, Clone)]
pub struct LongTransfers(Rc<Semaphore>);

impl Default for LongTransfers {
    fn default() -> Self {
        Self(Rc::new(Semaphore::new(MAX_LONG_TRANSFERS)))
    }
}

impl LongTransfers {
    /// Waits until a turn of about `bytes` may be transferred. Returns what is to be held meanwhile; `None` for a short
    /// turn.
    pub async fn begin(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        if bytes < LONG_TURN_BYTES {
            return None;
        }
        self.0.acquire().await.ok()
    }
}

/// How many turns of a chain may be read at a time: few if the chain has long turns. The turns that are known show how long
/// the others may be.
#[derive(Debug, Default)]
pub struct ReadWindow {
    longest_turn_bytes: usize,
}

impl ReadWindow {
    /// Takes a turn of the chain into account.
    pub fn record(&mut self, turn: &LoadedTurn) {
        self.longest_turn_bytes = self.longest_turn_bytes.max(turn.size_in_bytes());
    }

    /// Returns the size that a turn which is not known is taken to have, in bytes.
    #[must_use]
    pub fn expected_turn_bytes(&self) -> usize {
        self.longest_turn_bytes
    }

    /// Returns the maximum number of turns to read at a time.
    #[must_use]
    pub fn max_reads(&self) -> usize {
        (READ_WINDOW_BYTES / self.longest_turn_bytes.max(1)).clamp(1, MAX_PARALLEL_READS)
    }
}
