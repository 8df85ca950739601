//! The rules that must hold in every run, and their violations.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One violation of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Rule that was violated.
    pub rule: Rule,
    /// Time of the violation, in seconds since the load began.
    pub at_s: f64,
    /// Description of the observed event, for people.
    pub what: String,
}

/// A rule that must hold in every run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every request that a gateway accepts gets exactly one final response within its time limit.
    Answers,
    /// A successful response carries the body that a worker produced for that request.
    Genuine,
    /// Workers receive only requests that a client sent, unchanged.
    Strangers,
    /// An unsafe request that may have been executed is neither sent to a worker again nor refused in a way that tells
    /// its client that a retry is harmless.
    Unsafe,
    /// A keyed request that may have been executed is sent again only to workers that detect the duplicate: those of
    /// the same zone, within the class's deduplication window.
    Keyed,
    /// A gateway sends no new attempts to a worker that it knows to be draining.
    Drain,
    /// Gateways that know of a worker's start do not overload it during its warm-up.
    Cold,
    /// No customer exceeds its rate limit, the hard ceiling of its plan.
    Ceiling,
    /// No gateway process exits unless the lab ended it.
    Crash,
    /// A request that still waits for its first attempt when its client disconnects is not sent to a worker.
    Gone,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_lowercase())
    }
}
