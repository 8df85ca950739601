//! The monotonic clock of a control process.

use std::time::{Duration, Instant};

/// A monotonic clock that starts at zero with the process.
#[derive(Debug, Clone, Copy)]
pub(super) struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub(super) fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the time since the start.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
