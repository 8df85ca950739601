//! Counters of the proxy; `scrape.rs` exports them as metrics.

use hyper::StatusCode;
use opalrun_metrics::{Counter, LabelledCounter};

/// Values of the metric label `outcome`, which depends on the status of the answer.
const OUTCOMES: [&str; 5] = ["served", "rejected", "budget_spent", "refused", "failed"];

/// Counters of the proxy.
pub struct ProxyMetrics {
    /// Requests answered, by outcome.
    pub(super) requests: LabelledCounter,
    /// Counters of [`OUTCOMES`] in the same order, which saves the label look-up for each request.
    by_outcome: [Counter; OUTCOMES.len()],
    /// Attempts of requests after their first attempt.
    pub(super) retries: Counter,
    /// Turns that the stores have stored; the metric is named `turns_kept`.
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
    /// Counts an answered request by the status of its answer. A stream is counted when its head is sent.
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

    /// Counts an attempt of a request at a further worker.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts a turn that the stores have stored.
    pub fn turn_stored(&self) {
        self.turns_stored.inc();
    }
}

#[cfg(test)]
mod tests;
