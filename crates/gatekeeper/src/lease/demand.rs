//! Recent demand of a program at this gatekeeper, which sizes the blocks of units to acquire.

use std::time::Duration;

/// Time constant of the exponential decay: the weight of a spent unit falls to 1/e in this time.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Exponentially decaying sum of the units spent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Decayed sum of units at `updated_at`.
    units: f64,
    updated_at: Duration,
}

impl Demand {
    /// Adds units spent at `now`.
    pub(super) fn add(&mut self, units: u64, now: Duration) {
        self.units = self.decayed_units(now) + units as f64;
        self.updated_at = now;
    }

    /// Returns the number of units to lease in advance, equal to the decayed sum at `now`.
    pub(super) fn units(&self, now: Duration) -> u64 {
        self.decayed_units(now) as u64
    }

    fn decayed_units(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.units * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
