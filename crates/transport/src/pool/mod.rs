//! The pools of connections to the workers: holds the sockets and carries out what `state::PoolState` commands.

mod lease;
mod report;
mod state;
#[cfg(test)]
mod tests;
mod wakeups;

use crate::{
    WorkerId,
    clock::{Clock, Time},
    connection::Connection,
};
use fnv::FnvHashMap;
use state::{Asked, CloseReason, Command, ConnectionId, Placed, PoolSettings, PoolState, WaiterId};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::{Rc, Weak},
    sync::Arc,
    task::Waker,
    time::Duration,
};
use tokio::sync::oneshot;
use wakeups::Wakeups;

pub use lease::Lease;
pub use state::{NoConnection, WorkerLimits};

/// A worker closes at its limit, and a request that crosses that is lost: this is closed as many seconds before.
const BEFORE_LIMIT: f64 = 2.0;

/// What holds for the connections to all workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Seconds after which a worker closes an idle connection.
    pub worker_idle_timeout: f64,
    /// How many gatekeepers share what connections a worker takes, where it is learned how many these are.
    pub gateway_count: u32,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
}

impl Settings {
    fn of_state(&self) -> PoolSettings {
        let keep = (self.worker_idle_timeout - BEFORE_LIMIT).max(self.worker_idle_timeout / 2.0);
        PoolSettings { keep, gateway_count: self.gateway_count }
    }
}

/// A connection that is up.
struct Held {
    connection: Connection,
    /// When it came up.
    opened: Time,
    waker: Waker,
}

/// A request that waits for a connection; dropped, it waits no more.
struct Waiting<'a> {
    pools: &'a Pools,
    worker: &'a WorkerId,
    id: WaiterId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.pools.waiting.borrow_mut().remove(&self.id);
        self.pools.state.borrow_mut().give_up(self.worker, self.id);
    }
}

type Grant = Result<Lease, NoConnection>;

/// The pools of connections to all workers.
pub struct Pools {
    state: RefCell<PoolState>,
    clock: Clock,
    idle: RefCell<FnvHashMap<ConnectionId, (WorkerId, Held)>>,
    waiting: RefCell<FnvHashMap<WaiterId, oneshot::Sender<Grant>>>,
    wakeups: Arc<Wakeups>,
    connect: Cell<Duration>,
}

impl Pools {
    /// `budget` connections at most. Runs in the background from now on.
    #[must_use]
    pub fn new(budget: usize, settings: Settings, clock: Clock, seed: u64) -> Rc<Self> {
        let pools = Rc::new(Self {
            state: RefCell::new(PoolState::new(budget, settings.of_state(), seed)),
            clock,
            idle: RefCell::default(),
            waiting: RefCell::default(),
            wakeups: Arc::default(),
            connect: Cell::new(settings.connect_timeout),
        });
        tokio::task::spawn_local(watch_idle(Rc::downgrade(&pools), pools.wakeups.clone()));
        pools
    }

    /// A connection to `worker`, once there is one: nothing has been sent on it for this request.
    ///
    /// # Errors
    /// Why there is none. No longer waited for than a connection may take to come up.
    pub async fn lease(self: &Rc<Self>, worker: &WorkerId) -> Grant {
        loop {
            let mut commands = Vec::new();
            let asked = self.state.borrow_mut().ask(self.clock.now(), worker, &mut commands);
            // Registered before anything is carried out, so that no answer misses it.
            let waiter = if let Asked::Wait(id) = asked {
                let (grant, granted) = oneshot::channel();
                self.waiting.borrow_mut().insert(id, grant);
                Some((Waiting { pools: self, worker, id }, granted))
            } else {
                None
            };
            self.carry_out(commands);
            let id = match (asked, waiter) {
                (Asked::No(why), _) => return Err(why),
                (Asked::Use(id), _) => id,
                (Asked::Wait(_), Some((_waiting, granted))) => {
                    return match tokio::time::timeout(self.connect.get(), granted).await {
                        Ok(grant) => grant.unwrap_or(Err(NoConnection::Unavailable)),
                        Err(_) => Err(self.state.borrow().overdue(worker)),
                    };
                }
                (Asked::Wait(_), None) => return Err(NoConnection::Unavailable),
            };
            let held = self.idle.borrow_mut().remove(&id);
            let Some((_, mut held)) = held else { return Err(NoConnection::Unavailable) };
            let lease = |held| Lease {
                pools: self.clone(),
                worker: worker.clone(),
                id,
                held: Some(held),
                is_reused: true,
                used: false,
            };
            if held.connection.ready(&held.waker) {
                return Ok(lease(held));
            }
            // It ended a moment ago: the next one.
            lease(held).close(CloseReason::Peer);
        }
    }

    fn carry_out(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Open { worker, addr, id } => {
                    tokio::task::spawn_local(self.clone().connect(worker, addr, id));
                }
                Command::Close(id) => drop(self.idle.borrow_mut().remove(&id)),
                Command::Fail(waiter, why) => self.grant(waiter, Err(why)),
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

    async fn connect(self: Rc<Self>, worker: WorkerId, addr: SocketAddr, id: ConnectionId) {
        let opened = Connection::open(addr, self.connect.get()).await;
        let (now, mut commands) = (self.clock.now(), Vec::new());
        match opened {
            Ok(connection) => {
                let waker = wakeups::waker(&self.wakeups, id);
                let held = Held { connection, opened: now, waker };
                let placed = self.state.borrow_mut().opened(now, &worker, addr, id, &mut commands);
                self.placed(&placed, &worker, id, held, false);
            }
            Err(e) => self.state.borrow_mut().not_opened(now, &worker, why(&e), &mut commands),
        }
        self.carry_out(commands);
    }

    /// Takes back a connection that is not in use any more; `false`: its other end has closed it.
    fn take_back(self: &Rc<Self>, worker: &WorkerId, id: ConnectionId, mut held: Held) -> bool {
        let (now, mut commands) = (self.clock.now(), Vec::new());
        let lives = held.connection.ready(&held.waker);
        if lives {
            let placed = self.state.borrow_mut().released(now, worker, id, held.opened, &mut commands);
            self.placed(&placed, worker, id, held, true);
        } else {
            drop(held);
            self.state.borrow_mut().lost(now, worker, CloseReason::Peer, &mut commands);
        }
        self.carry_out(commands);
        lives
    }

    fn placed(
        self: &Rc<Self>,
        placed: &Placed,
        worker: &WorkerId,
        id: ConnectionId,
        mut held: Held,
        is_reused: bool,
    ) {
        match placed {
            Placed::Granted(waiter) => {
                let (pools, worker, held) = (self.clone(), worker.clone(), Some(held));
                self.grant(*waiter, Ok(Lease { pools, worker, id, held, is_reused, used: false }));
            }
            Placed::Idle => {
                // Polled since it was in use, so that its end is told.
                if is_reused || held.connection.ready(&held.waker) {
                    self.idle.borrow_mut().insert(id, (worker.clone(), held));
                } else {
                    self.state.borrow_mut().ended(worker, id);
                }
            }
            Placed::Closed => {}
        }
    }

    /// Looks at idle connections that were woken: all but a stray wake means their end.
    fn look_at_woken(&self) {
        for id in self.wakeups.take() {
            let mut idle = self.idle.borrow_mut();
            let Some((_, held)) = idle.get_mut(&id) else { continue };
            if held.connection.ready(&held.waker) {
                continue;
            }
            if let Some((worker, _)) = idle.remove(&id) {
                self.state.borrow_mut().ended(&worker, id);
            }
        }
    }

    // ---- The lists, and what holds for all ----

    fn change(self: &Rc<Self>, change: impl FnOnce(&mut PoolState, Time, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        change(&mut self.state.borrow_mut(), self.clock.now(), &mut commands);
        self.carry_out(commands);
    }

    /// What a list says of one worker.
    pub fn update_worker(
        self: &Rc<Self>,
        worker: &WorkerId,
        addr: Option<SocketAddr>,
        started: Time,
        wanted: bool,
        gone: bool,
    ) {
        self.change(|state, now, commands| {
            state.update_worker(now, worker, addr, started, (wanted, gone), commands);
        });
    }

    /// A whole list has come: those that it does not name are gone.
    pub fn retain_workers(self: &Rc<Self>, named: impl Fn(&str) -> bool) {
        self.change(|state, _, commands| state.retain_workers(named, commands));
    }

    /// Where a worker is, as far as it is known.
    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.state.borrow().addr(worker)
    }

    /// Where all known workers are.
    pub fn addrs(&self) -> BTreeMap<WorkerId, SocketAddr> {
        self.state.borrow().addrs().map(|(id, addr)| (id.clone(), addr)).collect()
    }

    /// Where workers are, by the process before this one.
    pub fn add_addresses(self: &Rc<Self>, addrs: &BTreeMap<WorkerId, SocketAddr>) {
        self.change(|state, now, _| addrs.iter().for_each(|(id, addr)| state.add_address(now, id, *addr)));
    }

    /// Other settings hold from now on, at once for what is idle.
    pub fn set_settings(self: &Rc<Self>, settings: Settings) {
        self.connect.set(settings.connect_timeout);
        self.change(|state, now, commands| state.set_settings(now, settings.of_state(), commands));
    }

    /// From now on `budget` connections at most; those beyond it end with their attempts.
    pub fn set_budget(self: &Rc<Self>, budget: usize) {
        self.change(|state, now, commands| state.set_budget(now, budget, commands));
    }

    /// Whether no connection is kept idle any more.
    pub fn set_idle_disabled(self: &Rc<Self>, none: bool) {
        self.change(|state, _, commands| state.set_idle_disabled(none, commands));
    }

    /// What holds for one worker beside the settings that hold for all. A worker that is not known yet is passed over.
    pub fn set_worker_limits(self: &Rc<Self>, worker: &str, limits: WorkerLimits) {
        self.change(|state, now, commands| state.set_worker_limits(now, worker, limits, commands));
    }

    /// Takes a worker out by hand, whatever the lists say, or puts it back.
    pub fn set_worker_disabled(self: &Rc<Self>, worker: &str, out: bool) {
        self.change(|state, _, commands| state.set_worker_disabled(worker, out, commands));
    }

    /// Closes idle connections that are due or that recent demand does not need. To be called about every second.
    pub fn sweep(self: &Rc<Self>) {
        self.change(state::PoolState::sweep);
    }

    /// Nothing came in time for what was sent at `sent`.
    pub fn request_timed_out(&self, worker: &str, sent: Time) {
        self.state.borrow_mut().request_timed_out(self.clock.now(), worker, sent);
    }

    /// Connections that are open or on their way.
    pub fn open(&self) -> usize {
        self.state.borrow().open()
    }

    /// Whether a free connection to `worker` is kept that may be used now.
    pub fn has_idle(&self, worker: &str) -> bool {
        self.state.borrow().has_idle(self.clock.now(), worker)
    }

    /// What stands where, as JSON.
    pub fn report(&self) -> String {
        report::json(self.open(), &self.state.borrow().views(self.clock.now()))
    }
}

fn why(e: &io::Error) -> NoConnection {
    match e.raw_os_error() {
        // Where all local ports to it are in use (EADDRNOTAVAIL), that, too, is a lack on this side.
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL) => {
            NoConnection::NoDescriptor
        }
        _ if e.kind() == ErrorKind::TimedOut => NoConnection::TimedOut,
        _ => NoConnection::Refused,
    }
}

/// Looks at idle connections whenever one is woken, as long as there are pools.
async fn watch_idle(pools: Weak<Pools>, wakeups: Arc<Wakeups>) {
    loop {
        wakeups.wait().await;
        let Some(pools) = pools.upgrade() else { return };
        pools.look_at_woken();
    }
}
