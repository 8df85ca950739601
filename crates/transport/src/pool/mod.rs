//! Connection pools, one for each worker. [`Pools`] owns the sockets and executes the commands of `state::PoolState`,
//! which makes the decisions without I/O.

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
use state::{
    AcquireOutcome, CloseReason, Command, ConnectionId, Placement, PoolSettings, PoolState, WaiterId,
};
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

/// Seconds before a worker's idle time-out at which this side closes an idle connection. A request that is sent while
/// the worker closes the connection would be lost.
const CLOSE_MARGIN_S: f64 = 2.0;

/// Settings of the connections to all workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Seconds after which a worker closes an idle connection.
    pub worker_idle_timeout: f64,
    /// Number of gatekeepers that share the connections which a worker accepts. The lowest bound that is learned for a
    /// worker without capacity is one connection divided by this number.
    pub gateway_count: u32,
    /// Time-out of a connection attempt, and of a request's wait for a connection.
    pub connect_timeout: Duration,
}

impl Settings {
    fn for_state(&self) -> PoolSettings {
        let idle_timeout = (self.worker_idle_timeout - CLOSE_MARGIN_S).max(self.worker_idle_timeout / 2.0);
        PoolSettings { idle_timeout, gateway_count: self.gateway_count }
    }
}

/// An established connection of a pool.
struct PooledConnection {
    connection: Connection,
    /// When the connection was established.
    opened_at: Time,
    /// Registers this connection in [`Wakeups`] when its socket has an event while it is idle.
    waker: Waker,
}

/// A request's wait for a connection. Dropping it cancels the wait.
struct WaiterGuard<'a> {
    pools: &'a Pools,
    worker: &'a WorkerId,
    id: WaiterId,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.pools.waiters.borrow_mut().remove(&self.id);
        self.pools.state.borrow_mut().cancel_waiter(self.worker, self.id);
    }
}

type Grant = Result<Lease, NoConnection>;

/// The pools of connections to all workers.
pub struct Pools {
    state: RefCell<PoolState>,
    clock: Clock,
    idle: RefCell<FnvHashMap<ConnectionId, (WorkerId, PooledConnection)>>,
    waiters: RefCell<FnvHashMap<WaiterId, oneshot::Sender<Grant>>>,
    wakeups: Arc<Wakeups>,
    connect_timeout: Cell<Duration>,
}

impl Pools {
    /// Creates pools with at most `budget` connections in all, and starts the task that watches idle connections. Has
    /// to run inside a local task set.
    #[must_use]
    pub fn new(budget: usize, settings: Settings, clock: Clock, seed: u64) -> Rc<Self> {
        let pools = Rc::new(Self {
            state: RefCell::new(PoolState::new(budget, settings.for_state(), seed)),
            clock,
            idle: RefCell::default(),
            waiters: RefCell::default(),
            wakeups: Arc::default(),
            connect_timeout: Cell::new(settings.connect_timeout),
        });
        tokio::task::spawn_local(watch_idle_connections(Rc::downgrade(&pools), pools.wakeups.clone()));
        pools
    }

    /// Waits for a connection to `worker`, at most for the connect time-out. Nothing of the request has been sent on
    /// it.
    ///
    /// # Errors
    /// Why no connection is available.
    pub async fn lease(self: &Rc<Self>, worker: &WorkerId) -> Grant {
        loop {
            let mut commands = Vec::new();
            let outcome = self.state.borrow_mut().acquire(self.clock.now(), worker, &mut commands);
            // Registered before the commands are executed, so that a failure among them reaches this waiter.
            let waiter = if let AcquireOutcome::Wait(id) = outcome {
                let (grant, granted) = oneshot::channel();
                self.waiters.borrow_mut().insert(id, grant);
                Some((WaiterGuard { pools: self, worker, id }, granted))
            } else {
                None
            };
            self.execute(commands);
            let id = match (outcome, waiter) {
                (AcquireOutcome::Failed(reason), _) => return Err(reason),
                (AcquireOutcome::Use(id), _) => id,
                (AcquireOutcome::Wait(_), Some((_waiting, granted))) => {
                    return match tokio::time::timeout(self.connect_timeout.get(), granted).await {
                        Ok(grant) => grant.unwrap_or(Err(NoConnection::Unavailable)),
                        Err(_) => Err(self.state.borrow().wait_timeout_reason(worker)),
                    };
                }
                (AcquireOutcome::Wait(_), None) => return Err(NoConnection::Unavailable),
            };
            let pooled = self.idle.borrow_mut().remove(&id);
            let Some((_, mut pooled)) = pooled else { return Err(NoConnection::Unavailable) };
            let lease = |pooled| Lease {
                pools: self.clone(),
                worker: worker.clone(),
                id,
                pooled: Some(pooled),
                is_reused: true,
                used: false,
            };
            if pooled.connection.ready(&pooled.waker) {
                return Ok(lease(pooled));
            }
            // The worker has just closed this connection: try the next one.
            lease(pooled).close(CloseReason::ClosedByPeer);
        }
    }

    fn execute(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Open { worker, addr, id } => {
                    tokio::task::spawn_local(self.clone().connect(worker, addr, id));
                }
                Command::Close(id) => drop(self.idle.borrow_mut().remove(&id)),
                Command::Fail(waiter, reason) => self.grant(waiter, Err(reason)),
            }
        }
    }

    /// Passes a connection or a failure to a waiter. If the waiter is gone, the lease is dropped, which returns its
    /// connection to the pool.
    fn grant(&self, waiter: WaiterId, grant: Grant) {
        let sender = self.waiters.borrow_mut().remove(&waiter);
        if let Some(sender) = sender {
            drop(sender.send(grant));
        }
    }

    async fn connect(self: Rc<Self>, worker: WorkerId, addr: SocketAddr, id: ConnectionId) {
        let result = Connection::open(addr, self.connect_timeout.get()).await;
        let (now, mut commands) = (self.clock.now(), Vec::new());
        match result {
            Ok(connection) => {
                let waker = wakeups::waker(&self.wakeups, id);
                let pooled = PooledConnection { connection, opened_at: now, waker };
                let placement =
                    self.state.borrow_mut().connect_succeeded(now, &worker, addr, id, &mut commands);
                self.apply_placement(&placement, &worker, id, pooled, false);
            }
            Err(error) => self.state.borrow_mut().connect_failed(
                now,
                &worker,
                connect_error_reason(&error),
                &mut commands,
            ),
        }
        self.execute(commands);
    }

    /// Returns a connection to its pool after use. Returns `false` if the worker has closed it.
    fn return_connection(
        self: &Rc<Self>,
        worker: &WorkerId,
        id: ConnectionId,
        mut pooled: PooledConnection,
    ) -> bool {
        let (now, mut commands) = (self.clock.now(), Vec::new());
        let is_alive = pooled.connection.ready(&pooled.waker);
        if is_alive {
            let placement =
                self.state.borrow_mut().released(now, worker, id, pooled.opened_at, &mut commands);
            self.apply_placement(&placement, worker, id, pooled, true);
        } else {
            drop(pooled);
            self.state.borrow_mut().connection_lost(now, worker, CloseReason::ClosedByPeer, &mut commands);
        }
        self.execute(commands);
        is_alive
    }

    fn apply_placement(
        self: &Rc<Self>,
        placement: &Placement,
        worker: &WorkerId,
        id: ConnectionId,
        mut pooled: PooledConnection,
        is_reused: bool,
    ) {
        match placement {
            Placement::Granted(waiter) => {
                let (pools, worker, pooled) = (self.clone(), worker.clone(), Some(pooled));
                self.grant(*waiter, Ok(Lease { pools, worker, id, pooled, is_reused, used: false }));
            }
            Placement::Idle => {
                // A reused connection was polled with its waker by the caller. A new one is polled here, so that its
                // end wakes the watching task.
                if is_reused || pooled.connection.ready(&pooled.waker) {
                    self.idle.borrow_mut().insert(id, (worker.clone(), pooled));
                } else {
                    self.state.borrow_mut().idle_closed(worker, id);
                }
            }
            Placement::Closed => {}
        }
    }

    /// Polls the idle connections that were woken, and removes those that can no longer carry a request.
    fn check_woken(&self) {
        for id in self.wakeups.take() {
            let mut idle = self.idle.borrow_mut();
            let Some((_, pooled)) = idle.get_mut(&id) else { continue };
            if pooled.connection.ready(&pooled.waker) {
                continue;
            }
            if let Some((worker, _)) = idle.remove(&id) {
                self.state.borrow_mut().idle_closed(&worker, id);
            }
        }
    }

    fn update(self: &Rc<Self>, update: impl FnOnce(&mut PoolState, Time, &mut Vec<Command>)) {
        let mut commands = Vec::new();
        update(&mut self.state.borrow_mut(), self.clock.now(), &mut commands);
        self.execute(commands);
    }

    /// Updates one worker from a worker list: its address, when it started, whether it may receive requests (`wanted`),
    /// and whether it has left the fleet (`is_gone`).
    pub fn update_worker(
        self: &Rc<Self>,
        worker: &WorkerId,
        addr: Option<SocketAddr>,
        started_at: Time,
        wanted: bool,
        is_gone: bool,
    ) {
        self.update(|state, now, commands| {
            state.update_worker(now, worker, addr, started_at, (wanted, is_gone), commands);
        });
    }

    /// Applies a complete worker list: workers for which `is_listed` returns `false` have left the fleet.
    pub fn retain_workers(self: &Rc<Self>, is_listed: impl Fn(&str) -> bool) {
        self.update(|state, _, commands| state.retain_workers(is_listed, commands));
    }

    /// Returns the address of a worker, if it is known.
    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.state.borrow().addr(worker)
    }

    /// Returns the addresses of all known workers.
    pub fn addrs(&self) -> BTreeMap<WorkerId, SocketAddr> {
        self.state.borrow().addrs().map(|(id, addr)| (id.clone(), addr)).collect()
    }

    /// Adds workers whose addresses the previous process has handed over.
    pub fn add_addresses(self: &Rc<Self>, addrs: &BTreeMap<WorkerId, SocketAddr>) {
        self.update(|state, now, _| addrs.iter().for_each(|(id, addr)| state.add_address(now, id, *addr)));
    }

    /// Replaces the settings. A shorter idle time-out applies at once to idle connections.
    pub fn set_settings(self: &Rc<Self>, settings: Settings) {
        self.connect_timeout.set(settings.connect_timeout);
        self.update(|state, now, commands| state.set_settings(now, settings.for_state(), commands));
    }

    /// Sets the maximum number of connections. Idle connections beyond it are closed at once, those in use when they
    /// are released.
    pub fn set_budget(self: &Rc<Self>, budget: usize) {
        self.update(|state, now, commands| state.set_budget(now, budget, commands));
    }

    /// Sets whether released connections are closed instead of kept idle. Disabling closes all idle connections.
    pub fn set_idle_disabled(self: &Rc<Self>, disabled: bool) {
        self.update(|state, _, commands| state.set_idle_disabled(disabled, commands));
    }

    /// Sets the limits of one worker, which apply in addition to the common settings. Has no effect for an unknown
    /// worker.
    pub fn set_worker_limits(self: &Rc<Self>, worker: &str, limits: WorkerLimits) {
        self.update(|state, now, commands| state.set_worker_limits(now, worker, limits, commands));
    }

    /// Disables a worker on an operator's request, independently of the worker lists, or enables it again.
    pub fn set_worker_disabled(self: &Rc<Self>, worker: &str, disabled: bool) {
        self.update(|state, _, commands| state.set_worker_disabled(worker, disabled, commands));
    }

    /// Closes idle connections that have reached their idle time-out or that recent demand does not need. To be called
    /// about once a second.
    pub fn sweep(self: &Rc<Self>) {
        self.update(state::PoolState::sweep);
    }

    /// Records that a request sent to `worker` at `sent_at` had no response in time.
    pub fn request_timed_out(&self, worker: &str, sent_at: Time) {
        self.state.borrow_mut().request_timed_out(self.clock.now(), worker, sent_at);
    }

    /// Returns the number of connections that are open or being established.
    pub fn open(&self) -> usize {
        self.state.borrow().open()
    }

    /// Whether an idle connection to `worker` can be used at once.
    pub fn has_idle(&self, worker: &str) -> bool {
        self.state.borrow().has_idle(self.clock.now(), worker)
    }

    /// Returns the state of the pools as JSON.
    pub fn report(&self) -> String {
        report::json(self.open(), &self.state.borrow().views(self.clock.now()))
    }
}

/// Classifies the error of a connection attempt.
fn connect_error_reason(error: &io::Error) -> NoConnection {
    match error.raw_os_error() {
        // EADDRNOTAVAIL means that all local ports for this address are in use, which is a shortage of this process
        // too.
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL) => {
            NoConnection::NoDescriptor
        }
        _ if error.kind() == ErrorKind::TimedOut => NoConnection::TimedOut,
        _ => NoConnection::Refused,
    }
}

/// Checks idle connections whenever one is woken, until the pools are dropped.
async fn watch_idle_connections(pools: Weak<Pools>, wakeups: Arc<Wakeups>) {
    loop {
        wakeups.wait().await;
        let Some(pools) = pools.upgrade() else { return };
        pools.check_woken();
    }
}
