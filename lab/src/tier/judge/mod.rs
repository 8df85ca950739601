//! The rules of the tier, checked on what the stand-ins saw. A pure function of that list.

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

/// A rule of the tier, by the name that the operators give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Mixed,
    Unasked,
    Twice,
    Refused,
    Budget,
    Route,
    Drain,
    Configuration,
    Order,
    Lost,
    Denied,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// Milliseconds since the log began.
    pub at_ms: u64,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = format!("{:?}", self.rule).to_uppercase();
        write!(f, "{name} at {:.3} s: {}", self.at_ms as f64 / 1e3, self.description)
    }
}

/// Times within which things must have happened, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How long a machine must have been without trouble for rules with a bound to hold.
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub downgrade_ms: u64,
    pub grace_ms: u64,
    pub retention_ms: u64,
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

/// Turns that were answered 402 though their program's budget held them.
#[must_use]
pub fn premature_refusals(observations: &[TimedObservation], bounds: &Bounds) -> Vec<PrematureRefusal> {
    programs::premature_refusals(&Index::new(observations), bounds.settle_ms)
}

/// Every broken rule, in the order of time.
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
