//! Passive outlier detection: judges a worker by the outcome of its requests, without active health checks.
//!
//! Consecutive failures eject a worker for a backoff that doubles each time. After the backoff one request at a time is
//! attempted at it; during probation this must be an idempotent one. A worker that fails only some of its requests is
//! not ejected: its recent failures add a penalty to its score, a larger one for requests that are not idempotent.

use crate::proxy::balance::decay::{DecayingValue, HalfLife};
use std::time::Duration;

/// Number of consecutive failures at which a worker is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// Duration of the first ejection; each further one lasts twice as long as the previous one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest ejection.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Time after an ejection during which a worker gets only idempotent requests until one of them succeeds.
const PROBATION: Duration = Duration::from_secs(3);
/// Time within which the weight of a past failure halves.
const HALF_LIFE: HalfLife = HalfLife(Duration::from_secs(2));
/// Fraction of the recent failures that still counts after a successful answer.
const FAILURE_SHARE_AFTER_SUCCESS: f64 = 0.7;
/// Upper limit of the recent failure count.
const MAX_RECENT_FAILURES: f64 = 4.0;
/// Failure count assumed for a worker that other gatekeepers report as failing.
const SUSPECTED_FAILURE_COUNT: f64 = 2.0;
/// How long a report of other gatekeepers remains valid without renewal.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Recent failures and the ejection state of one worker.
#[derive(Debug, Default)]
pub(super) struct Health {
    consecutive_failures: u32,
    ejected_until: Duration,
    /// Decaying count of recent failures.
    failures: DecayingValue,
    /// Failures that have not been reported to control yet.
    unreported: u32,
    /// Time of the latest report of failures by other gatekeepers.
    suspected_at: Option<Duration>,
}

impl Health {
    /// Whether a request may be sent to the worker; `idempotent`: the request may be executed more than once.
    pub fn may_attempt(&self, now: Duration, idempotent: bool) -> bool {
        let probation = if idempotent { Duration::ZERO } else { PROBATION };
        now >= self.ejected_until && (!self.is_outlier() || now >= self.ejected_until + probation)
    }

    fn is_outlier(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Decaying count of recent failures, at least [`SUSPECTED_FAILURE_COUNT`] while other gatekeepers report failures.
    pub fn recent_failures(&self, now: Duration) -> f64 {
        let suspected = self.suspected_at.is_some_and(|at| now <= at + SUSPICION_TIMEOUT);
        let reported_by_others = if suspected { SUSPECTED_FAILURE_COUNT } else { 0.0 };
        self.own_failures(now).max(reported_by_others)
    }

    /// Records whether other gatekeepers currently report failures of this worker.
    pub fn set_suspected(&mut self, now: Duration, suspected: bool) {
        self.suspected_at = suspected.then_some(now);
    }

    /// Returns the number of failures not yet reported to control and marks them as reported.
    pub fn take_unreported(&mut self) -> u32 {
        std::mem::take(&mut self.unreported)
    }

    fn own_failures(&self, now: Duration) -> f64 {
        self.failures.get(now, HALF_LIFE)
    }

    /// Records that a request is sent to the worker. For an outlier this extends the ejection, so that no other request
    /// follows until the attempt has succeeded or the backoff has passed.
    pub fn attempt_started(&mut self, now: Duration) {
        if self.is_outlier() {
            self.ejected_until = now + self.backoff();
        }
    }

    /// Records a successful answer, which ends an ejection.
    pub fn attempt_succeeded(&mut self, now: Duration) {
        self.consecutive_failures = 0;
        self.ejected_until = Duration::ZERO;
        self.set_failures(now, self.own_failures(now) * FAILURE_SHARE_AFTER_SUCCESS);
    }

    /// Records a failure. The worker is ejected from [`CONSECUTIVE_FAILURES_TO_EJECT`] consecutive failures on.
    pub fn attempt_failed(&mut self, now: Duration) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.is_outlier() {
            self.ejected_until = now + self.backoff();
        }
        self.unreported += 1;
        self.set_failures(now, self.own_failures(now) + 1.0);
    }

    /// Records that an answer is overdue. This is reported to control, but does not eject the worker, since the answer
    /// may still arrive.
    pub fn answer_overdue(&mut self, now: Duration) {
        self.unreported += 1;
        self.possible_failure(now);
    }

    /// Records an outcome that may be due to a failure or to a busy worker. It adds a penalty to the score but does not
    /// eject the worker.
    pub fn possible_failure(&mut self, now: Duration) {
        self.set_failures(now, self.own_failures(now) + 1.0);
    }

    fn set_failures(&mut self, now: Duration, failures: f64) {
        self.failures = DecayingValue::new(now, failures.min(MAX_RECENT_FAILURES));
    }

    fn backoff(&self) -> Duration {
        let doublings = self.consecutive_failures.saturating_sub(CONSECUTIVE_FAILURES_TO_EJECT).min(8);
        (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF)
    }
}
