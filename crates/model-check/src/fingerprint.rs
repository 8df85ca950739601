//! Fingerprints, which identify states without storing them.

use std::fmt::{self, Debug, Write};

/// A 128-bit hash that identifies a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of the state's `Debug` text.
    ///
    /// # Panics
    /// If the state's `Debug` implementation fails.
    pub fn of(state: &impl Debug) -> Self {
        let mut hasher = TextHasher::new();
        write!(hasher, "{state:?}").expect("a state's Debug implementation must not fail");
        Self(hasher.finish())
    }
}

/// Two multiplicative hashes of a text with different constants, computed over eight bytes at a time.
struct TextHasher {
    halves: [u64; 2],
    pending: u64,
    pending_bytes: u32,
}

const MULTIPLIERS: [u64; 2] = [0x9e37_79b9_7f4a_7c15, 0xc2b2_ae3d_27d4_eb4f];
const STARTS: [u64; 2] = [0x2545_f491_4f6c_dd1d, 0x1656_67b1_9e37_79f9];
const WORD_BYTES: u32 = 8;

impl TextHasher {
    fn new() -> Self {
        Self { halves: STARTS, pending: 0, pending_bytes: 0 }
    }

    fn mix(&mut self, word: u64) {
        for (half, multiplier) in self.halves.iter_mut().zip(MULTIPLIERS) {
            let mixed = (*half ^ word).wrapping_mul(multiplier);
            *half = mixed ^ (mixed >> 29);
        }
    }

    fn finish(mut self) -> u128 {
        self.mix(self.pending);
        self.mix(u64::from(self.pending_bytes));
        u128::from(self.halves[0]) << 64 | u128::from(self.halves[1])
    }
}

impl Write for TextHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for byte in text.bytes() {
            self.pending |= u64::from(byte) << (8 * self.pending_bytes);
            self.pending_bytes += 1;
            if self.pending_bytes == WORD_BYTES {
                self.mix(self.pending);
                (self.pending, self.pending_bytes) = (0, 0);
            }
        }
        Ok(())
    }
}
