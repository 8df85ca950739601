//! Serves the replicated control state to the proxy.

use crate::feed::ControlState;
use opalrun_metrics::Scrape;
use opalrun_net::{
    Connection, FrameReader, FrameWriter, Listener, NetError,
    feed_client::{self, FeedClient},
};
use opalrun_wire::{
    feed::{FeedRequest, FeedUpdate, Position},
    ids::{FeedOffset, Generation},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::sync::Notify;

/// Backoff after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The agent's replica of the control state and the proxies subscribed to it (one, except during a restart).
pub struct FeedServer {
    state: RefCell<ControlState>,
    proxies: RefCell<BTreeMap<ConnectionId, Proxy>>,
    next_connection: Cell<ConnectionId>,
    proxy_disconnected: Notify,
    upstream: FeedClient,
}

/// Identifies a proxy's connection; never reused within the agent's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionId(u64);

/// A subscribed proxy.
struct Proxy {
    writer: FrameWriter,
    /// Generation in force at the proxy, from its last heartbeat.
    generation: Generation,
}

impl FeedServer {
    /// Returns a server that applies the updates of the feed client started by `subscribe`.
    pub(super) fn new(subscribe: impl FnOnce(Box<dyn FnMut(FeedUpdate)>) -> FeedClient) -> Rc<Self> {
        Rc::new_cyclic(|server: &Weak<Self>| {
            let server = server.clone();
            let deliver = move |update| {
                if let Some(server) = server.upgrade() {
                    server.apply_update(&update);
                }
            };
            Self {
                state: RefCell::default(),
                proxies: RefCell::default(),
                next_connection: Cell::new(ConnectionId(0)),
                proxy_disconnected: Notify::new(),
                upstream: subscribe(Box::new(deliver)),
            }
        })
    }

    /// Accepts connections from proxies.
    pub(super) async fn serve(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(connection) => {
                    tokio::task::spawn_local(self.clone().serve_proxy(connection));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Adds the agent's metrics to a scrape.
    pub fn scrape(&self, scrape: &mut Scrape) {
        let generation = self.state.borrow().generation();
        scrape.gauge(
            "configuration_generation",
            "Generation of the newest configuration known",
            generation.0 as f64,
        );
        let control = self.upstream.peer_count();
        scrape.peers(feed_client::CONTROL, control.missing, control.failed_attempts);
        let proxies = self.proxies.borrow();
        scrape.gauge("proxies", "Proxies that are told what control says", proxies.len() as f64);
        if let Some(in_force) = proxies.values().map(|proxy| proxy.generation).min() {
            let help = "Generation in force at the proxy";
            scrape.gauge("configuration_generation_in_force", help, in_force.0 as f64);
        }
    }

    /// Waits until no proxy is connected.
    pub async fn wait_until_no_proxies(&self) {
        loop {
            let disconnected = self.proxy_disconnected.notified();
            if self.proxies.borrow().is_empty() {
                return;
            }
            disconnected.await;
        }
    }

    async fn serve_proxy(self: Rc<Self>, connection: Connection) {
        let id = self.next_connection.get();
        self.next_connection.set(ConnectionId(id.0 + 1));
        let (reader, writer) = connection.split();
        if let Err(error) = self.serve_requests(id, reader, writer).await {
            tracing::warn!(%error, "the proxy's connection failed");
        }
        self.proxies.borrow_mut().remove(&id);
        self.proxy_disconnected.notify_waiters();
        self.report_generation();
    }

    async fn serve_requests(
        &self,
        id: ConnectionId,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> Result<(), NetError> {
        while let Some(request) = reader.next::<FeedRequest>().await? {
            match request {
                FeedRequest::Subscribe { positions, .. } => {
                    self.send_newer_shards(&writer, &positions)?;
                    let proxy = Proxy { writer: writer.clone(), generation: Generation(0) };
                    self.proxies.borrow_mut().insert(id, proxy);
                }
                FeedRequest::Heartbeat { generation, .. } => {
                    if let Some(proxy) = self.proxies.borrow_mut().get_mut(&id) {
                        proxy.generation = generation;
                    }
                    self.report_generation();
                }
                FeedRequest::WorkerFailures(failures) => self.upstream.report_worker_failures(failures),
                // Only stores send these, and only to control processes.
                FeedRequest::ReplicasComplete { .. } | FeedRequest::ShutdownRequested { .. } => {}
            }
        }
        Ok(())
    }

    /// Sends snapshots of the shards of which the proxy has a lower offset than this agent.
    fn send_newer_shards(&self, writer: &FrameWriter, known: &[Position]) -> Result<(), NetError> {
        let state = self.state.borrow();
        for Position { shard, offset } in state.positions() {
            let known = known
                .iter()
                .find(|position| position.shard == shard)
                .map_or(FeedOffset::default(), |position| position.offset);
            if known < offset {
                writer.send(&FeedUpdate::Snapshot { shard, offset, changes: state.snapshot(shard) })?;
            }
        }
        Ok(())
    }

    /// Applies an update from control and forwards it to the proxies.
    fn apply_update(&self, update: &FeedUpdate) {
        self.state.borrow_mut().apply(update);
        self.broadcast(update);
        self.report_generation();
    }

    fn broadcast(&self, update: &FeedUpdate) {
        for proxy in self.proxies.borrow().values() {
            if proxy.writer.send(update).is_err() {
                // The proxy reconnects and receives the updates that it has missed.
                proxy.writer.close();
            }
        }
    }

    /// Reports the lowest generation in force at the connected proxies to control. Without a proxy it reports the
    /// agent's own generation, which the next proxy starts with.
    fn report_generation(&self) {
        let at_proxies = self.proxies.borrow().values().map(|proxy| proxy.generation).min();
        let generation = at_proxies.unwrap_or_else(|| self.state.borrow().generation());
        self.upstream.report_generation(generation);
    }
}
