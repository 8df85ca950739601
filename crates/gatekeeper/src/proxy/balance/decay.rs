//! Exponentially decaying values, which halve within each [`HalfLife`].

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Time within which a value decays to half.
#[derive(Debug, Clone, Copy)]
pub(super) struct HalfLife(pub Duration);

impl HalfLife {
    /// Fraction of a value set at `set_at` that remains at `now`; 1 if `set_at` is in the future.
    pub fn share_left(self, set_at: Duration, now: Duration) -> f64 {
        let age_s = now.saturating_sub(set_at).as_secs_f64();
        (-age_s / self.0.as_secs_f64()).exp2()
    }
}

/// A value with the time at which it was set, from which it decays.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingValue {
    value: f64,
    set_at: Duration,
}

impl DecayingValue {
    /// Returns a value that equals `value` at `now`.
    pub fn new(now: Duration, value: f64) -> Self {
        Self { value, set_at: now }
    }

    /// Value that remains at `now`.
    pub fn get(self, now: Duration, half_life: HalfLife) -> f64 {
        self.value * half_life.share_left(self.set_at, now)
    }
}
