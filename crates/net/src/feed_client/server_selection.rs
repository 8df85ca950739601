//! Selection of the next server of the change feed, and of the backoff before it is used.

use super::FeedOptions;
use opalrun_wire::feed::ControlNode;
use std::{net::SocketAddr, time::Duration};

/// Backoff after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The known servers and the order in which they are used.
pub(super) struct ServerSelection {
    /// Addresses of the known servers, in the order in which they are used. Never empty.
    order: Vec<SocketAddr>,
    /// Index of the current server in `order`.
    current: usize,
    /// Upper bound of the next backoff.
    backoff: Duration,
    seeds: Vec<SocketAddr>,
    /// Feed addresses of the control processes announced in the feed, in the order of preference.
    control_nodes: Vec<SocketAddr>,
    feed_port: u16,
    zone: String,
    /// A server has sent a fresh update since the last failure. The next server is then used without backoff.
    has_succeeded: bool,
    /// Number of failures since the last success.
    failures_since_success: usize,
}

impl ServerSelection {
    pub(super) fn new(options: &FeedOptions) -> Self {
        let mut order = options.seeds.clone();
        fastrand::shuffle(&mut order);
        Self {
            order,
            current: 0,
            backoff: MIN_BACKOFF,
            seeds: options.seeds.clone(),
            control_nodes: Vec::new(),
            feed_port: options.feed_port,
            zone: options.zone.clone(),
            has_succeeded: false,
            failures_since_success: 0,
        }
    }

    /// Returns the server to use.
    pub(super) fn current(&self) -> SocketAddr {
        self.order[self.current]
    }

    /// Records that the current server has sent a fresh update.
    pub(super) fn succeeded(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.has_succeeded = true;
        self.failures_since_success = 0;
    }

    /// Moves to the next server. Returns the backoff before it is used, of which one half is random.
    pub(super) fn failed(&mut self) -> Duration {
        self.current = (self.current + 1) % self.order.len();
        self.failures_since_success += 1;
        if std::mem::take(&mut self.has_succeeded) && self.order.len() > 1 {
            return Duration::ZERO;
        }
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        backoff / 2 + backoff.mul_f64(fastrand::f64() / 2.0)
    }

    /// Whether every server has failed since the last success. True after each complete pass over the servers.
    pub(super) fn all_failed(&self) -> bool {
        self.failures_since_success > 0 && self.failures_since_success.is_multiple_of(self.order.len())
    }

    /// Replaces the seeds. If they have changed, they are used next, followed by the announced control processes.
    pub(super) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if seeds == self.seeds || seeds.is_empty() {
            return;
        }
        self.seeds = seeds;
        self.order = distinct(self.seeds.iter().chain(&self.control_nodes));
        self.current = 0;
    }

    /// Replaces the announced control processes. Those of the own zone are used first, in random order, then those of
    /// other zones, in random order, and the seeds last. The current server stays in use until it fails.
    pub(super) fn set_control_nodes(&mut self, nodes: &[ControlNode]) {
        let current = self.current();
        let mut nodes: Vec<&ControlNode> = nodes.iter().collect();
        fastrand::shuffle(&mut nodes);
        nodes.sort_by_key(|node| node.zone != self.zone);
        self.control_nodes =
            nodes.into_iter().filter_map(|node| feed_address(node, self.feed_port)).collect();
        self.order = distinct([current].iter().chain(&self.control_nodes).chain(&self.seeds));
        self.current = 0;
    }
}

/// Returns the addresses in order, without duplicates.
fn distinct<'a>(addresses: impl Iterator<Item = &'a SocketAddr>) -> Vec<SocketAddr> {
    let mut order = Vec::new();
    for address in addresses {
        if !order.contains(address) {
            order.push(*address);
        }
    }
    order
}

/// Returns the address of the change feed at a control process; `None` if its peer address is invalid.
fn feed_address(node: &ControlNode, feed_port: u16) -> Option<SocketAddr> {
    let peer: SocketAddr = node.peer_address.parse().ok()?;
    Some(SocketAddr::new(peer.ip(), feed_port))
}
