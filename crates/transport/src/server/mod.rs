//! The server for the connections of clients: accepts as many as there is room for, `in_hand` each request to a handler and
//! writes its answer, and closes connections that are idle, slow, or in the way of the process's end.

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
use peer::Busy;
use socket::{Watched, gone, has_ended};
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

/// Time for the client of a connection that is to close to read the last answer.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two passes over idle connections while clients are sent away.
const SHED_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after the system had no descriptor left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves the connections of server.
pub struct Server<H: Handler> {
    handler: H,
    settings: Rc<Cell<Settings>>,
    peers: RefCell<FnvHashMap<u64, Rc<Peer>>>,
    next_number: Cell<u64>,
    /// Connections that are about to end to make room.
    evicted: Cell<usize>,
    budget: Cell<usize>,
    /// Connections are accepted.
    accepting: watch::Sender<bool>,
    /// The process began to accept.
    begun: Cell<bool>,
    /// Another process has taken over for good.
    handed_over: Cell<bool>,
    /// A connection has ended.
    connection_ended: Notify,
    stopping: Cell<bool>,
    /// The operators send clients away, for a while.
    out_of_service: Cell<bool>,
    /// Idle connections are being closed.
    shedding: Cell<bool>,
}

impl<H: Handler> Server<H> {
    /// `budget` connections at most.
    pub fn new(handler: H, settings: Settings, budget: usize) -> Rc<Self> {
        let (next_number, evicted, connection_ended) = (Cell::new(0), Cell::new(0), Notify::new());
        let settings = Rc::new(Cell::new(settings));
        let [stopping, out_of_service, shedding, begun, handed_over] = [const { Cell::new(false) }; 5];
        let (peers, budget, accepting) = (RefCell::default(), Cell::new(budget), watch::Sender::new(true));
        Rc::new(Self {
            handler,
            settings,
            peers,
            next_number,
            evicted,
            budget,
            accepting,
            begun,
            handed_over,
            connection_ended,
            stopping,
            out_of_service,
            shedding,
        })
    }

    /// From now on every answer closes its connection and `/up` says no.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// This process takes server.
    pub fn is_accepting(&self) -> bool {
        self.begun.get() && !self.stopping.get() && *self.accepting.borrow()
    }

    /// From now on `budget` connections at most; those beyond it stay.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
    }

    /// From now on a head may take `head_timeout` to come, and a connection stand idle for `idle_timeout`. One that is idle
    /// already may go on for as long as it might before, if that was longer.
    pub fn set_times(&self, head_timeout: Duration, idle_timeout: Duration) {
        self.settings.set(Settings {
            head_timeout,
            first_head_timeout: idle_timeout,
            idle_timeout,
            ..self.settings.get()
        });
    }

    /// Accepts no more: another process of this gatekeeper is about to.
    pub fn stop_accepting(&self) {
        self.accepting.send_replace(false);
    }

    /// That one serves: clients go to it as their connections end.
    pub fn drain(self: &Rc<Self>) {
        self.handed_over.set(true);
        self.shed();
    }

    /// That one has ended: this one accepts again.
    pub fn resume_accepting(&self) {
        self.handed_over.set(false);
        self.accepting.send_replace(true);
    }

    /// Waits until another process has taken over, and no client has been left here for `settled`.
    pub async fn drained(&self, settled: Duration) {
        loop {
            let gone = || self.handed_over.get() && self.connections() == 0;
            while !gone() {
                self.connection_ended.notified().await;
            }
            tokio::time::sleep(settled).await;
            // The other one may have ended meanwhile, and this one be needed again.
            if gone() {
                return;
            }
        }
    }

    /// Whether an operator has clients sent away.
    pub fn is_out_of_service(&self) -> bool {
        self.out_of_service.get()
    }

    /// Sends clients away, or ends that: meanwhile `/up` says no, each answer closes its connection, and
    /// idle ones are closed.
    pub fn set_out_of_service(self: &Rc<Self>, away: bool) {
        self.out_of_service.set(away);
        self.shed();
    }

    /// Closes idle connections while answers close theirs.
    fn shed(self: &Rc<Self>) {
        if !self.closing() || self.shedding.replace(true) {
            return;
        }
        let server = self.clone();
        tokio::task::spawn_local(async move {
            while server.closing() {
                server.peers.borrow().values().filter(|p| p.idle()).for_each(|p| p.close.notify_one());
                // One that waits for all to leave looks again.
                server.connection_ended.notify_waiters();
                tokio::time::sleep(SHED_INTERVAL).await;
            }
            server.shedding.set(false);
        });
    }

    /// Answers close their connections.
    fn closing(&self) -> bool {
        self.stopping.get() || self.out_of_service.get() || self.handed_over.get()
    }

    /// Whether the front is to send server. One that has handed over speaks for the process that serves.
    fn is_in_service(&self) -> bool {
        !self.out_of_service.get() && (self.handed_over.get() || !self.stopping.get())
    }

    /// Closes each connection now if it is idle, else after the answer in hand.
    pub fn close(&self) {
        self.peers.borrow().values().for_each(|p| p.close.notify_one());
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn connection_closed(&self) {
        self.connection_ended.notified().await;
    }

    /// Accepts for good.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut open = self.accepting.subscribe();
        self.begun.set(true);
        loop {
            if !*open.borrow_and_update() {
                let _ = open.changed().await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                _ = open.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                // Nobody waits in the socket's queue, where the end of a client could not be seen.
                Ok((socket, _)) if self.has_capacity() => self.serve(socket),
                Ok((socket, _)) => drop(socket),
                Err(e) => {
                    // No descriptor, or the client went at once: never a reason to spin or to stop.
                    warn!("accept: {e}");
                    self.evict_one();
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Whether there is a place within the budget for one connection more, if need be by the end of another.
    fn has_capacity(&self) -> bool {
        self.counted_connections() < self.budget.get() || self.evict_one()
    }

    /// Connections, but for those that are about to end to make room.
    fn counted_connections(&self) -> usize {
        self.connections() - self.evicted.get()
    }

    /// Ends the connection that gives way first; `false`: none may.
    fn evict_one(&self) -> bool {
        let (peers, now) = (self.peers.borrow(), Instant::now());
        let candidates = peers.values().filter_map(|peer| Some((peer.eviction_rank(now)?, peer)));
        let Some((_, peer)) = candidates.min_by_key(|(rank, _)| *rank) else { return false };
        peer.evict();
        self.evicted.set(self.evicted.get() + 1);
        true
    }

    fn serve(self: &Rc<Self>, socket: TcpStream) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let peer = Rc::new(Peer::new(self.settings.clone()));
        self.peers.borrow_mut().insert(number, peer.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            // Dropped however this task ends, so that the budget stays right.
            let _slot = ConnectionSlot { server: server.clone(), number };
            // Without this an answer might wait for the acknowledgement of the one before.
            let _ = socket.set_nodelay(true);
            let mut builder = Builder::new();
            builder.max_buf_size(server.settings.get().max_head_bytes).auto_date_header(false);
            let socket = Rc::new(RefCell::new(socket));
            let service = service_fn(|request| {
                let (server, peer, socket) = (server.clone(), peer.clone(), socket.clone());
                async move { Ok::<_, Infallible>(server.handle(request, &peer, &socket).await) }
            });
            let watched = Watched { socket: socket.clone(), peer: peer.clone() };
            let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
            let mut gone = pin!(gone(&socket, &peer));
            tokio::select! {
                biased;
                // How a client's connection ends is no news: its request, if any, says so when dropped.
                _ = connection.as_mut() => return,
                () = gone.as_mut() => return,
                () = peer.overdue() => return,
                () = peer.evicted() => return,
                () = peer.may_close() => connection.as_mut().graceful_shutdown(),
            }
            // One whose client does not read its answer must not keep its place for good.
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    () = gone.as_mut() => return,
                    () = peer.evicted() => return,
                    () = tokio::time::sleep(LAST_ANSWER_TIMEOUT) => {}
                }
                let owed = peer.busy() || peer.head.get().is_some();
                if !owed || peer.taken.get().elapsed() >= server.settings.get().write_stall_timeout {
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
        peer.head.set(None);
        peer.head_complete.notify_one();
        peer.taken.set(Instant::now());
        // Also when the client goes and this is dropped half way.
        let busy_guard: Rc<dyn Any> = Rc::new(Busy::new(peer));
        if !peer.used() && has_ended(socket).await {
            // It went before its request was read. The task that serves it ends with the same look.
            return pending().await;
        }
        let client = Client {
            peer: peer.clone(),
            busy_guard: busy_guard.clone(),
            is_in_service: self.is_in_service(),
        };
        let mut response = self.handler.handle(request, client).await;
        if self.closing() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        peer.taken.set(Instant::now());
        response.map(|body| BusyBody { body, _busy_guard: busy_guard })
    }
}

/// A connection's place in the budget.
struct ConnectionSlot<H: Handler> {
    server: Rc<Server<H>>,
    number: u64,
}

impl<H: Handler> Drop for ConnectionSlot<H> {
    fn drop(&mut self) {
        let peer = self.server.peers.borrow_mut().remove(&self.number);
        if peer.is_some_and(|peer| peer.is_evicted()) {
            self.server.evicted.set(self.server.evicted.get() - 1);
        }
        self.server.connection_ended.notify_one();
    }
}
