//! Exact token bucket.

/// Token bucket of a customer's quota or rate limit.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    /// Units available at `at`; may be made negative by its user.
    pub level: f64,
    /// Time of the last refill, in seconds.
    at: f64,
    /// Units added per second.
    rate: f64,
    /// Capacity in units.
    burst: f64,
}

impl Bucket {
    /// Returns a full bucket.
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { level: burst, at: 0.0, rate, burst }
    }

    /// Adds the units due until `now`, in seconds, and returns the level.
    pub fn refill(&mut self, now: f64) -> f64 {
        self.level = (self.level + self.rate * (now - self.at).max(0.0)).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes a unit if one is available at `now`; returns whether it did.
    pub fn take(&mut self, now: f64) -> bool {
        let has_unit = self.refill(now) >= 1.0;
        if has_unit {
            self.level -= 1.0;
        }
        has_unit
    }
}
