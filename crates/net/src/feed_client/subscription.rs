//! The task that maintains a subscription: it connects to a server, delivers its updates, and moves to the next server
//! when this one fails.

use super::{server_selection::ServerSelection, shared::Shared};
use crate::{FrameReader, NetError, connect};
use opalrun_wire::feed::{Change, FeedUpdate};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a `Fresh` update after which a server is stale and another one is used.
const FRESHNESS_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without execution after which this process counts as suspended, so that the data in its sockets may be
/// outdated.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);
/// Interval between the subscriber's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Why the subscription left a server.
enum Disconnect {
    /// The server closed the connection.
    Closed,
    /// The server sent no `Fresh` for [`FRESHNESS_TIMEOUT`].
    Stale,
    /// The server reported itself unavailable.
    ServerUnavailable,
    /// This process was suspended, so that the updates it reads may be outdated.
    Suspended,
}

impl Disconnect {
    fn reason(&self) -> &'static str {
        match self {
            Self::Closed => "the server closed the connection",
            Self::Stale => "the server is stale",
            Self::ServerUnavailable => "the server is unavailable",
            Self::Suspended => "this process was suspended",
        }
    }
}

/// The task that maintains the subscription.
pub(super) struct SubscriptionTask {
    pub(super) shared: Rc<Shared>,
    pub(super) servers: ServerSelection,
    /// See [`super::FeedOptions::only_seeds`].
    pub(super) only_seeds: bool,
    pub(super) read_seeds: Box<dyn Fn() -> Option<Vec<SocketAddr>>>,
    pub(super) deliver: Box<dyn FnMut(FeedUpdate)>,
}

impl SubscriptionTask {
    /// Runs until the client aborts the task.
    pub(super) async fn run(mut self) {
        loop {
            self.use_current_server().await;
            let backoff = self.servers.failed();
            self.refresh_seeds();
            sleep(backoff).await;
        }
    }

    async fn use_current_server(&mut self) {
        let address = self.servers.current();
        let started_at = Instant::now();
        match connect(address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                let (reader, writer) = connection.split();
                self.shared.writer.replace(Some(writer));
                let outcome = self.follow(reader, address).await;
                self.shared.writer.replace(None);
                let reason = disconnect_reason(&outcome);
                tracing::info!(server = %address, reason, "disconnected from the change feed");
                self.shared.reachability.borrow_mut().log_failure(address, started_at, reason);
            }
            Err(error) => {
                tracing::debug!(%error, "could not connect to the change feed");
                self.shared.reachability.borrow_mut().log_failure(address, started_at, error);
            }
        }
    }

    fn refresh_seeds(&mut self) {
        if !self.servers.all_failed() {
            return;
        }
        if let Some(seeds) = (self.read_seeds)() {
            self.servers.set_seeds(seeds);
        }
    }

    /// Delivers the updates of one server until another one has to be used.
    async fn follow(&mut self, mut reader: FrameReader, address: SocketAddr) -> Result<Disconnect, NetError> {
        self.shared.send(&self.shared.subscribe_request());
        let mut next_heartbeat = Instant::now();
        let mut stale_at = Instant::now() + FRESHNESS_TIMEOUT;
        loop {
            let now = Instant::now();
            if self.is_stale(now, stale_at) {
                return Ok(Disconnect::Stale);
            }
            if now >= next_heartbeat {
                self.shared.send_heartbeat();
                next_heartbeat = now + HEARTBEAT_INTERVAL;
            }
            let wake_at = if self.only_seeds { next_heartbeat } else { next_heartbeat.min(stale_at) };
            let received = tokio::select! {
                update = reader.next::<FeedUpdate>() => Some(update?),
                () = sleep_until(wake_at) => None,
            };
            if now.elapsed() > SUSPENSION_THRESHOLD {
                return Ok(Disconnect::Suspended);
            }
            match received {
                None => {}
                Some(None) => return Ok(Disconnect::Closed),
                Some(Some(FeedUpdate::Unavailable)) => return Ok(Disconnect::ServerUnavailable),
                Some(Some(update @ FeedUpdate::Fresh { .. })) => {
                    // After a suspension the socket may contain outdated `Fresh` updates, so none counts after the
                    // time-out.
                    if self.is_stale(Instant::now(), stale_at) {
                        return Ok(Disconnect::Stale);
                    }
                    stale_at = Instant::now() + FRESHNESS_TIMEOUT;
                    self.servers.succeeded();
                    self.shared.reachability.borrow_mut().log_reached(address);
                    (self.deliver)(update);
                }
                Some(Some(update)) => self.deliver_if_newer(update),
            }
        }
    }

    fn is_stale(&self, now: Instant, stale_at: Instant) -> bool {
        !self.only_seeds && now >= stale_at
    }

    /// Delivers an update, unless it is not newer than the last one delivered of its shard.
    fn deliver_if_newer(&mut self, update: FeedUpdate) {
        if let FeedUpdate::Snapshot { shard, offset, changes }
        | FeedUpdate::Changes { shard, offset, changes } = &update
        {
            if !self.shared.offsets.borrow_mut().advance(*shard, *offset) {
                return;
            }
            self.update_servers(changes);
        }
        (self.deliver)(update);
    }

    fn update_servers(&mut self, changes: &[Change]) {
        if self.only_seeds {
            return;
        }
        let latest = changes.iter().rev().find_map(|change| match change {
            Change::ControlNodes(nodes) => Some(nodes),
            _ => None,
        });
        if let Some(nodes) = latest {
            self.servers.set_control_nodes(nodes);
        }
    }
}

fn disconnect_reason(outcome: &Result<Disconnect, NetError>) -> String {
    match outcome {
        Ok(disconnect) => disconnect.reason().to_owned(),
        Err(error) => error.to_string(),
    }
}
