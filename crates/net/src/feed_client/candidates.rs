//! Which server is tried next, and after which pause.

use super::{FeedOptions, feed_address};
use opalrun_wire::feed::ControlNode;
use std::{net::SocketAddr, time::Duration};

/// The pause after the first failure.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause between attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The servers, in the order in which they are tried.
pub(super) struct Candidates {
    /// Never empty.
    order: Vec<SocketAddr>,
    place: usize,
    pause: Duration,
    seeds: Vec<SocketAddr>,
    /// The control processes that the feed named, in the order of preference.
    named: Vec<SocketAddr>,
    feed_port: u16,
    zone: String,
    /// The last attempt succeeded: the next failure may be followed by an attempt at once.
    proven: bool,
    /// Failures since the last success.
    failures: usize,
}

impl Candidates {
    pub(super) fn new(options: &FeedOptions) -> Self {
        let mut order = options.seeds.clone();
        fastrand::shuffle(&mut order);
        Self {
            order,
            place: 0,
            pause: SHORTEST_PAUSE,
            seeds: options.seeds.clone(),
            named: Vec::new(),
            feed_port: options.feed_port,
            zone: options.zone.clone(),
            proven: false,
            failures: 0,
        }
    }

    /// The server to try.
    pub(super) fn current(&self) -> SocketAddr {
        self.order[self.place]
    }

    /// The current server serves.
    pub(super) fn succeeded(&mut self) {
        self.pause = SHORTEST_PAUSE;
        self.proven = true;
        self.failures = 0;
    }

    /// The current server is left for the next one; returns the pause before it is tried.
    pub(super) fn failed(&mut self) -> Duration {
        self.place = (self.place + 1) % self.order.len();
        self.failures += 1;
        if std::mem::take(&mut self.proven) && self.order.len() > 1 {
            return Duration::ZERO;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        pause / 2 + pause.mul_f64(fastrand::f64() / 2.0)
    }

    /// Whether each server has failed since one served last; true once a round.
    pub(super) fn all_failed(&self) -> bool {
        self.failures > 0 && self.failures.is_multiple_of(self.order.len())
    }

    /// Takes other seeds; they are tried next, then the control processes that the feed named.
    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if seeds == self.seeds || seeds.is_empty() {
            return;
        }
        self.seeds = seeds;
        self.order = distinct(self.seeds.iter().chain(&self.named));
        self.place = 0;
    }

    /// The control processes, as the feed names them: those of the own zone first, at random otherwise. Seeds come last.
    /// The current server stays until it fails.
    pub(super) fn learn(&mut self, nodes: &[ControlNode]) {
        let current = self.current();
        let mut nodes: Vec<&ControlNode> = nodes.iter().collect();
        fastrand::shuffle(&mut nodes);
        nodes.sort_by_key(|node| node.zone != self.zone);
        self.named = nodes.into_iter().filter_map(|node| feed_address(node, self.feed_port)).collect();
        self.order = distinct([current].iter().chain(&self.named).chain(&self.seeds));
        self.place = 0;
    }
}

/// The addresses without repetitions, in order.
fn distinct<'a>(addresses: impl Iterator<Item = &'a SocketAddr>) -> Vec<SocketAddr> {
    let mut order = Vec::new();
    for address in addresses {
        if !order.contains(address) {
            order.push(*address);
        }
    }
    order
}
