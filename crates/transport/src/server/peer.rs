//! The state of one client connection.

use super::Settings;
use std::{
    cell::Cell,
    io,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Interval at which the time-outs of a connection with an active request are checked.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a new connection that has sent nothing may be evicted.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// A connection whose client accepts no byte of a response for this long may be evicted.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a connection is open, in the order in which connections are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    /// The client has sent nothing since the connection was accepted, for at least [`Settings::eviction_min_idle`].
    NothingReceived,
    /// The connection is idle after a request, for at least [`Settings::eviction_min_idle`].
    Idle,
    /// The connection was accepted recently, and the client has sent nothing yet.
    New,
    /// A request has been received in part.
    PartialRequest,
    /// A response was completed recently, so the next request may be on its way.
    RecentlyUsed,
    /// The client does not read its response.
    Unread,
}

/// The order in which connections are evicted: by class, and the longest unchanged first within a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) class: EvictionClass,
    pub(super) since: Instant,
}

/// The state of a client connection, shared by its task, its socket and its requests.
pub struct Peer {
    /// The server's settings, which may change while the connection is open.
    settings: Rc<Cell<Settings>>,
    /// Idle time-out of the settings when the last request ended, on which the client may rely.
    idle_timeout: Cell<Duration>,
    /// Number of active requests. There may be two: the rest of a request's body may still be received after its
    /// response, when the next request has arrived.
    pub(super) active_requests: Cell<usize>,
    /// Since when the connection has been idle, or open if it has not carried a request yet.
    pub(super) idle_since: Cell<Instant>,
    /// The connection has carried a valid request.
    pub(super) used: Cell<bool>,
    /// When the first byte was received of a request head that is not complete yet.
    pub(super) head_started_at: Cell<Option<Instant>>,
    /// When the socket last accepted a write, or a request began or was answered.
    pub(super) last_write: Cell<Instant>,
    /// The socket does not accept the rest of a response, since the client does not read it.
    pub(super) write_pending: Cell<bool>,
    /// The connection was evicted.
    evicted: Cell<bool>,
    /// Notified when the connection is evicted.
    evict: Notify,
    /// Notified when the server wants the connection closed.
    pub(super) close_requested: Notify,
    /// Notified when a request head is complete.
    pub(super) head_complete: Notify,
    /// Notified when the first byte of a request head has been received.
    head_begun: Notify,
}

impl Peer {
    pub(super) fn new(settings: Rc<Cell<Settings>>) -> Self {
        let now = Instant::now();
        let idle_timeout = Cell::new(settings.get().idle_timeout);
        let (active_requests, used, write_pending, evicted) = Default::default();
        let (idle_since, head_started_at, last_write) = (Cell::new(now), Cell::new(None), Cell::new(now));
        let (close_requested, head_complete, head_begun, evict) = Default::default();
        Self {
            settings,
            idle_timeout,
            active_requests,
            idle_since,
            used,
            head_started_at,
            last_write,
            write_pending,
            evicted,
            evict,
            close_requested,
            head_complete,
            head_begun,
        }
    }

    /// Returns since when the connection has been idle, or open if it has not carried a request yet.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Whether the connection has carried a valid request.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// Records that a valid request was received, including the part of its body that is buffered.
    pub fn mark_used(&self) {
        self.used.set(true);
    }

    /// Whether a request is active, or the last response has not been written completely.
    pub(super) fn busy(&self) -> bool {
        self.active_requests.get() > 0 || self.write_pending.get()
    }

    /// Records the result of a write to the socket.
    pub(super) fn record_write(&self, result: &Poll<io::Result<usize>>) {
        if result.is_ready() {
            self.last_write.set(Instant::now());
        }
        if self.write_pending.replace(result.is_pending()) && result.is_ready() {
            // The idle time starts when the response has been written, not when it was produced.
            self.mark_idle();
        }
    }

    /// Records that bytes were received. On a connection that is not busy they begin a request head.
    pub(super) fn record_read(&self) {
        if !self.busy() && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(Instant::now()));
            self.head_begun.notify_one();
        }
    }

    /// Starts the idle time.
    fn mark_idle(&self) {
        self.idle_since.set(Instant::now());
        self.idle_timeout.set(self.settings.get().idle_timeout);
    }

    /// Returns the idle time-out. A shorter time-out in changed settings applies from the next request on.
    pub(super) fn current_idle_timeout(&self) -> Duration {
        self.idle_timeout.get().max(self.settings.get().idle_timeout)
    }

    /// Whether the connection is idle for longer than [`Settings::eviction_min_idle`]. A new connection, or one whose
    /// response has just been completed, may have a request on its way.
    pub(super) fn idle(&self) -> bool {
        let eviction_min_idle = self.settings.get().eviction_min_idle;
        !self.busy()
            && self.head_started_at.get().is_none()
            && self.idle_since.get().elapsed() > eviction_min_idle
    }

    /// Returns the rank for eviction at `now`; `None` if the connection may not be evicted. A connection with an active
    /// valid request may be evicted only if its client does not read the response.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let eviction_min_idle = self.settings.get().eviction_min_idle;
        let (class, since, min_age) = match (self.active_requests.get() > 0, self.head_started_at.get()) {
            _ if self.evicted.get() => return None,
            _ if self.write_pending.get() => (EvictionClass::Unread, self.last_write.get(), UNREAD_TIMEOUT),
            (true, _) if self.used.get() => return None,
            (true, None) => (EvictionClass::PartialRequest, self.idle_since.get(), eviction_min_idle),
            (_, Some(head)) => (EvictionClass::PartialRequest, head, eviction_min_idle),
            (false, None) if self.used.get() => (EvictionClass::Idle, self.idle_since.get(), Duration::ZERO),
            (false, None) => (EvictionClass::NothingReceived, self.idle_since.get(), NEW_CONNECTION_GRACE),
        };
        let age = now.saturating_duration_since(since);
        let class = match class {
            EvictionClass::Idle if age < eviction_min_idle => EvictionClass::RecentlyUsed,
            EvictionClass::NothingReceived if age < eviction_min_idle => EvictionClass::New,
            class => class,
        };
        (age >= min_age).then_some(EvictionRank { class, since })
    }

    /// Evicts the connection: its task ends without regard to later requests.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.evict.notify_one();
    }

    /// Whether the connection was evicted.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Waits until the server wants the connection closed and may do so: a request whose head is being received is
    /// answered first.
    pub(super) async fn close_allowed(&self) {
        self.close_requested.notified().await;
        while self.head_started_at.get().is_some() {
            self.head_complete.notified().await;
        }
    }

    /// Waits until the connection has exceeded a time-out for receiving a request, being idle or writing a response.
    pub(super) async fn timed_out(&self) {
        loop {
            let settings = self.settings.get();
            let first_head_deadline = self.idle_since.get() + settings.first_head_timeout;
            let deadline = match (self.busy(), self.head_started_at.get()) {
                (true, _) if self.write_pending.get() => self.last_write.get() + settings.write_stall_timeout,
                (true, _) => Instant::now() + BUSY_CHECK_INTERVAL,
                (false, Some(head)) if self.used.get() => head + settings.head_timeout,
                (false, Some(head)) => first_head_deadline.min(head + settings.head_timeout),
                (false, None) if self.used.get() => self.idle_since.get() + self.current_idle_timeout(),
                (false, None) => first_head_deadline,
            };
            if deadline <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(deadline.into()) => {}
                () = self.head_begun.notified() => {}
            }
        }
    }
}

/// An active request, which is counted at its connection until dropped.
pub(super) struct ActiveRequest(Rc<Peer>);

impl ActiveRequest {
    pub(super) fn new(peer: &Rc<Peer>) -> Self {
        peer.active_requests.set(peer.active_requests.get() + 1);
        Self(peer.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.mark_idle();
    }
}
