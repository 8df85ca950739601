//! A store of units that refills.

/// What a customer has left of a quota or ceiling; full at first.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    pub level: f64,
    at: f64,
    rate: f64,
    burst: f64,
}

impl Bucket {
    pub fn full(rate: f64, burst: f64) -> Self {
        Self { level: burst, at: 0.0, rate, burst }
    }

    /// What it holds by `now`, in seconds.
    pub fn refill(&mut self, now: f64) -> f64 {
        self.level = (self.level + self.rate * (now - self.at).max(0.0)).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes a unit, if there is one.
    pub fn take(&mut self, now: f64) -> bool {
        let has_unit = self.refill(now) >= 1.0;
        if has_unit {
            self.level -= 1.0;
        }
        has_unit
    }
}
