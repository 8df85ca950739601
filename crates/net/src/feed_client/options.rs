//! Options of a feed client.

use opalrun_wire::{feed::Subscriber, ids::Shard};
use std::net::SocketAddr;

/// Options of a [`FeedClient`](super::FeedClient).
#[derive(Debug, Clone)]
pub struct FeedOptions {
    /// The subscriber, as named in the subscription.
    pub subscriber: Subscriber,
    /// The shards to subscribe to.
    pub shards: Vec<Shard>,
    /// Addresses of the servers known at the start. Never empty.
    pub seeds: Vec<SocketAddr>,
    /// TCP port of the feed at the control processes that are announced in the feed itself.
    pub feed_port: u16,
    /// The zone whose control processes are preferred.
    pub zone: String,
    /// Uses only the seeds as servers: control processes that are announced in the feed are ignored, and a stale server
    /// stays in use.
    pub only_seeds: bool,
}
