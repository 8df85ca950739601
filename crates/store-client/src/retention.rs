//! For how long the stores retain turns that this client has written or read, so that it knows which turns of a chain
//! have to be retained longer when another turn builds on them.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

/// Number of turns from which on those that have expired are removed here.
const MIN_SWEEP_SIZE: usize = 1024;

/// Until when turns are retained at least, by the monotonic clock.
#[derive(Debug, Default)]
pub struct KnownRetention {
    until: HashMap<Box<str>, Duration>,
    sweep_size: usize,
}

impl KnownRetention {
    /// Records that a turn is retained until `until` at least.
    pub fn record(&mut self, id: &str, until: Duration, now: Duration) {
        if self.until.len() >= self.sweep_size.max(MIN_SWEEP_SIZE) {
            self.until.retain(|_, until| *until > now);
            self.sweep_size = self.until.len() * 2;
        }
        match self.until.get_mut(id) {
            Some(known) => *known = until.max(*known),
            None => {
                self.until.insert(Box::from(id), until);
            }
        }
    }

    /// Those of the turns that are not known to be retained until `wanted`.
    #[must_use]
    pub fn not_retained_until<'a>(&self, ids: &'a [String], wanted: Duration) -> Vec<&'a String> {
        ids.iter().filter(|id| self.until.get(id.as_str()).is_none_or(|until| *until < wanted)).collect()
    }
}
