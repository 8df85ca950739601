//! Options of a feed client.

use opalrun_wire::{feed::Subscriber, ids::Shard};
use std::net::SocketAddr;

/// Options of a [`FeedClient`](super::FeedClient).
#[derive(Debug, Clone)]
pub struct FeedOptions {
    /// Who subscribes.
    pub subscriber: Subscriber,
    /// The shards to subscribe to.
    pub shards: Vec<Shard>,
    /// Servers known at the start. Never empty.
    pub seeds: Vec<SocketAddr>,
    /// TCP port of the feed at the control processes that the feed itself names.
    pub feed_port: u16,
    /// The zone whose servers are preferred.
    pub zone: String,
    /// The seeds are the only servers: control processes that the feed names are ignored, and a stale server is kept.
    pub only_seeds: bool,
}
