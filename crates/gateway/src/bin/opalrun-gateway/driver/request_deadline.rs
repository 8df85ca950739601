//! Computes how long a request may take so that its answer reaches the client in time.

use opalrun_gateway::Time;
use std::cell::Cell;

/// Longest time in seconds that a client may wait; larger values are reduced to it.
pub const MAX_CLIENT_TIMEOUT: f64 = 3600.0;

/// Seconds after a request's expiry at which the driver fails it if the decisions have not answered it.
pub const LAST_RESORT_DELAY: f64 = 0.004;

/// Seconds before the client's time-out at which a request expires. Covers the timers' resolution, `LAST_RESORT_DELAY`
/// and the transfer of the answer: a client without an answer by then disconnects a moment later.
const ANSWER_MARGIN: f64 = 0.006;

/// Largest share of the client's waiting time that the margin may take, whatever the lag.
const MAX_MARGIN_SHARE: f64 = 0.25;

/// Time constant in seconds with which the recorded lag decays.
const LAG_MEMORY: f64 = 10.0;

/// Largest lag in seconds that is recorded. A longer delay means that the process was suspended, not that it runs late.
const MAX_LAG: f64 = 0.05;

/// Seconds that a request may take if its client waits for `remaining` seconds and this process runs up to `lag` seconds
/// late. The lag counts twice: the request may be read late, and its expiry may be noticed late.
pub fn time_to_answer(remaining: f64, lag: f64) -> f64 {
    remaining - (ANSWER_MARGIN + 2.0 * lag).min(MAX_MARGIN_SHARE * remaining)
}

/// The largest recent delay of this process's timers, in seconds, decaying with time.
#[derive(Debug, Default)]
pub struct RecentLag {
    max: Cell<f64>,
    at: Cell<Time>,
}

impl RecentLag {
    /// Decayed lag at `now`, in seconds.
    pub fn at(&self, now: Time) -> f64 {
        self.max.get() * (-(now - self.at.get()).max(0.0) / LAG_MEMORY).exp()
    }

    /// Records that a timer for `due` fired at `now`.
    pub fn record(&self, due: Time, now: Time) {
        self.max.set(self.at(now).max((now - due).min(MAX_LAG)));
        self.at.set(now);
    }
}

#[cfg(test)]
mod tests;
