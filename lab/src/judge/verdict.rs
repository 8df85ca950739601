//! The result of an evaluation: the metrics of a run, and whether it passed.

use super::rule::{Rule, Violation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Metrics of one second of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// First tries of clients.
    pub tries: u64,
    /// Retries of clients.
    pub retries: u64,
    /// Tries whose first attempt reached a worker.
    pub sent: u64,
    /// Attempts that reached workers, by the workers' zones.
    pub attempts: Vec<u64>,
    /// Health checks at workers.
    pub probes: u64,
    /// New connections at workers.
    pub handshakes: u64,
    /// Calls of the shared counter.
    pub calls: u64,
    /// Calls of the shared counter that were answered `busy`.
    pub busy_calls: u64,
    pub refused: u64,
    pub failed: u64,
    /// Value of the requests first sent in this second.
    pub asked: f64,
    /// Value earned by the requests first sent in this second.
    pub earned: f64,
    /// Attempts at the worker that received the most.
    pub worst_worker: u64,
    /// Core seconds spent on attempts that earned no value.
    pub wasted_s: f64,
}

/// Outcomes of the tries of one plan or class, with the value requested and earned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub tries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub asked: f64,
    pub earned: f64,
}

/// Number of units by cause, as logged by the gateways.
pub type Causes = BTreeMap<String, u64>;

/// Recovery of the fleet after the faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Recovery {
    /// Goodput before the faults, as a share of the value requested.
    pub before: f64,
    pub fault_from_s: f64,
    pub fault_to_s: f64,
    /// Seconds from the end of the faults until goodput was back at 95% of `before`; `None` if it did not recover
    /// within the run.
    pub after_s: Option<f64>,
}

/// Evaluation of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Reasons why the run failed; empty if it passed.
    pub failed: Vec<String>,
    /// Reason why the run is invalid, if it is.
    pub void: Option<String>,
    /// The first violations of rules, as many as are listed.
    pub broken: Vec<Violation>,
    /// Number of violations of each rule.
    pub broken_by: BTreeMap<Rule, u64>,
    /// Requests (first tries) after the lead-in.
    pub requests: u64,
    /// Tries after the lead-in, retries included.
    pub tries: u64,
    /// Value earned over value requested.
    pub goodput: f64,
    /// Goodput less the cost of units sent beyond quotas.
    pub score: f64,
    /// Tries of which at least one attempt reached a worker.
    pub sent: u64,
    /// Attempts that reached workers.
    pub attempts: u64,
    /// Attempts per try that was sent to a worker, over the whole run.
    pub amplification: f64,
    /// Attempts per try that was sent to a worker, in the worst second.
    pub worst_amplification: f64,
    /// Units sent to workers beyond quotas.
    pub beyond: u64,
    /// `beyond` as a share of `sent`.
    pub beyond_share: f64,
    /// Greatest number of units that one customer had beyond its quota.
    pub worst_beyond: u64,
    /// Refusals while the customer's exact bucket held a unit.
    pub refused_with_room: u64,
    /// `refused_with_room` as a share of all tries after the lead-in.
    pub refused_with_room_share: f64,
    /// Refusals while the exact bucket was at least half full, as a share of all tries after the lead-in.
    pub refused_half_share: f64,
    /// Causes of the units in `beyond`.
    pub beyond_causes: Causes,
    /// Causes of the refusals in `refused_with_room`.
    pub refused_causes: Causes,
    pub by_plan: Vec<(String, Totals)>,
    pub by_class: Vec<(String, Totals)>,
    /// Milliseconds from a request's first try to its answer, for served requests: median, 95th and 99th percentile.
    pub latency_ms: [f64; 3],
    /// Share of the workers' core seconds spent on attempts that earned no value.
    pub wasted: f64,
    /// Requests that waited for their first attempt when their client disconnected, and how many of them were sent to
    /// a worker after the allowance.
    pub gone: [u64; 2],
    /// Health checks at workers per request.
    pub probes_a_request: f64,
    /// Calls of the shared counter per try.
    pub calls_a_try: f64,
    /// Least and greatest share of tries that a gateway refused.
    pub refused_spread: [f64; 2],
    pub recovery: Option<Recovery>,
    /// Delay of the lab's own sends in milliseconds: median, 99th percentile and maximum.
    pub late_ms: [f64; 3],
    /// Processor time of all gateways per try, in microseconds.
    pub cpu_us: f64,
    /// Greatest resident memory of any gateway, in MB.
    pub rss_mb: f64,
    pub seconds: Vec<Second>,
}

impl Verdict {
    /// Whether the run is valid and met all requirements.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.failed.is_empty() && self.void.is_none()
    }

    /// Returns the result line: `PASS`, or `FAIL` or `VOID` with the reason.
    #[must_use]
    pub fn line(&self) -> String {
        match (&self.void, self.failed.is_empty()) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, true) => "PASS".to_owned(),
            (None, false) => format!("FAIL: {}", self.failed.join("; ")),
        }
    }
}
