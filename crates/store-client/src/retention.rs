//! How long the stores keep turns that this client has stored or read, so that it knows which of a chain have to be
//! kept longer when another turn builds on them.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, time::Duration};

/// Turns above which those that are kept no more are forgotten here.
const SWEEP_ABOVE: usize = 1024;

/// Until when turns are kept, by the steady clock.
#[derive(Debug, Default)]
pub struct KeptTurns {
    until: HashMap<Box<str>, Duration>,
    sweep_above: usize,
}

impl KeptTurns {
    /// A turn is kept until `until` at least.
    pub fn note(&mut self, id: &str, until: Duration, now: Duration) {
        if self.until.len() >= self.sweep_above.max(SWEEP_ABOVE) {
            self.until.retain(|_, until| *until > now);
            self.sweep_above = self.until.len() * 2;
        }
        match self.until.get_mut(id) {
            Some(known) => *known = until.max(*known),
            None => {
                self.until.insert(Box::from(id), until);
            }
        }
    }

    /// Those of the turns that are not known to be kept until `wanted`.
    #[must_use]
    pub fn too_short<'a>(&self, ids: &'a [String], wanted: Duration) -> Vec<&'a String> {
        ids.iter().filter(|id| self.until.get(id.as_str()).is_none_or(|until| *until < wanted)).collect()
    }
}
