//! The HTTP server: takes requests apart, hands them over, writes the answers.

use crate::{
    body::{self, Unread},
    gateway::{Answer, Demand, Hub},
    workers::Forward,
};
use fnv::FnvHashMap;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header, header::HeaderValue,
    server::conn::http1::Builder, service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    any::Any,
    cell::{Cell, RefCell},
    convert::Infallible,
    future::{Future, poll_fn},
    io::{self, IoSlice},
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
};
use tracing::warn;
use weirusher::{Effect, JobId, Options};

/// Longest head, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Longest time for a head to come, from its first byte on: a slow client takes 2 s.
const HEAD_TIME: Duration = Duration::from_millis(2600);
/// Whoever sends no proper request is owed an end within 3 s of connecting.
const FIRST_TIME: Duration = Duration::from_millis(2700);
/// Longest time for a connection to stand idle: it may be closed after 2 s.
const IDLE_TIME: Duration = Duration::from_millis(2200);
/// A body has so long beside the time of its bytes; the first on a connection what is left of the head's time,
/// as bad peers have no more, and the lesser of these at least.
const BODY_TIME: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(1500));
/// Between looks at a connection that has a request in hand.
const BUSY_TIME: Duration = Duration::from_secs(1);
/// An answer of which its client takes nothing for so long is given up.
const UNTAKEN: Duration = Duration::from_secs(30);
/// A connection that has carried nothing for so long may be closed to make room.
const IDLE: Duration = Duration::from_millis(500);
/// A connection that is to close has so long for its client to read the last answer.
const UNREAD: Duration = Duration::from_secs(1);
/// Between looks for idle connections while clients are sent away.
const SHED: Duration = Duration::from_millis(100);
/// Between looks whether a client has gone behind bytes of its own that nobody reads yet.
const LOOK: Duration = Duration::from_millis(50);
/// Pause at the edge of the budget, and after the system had no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);
/// Highest customer number, exclusive.
const CUSTOMERS: u64 = 1 << 33;

/// A client's connection as the others see it.
struct Peer {
    /// Requests on it that are in hand: the rest of one that is answered may still be coming to its end when the
    /// next has come.
    hands: Cell<usize>,
    since: Cell<Instant>,
    /// It has carried a request.
    used: Cell<bool>,
    /// When the first byte came of a head that is still coming.
    head: Cell<Option<Instant>>,
    /// When its client last took something.
    taken: Cell<Instant>,
    /// Something is left that its client has not taken yet.
    untaken: Cell<bool>,
    close: Notify,
    /// A head has come whole.
    came: Notify,
}

impl Peer {
    fn new() -> Self {
        let now = Instant::now();
        let (hands, used, untaken) = Default::default();
        let (since, head, taken) = (Cell::new(now), Cell::new(None), Cell::new(now));
        let (close, came) = Default::default();
        Self { hands, since, used, head, taken, untaken, close, came }
    }

    /// A request on it is in hand, or the last answer has not all gone out.
    fn busy(&self) -> bool {
        self.hands.get() > 0 || self.untaken.get()
    }

    /// The socket took what it was offered, or takes nothing just now.
    fn wrote(&self, done: &Poll<io::Result<usize>>) {
        if done.is_ready() {
            self.taken.set(Instant::now());
        }
        if self.untaken.replace(done.is_pending()) && done.is_ready() {
            // It may be idle from now on, and not from when its answer was made.
            self.since.set(Instant::now());
        }
    }

    /// One that has just come, or just had its answer, may have a request on its way.
    fn idle(&self) -> bool {
        !self.busy() && self.head.get().is_none() && self.since.get().elapsed() > IDLE
    }

    /// Waits until it may be closed from this side, where that is wanted: a request whose head has begun to come is
    /// owed its answer first.
    async fn may_close(&self) {
        self.close.notified().await;
        while self.head.get().is_some() {
            self.came.notified().await;
        }
    }

    /// Waits until it is to be closed for bringing nothing, or for taking nothing.
    async fn overdue(&self) {
        loop {
            let until = match (self.busy(), self.head.get()) {
                (true, _) if self.untaken.get() => self.taken.get() + UNTAKEN,
                (true, _) => (self.taken.get() + UNTAKEN).max(Instant::now() + BUSY_TIME),
                (false, Some(head)) if self.used.get() => head + HEAD_TIME,
                (false, None) if self.used.get() => self.since.get() + IDLE_TIME,
                (false, _) => self.since.get() + FIRST_TIME,
            };
            if until <= Instant::now() {
                return;
            }
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

/// A client's socket, which notes when a head begins to come and when something is taken.
struct Watched {
    socket: Rc<RefCell<TcpStream>>,
    peer: Rc<Peer>,
}

/// Waits until the client has ended its sending, or all, while a request of its is in hand. The server itself notices
/// that only once it has read all before it, and it reads no further than the request that it works on. To be polled
/// by the task that serves the connection, and after it.
async fn gone(socket: &RefCell<TcpStream>, peer: &Peer) {
    loop {
        let look = poll_fn(|cx| {
            // Whatever puts a request in hand happens in this task, which looks here again then.
            if !peer.busy() || socket.borrow().poll_read_ready(cx).is_pending() {
                return Poll::Pending;
            }
            let socket = socket.borrow();
            let ready = pin!(socket.ready(Interest::READABLE)).poll(cx);
            Poll::Ready(!matches!(ready, Poll::Ready(Ok(ready)) if !ready.is_read_closed()))
        });
        if look.await {
            return;
        }
        // Bytes have come that are not read yet: nothing tells when the end comes behind them.
        tokio::time::sleep(LOOK).await;
    }
}

impl AsyncRead for Watched {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        let done = Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, to);
        if to.filled().len() > before && !self.peer.busy() && self.peer.head.get().is_none() {
            self.peer.head.set(Some(Instant::now()));
        }
        done
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, from);
        self.peer.wrote(&done);
        done
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, from);
        self.peer.wrote(&done);
        done
    }
    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

pub struct Clients {
    hub: Rc<Hub>,
    peers: RefCell<FnvHashMap<u64, Rc<Peer>>>,
    numbers: Cell<u64>,
    budget: Cell<usize>,
    /// Connections are accepted.
    accepting: watch::Sender<bool>,
    /// The process began to accept.
    begun: Cell<bool>,
    /// Another process has taken over for good.
    left: Cell<bool>,
    /// A connection has ended.
    freed: Notify,
    stopping: Cell<bool>,
    /// The operators send clients away, for a while.
    away: Cell<bool>,
    /// Idle connections are being closed.
    shedding: Cell<bool>,
}

impl Clients {
    /// `budget` connections at most.
    pub fn new(hub: Rc<Hub>, budget: usize) -> Rc<Self> {
        let (numbers, freed) = (Cell::new(0), Notify::new());
        let [stopping, away, shedding, begun, left] = [const { Cell::new(false) }; 5];
        let (peers, budget, accepting) = (RefCell::default(), Cell::new(budget), watch::Sender::new(true));
        Rc::new(Self { hub, peers, numbers, budget, accepting, begun, left, freed, stopping, away, shedding })
    }

    /// From now on every answer closes its connection and `/up` says no.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// This process takes clients.
    pub fn ready(&self) -> bool {
        self.begun.get() && !self.stopping.get() && *self.accepting.borrow()
    }

    /// From now on `budget` connections at most; those beyond it stay.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
    }

    /// Accepts no more: another process of this gatekeeper is about to.
    pub fn hand_over(&self) {
        self.accepting.send_replace(false);
    }

    /// That one serves: clients go to it as their connections end.
    pub fn leave(self: &Rc<Self>) {
        self.left.set(true);
        self.shed();
    }

    /// That one has ended: this one accepts again.
    pub fn take_back(&self) {
        self.left.set(false);
        self.accepting.send_replace(true);
    }

    /// Waits until another process has taken over, and no client has been left here for `settled`.
    pub async fn all_left(&self, settled: Duration) {
        loop {
            let gone = || self.left.get() && self.connections() == 0;
            while !gone() {
                self.freed.notified().await;
            }
            tokio::time::sleep(settled).await;
            // The other one may have ended meanwhile, and this one be needed again.
            if gone() {
                return;
            }
        }
    }

    pub fn sends_away(&self) -> bool {
        self.away.get()
    }

    /// Sends clients away, or ends that: meanwhile `/up` says no, each answer closes its connection, and
    /// idle ones are closed.
    pub fn send_away(self: &Rc<Self>, away: bool) {
        self.away.set(away);
        self.shed();
    }

    /// Closes idle connections while answers close theirs.
    fn shed(self: &Rc<Self>) {
        if !self.closing() || self.shedding.replace(true) {
            return;
        }
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            while clients.closing() {
                clients.peers.borrow().values().filter(|p| p.idle()).for_each(|p| p.close.notify_one());
                // One that waits for all to leave looks again.
                clients.freed.notify_waiters();
                tokio::time::sleep(SHED).await;
            }
            clients.shedding.set(false);
        });
    }

    /// Answers close their connections.
    fn closing(&self) -> bool {
        self.stopping.get() || self.away.get() || self.left.get()
    }

    /// Whether the front is to send clients. One that has handed over speaks for the process that serves.
    fn up(&self) -> bool {
        !self.away.get() && (self.left.get() || !self.stopping.get())
    }

    /// Closes each connection now if it is idle, else after the answer in hand.
    pub fn close(&self) {
        self.peers.borrow().values().for_each(|p| p.close.notify_one());
    }

    pub fn connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Waits until a connection ends.
    pub async fn one_ended(&self) {
        self.freed.notified().await;
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
            if self.connections() >= self.budget.get() {
                // At the edge the connection that has stood idle longest makes room; if none has, new ones
                // wait unaccepted until one ends or has.
                self.close_longest_idle();
                let _ = tokio::time::timeout(PAUSE, self.one_ended()).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                _ = open.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((socket, _)) => self.serve(socket),
                Err(e) => {
                    // No descriptor, or the client went at once: never a reason to spin or to stop.
                    warn!("accept: {e}");
                    self.close_longest_idle();
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    fn close_longest_idle(&self) {
        let peers = self.peers.borrow();
        if let Some(peer) = peers.values().filter(|p| p.idle()).min_by_key(|p| p.since.get()) {
            peer.close.notify_one();
        }
    }

    fn serve(self: &Rc<Self>, socket: TcpStream) {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let peer = Rc::new(Peer::new());
        self.peers.borrow_mut().insert(number, peer.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            // Dropped however this task ends, so that the budget stays right.
            let _seat = Seat { clients: clients.clone(), number };
            // Without this an answer might wait for the acknowledgement of the one before.
            let _ = socket.set_nodelay(true);
            let service = service_fn(|request| {
                let (clients, peer) = (clients.clone(), peer.clone());
                async move { Ok::<_, Infallible>(clients.handle(request, &peer).await) }
            });
            let mut builder = Builder::new();
            builder.max_buf_size(MAX_HEAD).auto_date_header(false);
            let socket = Rc::new(RefCell::new(socket));
            let watched = Watched { socket: socket.clone(), peer: peer.clone() };
            let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
            let mut gone = pin!(gone(&socket, &peer));
            tokio::select! {
                biased;
                // How a client's connection ends is no news: its request, if any, says so when dropped.
                _ = connection.as_mut() => return,
                () = gone.as_mut() => return,
                () = peer.overdue() => return,
                () = peer.may_close() => connection.as_mut().graceful_shutdown(),
            }
            // One whose client does not read its answer must not keep its place for good.
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    () = gone.as_mut() => return,
                    () = tokio::time::sleep(UNREAD) => {}
                }
                let owed = peer.busy() || peer.head.get().is_some();
                if !owed || peer.taken.get().elapsed() >= UNTAKEN {
                    return;
                }
            }
        });
    }

    async fn handle(self: &Rc<Self>, request: Request<Incoming>, peer: &Rc<Peer>) -> Response<body::Answer> {
        peer.head.set(None);
        peer.came.notify_one();
        peer.taken.set(Instant::now());
        // Also when the client goes and this is dropped half way.
        let busy: Rc<dyn Any> = Rc::new(Busy::new(peer));
        let mut response = if request.uri().path() == "/up" {
            plain(if !self.up() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK })
        } else {
            match self.demand(request, peer, &busy).await {
                Ok(demand) => self.answer(demand).await,
                Err(status) => {
                    let mut response = plain(status);
                    if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
                        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                    }
                    response
                }
            }
        };
        if self.closing() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        peer.taken.set(Instant::now());
        response.body_mut().hold(busy);
        response
    }

    async fn answer(&self, demand: Demand) -> Response<body::Answer> {
        let (job, receiver) = self.hub.take(demand);
        let mut waiting = Waiting { hub: &self.hub, job: &job, answered: false };
        let answer = receiver.await;
        waiting.answered = true;
        match answer {
            Ok(Answer::Served(body)) => Response::new(body),
            Ok(Answer::Refused(retry_after)) => {
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
                let advice = HeaderValue::try_from(format!("{retry_after:.3}"));
                if let (true, Ok(advice)) = (retry_after > 0.0, advice) {
                    response.headers_mut().insert(header::RETRY_AFTER, advice);
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY),
        }
    }

    /// Reads a request whole and checks it; the module never sees a bad one.
    async fn demand(
        &self,
        request: Request<Incoming>,
        peer: &Peer,
        busy: &Rc<dyn Any>,
    ) -> Result<Demand, StatusCode> {
        let (head, body) = request.into_parts();
        let options = self.hub.options();
        let bad = StatusCode::BAD_REQUEST;
        let lane = text(&head.headers, "x-lane").ok_or(bad)?;
        let class = options.classes.iter().position(|c| c == lane).ok_or(bad)?;
        if head.uri.path().split('/').nth(1) != Some(lane) {
            return Err(bad);
        }
        let plan = text(&head.headers, "x-plan").ok_or(bad)?;
        let plan = options.plans.iter().position(|p| p == plan).ok_or(bad)?;
        // Digits only: the standard library's reading would also take a sign.
        let sixteen = |c: &&str| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit());
        let customer = text(&head.headers, "x-customer").filter(sixteen).ok_or(bad)?;
        let number = u64::from_str_radix(customer, 16).map_err(|_| bad)?;
        let remaining = text(&head.headers, "x-remaining").and_then(number_from).ok_or(bad)?;
        let quota = text(&head.headers, "x-quota").and_then(Quota::parse).ok_or(bad)?;
        let gateways = options.settings.gateways;
        let txn = text(&head.headers, "x-txn").filter(|t| !t.is_empty() && t.len() <= 256).ok_or(bad)?;
        let txn = HeaderValue::from_str(txn).map_err(|_| bad)?;
        let key = head.headers.get("idempotency-key").cloned();
        // The class decides the method, and whether there is a key: what differs is no client's request.
        let keyed = text(&head.headers, "idempotency-key").is_some();
        let (method, plain) = (head.method.clone(), key.is_none());
        let proper =
            |options: &Options, class: usize| match options.settings.classes.get(class).map(|c| c.effect) {
                Some(Effect::Safe) => method == Method::GET,
                Some(Effect::Keyed { .. }) => method == Method::POST && keyed,
                _ => method == Method::POST && plain,
            };
        if !proper(&options, class) {
            return Err(bad);
        }
        if number >= CUSTOMERS || quota.first >= gateways || !(1..=gateways).contains(&quota.spread) {
            return Err(bad);
        }
        let uri = head.uri.path_and_query().cloned().ok_or(bad)?.into();
        let grace = if peer.used.get() {
            BODY_TIME.1
        } else {
            FIRST_TIME.saturating_sub(peer.since.get().elapsed()).max(BODY_TIME.0)
        };
        let (pool, drains) = (self.hub.pool(), self.hub.drains());
        let (body, upload) = match body::gather(body, pool, grace, drains, busy.clone()).await {
            Ok(body::Request::Whole(gathered)) => (Some(gathered), None),
            Ok(body::Request::Streams(upload)) => (None, Some(upload)),
            Err(Unread::TooSlow) => return Err(StatusCode::REQUEST_TIMEOUT),
            Err(Unread::TooLong) => return Err(StatusCode::PAYLOAD_TOO_LARGE),
            Err(Unread::Broken) => return Err(bad),
        };
        if head.method == Method::GET && !body.as_ref().is_some_and(body::Gathered::is_empty) {
            return Err(bad);
        }
        peer.used.set(true);
        // The settings may have changed while the body came: its class may stand elsewhere, or be gone. Under another
        // effect it would be handled by rules that its client does not know of; as nothing was sent, it may come again.
        let now = self.hub.options();
        let class = now.classes.iter().position(|c| *c == options.classes[class]).ok_or(bad)?;
        if !proper(&now, class) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(Demand {
            class,
            plan,
            // In one spelling, as all gateways name the customer's counts by it.
            customer: format!("{number:016x}"),
            units: quota.units,
            spread: quota.spread,
            first: quota.first,
            remaining,
            repeat: head.headers.get("x-resent").is_some_and(|v| v == "1"),
            forward: Forward {
                uri,
                txn,
                idempotency_key: key,
                content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
                method: head.method,
                body,
                upload: RefCell::new(upload),
            },
        })
    }
}

fn plain(status: StatusCode) -> Response<body::Answer> {
    let mut response = Response::new(body::Answer::empty());
    *response.status_mut() = status;
    response
}

/// The one value of a header; `None` if it is missing, doubled or not text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

/// A finite number that is not negative.
fn number_from(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
}

struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

impl Quota {
    /// `units=2,spread=3,first=1`, in any order; what else stands there is passed over.
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            match name {
                "units" => units = Some(number_from(value)?),
                "spread" => spread = Some(value.parse().ok()?),
                "first" => first = Some(value.parse().ok()?),
                _ => {}
            }
        }
        Some(Self { units: units?, spread: spread?, first: first? })
    }
}

/// A request that waits for its answer; dropped before, its client has gone.
struct Waiting<'a> {
    hub: &'a Rc<Hub>,
    job: &'a JobId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.hub.left(self.job);
        }
    }
}

struct Busy(Rc<Peer>);

impl Busy {
    fn new(peer: &Rc<Peer>) -> Self {
        peer.hands.set(peer.hands.get() + 1);
        Self(peer.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.hands.set(self.0.hands.get() - 1);
        self.0.since.set(Instant::now());
    }
}

struct Seat {
    clients: Rc<Clients>,
    number: u64,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.clients.peers.borrow_mut().remove(&self.number);
        self.clients.freed.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How much of an answer the sockets hold is the system's business, so no test of the whole program can fill them
    /// to just before an answer's end.
    #[test]
    fn a_connection_is_busy_until_its_client_has_taken_the_last_answer() {
        let peer = Peer::new();
        peer.since.set(Instant::now() - 2 * IDLE);
        assert!(peer.idle() && !peer.busy());
        peer.wrote(&Poll::Pending);
        assert!(peer.busy() && !peer.idle());
        peer.wrote(&Poll::Ready(Ok(1)));
        assert!(!peer.busy(), "all has gone out");
        assert!(!peer.idle(), "and a request may be on its way");
    }
}
