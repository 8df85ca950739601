//! Starts the proxy, applies updates from control to it, and shuts it down gracefully.

use crate::{
    feed::ControlFeed,
    proxy::{Proxy, handler::ClientHandler, readiness::ReadinessHandler, state},
};
use opalrun_settings::{Settings, SettingsError};
use opalrun_transport::server::{self, Server};
use snafu::{ResultExt, Snafu};
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{net::TcpListener, task::spawn_local};
use tracing::{info, warn};

/// Maximum length of a request's head that the server reads, in bytes. The configuration may set a lower limit.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of connections for readiness checks.
const READINESS_CONNECTIONS: usize = 32;
/// Interval at which the time of control's last confirmation is applied when no update arrives.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reports of failed requests to control.
const FAILURE_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between sweeps of idle connections to workers.
const IDLE_CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long new connections are accepted after SIGTERM: the platform sends them until a readiness check has failed.
const NEW_CONNECTIONS_LINGER: Duration = Duration::from_millis(2500);
/// Time-out for returning unused budget units to the stores.
const LEASE_RETURN_TIMEOUT: Duration = Duration::from_millis(500);
/// Added to the configured time limits of clients to allow for network delays.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(500);
/// Part of the grace period that is left unused before SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_secs(1);

/// Why the proxy could not run.
#[derive(Debug, Snafu)]
pub enum ProxyError {
    /// A required setting is missing.
    #[snafu(display("{source}"))]
    Incomplete {
        /// The missing setting.
        source: SettingsError,
    },
    /// The proxy can't listen on an address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs the proxy role until SIGTERM and the following graceful shutdown.
///
/// # Errors
/// An address is missing from the settings, or the proxy can't listen on it.
pub async fn run(settings: Settings) -> Result<(), ProxyError> {
    let frontend = settings.required_frontend().context(IncompleteSnafu)?;
    let readiness = settings.required_readiness().context(IncompleteSnafu)?;
    let client_listener = listen(frontend).await?;
    let readiness_listener = listen(readiness).await?;
    let proxy = Proxy::new(&settings);
    spawn_local(close_idle_connections(proxy.clone()));
    let feed = ControlFeed::start_at(settings.agent_address());
    let (metrics_proxy, metrics_feed) = (proxy.clone(), feed.clone());
    opalrun_metrics::start(settings.metrics, move |scrape| {
        metrics_proxy.scrape(scrape);
        metrics_feed.scrape(scrape);
    });
    spawn_local(apply_feed_updates(proxy.clone(), feed.clone()));
    spawn_local(report_failures(proxy.clone(), feed));
    spawn_local(watch_settings(settings.clone()));
    serve(proxy, &settings, client_listener, readiness_listener, opalrun_net::signals::terminated()).await;
    Ok(())
}

/// Serves clients and readiness checks until `stop` completes, and then shuts down gracefully: accepts connections for
/// `NEW_CONNECTIONS_LINGER`, and waits until all connections have closed or the grace period ends.
pub async fn serve(
    proxy: Rc<Proxy>,
    settings: &Settings,
    client_listener: TcpListener,
    readiness_listener: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let readiness = ReadinessHandler(proxy.clone());
    let readiness = Server::new(readiness, server_settings(), READINESS_CONNECTIONS);
    let readiness_task = spawn_local(async move { readiness.accept(&readiness_listener).await });
    let max_connections = state::max_client_connections(settings);
    let server = Server::new(ClientHandler(proxy.clone()), server_settings(), max_connections);
    let time_limit_task = spawn_local(apply_time_limits(proxy.clone(), server.clone()));
    let acceptor = server.clone();
    let accept_task = spawn_local(async move { acceptor.accept(&client_listener).await });
    stop.await;
    info!("stopping");
    proxy.stop();
    server.stop();
    server.set_out_of_service(true);
    let lingering = tokio::time::sleep(NEW_CONNECTIONS_LINGER);
    tokio::join!(lingering, proxy.return_unused_units(LEASE_RETURN_TIMEOUT));
    accept_task.abort();
    server.close();
    let remaining_grace = settings.bounds.grace.saturating_sub(NEW_CONNECTIONS_LINGER + SIGKILL_MARGIN);
    let _ = tokio::time::timeout(remaining_grace, all_connections_closed(&server)).await;
    proxy.return_unused_units(LEASE_RETURN_TIMEOUT).await;
    readiness_task.abort();
    time_limit_task.abort();
}

/// Applies the time limits of the current configuration to the server, and again whenever they change.
async fn apply_time_limits(proxy: Rc<Proxy>, server: Rc<Server<ClientHandler>>) {
    let mut changes = proxy.limits();
    loop {
        let limits = *changes.borrow_and_update();
        let header_time = limits.header_timeout + TIME_LIMIT_TOLERANCE;
        server.set_times(header_time, limits.idle_timeout + TIME_LIMIT_TOLERANCE);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn all_connections_closed(server: &Rc<Server<ClientHandler>>) {
    while server.connections() > 0 {
        server.connection_closed().await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn server_settings() -> server::Settings {
    server::Settings {
        max_head_bytes: MAX_HEAD_BYTES,
        head_timeout: Duration::from_secs(5),
        first_head_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_mins(1),
        eviction_min_idle: Duration::from_millis(500),
        write_stall_timeout: Duration::from_secs(30),
    }
}

/// Applies the updates of the feed from control to the proxy.
async fn apply_feed_updates(proxy: Rc<Proxy>, feed: Rc<ControlFeed>) {
    let mut changes = feed.changes();
    proxy.apply(&feed.view());
    loop {
        // A confirmation without new content is not notified as a change, so it is applied at intervals.
        match tokio::time::timeout(FRESHNESS_CHECK_INTERVAL, changes.changed()).await {
            Ok(_) => proxy.apply(&feed.view()),
            Err(_elapsed) => proxy.apply_freshness(&feed.view()),
        }
    }
}

/// Reports request failures at workers to control, which notifies the other gatekeepers.
async fn report_failures(proxy: Rc<Proxy>, feed: Rc<ControlFeed>) {
    loop {
        tokio::time::sleep(FAILURE_REPORT_INTERVAL).await;
        let failures = proxy.take_failures();
        if !failures.is_empty() {
            feed.report_worker_failures(failures);
        }
    }
}

/// Reloads the settings whenever they change, only to validate them: the proxy uses none of them after its start.
async fn watch_settings(settings: Settings) {
    loop {
        opalrun_net::signals::settings_changed().await;
        match settings.reload() {
            Ok(_) => info!("settings file reloaded"),
            Err(error) => warn!(%error, "the changed settings file is invalid"),
        }
    }
}

/// Closes connections to workers that have been idle for too long.
async fn close_idle_connections(proxy: Rc<Proxy>) {
    loop {
        tokio::time::sleep(IDLE_CONNECTION_SWEEP_INTERVAL).await;
        proxy.pools().sweep();
    }
}
