//! Starts the proxy, feeds it, and ends it without losing a request.

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

/// Longest head of a request, in bytes, before the configuration's limit is applied.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Connections of the platform's readiness checks.
const READINESS_CONNECTIONS: usize = 32;
/// Between looks whether what is known is fresh.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Between reports of requests that failed.
const FAILURE_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Between looks for idle connections to workers.
const IDLE_CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// After SIGTERM the platform still sends new connections until it has seen that the process is not ready.
const NEW_CONNECTIONS_LINGER: Duration = Duration::from_millis(2500);
/// How long the stores may take to record what is returned of programs' budgets.
const LEASE_RETURN_TIMEOUT: Duration = Duration::from_millis(500);
/// Beyond the configuration's time limits, for what is delayed on its way.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(500);
/// Kept of the time until SIGKILL.
const SIGKILL_MARGIN: Duration = Duration::from_secs(1);

/// Why the proxy could not run.
#[derive(Debug, Snafu)]
pub enum ProxyError {
    /// The settings lack something.
    #[snafu(display("{source}"))]
    Incomplete {
        /// What is missing.
        source: SettingsError,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// Runs the role until SIGTERM.
///
/// # Errors
/// Where an address is missing or can't be listened on.
pub async fn run(settings: Settings) -> Result<(), ProxyError> {
    let frontend = settings.required_frontend().context(IncompleteSnafu)?;
    let readiness = settings.required_readiness().context(IncompleteSnafu)?;
    let clients = listen(frontend).await?;
    let platform = listen(readiness).await?;
    let proxy = Proxy::new(&settings);
    spawn_local(close_idle_connections(proxy.clone()));
    let feed = ControlFeed::start_at(settings.agent_address());
    let (scraped, scraped_feed) = (proxy.clone(), feed.clone());
    opalrun_metrics::start(settings.metrics, move |scrape| {
        scraped.scrape(scrape);
        scraped_feed.scrape(scrape);
    });
    spawn_local(apply_feed_updates(proxy.clone(), feed.clone()));
    spawn_local(report_failures(proxy.clone(), feed));
    spawn_local(watch_settings(settings.clone()));
    serve(proxy, &settings, clients, platform, opalrun_net::signals::terminated()).await;
    Ok(())
}

/// Serves clients and the platform until `stop`, and then until no request is in hand.
pub async fn serve(
    proxy: Rc<Proxy>,
    settings: &Settings,
    clients: TcpListener,
    platform: TcpListener,
    stop: impl Future<Output = ()>,
) {
    let readiness = ReadinessHandler(proxy.clone());
    let readiness = Server::new(readiness, server_settings(), READINESS_CONNECTIONS);
    let readiness_task = spawn_local(async move { readiness.accept(&platform).await });
    let max_connections = state::max_client_connections(settings);
    let server = Server::new(ClientHandler(proxy.clone()), server_settings(), max_connections);
    let time_limit_task = spawn_local(apply_time_limits(proxy.clone(), server.clone()));
    let acceptor = server.clone();
    let accept_task = spawn_local(async move { acceptor.accept(&clients).await });
    stop.await;
    info!("stopping");
    proxy.stop();
    server.stop();
    server.send_away(true);
    let lingering = tokio::time::sleep(NEW_CONNECTIONS_LINGER);
    tokio::join!(lingering, proxy.return_unused_units(LEASE_RETURN_TIMEOUT));
    accept_task.abort();
    server.close();
    let until = settings.bounds.grace.saturating_sub(NEW_CONNECTIONS_LINGER + SIGKILL_MARGIN);
    let _ = tokio::time::timeout(until, all_connections_closed(&server)).await;
    proxy.return_unused_units(LEASE_RETURN_TIMEOUT).await;
    readiness_task.abort();
    time_limit_task.abort();
}

/// Has the server keep to the times that the configuration in force gives clients.
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
        server.one_ended().await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ProxyError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn server_settings() -> server::Settings {
    server::Settings {
        longest_head: MAX_HEAD_BYTES,
        head_time: Duration::from_secs(5),
        first_time: Duration::from_secs(20),
        idle_time: Duration::from_mins(1),
        spare_time: Duration::from_millis(500),
        untaken_time: Duration::from_secs(30),
    }
}

/// Hands what control says to the proxy.
async fn apply_feed_updates(proxy: Rc<Proxy>, feed: Rc<ControlFeed>) {
    let mut changes = feed.changes();
    proxy.apply(&feed.view());
    loop {
        // Freshness alone is no change.
        match tokio::time::timeout(FRESHNESS_CHECK_INTERVAL, changes.changed()).await {
            Ok(_) => proxy.apply(&feed.view()),
            Err(_elapsed) => proxy.apply_freshness(&feed.view()),
        }
    }
}

/// Tells control of requests that failed at workers, so that other gatekeepers need not find out for themselves.
async fn report_failures(proxy: Rc<Proxy>, feed: Rc<ControlFeed>) {
    loop {
        tokio::time::sleep(FAILURE_REPORT_INTERVAL).await;
        let failures = proxy.take_failures();
        if !failures.is_empty() {
            feed.report_worker_failures(failures);
        }
    }
}

/// Reads the settings again whenever they have changed. Nothing that the proxy goes by changes while it runs.
async fn watch_settings(settings: Settings) {
    loop {
        opalrun_net::signals::settings_changed().await;
        match settings.reload() {
            Ok(_) => info!("the settings file was read again"),
            Err(error) => warn!(%error, "the changed settings file is wrong"),
        }
    }
}

/// Closes connections to workers that have been idle for long.
async fn close_idle_connections(proxy: Rc<Proxy>) {
    loop {
        tokio::time::sleep(IDLE_CONNECTION_SWEEP_INTERVAL).await;
        proxy.pools().sweep();
    }
}
