//! Recent request rates of shared prompt prefixes, and the probability that workers have them cached.
//!
//! When many gatekeepers share a service, each one sends few requests to any one worker, and most popular prefixes have
//! reached a worker through other gatekeepers. All gatekeepers see similar shares of the traffic, so the local request
//! rate multiplied by their number estimates how often each worker has received a prefix.

use crate::proxy::balance::decay::{DecayingValue, HalfLife};
use fnv::FnvHashMap;
use std::time::Duration;

/// Time within which the weight of a past request halves; well below the time for which workers cache a prefix.
const HALF_LIFE: HalfLife = HalfLife(Duration::from_secs(5));
/// Maximum number of prefixes tracked.
const MAX_PREFIXES: usize = 512;

/// Decaying request counts of shared prompt prefixes at this gatekeeper.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    /// Recent requests by the id of the first prompt segment.
    prefixes: FnvHashMap<u64, DecayingValue>,
}

impl Popularity {
    /// Records one request with a prefix.
    pub fn record(&mut self, now: Duration, prefix: u64) {
        let count = self.requests(now, prefix) + 1.0;
        self.prefixes.insert(prefix, DecayingValue::new(now, count));
        if self.prefixes.len() > MAX_PREFIXES {
            self.evict_least_requested(now);
        }
    }

    /// Probability that a worker has recently received the prefix from any gatekeeper, when `gatekeepers` share
    /// `workers`.
    pub fn cached_probability(&self, now: Duration, prefix: u64, gatekeepers: u32, workers: usize) -> f64 {
        let total_requests = self.requests(now, prefix) * f64::from(gatekeepers);
        1.0 - (-total_requests / workers.max(1) as f64).exp()
    }

    fn requests(&self, now: Duration, prefix: u64) -> f64 {
        self.prefixes.get(&prefix).map_or(0.0, |requests| requests.get(now, HALF_LIFE))
    }

    /// Evicts the least requested half.
    fn evict_least_requested(&mut self, now: Duration) {
        let mut by_count: Vec<(f64, u64)> =
            self.prefixes.iter().map(|(prefix, requests)| (requests.get(now, HALF_LIFE), *prefix)).collect();
        by_count.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        for (_, prefix) in &by_count[..by_count.len() / 2] {
            self.prefixes.remove(prefix);
        }
    }
}

#[cfg(test)]
mod tests;
