//! The store process, from its start to SIGTERM.

use crate::{
    Identity, StoreError, StoreServer,
    draining::Draining,
    error::{DiskFailedSnafu, ListenSnafu, SettingsSnafu, StorageSnafu},
    metrics,
    state::StoreLimits,
    transfer::{Replicator, report_completed},
};
use opalrun_net::{
    Listener,
    feed_client::{self, FeedClient, FeedOptions},
    serve_rpc, signals,
};
use opalrun_settings::{Limits, Settings};
use opalrun_storage::DataDirectory;
use opalrun_wire::feed::{CONFIGURATION_SHARD, Change, FeedUpdate, StoreNode, StoreState, Subscriber};
use snafu::ResultExt;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Period of the maintenance step, which removes expired items and compacts the log.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);
/// Fraction of the machine's memory that the data may use.
const MEMORY_SHARE: f64 = 0.4;
/// Fraction of the machine's disk that the log may use; the rest is left for its compaction.
const DISK_SHARE: f64 = 0.8;
/// Bytes per megabyte, the unit of the memory and disk settings.
const MEGABYTE: f64 = 1_000_000.0;
/// Fraction of the time between SIGTERM and SIGKILL that draining may take.
const DRAIN_SHARE: f64 = 0.8;

/// Runs a store process until SIGTERM.
///
/// # Errors
/// Returned if a required setting is missing, the disk can't be used, or the store can't listen on its address.
pub async fn run(settings: Settings) -> Result<(), StoreError> {
    let data_dir = settings.required_data_dir().context(SettingsSnafu)?;
    let directory = DataDirectory::open(data_dir).context(StorageSnafu)?;
    let identity = Identity::load_or_create(&directory, settings.bootstrap)?;
    let server = StoreServer::open(&directory, identity.number, store_limits(&settings.limits))?;
    let listener = Listener::bind(settings.peer_address()).await.context(ListenSnafu)?;
    tracing::info!(store = identity.number.0, address = %listener.local_address(), "store started");
    let replicator = Replicator::new(server.clone());
    let completed = replicator.completed();
    let draining = Draining::default();
    let feed = Rc::new(start_feed(&settings, identity, listener.local_address(), &server, &draining));
    let (scraped, scraped_feed) = (server.clone(), feed.clone());
    opalrun_metrics::start(settings.metrics, move |scrape| {
        metrics::scrape(&scraped, scrape);
        let control = scraped_feed.peer_count();
        scrape.peers(feed_client::CONTROL, control.missing, control.failed_attempts);
    });
    let drain_limit = settings.bounds.grace.mul_f64(DRAIN_SHARE);
    let ended = async {
        signals::terminated().await;
        let _ = timeout(drain_limit, draining.drain(&feed, &server)).await;
    };
    tokio::select! {
        () = ended => Ok(()),
        () = serve(listener, server.clone()) => Ok(()),
        () = replicator.run() => Ok(()),
        () = report_completed(&feed, completed, identity.number) => Ok(()),
        () = maintain(&server) => Ok(()),
        code = server.journal().wait_failed() => DiskFailedSnafu { code }.fail(),
    }
}

/// Serves the requests of gatekeepers and of other stores.
pub async fn serve(listener: Listener, server: Rc<StoreServer>) {
    serve_rpc(listener, move |request| {
        let server = server.clone();
        async move { server.serve(request).await }
    })
    .await;
}

/// Subscribes to control's change feed. It delivers the store map, and the subscription shows control that this store is
/// alive.
fn start_feed(
    settings: &Settings,
    identity: Identity,
    address: SocketAddr,
    server: &Rc<StoreServer>,
    draining: &Draining,
) -> FeedClient {
    let node = StoreNode {
        identity: identity.number,
        node_name: settings.node_name.clone(),
        address: address.to_string(),
        zone: settings.zone.clone(),
        state: StoreState::Active,
    };
    let options = FeedOptions {
        subscriber: Subscriber::Store { node, bootstrap: identity.bootstrap },
        shards: vec![CONFIGURATION_SHARD],
        seeds: settings.seed_feed_addresses(),
        feed_port: settings.ports.feed(),
        zone: settings.zone.clone(),
        only_seeds: false,
    };
    let (server, draining) = (server.clone(), draining.clone());
    FeedClient::start(options, move |event| apply_event(&server, &draining, event))
}

fn apply_event(server: &StoreServer, draining: &Draining, event: FeedUpdate) {
    let changes = match event {
        FeedUpdate::Snapshot { changes, .. } | FeedUpdate::Changes { changes, .. } => changes,
        FeedUpdate::ShutdownDecision { is_moving } => return draining.set_decision(is_moving),
        FeedUpdate::Fresh { .. } | FeedUpdate::Suspects(_) | FeedUpdate::Unavailable => return,
    };
    for change in changes {
        if let Change::StoreMap(map) = change {
            server.set_map(Rc::new(map));
        }
    }
}

async fn maintain(server: &StoreServer) {
    let mut ticks = interval(MAINTENANCE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        server.maintain();
    }
}

/// Derives the store's limits from the memory and disk of the machine.
fn store_limits(limits: &Limits) -> StoreLimits {
    StoreLimits {
        memory_bytes: (limits.memory_mb * MEGABYTE * MEMORY_SHARE) as usize,
        disk_bytes: (limits.disk_mb * MEGABYTE * DISK_SHARE) as u64,
    }
}
