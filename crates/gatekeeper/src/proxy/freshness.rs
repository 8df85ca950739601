//! Tracks when control last confirmed that the workers and the configuration known here are up to date.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};
use tracing::info;

/// Maximum age of the last confirmation for the state to count as fresh.
const MAX_FRESH_AGE: Duration = Duration::from_secs(2);

/// Time of control's last confirmation of this gatekeeper's state.
pub struct Freshness {
    started: Instant,
    /// Time from `started` to the last confirmation.
    confirmed_at: Cell<Option<Duration>>,
}

impl Freshness {
    /// Starts without a confirmation. Times are counted from `started`.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self { started, confirmed_at: Cell::new(None) }
    }

    /// Records a confirmation at `at`.
    pub fn confirm(&self, at: Instant) {
        let before = self.confirmed_at.replace(Some(at.saturating_duration_since(self.started)));
        if before.is_none() {
            info!("control has confirmed the state of workers and configuration for the first time");
        }
    }

    /// Whether there was a confirmation since the start.
    #[must_use]
    pub fn was_confirmed(&self) -> bool {
        self.confirmed_at.get().is_some()
    }

    /// Whether the last confirmation is at most [`MAX_FRESH_AGE`] old.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.confirmed_at.get().is_some_and(|at| self.started.elapsed() <= at + MAX_FRESH_AGE)
    }

    /// Returns the time since the last confirmation; `None` when there was none.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| self.started.elapsed().saturating_sub(at))
    }
}
