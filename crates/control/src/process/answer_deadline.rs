//! Deadline for answering an HTTP request of a worker or of the operator.

use std::time::Duration;
use tokio::time::Instant;

/// Time from the arrival of a request to its answer. Callers time out after a second and retry at another process.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Instant by which a request is answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerDeadline(Instant);

impl AnswerDeadline {
    /// Returns the deadline of a request that arrives now.
    pub(super) fn of_new_call() -> Self {
        Self(Instant::now() + ANSWER_TIMEOUT)
    }

    /// Returns the time left until the deadline, but at most `limit`.
    pub(super) fn time_left(self, limit: Duration) -> Duration {
        limit.min(self.0.saturating_duration_since(Instant::now()))
    }
}
