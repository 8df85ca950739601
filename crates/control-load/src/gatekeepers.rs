//! Simulated gatekeepers: subscribers of the change feed that serve nothing.

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

/// Heartbeats that a subscriber sends each second.
pub const HEARTBEATS_A_SECOND: f64 = 2.0;

/// What one simulated gatekeeper has heard.
#[derive(Debug, Default)]
struct Heard {
    generation: Cell<u64>,
    frames: Cell<u64>,
    bytes: Cell<u64>,
}

/// What all have heard so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Frames of the feed.
    pub frames: u64,
    /// Their bytes, headers of frames included, those of TCP and IP not.
    pub bytes: u64,
}

/// Simulated gatekeepers, subscribed until this is dropped.
pub struct Gatekeepers {
    heard: Vec<Rc<Heard>>,
    changed: Rc<Notify>,
    _clients: Vec<Rc<OnceCell<FeedClient>>>,
}

impl Gatekeepers {
    /// Subscribes so many, inside a `LocalSet`. `seeds` are addresses of the feed at control processes.
    #[must_use]
    pub fn start(count: usize, seeds: &[SocketAddr], zones: &[String]) -> Self {
        let changed = Rc::new(Notify::new());
        let heard: Vec<Rc<Heard>> = (0..count).map(|_| Rc::default()).collect();
        let subscribe = |(number, heard): (usize, &Rc<Heard>)| {
            let options = options(number, seeds, &zones[number % zones.len()]);
            follow(options, heard.clone(), changed.clone())
        };
        let clients = heard.iter().enumerate().map(subscribe).collect();
        Self { heard, changed, _clients: clients }
    }

    /// How many have at least this configuration.
    #[must_use]
    pub fn having(&self, generation: u64) -> usize {
        self.heard.iter().filter(|heard| heard.generation.get() >= generation).count()
    }

    /// Waits until all have at least this configuration; whether they have in time.
    pub async fn all_have(&self, generation: u64, limit: Duration) -> bool {
        let all = async {
            while self.having(generation) < self.heard.len() {
                self.changed.notified().await;
            }
        };
        timeout(limit, all).await.is_ok()
    }

    /// What all have heard so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let frames = self.heard.iter().map(|heard| heard.frames.get()).sum();
        let bytes = self.heard.iter().map(|heard| heard.bytes.get()).sum();
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

/// Subscribes one, which tells control what it has in force as soon as it has it.
fn follow(options: FeedOptions, heard: Rc<Heard>, changed: Rc<Notify>) -> Rc<OnceCell<FeedClient>> {
    let slot = Rc::new(OnceCell::new());
    let own = Rc::downgrade(&slot);
    let client = FeedClient::start(options, move |event| {
        let generation = heard.take(event);
        let Some(generation) = generation else { return };
        heard.generation.set(generation.0);
        changed.notify_one();
        let slot: Option<Rc<OnceCell<FeedClient>>> = own.upgrade();
        if let Some(client) = slot.as_ref().and_then(|slot| slot.get()) {
            client.report_generation(generation);
        }
    });
    // The slot was empty until here.
    let _ = slot.set(client);
    slot
}

impl Heard {
    /// Counts an event; the generation of the configuration that came with it.
    fn take(&self, event: FeedUpdate) -> Option<Generation> {
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

/// Bytes of a subscriber's heartbeat.
#[must_use]
pub fn heartbeat_bytes() -> usize {
    let positions =
        (0..=SESSION_SHARDS).map(|shard| Position { shard: Shard(shard), offset: FeedOffset(1) }).collect();
    encode_frame(&FeedRequest::Heartbeat { positions, generation: Generation(1) }).len()
}
