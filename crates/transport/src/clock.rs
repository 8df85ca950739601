//! The monotonic clock that all parts of a process share.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds since the origin of a [`Clock`].
pub type Time = f64;

/// A clock whose time in seconds never decreases, based on the system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    origin: Time,
}

impl Clock {
    /// A clock with the Unix epoch as its origin. The system's time of day is read only here, so later adjustments of
    /// it have no effect.
    #[must_use]
    pub fn unix() -> Self {
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        Self { started_at: Instant::now(), origin }
    }

    /// A clock with the present moment as its origin. Does not read the time of day.
    #[must_use]
    pub fn monotonic() -> Self {
        Self { started_at: Instant::now(), origin: 0.0 }
    }

    /// Returns the seconds since the origin.
    #[must_use]
    pub fn now(&self) -> Time {
        self.origin + self.started_at.elapsed().as_secs_f64()
    }

    /// Converts a time of this clock to an [`Instant`], limited to the range from the origin to 1e9 s after it.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        let offset = (at - self.origin).clamp(0.0, 1e9);
        self.started_at + Duration::from_secs_f64(offset)
    }
}
