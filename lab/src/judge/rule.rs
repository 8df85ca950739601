//! The rules that must hold in every play, and reports of broken ones.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which one.
    pub rule: Rule,
    /// When, in seconds since the load began.
    pub at_s: f64,
    /// What was seen, in words.
    pub what: String,
}

/// What must hold in every play.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every request taken gets one final answer in time.
    Answers,
    /// What is served is what a worker made for it.
    Genuine,
    /// Workers get only what a client sent.
    Strangers,
    /// An unsafe request that may have run is never sent again, nor called harmless to repeat.
    Unsafe,
    /// Nor a keyed one, but to those that remember it.
    Keyed,
    /// Nothing new to a worker that drains.
    Drain,
    /// No cold worker falls.
    Cold,
    /// No customer gets past its ceiling.
    Ceiling,
    /// No gateway ends by itself.
    Crash,
    /// What waited for its first attempt when its client left is not sent on.
    Gone,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_lowercase())
    }
}
