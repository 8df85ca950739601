//! Counts and logs requests that ended without a complete answer: each is counted by the type of its route and the
//! reason, and logged with the time that its client had left. The log is rate limited; the counters are not.
//! `docs/operations.md` lists the metric `unserved_requests_total`, the log's fields and the reasons.

use crate::proxy::{
    answer::Answer,
    attempt::{AttemptFailure, Attempts},
    balance::NoWorker,
    request::ForwardedRequest,
    request_parameters,
};
use opalrun_configuration::RouteType;
use opalrun_metrics::LabelledCounter;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};
use tracing::info;

#[cfg(test)]
mod tests;

/// Most lines that are logged in a [`LOG_INTERVAL`]; requests beyond them are only counted.
const MAX_LINES_PER_INTERVAL: u32 = 40;
/// Interval of the log's rate limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request got no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// No worker of the service is known that the request was not sent to before.
    NoWorker,
    /// The queues of all workers that might serve are full.
    WorkersFull,
    /// Workers rejected it, or no connection to one came up (`not_taken`).
    Rejected,
    /// The stores did not tell its program's budget in time (`count_unavailable`).
    BudgetUnavailable,
    /// The stores did not send the turns before it in time.
    TurnsUnavailable,
    /// A worker answered with a failure of its own.
    WorkerFailed,
    /// A worker's connection broke, or what came was no answer (`worker_broke`).
    ConnectionBroken,
    /// Its deadline passed before its answer was complete (`time_over`).
    DeadlineExceeded,
    /// Its answer was complete, but the stores did not store its turn in time (`not_kept`).
    TurnNotStored,
    /// Its client closed the connection (`client_left`).
    ClientDisconnected,
}

impl FailureReason {
    /// Its label in metrics and its value in logs, as operators' queries name it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::WorkersFull => "workers_full",
            Self::Rejected => "not_taken",
            Self::BudgetUnavailable => "count_unavailable",
            Self::TurnsUnavailable => "turns_unavailable",
            Self::WorkerFailed => "worker_failed",
            Self::ConnectionBroken => "worker_broke",
            Self::DeadlineExceeded => "time_over",
            Self::TurnNotStored => "not_kept",
            Self::ClientDisconnected => "client_left",
        }
    }

    /// The reason for a request whose last attempt ended with `failure` while `time_left` remained until its deadline.
    #[must_use]
    pub fn after_attempt(failure: AttemptFailure, time_left: Duration) -> Self {
        match failure {
            AttemptFailure::WorkerFailed => Self::WorkerFailed,
            _ if time_left.is_zero() => Self::DeadlineExceeded,
            AttemptFailure::MayHaveRun => Self::ConnectionBroken,
            AttemptFailure::NotExecuted | AttemptFailure::NotSent => Self::Rejected,
        }
    }
}

impl From<NoWorker> for FailureReason {
    fn from(error: NoWorker) -> Self {
        match error {
            NoWorker::Absent => Self::NoWorker,
            NoWorker::Full => Self::WorkersFull,
        }
    }
}

/// Bounds how many lines are logged in an interval.
#[derive(Debug)]
struct LogRateLimit {
    interval_start: Cell<Instant>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimit {
    fn new(now: Instant) -> Self {
        Self { interval_start: Cell::new(now), lines: Cell::new(0), suppressed: Cell::new(0) }
    }

    /// Whether a line may be logged: then how many were suppressed since the last one.
    fn admit(&self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.interval_start.get()) >= LOG_INTERVAL {
            self.interval_start.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_INTERVAL {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.suppressed.take())
    }
}

/// Counts and logs requests that got no complete answer.
#[derive(Debug)]
pub struct FailedRequests {
    /// Their number, by type of route and reason.
    pub counters: LabelledCounter,
    limit: LogRateLimit,
}

impl Default for FailedRequests {
    fn default() -> Self {
        Self { counters: LabelledCounter::default(), limit: LogRateLimit::new(Instant::now()) }
    }
}

impl FailedRequests {
    /// Counts one more.
    fn count(&self, kind: RouteType, reason: FailureReason) {
        let labels =
            vec![("route_type", route_type_name(kind).to_owned()), ("reason", reason.name().to_owned())];
        self.counters.get_or_create(&labels).inc();
    }

    /// Counts and logs a request that ended without a complete answer after `attempts` ended attempts.
    pub fn record(&self, request: &ForwardedRequest, reason: FailureReason, attempts: u32) {
        self.count(request.route.route_type, reason);
        let Some(suppressed) = self.limit.admit(Instant::now()) else { return };
        let header = |name| request_parameters::header_text(&request.headers, name).unwrap_or("-");
        info!(
            reason = reason.name(),
            route = %request.route.name,
            kind = route_type_name(request.route.route_type),
            program = header(&request_parameters::PROGRAM),
            session = header(&request_parameters::SESSION),
            id = %request.parameters.request_id,
            held_ms = request.arrived.elapsed().as_millis() as u64,
            left_ms = request.time_left().as_millis() as u64,
            program_left_ms = header(&request_parameters::FINISH_MS),
            tries = attempts,
            left_out = suppressed,
            "a request got no whole answer"
        );
    }
}

fn route_type_name(kind: RouteType) -> &'static str {
    match kind {
        RouteType::Safe => "safe",
        RouteType::Unsafe => "unsafe",
        RouteType::Streaming => "streaming",
    }
}

/// Records a request whose client disconnects before there is an answer: dropped before it was finished, the watch
/// records [`FailureReason::ClientDisconnected`].
pub struct DisconnectWatch {
    failed_requests: Rc<FailedRequests>,
    request: Rc<ForwardedRequest>,
    finished: Cell<bool>,
}

impl DisconnectWatch {
    /// Watches the request from now on.
    pub fn new(failed_requests: &Rc<FailedRequests>, request: &Rc<ForwardedRequest>) -> Self {
        Self {
            failed_requests: failed_requests.clone(),
            request: request.clone(),
            finished: Cell::new(false),
        }
    }

    /// Finishes with an answer that serves the request, or with the beginning of a stream.
    pub fn answered(self, answer: Answer) -> Answer {
        self.finished.set(true);
        answer
    }

    /// Finishes with an answer that does not serve the request, and records why.
    pub fn failed(self, attempts: &Attempts, reason: FailureReason, answer: Answer) -> Answer {
        self.finished.set(true);
        self.failed_requests.record(&self.request, reason, attempts.count());
        answer
    }
}

impl Drop for DisconnectWatch {
    fn drop(&mut self) {
        if !self.finished.get() {
            self.failed_requests.record(&self.request, FailureReason::ClientDisconnected, 0);
        }
    }
}
