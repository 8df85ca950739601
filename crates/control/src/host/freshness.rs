//! Freshness of a shard's state at this process. Sans I/O; times are milliseconds of the monotonic clock.

use opalrun_replication::Replica;

/// Maximum time since the last message of the leader, or at the leader since the last contact with a majority, for
/// which a shard is fresh.
const MAX_LEADER_CONTACT_AGE_MS: u64 = 500;
/// Maximum time since the leader last received a message of this follower, for which a shard is fresh. Without this
/// condition a process that can only receive would count as fresh, and the reports of its subscribers would be lost.
const MAX_CONTACT_AGE_AT_LEADER_MS: u64 = 1000;
/// Gap between two ticks after which the process counts as suspended: messages that were queued meanwhile may be
/// outdated.
const MAX_TICK_GAP_MS: u64 = 250;
/// Time after the end of a suspension during which no shard is fresh, so that queued messages are processed first.
const HOLD_DOWN_AFTER_SUSPENSION_MS: u64 = 250;

/// Returns whether a replica is in recent contact with its leader, in both directions, and has released all committed
/// entries for application.
#[must_use]
pub fn is_fresh(replica: &Replica, now: u64) -> bool {
    replica.has_recent_contact(now, MAX_LEADER_CONTACT_AGE_MS)
        && replica.is_acknowledged_by_leader(now, MAX_CONTACT_AGE_AT_LEADER_MS)
        && replica.has_applied_committed_entries()
}

/// Detects by the gap between two ticks that this process was suspended. Messages that were queued meanwhile must not
/// count as recent contact.
#[derive(Debug, Clone, Copy, Default)]
pub struct SuspensionDetector {
    last_tick: u64,
    /// End of the hold-down time after the last suspension.
    hold_down_until: u64,
}

impl SuspensionDetector {
    /// Creates a detector for a process that starts at `now`.
    #[must_use]
    pub fn new(now: u64) -> Self {
        Self { last_tick: now, hold_down_until: now }
    }

    /// Records that the process runs at `now`.
    pub fn tick(&mut self, now: u64) {
        if now > self.last_tick + MAX_TICK_GAP_MS {
            self.hold_down_until = now + HOLD_DOWN_AFTER_SUSPENSION_MS;
        }
        self.last_tick = now;
    }

    /// Returns whether the process is not suspended and the hold-down time after the last suspension has passed.
    #[must_use]
    pub fn is_running(&self, now: u64) -> bool {
        now >= self.hold_down_until && now <= self.last_tick + MAX_TICK_GAP_MS
    }
}

#[cfg(test)]
mod tests;
