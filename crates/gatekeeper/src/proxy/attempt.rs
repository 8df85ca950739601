//! Decides, after each try of a request at a worker, whether another worker may be tried.
//!
//! A request that may run more than once is tried at up to `max_attempts` workers. Any other request goes on to
//! another worker only while it is certain that it has not run and never will.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Most tries of one request, those included that its workers turned away.
pub const MAX_TRIES: u32 = 6;
/// With less time left than this, no further worker is tried.
pub const LEAST_TIME_FOR_A_TRY: Duration = Duration::from_millis(5);

/// How a try at a worker ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The worker states that it did not run the request.
    NotExecuted,
    /// The connection did not come up, or broke before the last byte of the request was written.
    NotSent,
    /// The connection broke, was silent or carried what is no answer after the request had been sent.
    MayHaveRun,
    /// The worker answered with a failure of its own.
    WorkerFailed,
}

/// What to do after a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Choose another worker.
    TryAnother,
    /// Pass the worker's failure on unchanged.
    PassOn,
    /// Nothing can be tried, and the request has not run: 503 with a time to come back.
    Refuse,
    /// Nothing can be tried, and the request may have run: 502.
    Fail,
}

/// The tries of one request.
#[derive(Debug, Clone)]
pub struct Attempts {
    idempotent: bool,
    max_workers: u32,
    workers_that_may_have_run_it: u32,
    tries: u32,
}

impl Attempts {
    /// `idempotent`: it may run more than once, at up to `max_attempts` workers.
    #[must_use]
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self { idempotent, max_workers: max_attempts.max(1), workers_that_may_have_run_it: 0, tries: 0 }
    }

    /// Whether some worker may have run the request, or may run it yet.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.workers_that_may_have_run_it > 0
    }

    /// Whether another worker may be tried although the next one may run the request.
    #[must_use]
    pub fn may_try_more(&self) -> bool {
        self.idempotent && self.workers_that_may_have_run_it + 1 < self.max_workers
    }

    /// Tries that have ended.
    #[must_use]
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// A try has ended so, with `time_left` until the request is to be answered.
    pub fn ended(&mut self, outcome: Outcome, time_left: Duration) -> Next {
        self.tries += 1;
        if matches!(outcome, Outcome::MayHaveRun | Outcome::WorkerFailed) {
            self.workers_that_may_have_run_it += 1;
        }
        if self.may_try_another(time_left) {
            return Next::TryAnother;
        }
        if outcome == Outcome::WorkerFailed { Next::PassOn } else { self.give_up() }
    }

    /// What to answer when no worker can be tried.
    #[must_use]
    pub fn give_up(&self) -> Next {
        if self.may_have_run() { Next::Fail } else { Next::Refuse }
    }

    fn may_try_another(&self, time_left: Duration) -> bool {
        let workers_left = self.workers_that_may_have_run_it < self.max_workers;
        let certain = !self.may_have_run();
        (self.idempotent || certain)
            && workers_left
            && self.tries < MAX_TRIES
            && time_left >= LEAST_TIME_FOR_A_TRY
    }
}
