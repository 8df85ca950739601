//! The heartbeat rounds of a leader. A response to a round proves that the follower followed this leader when the round was
//! sent.

use crate::timing;
use std::collections::VecDeque;

/// Responses to rounds older than this do not count.
const MAX_ROUND_AGE_MS: u64 = 2 * timing::MAX_ELECTION_TIMEOUT_MS;

/// The heartbeat rounds of a leader.
#[derive(Debug, Clone)]
pub(crate) struct HeartbeatRounds {
    /// The number of the latest round; 0 before the first.
    current: u64,
    /// When the latest round was sent, or the leader was elected if no round was sent yet.
    last_sent_at: u64,
    /// The rounds of the last [`MAX_ROUND_AGE_MS`], oldest first.
    recent: VecDeque<SentRound>,
}

#[derive(Debug, Clone, Copy)]
struct SentRound {
    round: u64,
    sent_at: u64,
}

impl HeartbeatRounds {
    /// Creates the rounds of a leader that was elected at `now`.
    pub fn new(now: u64) -> Self {
        Self { current: 0, last_sent_at: now, recent: VecDeque::new() }
    }

    /// Returns the number of the latest round.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Returns whether the next heartbeat is due.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.last_sent_at + timing::HEARTBEAT_INTERVAL_MS
    }

    /// Begins the next round.
    pub fn begin(&mut self, now: u64) {
        self.current += 1;
        self.last_sent_at = now;
        self.recent.push_back(SentRound { round: self.current, sent_at: now });
        while self.recent.front().is_some_and(|oldest| now > oldest.sent_at + MAX_ROUND_AGE_MS) {
            self.recent.pop_front();
        }
    }

    /// Returns when a round was sent; `None` if it is unknown or older than [`MAX_ROUND_AGE_MS`].
    pub fn sent_at(&self, round: u64) -> Option<u64> {
        let position = self.recent.partition_point(|sent| sent.round < round);
        self.recent.get(position).filter(|sent| sent.round == round).map(|sent| sent.sent_at)
    }
}
