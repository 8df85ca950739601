//! Pauses a worker after failures in a row, for a growing time.

use std::time::Duration;

/// Failures in a row from which on a worker is paused.
const FAILURES_TO_PAUSE: u32 = 2;
/// The first pause.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Whether a worker has failed of late.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures_in_a_row: u32,
    paused_until: Duration,
}

impl Health {
    pub fn may_try(&self, now: Duration) -> bool {
        now >= self.paused_until
    }

    /// A request goes there: after a pause it is the only one until it has been answered, or has failed.
    pub fn tried(&mut self, now: Duration) {
        if self.failures_in_a_row >= FAILURES_TO_PAUSE {
            self.paused_until = now + self.pause();
        }
    }

    pub fn answered(&mut self) {
        *self = Self::default();
    }

    pub fn failed(&mut self, now: Duration) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        if self.failures_in_a_row >= FAILURES_TO_PAUSE {
            self.paused_until = now + self.pause();
        }
    }

    fn pause(&self) -> Duration {
        let doublings = self.failures_in_a_row.saturating_sub(FAILURES_TO_PAUSE).min(8);
        (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
    }
}
