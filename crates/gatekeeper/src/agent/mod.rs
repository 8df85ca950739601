//! The agent next to the proxy: it subscribes to the control processes, replicates their state and serves it to the
//! proxy.
//!
//! Because of this, a starting proxy gets the state at once even while control is unavailable, and the proxy's load
//! does not delay heartbeats.

mod server;

pub use server::FeedServer;

use crate::feed::all_shards;
use opalrun_net::{
    Listener, NetError,
    feed_client::{FeedClient, FeedOptions},
    signals,
};
use opalrun_settings::Settings;
use opalrun_wire::feed::Subscriber;
use snafu::{ResultExt, Snafu};
use std::{rc::Rc, time::Duration};

/// Part of the grace period before SIGKILL that is reserved for the shutdown itself.
const SHUTDOWN_RESERVE: Duration = Duration::from_secs(1);

/// Reason why the agent could not start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The port for the proxy could not be bound.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: NetError,
    },
}

/// Runs the agent until SIGTERM, and then until its proxies have disconnected or the grace period ends.
///
/// # Errors
/// If the port for the proxy cannot be bound.
pub async fn run(settings: Settings) -> Result<(), AgentError> {
    let listener = Listener::bind(settings.agent_address()).await.context(ListenSnafu)?;
    let grace = settings.bounds.grace.saturating_sub(SHUTDOWN_RESERVE);
    let server = start(&settings, listener);
    let scraped_server = server.clone();
    opalrun_metrics::start(settings.metrics, move |scrape| scraped_server.scrape(scrape));
    signals::terminated().await;
    let _ = tokio::time::timeout(grace, server.wait_until_no_proxies()).await;
    Ok(())
}

/// Subscribes to control and serves the proxies that connect to `listener`.
pub fn start(settings: &Settings, listener: Listener) -> Rc<FeedServer> {
    let options = FeedOptions {
        subscriber: Subscriber::Gatekeeper {
            node_name: settings.node_name.clone(),
            incarnation: fastrand::u64(1..),
            zone: settings.zone.clone(),
        },
        shards: all_shards(),
        seeds: settings.seed_feed_addresses(),
        feed_port: settings.ports.feed(),
        zone: settings.zone.clone(),
        only_seeds: false,
    };
    let reloadable = settings.clone();
    let read_seeds = move || reloadable.reload().ok().map(|settings| settings.seed_feed_addresses());
    let server = FeedServer::new(|deliver| FeedClient::start_with_seeds(options, read_seeds, deliver));
    tokio::task::spawn_local(server.clone().serve(listener));
    server
}
