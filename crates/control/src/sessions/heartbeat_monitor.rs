//! Expiry of worker sessions after missed heartbeats, as decided by the owner of their shard. Sans I/O.
//!
//! Heartbeats that were missed because of the owner itself must not expire sessions. When the owner has just taken
//! over, had no contact with a majority or was suspended, every session gets a full time-out again.

use std::{collections::HashMap, time::Duration};

/// Number of heartbeats that a worker may miss.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Longest delivery time of a heartbeat, including the retries of its sender.
const HEARTBEAT_DELAY_ALLOWANCE: Duration = Duration::from_millis(1200);
/// Longest interval between two checks in which this process counts as running without a gap.
const MAX_CHECK_GAP: Duration = Duration::from_secs(1);
/// A mass time-out is when more than one in this many sessions time out; its cause is probably not the workers.
const MASS_TIMEOUT_DIVISOR: usize = 2;
/// Minimum number of timed-out sessions in a mass time-out.
const MIN_MASS_TIMEOUT_SESSIONS: usize = 3;
/// Factor by which the time-out is extended in a mass time-out.
const MASS_TIMEOUT_FACTOR: u32 = 2;

/// A session without a heartbeat for longer than the time-out.
struct OverdueSession {
    id: String,
    since_heartbeat: Duration,
}

/// Time of the last heartbeat of each worker of a shard.
#[derive(Debug)]
pub struct HeartbeatMonitor {
    timeout: Duration,
    last_heartbeat: HashMap<String, Duration>,
    last_check: Option<Duration>,
}

impl HeartbeatMonitor {
    /// Returns a monitor for workers that send one heartbeat per `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            timeout: interval * MAX_MISSED_HEARTBEATS + HEARTBEAT_DELAY_ALLOWANCE,
            last_heartbeat: HashMap::new(),
            last_check: None,
        }
    }

    /// Records a heartbeat of a worker.
    pub fn record_heartbeat(&mut self, id: &str, now: Duration) {
        match self.last_heartbeat.get_mut(id) {
            Some(at) => *at = now,
            None => {
                self.last_heartbeat.insert(id.to_owned(), now);
            }
        }
    }

    /// Drops all recorded heartbeats, because this process does not own the shard or its state is not fresh.
    pub fn reset(&mut self) {
        self.last_heartbeat.clear();
        self.last_check = None;
    }

    /// Returns the ids of the sessions that have expired; `sessions` holds the ids of all sessions of the shard.
    pub fn expired<'a>(&mut self, sessions: impl Iterator<Item = &'a String>, now: Duration) -> Vec<String> {
        let ran_without_gap = self.last_check.is_some_and(|at| now.saturating_sub(at) <= MAX_CHECK_GAP);
        self.last_check = Some(now);
        if !ran_without_gap {
            self.last_heartbeat.clear();
        }
        let overdue = self.track(sessions, now);
        let timeout = if self.is_mass_timeout(overdue.len()) {
            self.timeout * MASS_TIMEOUT_FACTOR
        } else {
            self.timeout
        };
        let expired = overdue.into_iter().filter(|session| session.since_heartbeat > timeout);
        expired.map(|session| session.id).collect()
    }

    /// Limits tracking to these sessions; a session without a recorded heartbeat starts as if it had one now. Returns
    /// the overdue sessions in the given order.
    fn track<'a>(
        &mut self,
        sessions: impl Iterator<Item = &'a String>,
        now: Duration,
    ) -> Vec<OverdueSession> {
        let mut tracked = HashMap::with_capacity(self.last_heartbeat.len());
        let mut overdue = Vec::new();
        for id in sessions {
            let at = self.last_heartbeat.get(id).copied().unwrap_or(now);
            tracked.insert(id.clone(), at);
            let since_heartbeat = now.saturating_sub(at);
            if since_heartbeat > self.timeout {
                overdue.push(OverdueSession { id: id.clone(), since_heartbeat });
            }
        }
        self.last_heartbeat = tracked;
        overdue
    }

    fn is_mass_timeout(&self, overdue: usize) -> bool {
        overdue >= MIN_MASS_TIMEOUT_SESSIONS && overdue * MASS_TIMEOUT_DIVISOR > self.last_heartbeat.len()
    }
}
