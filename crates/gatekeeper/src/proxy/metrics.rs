//! What the proxy counts; `scrape.rs` names the metrics.

use hyper::StatusCode;
use opalrun_metrics::{Counter, LabelledCounter};

/// How requests are counted, by the status of their answer.
const OUTCOMES: [&str; 5] = ["served", "rejected", "budget_spent", "refused", "failed"];

/// What the proxy counts.
pub struct ProxyMetrics {
    /// Requests answered, by outcome.
    pub(super) requests: LabelledCounter,
    /// The counters of [`OUTCOMES`], at hand without a look-up.
    by_outcome: [Counter; OUTCOMES.len()],
    /// Attempts at another worker than a request's first.
    pub(super) retries: Counter,
    /// Turns that the stores have stored; the metric is called `turns_kept`.
    pub(super) turns_stored: Counter,
}

impl Default for ProxyMetrics {
    fn default() -> Self {
        let requests = LabelledCounter::default();
        let counter = |outcome: &str| requests.get_or_create(&vec![("outcome", outcome.to_owned())]).clone();
        let by_outcome = OUTCOMES.map(counter);
        Self { requests, by_outcome, retries: Counter::default(), turns_stored: Counter::default() }
    }
}

impl ProxyMetrics {
    /// A request was answered. A stream counts at its head.
    pub fn answered(&self, status: StatusCode) {
        let outcome = match status {
            StatusCode::PAYMENT_REQUIRED => 2,
            StatusCode::SERVICE_UNAVAILABLE => 3,
            other if other.is_server_error() => 4,
            other if other.is_client_error() => 1,
            _ => 0,
        };
        self.by_outcome[outcome].inc();
    }

    /// A request is attempted at another worker than its first.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// The stores have stored a turn.
    pub fn turn_stored(&self) {
        self.turns_stored.inc();
    }
}

#[cfg(test)]
mod tests;
