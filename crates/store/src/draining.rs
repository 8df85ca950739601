//! Draining: before a store shuts down, its partitions are moved to other stores if there is one that can take them over.
//!
//! A store that just shuts down leaves each of its partitions with one replica less until its heartbeats time out and
//! other stores have caught up. If another store loses its disk in that time, too few replicas are left to catch up from.
//! So on SIGTERM a store asks control for a decision. If another store can take over its partitions, it keeps running
//! until the store map no longer places any partition on it. Otherwise, as when the store is only restarted, it shuts down
//! immediately.

use crate::{StoreServer, state::is_placed_on};
use opalrun_net::feed_client::FeedClient;
use opalrun_wire::{feed::StoreMap, ids::NodeIdentity};
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Time-out for control's decision, including retried requests; without a decision the store shuts down.
const DECISION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time-out of one request for the decision, after which it is sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Period at which the request is repeated while the store drains. The feed may have switched to another control process,
/// which would take a store that it does not know to be draining for one that has restarted.
const REQUEST_PERIOD: Duration = Duration::from_millis(800);

/// Decision of control on a store's request to shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    /// The store's partitions are being moved to other stores: the store drains.
    Drain,
    /// No partition is moved: the store shuts down immediately.
    ShutDownNow,
}

/// Draining state of a store. Clones share the decision.
#[derive(Debug, Clone)]
pub struct Draining {
    decision: watch::Sender<Option<Decision>>,
}

impl Default for Draining {
    fn default() -> Self {
        Self { decision: watch::Sender::new(None) }
    }
}

impl Draining {
    /// Records control's decision: whether the store's partitions are being moved to other stores.
    pub fn set_decision(&self, is_moving: bool) {
        self.decision.send_replace(Some(if is_moving { Decision::Drain } else { Decision::ShutDownNow }));
    }

    /// Waits until the store may shut down: until the store map no longer places any partition on it, or, if control moves
    /// no partition or does not answer, until the decision or its time-out.
    pub async fn drain(&self, feed: &FeedClient, server: &StoreServer) {
        if self.request_decision(feed, server.identity()).await == Decision::ShutDownNow {
            return;
        }
        tracing::info!(store = server.identity().0, "store is draining");
        loop {
            let map_changed = server.map_changed();
            if server.state().map().is_some_and(|map| !has_placements(map, server.identity())) {
                return;
            }
            if timeout(REQUEST_PERIOD, map_changed).await.is_err() {
                feed.request_shutdown(server.identity());
            }
        }
    }

    async fn request_decision(&self, feed: &FeedClient, identity: NodeIdentity) -> Decision {
        let mut decisions = self.decision.subscribe();
        let deadline = Instant::now() + DECISION_TIMEOUT;
        while Instant::now() < deadline {
            feed.request_shutdown(identity);
            let set_decision = decisions.wait_for(Option::is_some);
            if let Ok(Ok(decision)) = timeout(REQUEST_TIMEOUT, set_decision).await {
                return decision.unwrap_or(Decision::ShutDownNow);
            }
        }
        Decision::ShutDownNow
    }
}

/// Whether any partition is placed on the store.
fn has_placements(map: &StoreMap, identity: NodeIdentity) -> bool {
    map.partitions.iter().any(|partition| is_placed_on(partition, identity))
}
