//! The one clock of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the origin of a [`Clock`].
pub type Time = f64;

/// Seconds that never go back, by the steady clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    origin: Time,
}

impl Clock {
    /// Counts from the Unix epoch: the system's clock is read once, now, and never again.
    #[must_use]
    pub fn unix() -> Self {
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { start: Instant::now(), origin }
    }

    /// Counts from now on; the time of day is not read.
    #[must_use]
    pub fn monotonic() -> Self {
        Self { start: Instant::now(), origin: 0.0 }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.origin + self.start.elapsed().as_secs_f64()
    }

    /// The instant of `at`.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        let ahead = (at - self.origin).clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(ahead)
    }
}
