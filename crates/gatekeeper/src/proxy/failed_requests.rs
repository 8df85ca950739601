//! Counts and logs requests that ended without a complete answer. Each is counted by route type and reason, and logged
//! with the time left until its deadline. The log is rate limited; the counters are not. `docs/operations.md` lists the
//! metric `unserved_requests_total`, the fields of the log line and the reasons.

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

/// Maximum number of lines logged per [`LOG_INTERVAL`]; further requests are only counted.
const MAX_LINES_PER_INTERVAL: u32 = 40;
/// Interval of the log's rate limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request received no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The service has no worker at which the request was not attempted before.
    NoWorker,
    /// The queues of all candidate workers are full.
    WorkersFull,
    /// Workers rejected the request, or no connection to a worker could be established (`not_taken`).
    Rejected,
    /// The stores did not return the program's used budget in time (`count_unavailable`).
    BudgetUnavailable,
    /// The stores did not return the earlier turns in time.
    TurnsUnavailable,
    /// No memory was left for the earlier turns, or for the turn's own output.
    NoTurnMemory,
    /// A worker answered with a server error.
    WorkerFailed,
    /// The connection to a worker broke, or its answer was invalid (`worker_broke`).
    ConnectionBroken,
    /// The deadline passed before the answer was complete (`time_over`).
    DeadlineExceeded,
    /// The answer was complete, but the stores did not store the turn in time (`not_kept`).
    TurnNotStored,
    /// The client closed the connection (`client_left`).
    ClientDisconnected,
}

impl FailureReason {
    /// Returns the reason's label value in metrics, which is also its value in the log. Operators' queries use these
    /// names.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::WorkersFull => "workers_full",
            Self::Rejected => "not_taken",
            Self::BudgetUnavailable => "count_unavailable",
            Self::TurnsUnavailable => "turns_unavailable",
            Self::NoTurnMemory => "no_turn_memory",
            Self::WorkerFailed => "worker_failed",
            Self::ConnectionBroken => "worker_broke",
            Self::DeadlineExceeded => "time_over",
            Self::TurnNotStored => "not_kept",
            Self::ClientDisconnected => "client_left",
        }
    }

    /// Returns the reason for a request whose last attempt ended with `failure`, `time_left` before its deadline.
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

/// Limits how many lines are logged per interval.
#[derive(Debug)]
struct LogRateLimit {
    interval_start: Cell<Instant>,
    lines: Cell<u32>,
    /// Lines suppressed since the last admitted one.
    suppressed: Cell<u64>,
}

impl LogRateLimit {
    fn new(now: Instant) -> Self {
        Self { interval_start: Cell::new(now), lines: Cell::new(0), suppressed: Cell::new(0) }
    }

    /// Returns `None` when a line must not be logged; otherwise the number of lines suppressed since the last one.
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

/// Counts and logs requests that received no complete answer.
#[derive(Debug)]
pub struct FailedRequests {
    /// Number of failed requests by route type and reason.
    pub counters: LabelledCounter,
    log_rate_limit: LogRateLimit,
}

impl Default for FailedRequests {
    fn default() -> Self {
        Self { counters: LabelledCounter::default(), log_rate_limit: LogRateLimit::new(Instant::now()) }
    }
}

impl FailedRequests {
    /// Increments the counter of a route type and reason.
    fn count(&self, route_type: RouteType, reason: FailureReason) {
        let labels = vec![
            ("route_type", route_type_name(route_type).to_owned()),
            ("reason", reason.name().to_owned()),
        ];
        self.counters.get_or_create(&labels).inc();
    }

    /// Counts and logs a request that ended without a complete answer after `attempts` failed attempts.
    pub fn record(&self, request: &ForwardedRequest, reason: FailureReason, attempts: u32) {
        self.count(request.route.route_type, reason);
        let Some(suppressed) = self.log_rate_limit.admit(Instant::now()) else { return };
        let header = |name| request_parameters::header_text(&request.headers, name).unwrap_or("-");
        info!(
            reason = reason.name(),
            route = %request.route.name,
            kind = route_type_name(request.route.route_type),
            program = header(&request_parameters::PROGRAM),
            session = header(&request_parameters::SESSION),
            id = %request.parameters.request_id,
            held_ms = request.received_at.elapsed().as_millis() as u64,
            left_ms = request.time_left().as_millis() as u64,
            program_left_ms = header(&request_parameters::FINISH_MS),
            tries = attempts,
            left_out = suppressed,
            "request ended without a complete answer"
        );
    }
}

fn route_type_name(route_type: RouteType) -> &'static str {
    match route_type {
        RouteType::Safe => "safe",
        RouteType::Unsafe => "unsafe",
        RouteType::Streaming => "streaming",
    }
}

/// Detects that a client disconnects before its request is answered: when the watch is dropped without
/// [`answered`](Self::answered) or [`failed`](Self::failed), it records [`FailureReason::ClientDisconnected`].
pub struct DisconnectWatch {
    failed_requests: Rc<FailedRequests>,
    request: Rc<ForwardedRequest>,
    finished: Cell<bool>,
}

impl DisconnectWatch {
    /// Starts to watch the request.
    pub fn new(failed_requests: &Rc<FailedRequests>, request: &Rc<ForwardedRequest>) -> Self {
        Self {
            failed_requests: failed_requests.clone(),
            request: request.clone(),
            finished: Cell::new(false),
        }
    }

    /// Ends the watch and returns `answer`, which is successful or the beginning of a stream.
    pub fn answered(self, answer: Answer) -> Answer {
        self.finished.set(true);
        answer
    }

    /// Ends the watch, records the failure and its reason, and returns `answer`, which reports the failure.
    pub fn failed(self, attempts: &Attempts, reason: FailureReason, answer: Answer) -> Answer {
        self.finished.set(true);
        self.failed_requests.record(&self.request, reason, attempts.failed_count());
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
