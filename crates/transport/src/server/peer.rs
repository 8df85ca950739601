//! What is known of a client's connection while it is open.

use super::Settings;
use std::{
    cell::Cell,
    io,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Between looks at a connection that has a request in hand.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A new connection has so long to bring something before it may make room for another.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// An answer of which its client takes nothing for so long may be broken off to make room.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// What a connection holds its place for; the first gives way first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// It has sent nothing for a while.
    NothingReceived,
    /// It is idle after a request.
    Kept,
    /// It has sent nothing yet.
    Fresh,
    /// The beginning of a request has come, and not the whole.
    HalfRequest,
    /// It has had its answer a moment ago: the next request may be on its way.
    JustUsed,
    /// Its client does not read its answer.
    Unread,
}

/// How soon a connection gives way to another: kind by kind, and of one kind the oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) kind: Kind,
    pub(super) since: Instant,
}

/// A client's connection as the others see it.
pub struct Peer {
    /// The server's, which may change meanwhile.
    settings: Rc<Cell<Settings>>,
    /// How long it may stand idle by the settings that held when it last had something in hand: its client may go by them.
    idle_timeout: Cell<Duration>,
    /// Requests on it that are in hand: the rest of one that is answered may still be coming to its end when the
    /// next has come.
    pub(super) in_hand: Cell<usize>,
    pub(super) since: Cell<Instant>,
    /// It has carried a request.
    pub(super) used: Cell<bool>,
    /// When the first byte came of a head that is still coming.
    pub(super) head: Cell<Option<Instant>>,
    /// When its client last took something.
    pub(super) taken: Cell<Instant>,
    /// Something is left that its client has not taken yet.
    pub(super) untaken: Cell<bool>,
    /// It ends to make room for another.
    evicted: Cell<bool>,
    evict: Notify,
    pub(super) close: Notify,
    /// A head has come whole.
    pub(super) head_complete: Notify,
    /// A head has begun to come.
    head_begun: Notify,
}

impl Peer {
    pub(super) fn new(settings: Rc<Cell<Settings>>) -> Self {
        let now = Instant::now();
        let idle_timeout = Cell::new(settings.get().idle_timeout);
        let (in_hand, used, untaken, evicted) = Default::default();
        let (since, head, taken) = (Cell::new(now), Cell::new(None), Cell::new(now));
        let (close, head_complete, head_begun, evict) = Default::default();
        Self {
            settings,
            idle_timeout,
            in_hand,
            since,
            used,
            head,
            taken,
            untaken,
            evicted,
            evict,
            close,
            head_complete,
            head_begun,
        }
    }

    /// Since when it has been idle, or open where it has carried nothing yet.
    pub fn idle_since(&self) -> Instant {
        self.since.get()
    }

    /// It has carried a proper request.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// A proper request has come on it, whole as far as it is gathered.
    pub fn mark_used(&self) {
        self.used.set(true);
    }

    /// A request on it is in hand, or the last answer has not all gone out.
    pub(super) fn busy(&self) -> bool {
        self.in_hand.get() > 0 || self.untaken.get()
    }

    /// The socket took what it was offered, or takes nothing just now.
    pub(super) fn wrote(&self, done: &Poll<io::Result<usize>>) {
        if done.is_ready() {
            self.taken.set(Instant::now());
        }
        if self.untaken.replace(done.is_pending()) && done.is_ready() {
            // It may be idle from now on, and not from when its answer was made.
            self.rest();
        }
    }

    /// Something has come on it; where nothing is in hand, that begins a head.
    pub(super) fn read(&self) {
        if !self.busy() && self.head.get().is_none() {
            self.head.set(Some(Instant::now()));
            self.head_begun.notify_one();
        }
    }

    /// It may be idle from now on.
    fn rest(&self) {
        self.since.set(Instant::now());
        self.idle_timeout.set(self.settings.get().idle_timeout);
    }

    /// The longest that it may stand idle: a limit that has become shorter holds from its next request on.
    pub(super) fn idle_limit(&self) -> Duration {
        self.idle_timeout.get().max(self.settings.get().idle_timeout)
    }

    /// One that has just come, or just had its answer, may have a request on its way.
    pub(super) fn idle(&self) -> bool {
        let eviction_min_idle = self.settings.get().eviction_min_idle;
        !self.busy() && self.head.get().is_none() && self.since.get().elapsed() > eviction_min_idle
    }

    /// Whether it may be ended at once to make room for another, and how soon before others: never while a request of
    /// its is under way.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let eviction_min_idle = self.settings.get().eviction_min_idle;
        let (kind, since, min_age) = match (self.in_hand.get() > 0, self.head.get()) {
            _ if self.evicted.get() => return None,
            _ if self.untaken.get() => (Kind::Unread, self.taken.get(), UNREAD_TIMEOUT),
            (true, _) if self.used.get() => return None,
            (true, None) => (Kind::HalfRequest, self.since.get(), eviction_min_idle),
            (_, Some(head)) => (Kind::HalfRequest, head, eviction_min_idle),
            (false, None) if self.used.get() => (Kind::Kept, self.since.get(), Duration::ZERO),
            (false, None) => (Kind::NothingReceived, self.since.get(), NEW_CONNECTION_GRACE),
        };
        let age = now.saturating_duration_since(since);
        let kind = match kind {
            Kind::Kept if age < eviction_min_idle => Kind::JustUsed,
            Kind::NothingReceived if age < eviction_min_idle => Kind::Fresh,
            kind => kind,
        };
        (age >= min_age).then_some(EvictionRank { kind, since })
    }

    /// Ends it, whatever it brings.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.evict.notify_one();
    }

    /// Whether it is ended to make room.
    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Waits until it is to end to make room.
    pub(super) async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Waits until it may be closed from this side, where that is wanted: a request whose head has begun to come is
    /// owed its answer first.
    pub(super) async fn may_close(&self) {
        self.close.notified().await;
        while self.head.get().is_some() {
            self.head_complete.notified().await;
        }
    }

    /// Waits until it is to be closed for bringing nothing, or for taking nothing.
    pub(super) async fn overdue(&self) {
        loop {
            let settings = self.settings.get();
            let first = self.since.get() + settings.first_head_timeout;
            let until = match (self.busy(), self.head.get()) {
                (true, _) if self.untaken.get() => self.taken.get() + settings.write_stall_timeout,
                (true, _) => Instant::now() + BUSY_CHECK_INTERVAL,
                (false, Some(head)) if self.used.get() => head + settings.head_timeout,
                (false, Some(head)) => first.min(head + settings.head_timeout),
                (false, None) if self.used.get() => self.since.get() + self.idle_limit(),
                (false, None) => first,
            };
            if until <= Instant::now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = self.head_begun.notified() => {}
            }
        }
    }
}

/// Counts a request on a connection as in hand until it is dropped.
pub(super) struct Busy(Rc<Peer>);

impl Busy {
    pub(super) fn new(peer: &Rc<Peer>) -> Self {
        peer.in_hand.set(peer.in_hand.get() + 1);
        Self(peer.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_hand.set(self.0.in_hand.get() - 1);
        self.0.rest();
    }
}
