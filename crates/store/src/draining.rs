//! Draining: before a store ends whose replicas another store can take over, its partitions are moved away.
//!
//! A store that just ends leaves each of its partitions with one replica less until its heartbeats time out and others
//! have caught up. If another store loses its disk in that time, too few replicas are left to catch up from. So a store
//! that was told to end asks control, and runs until the store map names it no more, if there is another store that can
//! take over its partitions. If it was only to be started again, there is none, and it ends at once.

use crate::{StoreServer, state::is_placed_on};
use opalrun_net::feed_client::FeedClient;
use opalrun_wire::{feed::StoreMap, ids::NodeIdentity};
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Time-out of control's decision; without one the store ends.
const DECISION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time-out of one request for the decision, after which control is asked again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Period in which the request is repeated while the store drains: the control process that is followed may be another
/// one by then, which takes a store that it does not know to be draining for one that has started again.
const REQUEST_PERIOD: Duration = Duration::from_millis(800);

/// What control has decided about a store that is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Decision {
    /// Its partitions are being moved to other stores: it drains.
    Drain,
    /// Nothing is moved: it ends.
    EndNow,
}

/// The draining of a store. Clones share the decision.
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
    /// Control has decided whether the store's partitions are moved to other stores.
    pub fn set_decision(&self, is_moving: bool) {
        self.decision.send_replace(Some(if is_moving { Decision::Drain } else { Decision::EndNow }));
    }

    /// Returns when the store may end: once the store map names it no more, or at once where control moves nothing or
    /// does not answer.
    pub async fn drain(&self, feed: &FeedClient, server: &StoreServer) {
        if self.request_decision(feed, server.identity()).await == Decision::EndNow {
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
                return decision.unwrap_or(Decision::EndNow);
            }
        }
        Decision::EndNow
    }
}

/// Whether any partition is placed on the store.
fn has_placements(map: &StoreMap, identity: NodeIdentity) -> bool {
    map.partitions.iter().any(|partition| is_placed_on(partition, identity))
}
