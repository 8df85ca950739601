//! The server for client connections. It accepts connections within a budget, passes each request to a handler, writes
//! the response, and closes connections that are idle, too slow, or still open when the process shuts down.

mod handler;
mod peer;
mod settings;
mod socket;
#[cfg(test)]
mod tests;

pub use handler::{BusyBody, Client, Handler};
pub use peer::Peer;
pub use settings::Settings;

use fnv::FnvHashMap;
use hyper::{
    Request, Response, body::Incoming, header, header::HeaderValue, server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use peer::ActiveRequest;
use socket::{WatchedSocket, client_closed, is_closed_by_client};
use std::{
    any::Any,
    cell::{Cell, RefCell},
    convert::Infallible,
    future::pending,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
};
use tracing::warn;

/// Interval at which a connection that is to close is checked for whether its client still reads the last response.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which idle connections are closed while the server is draining or out of service.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after a failure to accept, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A server for client connections, each of which is served by a task of its own.
pub struct Server<H: Handler> {
    handler: H,
    settings: Rc<Cell<Settings>>,
    peers: RefCell<FnvHashMap<u64, Rc<Peer>>>,
    next_id: Cell<u64>,
    /// Connections that were evicted and have not ended yet.
    evicted: Cell<usize>,
    budget: Cell<usize>,
    /// Whether new connections are accepted.
    accepting: watch::Sender<bool>,
    /// [`Server::accept`] was called.
    has_started: Cell<bool>,
    /// Another process has taken over the clients.
    handed_over: Cell<bool>,
    /// Notified when a connection has ended.
    connection_ended: Notify,
    /// The process is shutting down.
    stopping: Cell<bool>,
    /// An operator has taken the server out of service.
    out_of_service: Cell<bool>,
    /// The task that closes idle connections is running.
    closing_idle: Cell<bool>,
}

impl<H: Handler> Server<H> {
    /// Creates a server with at most `budget` connections.
    pub fn new(handler: H, settings: Settings, budget: usize) -> Rc<Self> {
        let (next_id, evicted, connection_ended) = (Cell::new(0), Cell::new(0), Notify::new());
        let settings = Rc::new(Cell::new(settings));
        let [stopping, out_of_service, closing_idle, has_started, handed_over] =
            [const { Cell::new(false) }; 5];
        let (peers, budget, accepting) = (RefCell::default(), Cell::new(budget), watch::Sender::new(true));
        Rc::new(Self {
            handler,
            settings,
            peers,
            next_id,
            evicted,
            budget,
            accepting,
            has_started,
            handed_over,
            connection_ended,
            stopping,
            out_of_service,
            closing_idle,
        })
    }

    /// Starts the shutdown: from now on every response closes its connection and `/up` reports the process unavailable.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Whether this process accepts new connections.
    pub fn is_accepting(&self) -> bool {
        self.has_started.get() && !self.stopping.get() && *self.accepting.borrow()
    }

    /// Sets the maximum number of connections. Open connections beyond it stay open.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
    }

    /// Sets the time-outs of request heads and of idle connections. A connection that is idle already keeps its former
    /// time-out, if that was longer.
    pub fn set_times(&self, head_timeout: Duration, idle_timeout: Duration) {
        self.settings.set(Settings {
            head_timeout,
            first_head_timeout: idle_timeout,
            idle_timeout,
            ..self.settings.get()
        });
    }

    /// Stops accepting connections, since another process of this gatekeeper is about to accept them.
    pub fn stop_accepting(&self) {
        self.accepting.send_replace(false);
    }

    /// Starts to drain, since the other process accepts connections now: responses close their connections, and idle
    /// connections are closed.
    pub fn drain(self: &Rc<Self>) {
        self.handed_over.set(true);
        self.start_closing_idle();
    }

    /// Ends the draining and accepts connections again, since the other process has ended.
    pub fn resume_accepting(&self) {
        self.handed_over.set(false);
        self.accepting.send_replace(true);
    }

    /// Waits until another process has taken over, and no client has been connected here for `settled`.
    pub async fn drained(&self, settled: Duration) {
        loop {
            let is_drained = || self.handed_over.get() && self.connections() == 0;
            while !is_drained() {
                self.connection_ended.notified().await;
            }
            tokio::time::sleep(settled).await;
            // The other process may have ended meanwhile, so that this one is needed again.
            if is_drained() {
                return;
            }
        }
    }

    /// Whether an operator has taken the server out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.out_of_service.get()
    }

    /// Takes the server out of service or puts it back. While it is out of service, `/up` reports it unavailable, each
    /// response closes its connection, and idle connections are closed.
    pub fn set_out_of_service(self: &Rc<Self>, out_of_service: bool) {
        self.out_of_service.set(out_of_service);
        self.start_closing_idle();
    }

    /// Starts the task that closes idle connections for as long as responses close their connections.
    fn start_closing_idle(self: &Rc<Self>) {
        if !self.is_closing() || self.closing_idle.replace(true) {
            return;
        }
        let server = self.clone();
        tokio::task::spawn_local(async move {
            while server.is_closing() {
                server
                    .peers
                    .borrow()
                    .values()
                    .filter(|peer| peer.idle())
                    .for_each(|peer| peer.close_requested.notify_one());
                // Wakes the tasks that wait until all connections are closed.
                server.connection_ended.notify_waiters();
                tokio::time::sleep(IDLE_CLOSE_INTERVAL).await;
            }
            server.closing_idle.set(false);
        });
    }

    /// Whether each response closes its connection.
    fn is_closing(&self) -> bool {
        self.stopping.get() || self.out_of_service.get() || self.handed_over.get()
    }

    /// Whether the load balancer may send new clients. A process that has handed over answers for the process that took
    /// over.
    fn is_in_service(&self) -> bool {
        !self.out_of_service.get() && (self.handed_over.get() || !self.stopping.get())
    }

    /// Closes each connection: at once if it is idle, otherwise after the current response.
    pub fn close(&self) {
        self.peers.borrow().values().for_each(|peer| peer.close_requested.notify_one());
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn connection_closed(&self) {
        self.connection_ended.notified().await;
    }

    /// Accepts and serves connections, until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut accepting = self.accepting.subscribe();
        self.has_started.set(true);
        loop {
            if !*accepting.borrow_and_update() {
                let _ = accepting.changed().await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                _ = accepting.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                // Connections beyond the budget are closed at once instead of being left in the accept queue, where it
                // could not be noticed that their clients close them.
                Ok((socket, _)) if self.has_capacity() => self.serve(socket),
                Ok((socket, _)) => drop(socket),
                Err(error) => {
                    // No file descriptor is left, or the client has already closed the connection. Neither may stop the
                    // server or make it spin.
                    warn!("could not accept a connection: {error}");
                    self.evict_one();
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Whether the budget allows one more connection, if need be by evicting another one.
    fn has_capacity(&self) -> bool {
        self.counted_connections() < self.budget.get() || self.evict_one()
    }

    /// Returns the number of open connections that were not evicted.
    fn counted_connections(&self) -> usize {
        self.connections() - self.evicted.get()
    }

    /// Evicts the connection with the lowest eviction rank. Returns `false` if no connection may be evicted.
    fn evict_one(&self) -> bool {
        let (peers, now) = (self.peers.borrow(), Instant::now());
        let candidates = peers.values().filter_map(|peer| Some((peer.eviction_rank(now)?, peer)));
        let Some((_, peer)) = candidates.min_by_key(|(rank, _)| *rank) else { return false };
        peer.evict();
        self.evicted.set(self.evicted.get() + 1);
        true
    }

    fn serve(self: &Rc<Self>, socket: TcpStream) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let peer = Rc::new(Peer::new(self.settings.clone()));
        self.peers.borrow_mut().insert(id, peer.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            // Releases the connection's share of the budget, however this task ends.
            let _slot = ConnectionSlot { server: server.clone(), id };
            // Nagle's algorithm would delay a response until the client has acknowledged the one before.
            let _ = socket.set_nodelay(true);
            let mut builder = Builder::new();
            builder.max_buf_size(server.settings.get().max_head_bytes).auto_date_header(false);
            let socket = Rc::new(RefCell::new(socket));
            let service = service_fn(|request| {
                let (server, peer, socket) = (server.clone(), peer.clone(), socket.clone());
                async move { Ok::<_, Infallible>(server.handle(request, &peer, &socket).await) }
            });
            let watched = WatchedSocket { socket: socket.clone(), peer: peer.clone() };
            let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
            let mut client_closed = pin!(client_closed(&socket, &peer));
            tokio::select! {
                biased;
                // The error of a client connection is not logged. Dropping the request, if there is one, cancels it.
                _ = connection.as_mut() => return,
                () = client_closed.as_mut() => return,
                () = peer.timed_out() => return,
                () = peer.evicted() => return,
                () = peer.close_allowed() => connection.as_mut().graceful_shutdown(),
            }
            // A client that does not read its response must not keep the connection open for ever.
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    () = client_closed.as_mut() => return,
                    () = peer.evicted() => return,
                    () = tokio::time::sleep(LAST_ANSWER_TIMEOUT) => {}
                }
                let response_pending = peer.busy() || peer.head_started_at.get().is_some();
                if !response_pending
                    || peer.last_write.get().elapsed() >= server.settings.get().write_stall_timeout
                {
                    return;
                }
            }
        });
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        peer: &Rc<Peer>,
        socket: &RefCell<TcpStream>,
    ) -> Response<BusyBody<H::Body>> {
        peer.head_started_at.set(None);
        peer.head_complete.notify_one();
        peer.last_write.set(Instant::now());
        // Ends the request also if the client closes the connection and this future is dropped.
        let busy_guard: Rc<dyn Any> = Rc::new(ActiveRequest::new(peer));
        if !peer.used() && is_closed_by_client(socket).await {
            // The client closed the connection before its request was read. The task that serves the connection notices
            // the same and drops this future.
            return pending().await;
        }
        let client = Client {
            peer: peer.clone(),
            busy_guard: busy_guard.clone(),
            is_in_service: self.is_in_service(),
        };
        let mut response = self.handler.handle(request, client).await;
        if self.is_closing() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        peer.last_write.set(Instant::now());
        response.map(|body| BusyBody { body, _busy_guard: busy_guard })
    }
}

/// A connection's share of the budget, released when dropped.
struct ConnectionSlot<H: Handler> {
    server: Rc<Server<H>>,
    id: u64,
}

impl<H: Handler> Drop for ConnectionSlot<H> {
    fn drop(&mut self) {
        let peer = self.server.peers.borrow_mut().remove(&self.id);
        if peer.is_some_and(|peer| peer.is_evicted()) {
            self.server.evicted.set(self.server.evicted.get() - 1);
        }
        self.server.connection_ended.notify_one();
    }
}
