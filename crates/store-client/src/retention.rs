//! Tracks until when a quorum of stores retains the turns that this client has written or extended. When a new turn is
//! written, this tells which of its ancestors need their retention extended.

#[cfg(test)]
mod tests;

use opalrun_wire::store::{RETENTION_SLACK_MS, keep_ms};
use std::{collections::HashMap, time::Duration};

/// Minimum number of turns at which expired ones are removed from the map.
const MIN_SWEEP_SIZE: usize = 1024;

/// Minimum retention of turns at a quorum of stores. All times are on the client's monotonic clock.
#[derive(Debug, Default)]
pub struct KnownRetention {
    /// Time until which a turn is retained at least, by the turn's id.
    until: HashMap<Box<str>, Duration>,
    /// Number of turns at which expired ones are removed next, if it is above [`MIN_SWEEP_SIZE`].
    sweep_size: usize,
}

impl KnownRetention {
    /// Records that a turn is retained at least until `until`.
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

    /// Records that a quorum has acknowledged the write or the extension of a turn with this requested retention. Counts from
    /// `begun`, when the request was sent: the stores executed it later, however long the reply took to be handled.
    pub fn record_write(&mut self, id: &str, begun: Duration, retention_ms: u64) {
        self.record(id, begun + Duration::from_millis(keep_ms(retention_ms)), begun);
    }

    /// Returns those of a new turn's ancestors whose retention is to be extended at `now`. They have to be kept as long as
    /// the turn, whose retention begins only when the end of its answer has reached the client.
    #[must_use]
    pub fn to_extend<'a>(
        &self,
        ancestors: &'a [String],
        now: Duration,
        retention_ms: u64,
    ) -> Vec<&'a String> {
        let required = Duration::from_millis(retention_ms.saturating_add(RETENTION_SLACK_MS));
        self.not_retained_until(ancestors, now + required)
    }

    /// Returns those of the turns that are not known to be retained until `wanted`.
    #[must_use]
    pub fn not_retained_until<'a>(&self, ids: &'a [String], wanted: Duration) -> Vec<&'a String> {
        ids.iter().filter(|id| self.until.get(id.as_str()).is_none_or(|until| *until < wanted)).collect()
    }
}
