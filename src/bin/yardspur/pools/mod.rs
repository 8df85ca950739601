//! The pools of connections to the workers: holds the sockets and carries out what [`state::Book`] orders.

mod state;

use crate::{
    clock::Clock,
    link::{Link, Progress},
};
use fnv::FnvHashMap;
use serde::Serialize;
use state::{Asked, Book, Closed, Limits, LinkId, Order, Placed, View, WaiterId};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    task::{Wake, Waker},
    time::Duration,
};
use tokio::sync::{Notify, oneshot};
use weirusher::{Options, ServerId, Time};

pub use state::NoLink;

/// A worker closes at its limit, and a request that crosses that is lost: this is closed as long before.
const BEFORE_LIMIT: f64 = 2.0;
/// An answer may be followed by another that nobody asked for, some milliseconds late, and nothing in it says whose it
/// is: no request is written to a connection for so long after an answer. Twice what was seen at most.
const REST: Duration = Duration::from_millis(8);
/// Pools that are told of at most, and bytes of a worker's id.
const TOLD: (usize, usize) = (512, 128);

/// Idle connections whose sockets have something to say.
#[derive(Default)]
struct Stirred {
    links: Mutex<Vec<LinkId>>,
    wake: Notify,
}

/// The waker of one connection while it is idle.
struct Stir {
    link: LinkId,
    stirred: Arc<Stirred>,
}

impl Wake for Stir {
    fn wake(self: Arc<Self>) {
        self.stirred.links.lock().unwrap_or_else(PoisonError::into_inner).push(self.link);
        self.stirred.wake.notify_one();
    }
}

struct Held {
    link: Link,
    /// When it came up.
    opened: Time,
    waker: Waker,
}

/// A connection in the hands of one request. Dropped unused it goes back; dropped under use it closes.
pub struct Lease {
    pools: Rc<Pools>,
    worker: ServerId,
    id: LinkId,
    held: Option<Held>,
    /// It has been idle, or has carried a request before.
    kept: bool,
    used: bool,
}

impl Lease {
    pub fn kept(&self) -> bool {
        self.kept
    }

    pub fn link(&mut self) -> &mut Link {
        self.used = true;
        &mut self.held.as_mut().expect("held until it is dropped").link
    }

    pub fn progress(&self) -> Rc<Progress> {
        self.held.as_ref().expect("held until it is dropped").link.progress()
    }

    /// The worker answers on it.
    pub fn heard(&self) {
        if let Some(held) = &self.held {
            self.pools.book.borrow_mut().heard(self.pools.clock.now(), &self.worker, held.opened);
        }
    }

    /// It was dead already when it was handed out.
    pub fn stale(self) {
        self.pools.book.borrow_mut().stale(&self.worker);
    }

    /// Fresh as it was, the worker ended it instead of answering.
    pub fn cut_off(self) {
        if !self.kept {
            self.pools.book.borrow_mut().no_room(self.pools.clock.now(), &self.worker, false);
        }
    }

    /// The answer is whole: another request may have it, after a rest. `turned_away`: it said that the worker has no
    /// room.
    pub fn give_back(self, turned_away: bool) {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(REST).await;
            self.rested(turned_away);
        });
    }

    fn rested(mut self, turned_away: bool) {
        let Some(held) = self.held.take() else { return };
        let lives = self.pools.clone().take_back(&self.worker, self.id, held);
        if turned_away && !lives && !self.kept {
            self.pools.book.borrow_mut().no_room(self.pools.clock.now(), &self.worker, true);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        if !self.used {
            self.pools.clone().take_back(&self.worker, self.id, held);
            return;
        }
        drop(held);
        let mut orders = Vec::new();
        let now = self.pools.clock.now();
        self.pools.book.borrow_mut().lost(now, &self.worker, Closed::Broken, &mut orders);
        self.pools.carry_out(orders);
    }
}

/// A request that waits for a connection; dropped, it waits no more.
struct Waiting<'a> {
    pools: &'a Pools,
    worker: &'a ServerId,
    id: WaiterId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pools.waiting.borrow_mut().remove(&self.id);
        self.pools.book.borrow_mut().give_up(self.worker, self.id);
    }
}

type Grant = Result<Lease, NoLink>;

pub struct Pools {
    book: RefCell<Book>,
    clock: Clock,
    parked: RefCell<FnvHashMap<LinkId, (ServerId, Held)>>,
    waiting: RefCell<FnvHashMap<WaiterId, oneshot::Sender<Grant>>>,
    stirred: Arc<Stirred>,
    connect: Cell<Duration>,
}

fn limits(options: &Options) -> Limits {
    let idle = options.conn_idle;
    Limits { keep: (idle - BEFORE_LIMIT).max(idle / 2.0), gateways: options.settings.gateways }
}

impl Pools {
    /// `budget` connections at most. Runs in the background from now on.
    pub fn new(budget: usize, options: &Options, clock: Clock, seed: u64) -> Rc<Self> {
        let pools = Rc::new(Self {
            book: RefCell::new(Book::new(budget, limits(options), seed)),
            clock,
            parked: RefCell::default(),
            waiting: RefCell::default(),
            stirred: Arc::default(),
            connect: Cell::new(Duration::from_secs_f64(options.connect_timeout)),
        });
        tokio::task::spawn_local(mind(Rc::downgrade(&pools), pools.stirred.clone()));
        pools
    }

    /// A connection to `worker`, once there is one: nothing has been sent on it for this request.
    ///
    /// # Errors
    /// Why there is none. No longer waited for than a connection may take to come up.
    pub async fn lease(self: &Rc<Self>, worker: &ServerId) -> Grant {
        loop {
            let mut orders = Vec::new();
            let asked = self.book.borrow_mut().ask(self.clock.now(), worker, &mut orders);
            // Registered before anything is carried out, so that no answer misses it.
            let waiter = if let Asked::Wait(id) = asked {
                let (grant, granted) = oneshot::channel();
                self.waiting.borrow_mut().insert(id, grant);
                Some((Waiting { pools: self, worker, id }, granted))
            } else {
                None
            };
            self.carry_out(orders);
            let id = match (asked, waiter) {
                (Asked::No(why), _) => return Err(why),
                (Asked::Use(id), _) => id,
                (Asked::Wait(_), Some((_waiting, granted))) => {
                    return match tokio::time::timeout(self.connect.get(), granted).await {
                        Ok(grant) => grant.unwrap_or(Err(NoLink::Unknown)),
                        Err(_) => Err(self.book.borrow().overdue(worker)),
                    };
                }
                (Asked::Wait(_), None) => return Err(NoLink::Unknown),
            };
            let held = self.parked.borrow_mut().remove(&id);
            let Some((_, mut held)) = held else { return Err(NoLink::Unknown) };
            let lease = |held| Lease {
                pools: self.clone(),
                worker: worker.clone(),
                id,
                held: Some(held),
                kept: true,
                used: false,
            };
            if held.link.ready(&held.waker) {
                return Ok(lease(held));
            }
            // It ended a moment ago: the next one.
            lease(held).close(Closed::Peer);
        }
    }

    fn carry_out(self: &Rc<Self>, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Open { worker, addr, link } => {
                    tokio::task::spawn_local(self.clone().connect(worker, addr, link));
                }
                Order::Close(link) => drop(self.parked.borrow_mut().remove(&link)),
                Order::Fail(waiter, why) => self.grant(waiter, Err(why)),
            }
        }
    }

    /// Who has gone meanwhile drops what it is granted, and so gives it back.
    fn grant(&self, waiter: WaiterId, grant: Grant) {
        let waits = self.waiting.borrow_mut().remove(&waiter);
        if let Some(waits) = waits {
            drop(waits.send(grant));
        }
    }

    async fn connect(self: Rc<Self>, worker: ServerId, addr: SocketAddr, id: LinkId) {
        let opened = Link::open(addr, self.connect.get()).await;
        let (now, mut orders) = (self.clock.now(), Vec::new());
        match opened {
            Ok(link) => {
                let waker = Waker::from(Arc::new(Stir { link: id, stirred: self.stirred.clone() }));
                let held = Held { link, opened: now, waker };
                let placed = self.book.borrow_mut().opened(now, &worker, addr, id, &mut orders);
                self.placed(placed, &worker, id, held, false);
            }
            Err(e) => self.book.borrow_mut().not_opened(now, &worker, why(&e), &mut orders),
        }
        self.carry_out(orders);
    }

    /// Takes back a connection that is not in use any more; `false`: its other end has closed it.
    fn take_back(self: &Rc<Self>, worker: &ServerId, id: LinkId, mut held: Held) -> bool {
        let (now, mut orders) = (self.clock.now(), Vec::new());
        let lives = held.link.ready(&held.waker);
        if lives {
            let placed = self.book.borrow_mut().given_back(now, worker, id, held.opened, &mut orders);
            self.placed(placed, worker, id, held, true);
        } else {
            drop(held);
            self.book.borrow_mut().lost(now, worker, Closed::Peer, &mut orders);
        }
        self.carry_out(orders);
        lives
    }

    fn placed(self: &Rc<Self>, placed: Placed, worker: &ServerId, id: LinkId, mut held: Held, kept: bool) {
        match placed {
            Placed::Granted(waiter) => {
                let (pools, worker, held) = (self.clone(), worker.clone(), Some(held));
                self.grant(waiter, Ok(Lease { pools, worker, id, held, kept, used: false }));
            }
            Placed::Parked => {
                // Polled since it was in use, so that its end is told.
                if kept || held.link.ready(&held.waker) {
                    self.parked.borrow_mut().insert(id, (worker.clone(), held));
                } else {
                    self.book.borrow_mut().ended(worker, id);
                }
            }
            Placed::Closed => {}
        }
    }

    /// Looks at idle connections whose sockets have stirred: all but a stray wake means their end.
    fn look_at_stirred(&self) {
        let stirred = std::mem::take(&mut *self.stirred.links.lock().unwrap_or_else(PoisonError::into_inner));
        for id in stirred {
            let mut parked = self.parked.borrow_mut();
            let Some((_, held)) = parked.get_mut(&id) else { continue };
            if held.link.ready(&held.waker) {
                continue;
            }
            if let Some((worker, _)) = parked.remove(&id) {
                self.book.borrow_mut().ended(&worker, id);
            }
        }
    }

    // ---- The lists, and what holds for all ----

    fn change(self: &Rc<Self>, change: impl FnOnce(&mut Book, Time, &mut Vec<Order>)) {
        let mut orders = Vec::new();
        change(&mut self.book.borrow_mut(), self.clock.now(), &mut orders);
        self.carry_out(orders);
    }

    /// What a list says of one worker.
    pub fn listed(
        self: &Rc<Self>,
        worker: &ServerId,
        addr: Option<SocketAddr>,
        started: Time,
        wanted: bool,
        gone: bool,
    ) {
        self.change(|book, now, orders| book.listed(now, worker, addr, started, (wanted, gone), orders));
    }

    /// A whole list has come: those that it does not name are gone.
    pub fn only(self: &Rc<Self>, named: impl Fn(&str) -> bool) {
        self.change(|book, _, orders| book.only(named, orders));
    }

    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.book.borrow().addr(worker)
    }

    pub fn addrs(&self) -> BTreeMap<ServerId, SocketAddr> {
        self.book.borrow().addrs().map(|(id, addr)| (id.clone(), addr)).collect()
    }

    /// Where workers are, by the process before this one.
    pub fn told(self: &Rc<Self>, addrs: &BTreeMap<ServerId, SocketAddr>) {
        self.change(|book, now, _| addrs.iter().for_each(|(id, addr)| book.told(now, id, *addr)));
    }

    pub fn retune(self: &Rc<Self>, options: &Options) {
        self.connect.set(Duration::from_secs_f64(options.connect_timeout));
        self.change(|book, now, orders| book.retune(now, limits(options), orders));
    }

    /// From now on `budget` connections at most; those beyond it end with their attempts.
    pub fn set_budget(self: &Rc<Self>, budget: usize) {
        self.change(|book, now, orders| book.set_budget(now, budget, orders));
    }

    /// Whether no connection is kept idle any more.
    pub fn keep_none(self: &Rc<Self>, none: bool) {
        self.change(|book, _, orders| book.keep_none(none, orders));
    }

    /// Takes a worker out by hand, whatever the lists say, or puts it back.
    pub fn set_aside(self: &Rc<Self>, worker: &str, out: bool) {
        self.change(|book, _, orders| book.set_aside(worker, out, orders));
    }

    pub fn sweep(self: &Rc<Self>) {
        self.change(|book, now, orders| book.sweep(now, orders));
    }

    /// Nothing came in time for what was sent at `sent`.
    pub fn silent(&self, worker: &str, sent: Time) {
        self.book.borrow_mut().silent(self.clock.now(), worker, sent);
    }

    /// Connections that are open or on their way.
    pub fn open(&self) -> usize {
        self.book.borrow().open()
    }

    /// What stands where, as JSON.
    pub fn report(&self) -> String {
        let views = self.book.borrow().views(self.clock.now());
        let workers: Vec<Told> = views.iter().take(TOLD.0).map(Told::from).collect();
        let report = Report { open: self.open(), omitted: views.len() - workers.len(), workers };
        serde_json::to_string(&report).unwrap_or_default()
    }
}

impl Lease {
    fn close(mut self, why: Closed) {
        drop(self.held.take());
        let (mut orders, now) = (Vec::new(), self.pools.clock.now());
        self.pools.book.borrow_mut().lost(now, &self.worker, why, &mut orders);
        self.pools.carry_out(orders);
    }
}

async fn mind(pools: std::rc::Weak<Pools>, stirred: Arc<Stirred>) {
    loop {
        stirred.wake.notified().await;
        let Some(pools) = pools.upgrade() else { return };
        pools.look_at_stirred();
    }
}

fn why(e: &io::Error) -> NoLink {
    match e.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => NoLink::NoDescriptor,
        // All local ports to it are in use: that, too, is this side's want.
        Some(libc::EADDRNOTAVAIL) => NoLink::NoDescriptor,
        _ if e.kind() == ErrorKind::TimedOut => NoLink::TimedOut,
        _ => NoLink::Refused,
    }
}

#[derive(Serialize)]
struct Report {
    open: usize,
    workers: Vec<Told>,
    /// Pools that are left out, those with the fewest connections.
    omitted: usize,
}

#[derive(Serialize)]
struct Told {
    id: String,
    addr: SocketAddr,
    wanted: bool,
    suspect: bool,
    idle: usize,
    in_use: u32,
    connecting: u32,
    waiting: usize,
    bound: Option<f64>,
    opened: u64,
    reused: u64,
    refused: u64,
    timed_out: u64,
    stale: u64,
    closed: BTreeMap<&'static str, u64>,
}

impl From<&View> for Told {
    fn from(v: &View) -> Self {
        let closed = Closed::ALL.iter().zip(v.counts.closed).filter(|(_, n)| *n > 0);
        Self {
            id: v.worker.chars().take(TOLD.1).collect(),
            addr: v.addr,
            wanted: v.wanted,
            suspect: v.suspect,
            idle: v.idle,
            in_use: v.in_use,
            connecting: v.connecting,
            waiting: v.waiting,
            bound: v.bound,
            opened: v.counts.opened,
            reused: v.counts.reused,
            refused: v.counts.refused,
            timed_out: v.counts.timed_out,
            stale: v.counts.stale,
            closed: closed.map(|((_, name), n)| (*name, n)).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::{io::Write, net::TcpListener};

    /// When a late second answer comes is the worker's business: here it comes while the clock stands.
    #[test]
    fn a_connection_rests_after_an_answer_and_a_second_one_that_comes_then_meets_no_request() {
        let (config, _) = crate::config::check(crate::config::tests::file().to_string().as_bytes(), None)
            .unwrap_or_else(|_| panic!("a good configuration"));
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
        runtime.expect("a runtime").block_on(async {
            for second in [false, true] {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let pools = Pools::new(8, &config.options, Clock::new(), 1);
                let worker: ServerId = "w0".into();
                pools.listed(&worker, listener.local_addr().ok(), 0.0, true, false);
                let mut lease = pools.lease(&worker).await.unwrap_or_else(|_| panic!("it comes up"));
                let (mut far, _) = listener.accept().expect("it has come up");
                let at = || {
                    let view = pools.book.borrow().views(pools.clock.now()).pop().expect("one pool");
                    (view.in_use, view.idle, view.counts.closed[Closed::Peer as usize])
                };
                tokio::time::pause();
                lease.link();
                lease.give_back(false);
                // Half as late again as any was seen.
                tokio::time::sleep(Duration::from_millis(6)).await;
                assert_eq!(at(), (1, 0, 0), "nobody can have it yet");
                if second {
                    far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray").expect("a socket");
                }
                tokio::time::sleep(REST).await;
                assert_eq!(at(), if second { (0, 0, 1) } else { (0, 1, 0) });
                tokio::time::resume();
            }
        });
    }
}
