//! The role: a store process from its start to SIGTERM.

use crate::{
    Copier, Identity, StoreError, StoreServer,
    error::{DiskFailedSnafu, ListenSnafu, SettingsSnafu, StorageSnafu},
    state::StoreLimits,
};
use opalrun_net::{Listener, serve_rpc, signals};
use opalrun_settings::{Limits, Settings};
use opalrun_storage::DataDirectory;
use snafu::ResultExt;
use std::{rc::Rc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// How often what has expired is looked for and the log is kept short.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);
/// Share of the memory that data may take.
const MEMORY_SHARE: f64 = 0.4;
/// Share of the disk that the log may take: the rest is left for cleaning it.
const DISK_SHARE: f64 = 0.8;
const MEGABYTE: f64 = 1_000_000.0;

/// Runs the role until SIGTERM.
///
/// # Errors
/// Where the disk can't be used or the address can't be listened on.
pub async fn run(settings: Settings) -> Result<(), StoreError> {
    let data_dir = settings.required_data_dir().context(SettingsSnafu)?;
    let directory = DataDirectory::open(data_dir).context(StorageSnafu)?;
    let identity = Identity::load_or_draw(&directory, settings.bootstrap)?;
    let server = StoreServer::open(&directory, identity.number, store_limits(&settings.limits))?;
    let listener = Listener::bind(settings.peer_address()).await.context(ListenSnafu)?;
    tracing::info!(identity = identity.number, address = %listener.local_address(), "the store is up");
    let copier = Copier::new(server.clone());
    tokio::select! {
        () = signals::terminated() => Ok(()),
        () = serve(listener, server.clone()) => Ok(()),
        () = follow_map(&server, &copier) => Ok(()),
        () = tidy(&server) => Ok(()),
        code = server.journal().failed() => DiskFailedSnafu { code }.fail(),
    }
}

/// Serves gatekeepers and other stores.
pub async fn serve(listener: Listener, server: Rc<StoreServer>) {
    serve_rpc(listener, move |request| {
        let server = server.clone();
        async move { server.serve(request).await }
    })
    .await;
}

/// Copies what the map demands.
pub async fn follow_map(server: &StoreServer, copier: &Rc<Copier>) {
    loop {
        let changed = server.map_changed();
        copier.update();
        changed.await;
    }
}

async fn tidy(server: &StoreServer) {
    let mut ticks = interval(TIDY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        server.tidy();
    }
}

/// What a store takes on a machine.
fn store_limits(limits: &Limits) -> StoreLimits {
    StoreLimits {
        memory_bytes: (limits.memory_mb * MEGABYTE * MEMORY_SHARE) as usize,
        disk_bytes: (limits.disk_mb * MEGABYTE * DISK_SHARE) as u64,
    }
}
