//! The randomized election time-out (Raft §5.2), which makes split votes rare.

use crate::timing;

/// The time at which a replica begins an election unless it hears from a leader.
#[derive(Debug, Clone)]
pub(crate) struct ElectionTimer {
    random: fastrand::Rng,
    deadline: u64,
}

impl ElectionTimer {
    /// Creates the timer of a replica that starts now; its first time-out is shorter than later ones.
    pub fn new(seed: u64, now: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let range = timing::MIN_FIRST_ELECTION_TIMEOUT_MS..=timing::MAX_FIRST_ELECTION_TIMEOUT_MS;
        let deadline = now + random.u64(range);
        Self { random, deadline }
    }

    /// Restarts the timer with a new random time-out.
    pub fn reset(&mut self, now: u64) {
        let range = timing::MIN_ELECTION_TIMEOUT_MS..=timing::MAX_ELECTION_TIMEOUT_MS;
        self.deadline = now + self.random.u64(range);
    }

    /// Returns whether the time-out has expired.
    pub fn has_expired(&self, now: u64) -> bool {
        now >= self.deadline
    }
}
