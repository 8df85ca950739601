//! Detects whether a follower's responses reach its leader.

use crate::Term;
use std::collections::VecDeque;

/// Maximum number of unacknowledged rounds whose arrival time is kept.
const MAX_REMEMBERED_ROUNDS: usize = 256;

/// A follower's knowledge of whether its responses reach the leader.
///
/// Each message of a leader carries its current heartbeat round and the latest round to which it has received this
/// follower's response. As the follower records when each round arrived, it knows the latest arrival whose response
/// reached the leader.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeaderContact {
    term: Term,
    /// Rounds whose response is not known to have reached the leader, in order of arrival.
    arrivals: VecDeque<RoundArrival>,
    /// When the latest acknowledged round arrived; until one is acknowledged, when the first message of the term arrived.
    acknowledged_at: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct RoundArrival {
    round: u64,
    arrived_at: u64,
}

impl LeaderContact {
    /// Records a message from the leader of `term`.
    pub fn on_leader_message(&mut self, now: u64, term: Term, round: u64, acknowledged_round: u64) {
        if self.term != term || self.acknowledged_at.is_none() {
            *self = Self { term, arrivals: VecDeque::new(), acknowledged_at: Some(now) };
        }
        if self.arrivals.back().is_none_or(|newest| newest.round < round) {
            self.arrivals.push_back(RoundArrival { round, arrived_at: now });
        }
        if self.arrivals.len() > MAX_REMEMBERED_ROUNDS {
            self.arrivals.pop_front();
        }
        while let Some(arrival) = self.arrivals.front().copied()
            && arrival.round <= acknowledged_round
        {
            self.acknowledged_at = Some(arrival.arrived_at);
            self.arrivals.pop_front();
        }
    }

    /// Returns whether a response sent within the last `limit_ms` is known to have reached the leader.
    pub fn is_acknowledged_within(&self, now: u64, limit_ms: u64) -> bool {
        self.acknowledged_at.is_some_and(|at| now.saturating_sub(at) <= limit_ms)
    }
}
