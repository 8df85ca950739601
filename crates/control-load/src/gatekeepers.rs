//! Simulated gatekeepers: subscribers of the change feed that serve no requests.

use opalrun_net::feed_client::{FeedClient, FeedOptions};
use opalrun_wire::{
    feed::{Change, FeedRequest, FeedUpdate, Position, SESSION_SHARDS, Subscriber},
    frame::encode_frame,
    ids::{FeedOffset, Generation, Shard},
};
use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Heartbeats that a subscriber sends per second.
pub const HEARTBEATS_A_SECOND: f64 = 2.0;

/// Counters of the updates that one simulated gatekeeper has received.
#[derive(Debug, Default)]
struct Received {
    /// Generation of the newest configuration received.
    generation: Cell<u64>,
    /// Number of frames received.
    frames: Cell<u64>,
    /// Size of these frames in bytes, frame headers included.
    bytes: Cell<u64>,
}

/// Updates received by all simulated gatekeepers since their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Number of frames of the change feed.
    pub frames: u64,
    /// Size of these frames in bytes, including frame headers but not TCP and IP headers.
    pub bytes: u64,
}

/// Simulated gatekeepers, which stay subscribed until this is dropped.
pub struct Gatekeepers {
    /// Counters of each gatekeeper.
    received: Vec<Rc<Received>>,
    /// Notified whenever a gatekeeper receives a configuration.
    changed: Rc<Notify>,
    _clients: Vec<Rc<OnceCell<FeedClient>>>,
}

impl Gatekeepers {
    /// Starts `count` simulated gatekeepers. Must be called inside a `LocalSet`. `seeds` are the addresses on which control
    /// processes serve the change feed.
    #[must_use]
    pub fn start(count: usize, seeds: &[SocketAddr], zones: &[String]) -> Self {
        let changed = Rc::new(Notify::new());
        let received: Vec<Rc<Received>> = (0..count).map(|_| Rc::default()).collect();
        let subscribe = |(number, received): (usize, &Rc<Received>)| {
            let options = options(number, seeds, &zones[number % zones.len()]);
            subscribe_one(options, received.clone(), changed.clone())
        };
        let clients = received.iter().enumerate().map(subscribe).collect();
        Self { received, changed, _clients: clients }
    }

    /// Returns the number of gatekeepers that have received this generation of the configuration or a later one.
    #[must_use]
    pub fn count_with_generation(&self, generation: u64) -> usize {
        self.received.iter().filter(|received| received.generation.get() >= generation).count()
    }

    /// Waits until all gatekeepers have received this generation or a later one. Returns whether they did within `limit`.
    pub async fn wait_for_generation(&self, generation: u64, limit: Duration) -> bool {
        let all = async {
            while self.count_with_generation(generation) < self.received.len() {
                self.changed.notified().await;
            }
        };
        timeout(limit, all).await.is_ok()
    }

    /// Returns the total traffic received so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let frames = self.received.iter().map(|received| received.frames.get()).sum();
        let bytes = self.received.iter().map(|received| received.bytes.get()).sum();
        Traffic { frames, bytes }
    }
}

fn options(number: usize, seeds: &[SocketAddr], zone: &str) -> FeedOptions {
    let subscriber = Subscriber::Gatekeeper {
        node_name: format!("simulated-{number}"),
        incarnation: number as u64 + 1,
        zone: zone.to_owned(),
    };
    FeedOptions {
        subscriber,
        shards: (0..=SESSION_SHARDS).map(Shard).collect(),
        seeds: seeds.to_vec(),
        feed_port: seeds.first().map_or(0, SocketAddr::port),
        zone: zone.to_owned(),
        only_seeds: false,
    }
}

/// Subscribes one gatekeeper, which reports the generation of each configuration to control as soon as it receives it.
fn subscribe_one(
    options: FeedOptions,
    received: Rc<Received>,
    changed: Rc<Notify>,
) -> Rc<OnceCell<FeedClient>> {
    let slot = Rc::new(OnceCell::new());
    let weak_slot = Rc::downgrade(&slot);
    let client = FeedClient::start(options, move |event| {
        let generation = received.record(event);
        let Some(generation) = generation else { return };
        received.generation.set(generation.0);
        changed.notify_one();
        let slot: Option<Rc<OnceCell<FeedClient>>> = weak_slot.upgrade();
        if let Some(client) = slot.as_ref().and_then(|slot| slot.get()) {
            client.report_generation(generation);
        }
    });
    // This can't fail, because the slot is still empty.
    let _ = slot.set(client);
    slot
}

impl Received {
    /// Counts an update. Returns the generation of the newest configuration in it, if it contains one.
    fn record(&self, event: FeedUpdate) -> Option<Generation> {
        let update = event;
        self.frames.set(self.frames.get() + 1);
        self.bytes.set(self.bytes.get() + encode_frame(&update).len() as u64);
        let (FeedUpdate::Snapshot { changes, .. } | FeedUpdate::Changes { changes, .. }) = &update else {
            return None;
        };
        changes.iter().rev().find_map(|change| match change {
            Change::Configuration { generation, .. } => Some(*generation),
            _ => None,
        })
    }
}

/// Returns the size in bytes of a subscriber's heartbeat frame.
#[must_use]
pub fn heartbeat_bytes() -> usize {
    let positions =
        (0..=SESSION_SHARDS).map(|shard| Position { shard: Shard(shard), offset: FeedOffset(1) }).collect();
    encode_frame(&FeedRequest::Heartbeat { positions, generation: Generation(1) }).len()
}
