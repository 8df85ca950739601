//! Decides after each failed attempt of a request whether it may be attempted at another worker.
//!
//! An idempotent request may be run by at most `max_attempts` workers. Any other request is attempted at another worker
//! only while it is certain that it has not run and never will.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Maximum number of attempts of one request, including those that workers rejected.
pub const MAX_ATTEMPTS: u32 = 6;
/// Minimum time until the deadline for a further attempt.
pub const MIN_TIME_FOR_ATTEMPT: Duration = Duration::from_millis(5);

/// Why an attempt at a worker yielded no answer to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The worker states that it did not run the request.
    NotExecuted,
    /// The connection could not be established, or broke before the last byte of the request was written.
    NotSent,
    /// After the request had been sent, the connection broke, the answer timed out or it was invalid.
    MayHaveRun,
    /// The worker answered with a server error (5xx).
    WorkerFailed,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Attempt the request at another worker.
    AttemptAnother,
    /// Forward the worker's server error unchanged.
    ForwardFailure,
    /// No further attempt is possible and the request has not run: answer 503 with `Retry-After`.
    Reject,
    /// No further attempt is possible and the request may have run: answer 502, or 504 after its deadline.
    Fail,
}

/// The attempts of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    idempotent: bool,
    max_executions: u32,
    /// Attempts after which the request may have run.
    possible_executions: u32,
    failed: u32,
}

impl Attempts {
    /// Starts without attempts. An `idempotent` request may run at up to `max_attempts` workers, any other only once.
    #[must_use]
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self { idempotent, max_executions: max_attempts.max(1), possible_executions: 0, failed: 0 }
    }

    /// Whether some worker may have run the request, or may still run it.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.possible_executions > 0
    }

    /// Whether a further attempt is allowed even if the next worker may run the request.
    #[must_use]
    pub fn may_attempt_more(&self) -> bool {
        self.idempotent && self.possible_executions + 1 < self.max_executions
    }

    /// Returns the number of failed attempts.
    #[must_use]
    pub fn failed_count(&self) -> u32 {
        self.failed
    }

    /// Records a failed attempt, `time_left` before the request's deadline, and decides on the next step.
    pub fn record_failure(&mut self, failure: AttemptFailure, time_left: Duration) -> NextStep {
        self.failed += 1;
        if matches!(failure, AttemptFailure::MayHaveRun | AttemptFailure::WorkerFailed) {
            self.possible_executions += 1;
        }
        if self.may_attempt_another(time_left) {
            return NextStep::AttemptAnother;
        }
        if failure == AttemptFailure::WorkerFailed { NextStep::ForwardFailure } else { self.when_exhausted() }
    }

    /// Returns the next step when no worker is available for a further attempt.
    #[must_use]
    pub fn when_exhausted(&self) -> NextStep {
        if self.may_have_run() { NextStep::Fail } else { NextStep::Reject }
    }

    fn may_attempt_another(&self, time_left: Duration) -> bool {
        let executions_left = self.possible_executions < self.max_executions;
        let certainly_not_run = !self.may_have_run();
        (self.idempotent || certainly_not_run)
            && executions_left
            && self.failed < MAX_ATTEMPTS
            && time_left >= MIN_TIME_FOR_ATTEMPT
    }
}
