//! How often subjects were asked for of late, and what follows for the caches of workers.
//!
//! A gatekeeper among many sends little to any one worker itself, yet most of what is popular was sent there by others.
//! The gatekeepers see like shares of the traffic, so what this one sees tells how often each worker was sent a subject.

use fnv::FnvHashMap;
use std::time::Duration;

/// Time in which past requests count half: well within the time for which workers keep what they have read.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Most subjects that are remembered.
const MAX_SUBJECTS: usize = 512;

/// Requests for one subject, fading, as of a moment.
#[derive(Debug, Clone, Copy)]
struct Requests {
    count: f64,
    at: Duration,
}

impl Requests {
    fn count(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// How often subjects were asked for of late at this gatekeeper.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    subjects: FnvHashMap<u64, Requests>,
}

impl Popularity {
    /// One more request for a subject.
    pub fn note(&mut self, now: Duration, subject: u64) {
        let count = self.requests(now, subject) + 1.0;
        self.subjects.insert(subject, Requests { count, at: now });
        if self.subjects.len() > MAX_SUBJECTS {
            self.forget_rare(now);
        }
    }

    /// The chance that a worker was sent the subject of late by anyone, where `gatekeepers` share `workers`.
    pub fn chance_of_being_kept(&self, now: Duration, subject: u64, gatekeepers: u32, workers: usize) -> f64 {
        let of_all = self.requests(now, subject) * f64::from(gatekeepers);
        1.0 - (-of_all / workers.max(1) as f64).exp()
    }

    fn requests(&self, now: Duration, subject: u64) -> f64 {
        self.subjects.get(&subject).map_or(0.0, |requests| requests.count(now))
    }

    /// Forgets the half that was asked for least.
    fn forget_rare(&mut self, now: Duration) {
        let mut by_count: Vec<(f64, u64)> =
            self.subjects.iter().map(|(subject, requests)| (requests.count(now), *subject)).collect();
        by_count.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        for (_, subject) in &by_count[..by_count.len() / 2] {
            self.subjects.remove(subject);
        }
    }
}

#[cfg(test)]
mod tests;
