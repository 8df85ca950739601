//! A token bucket, which also serves as a decaying sum.

use crate::interface::Time;
use serde::{Deserialize, Serialize};

/// A token bucket that held `level` units at the time `at`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) at: Time,
}

impl TokenBucket {
    /// Refills the bucket with `rate` units per second up to `burst` and returns its level at `now`.
    pub(crate) fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at)).min(burst);
        self.at = now;
        self.level
    }
}
