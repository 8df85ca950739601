//! Checks the tier's rules on the recorded observations. The result depends on these only.

mod control;
mod index;
mod programs;
mod requests;
mod streams;
#[cfg(test)]
mod tests;

use super::observation::TimedObservation;
use index::Index;
pub use programs::PrematureRefusal;
use std::fmt;

/// A rule of the tier. Reports show the variants' names in upper case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A response belongs to its request and is unchanged: its signature, status and body are those of a worker's response.
    Mixed,
    /// Only requests that a client sent run, with the client's method, host, path and body.
    Unasked,
    /// A request that is not idempotent runs at most once.
    Twice,
    /// A request that was answered as refused did not run, unless it may be retried.
    Refused,
    /// Requests keep to the attempts of their route, and programs to their token budget.
    Budget,
    /// A request runs only at a service that a configuration allows for it.
    Route,
    /// A worker whose departure was acknowledged gets no new requests after the drain bound.
    Drain,
    /// Accepted configurations apply within their bound, others never, and the newest is the one that is read back.
    Configuration,
    /// Stream events arrive in order, without gaps, and complete if the response is.
    Order,
    /// No retained turn is lost, nor a request during a planned stop.
    Lost,
    /// Requests that every configuration allows are not denied, apart from a small allowance.
    Denied,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// Time of the violation, in milliseconds since the log was created.
    pub at_ms: u64,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = format!("{:?}", self.rule).to_uppercase();
        write!(f, "{name} at {:.3} s: {}", self.at_ms as f64 / 1e3, self.description)
    }
}

/// Time bounds of the rules, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How long a machine must have been undisturbed for rules with a time bound to apply to it.
    pub contact_ms: u64,
    /// Time from the acknowledgement of a worker's departure until it gets no new requests.
    pub drain_ms: u64,
    /// Time from the acknowledgement of a configuration until it applies everywhere.
    pub config_apply_ms: u64,
    /// Only written to the settings files; no rule of the judge uses it.
    pub downgrade_ms: u64,
    /// Time from a SIGTERM until the process has exited.
    pub grace_ms: u64,
    /// How long a completed turn of a conversation is retained.
    pub retention_ms: u64,
    /// Time from the end of a turn until its actual token usage counts against the budget.
    pub settle_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact_ms: 3000,
            drain_ms: 2000,
            config_apply_ms: 2000,
            downgrade_ms: 250,
            grace_ms: 8000,
            retention_ms: 60_000,
            settle_ms: 1000,
        }
    }
}

/// Returns the turns that were answered 402 although their program's budget sufficed.
#[must_use]
pub fn premature_refusals(observations: &[TimedObservation], bounds: &Bounds) -> Vec<PrematureRefusal> {
    programs::premature_refusals(&Index::new(observations), bounds.settle_ms)
}

/// Returns every violation in chronological order.
#[must_use]
pub fn judge(observations: &[TimedObservation], bounds: &Bounds) -> Vec<Violation> {
    let index = Index::new(observations);
    let mut violations = requests::check(&index);
    violations.extend(streams::check(&index));
    violations.extend(programs::check(&index, bounds));
    violations.extend(control::check(&index, bounds));
    violations.sort_by_key(|b| b.at_ms);
    violations
}
