//! What is judged of a play: the figures, and whether it passed.

use super::rule::{Rule, Violation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One second of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// First tries of clients, and their further ones.
    pub tries: u64,
    pub retries: u64,
    /// Tries of which an attempt reached a worker, and all attempts, by the workers' zones.
    pub sent: u64,
    pub attempts: Vec<u64>,
    pub probes: u64,
    pub handshakes: u64,
    pub calls: u64,
    pub busy_calls: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth asked for by first tries of this second, and earned by them.
    pub asked: f64,
    pub earned: f64,
    /// Attempts at the worker that got most.
    pub worst_worker: u64,
    /// Core seconds of work for nobody.
    pub wasted_s: f64,
}

/// How requests of one plan or class fared.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    pub tries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub asked: f64,
    pub earned: f64,
}

/// Units of one kind, by why they came about.
pub type Causes = BTreeMap<String, u64>;

/// How a fleet came back after the faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Recovery {
    /// Goodput before the faults, as a share of what was asked for.
    pub before: f64,
    pub fault_from_s: f64,
    pub fault_to_s: f64,
    /// Seconds from the end of the faults to 95% of that; `None`: it did not recover within the play.
    pub after_s: Option<f64>,
}

/// All that is judged of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Why it failed; empty: it passed.
    pub failed: Vec<String>,
    /// Why it counts for nothing, if so.
    pub void: Option<String>,
    pub broken: Vec<Violation>,
    /// By rule, how often it was broken.
    pub broken_by: BTreeMap<Rule, u64>,
    /// First tries after the lead, and all tries.
    pub requests: u64,
    pub tries: u64,
    /// Worth earned in time over worth asked for; and less what units beyond quotas cost.
    pub goodput: f64,
    pub score: f64,
    pub sent: u64,
    pub attempts: u64,
    /// Attempts a try that was sent on: in all, and in the worst second.
    pub amplification: f64,
    pub worst_amplification: f64,
    /// Units sent on beyond quotas, and what share of those sent on they are.
    pub beyond: u64,
    pub beyond_share: f64,
    /// The most units that one customer had beyond its quota.
    pub worst_beyond: u64,
    /// Refusals while the exact bucket had room, and while it was half full or more; shares of all tries.
    pub refused_with_room: u64,
    pub refused_with_room_share: f64,
    pub refused_half_share: f64,
    pub beyond_causes: Causes,
    pub refused_causes: Causes,
    pub by_plan: Vec<(String, Totals)>,
    pub by_class: Vec<(String, Totals)>,
    /// Milliseconds from the first try to the answer, of what was served: median, 95th and 99th percentile.
    pub latency_ms: [f64; 3],
    /// Share of the workers' work that nobody got an answer from.
    pub wasted: f64,
    /// Requests that waited for their first attempt when their client left, and those of them that were sent on later
    /// than they may be.
    pub gone: [u64; 2],
    pub probes_a_request: f64,
    pub calls_a_try: f64,
    /// Share of the tries refused at each gateway: least and most.
    pub refused_spread: [f64; 2],
    pub recovery: Option<Recovery>,
    pub late_ms: [f64; 3],
    /// Microseconds of the gateways' processors for a try, and the most memory.
    pub cpu_us: f64,
    pub rss_mb: f64,
    pub seconds: Vec<Second>,
}

impl Verdict {
    /// Whether the play counts and nothing it has to show is missing.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.failed.is_empty() && self.void.is_none()
    }

    /// The line that a play ends in.
    #[must_use]
    pub fn line(&self) -> String {
        match (&self.void, self.failed.is_empty()) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, true) => "PASS".to_owned(),
            (None, false) => format!("FAIL: {}", self.failed.join("; ")),
        }
    }
}
