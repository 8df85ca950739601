//! The state of all pools, without I/O. Its methods take events with their time and return commands to open or close
//! connections. The caller owns the connections, which are identified by numbers here.

mod connects;
mod idle;
mod listing;
mod outcomes;
#[cfg(test)]
mod tests;
mod types;
mod worker;

pub use types::{
    AcquireOutcome, CloseReason, Command, ConnectionId, Counts, NoConnection, Placement, PoolSettings, View,
    WaiterId, WorkerLimits,
};

use crate::{WorkerId, clock::Time};
use fnv::FnvHashMap;
use std::net::SocketAddr;
use worker::{
    DEMAND_TIME_CONSTANT_SHARE, IdleConnection, MAX_CONNECTING_SHARE, SURPLUS_CLOSE_SHARES, UNBOUNDED,
    WorkerPool,
};

/// The state of the pools of all workers.
pub struct PoolState {
    pools: FnvHashMap<WorkerId, WorkerPool>,
    settings: PoolSettings,
    /// Maximum number of connections in all, connection attempts included.
    budget: usize,
    /// Connections that are open or being established.
    open: usize,
    /// Connections that are being established.
    connecting: usize,
    /// Released connections are closed instead of kept idle.
    idle_disabled: bool,
    /// Last number given to a connection or a waiter.
    last_id: u64,
    rng: fastrand::Rng,
}

impl PoolState {
    /// Creates the state for at most `budget` connections, connection attempts included.
    pub fn new(budget: usize, settings: PoolSettings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let pools = FnvHashMap::default();
        Self { pools, settings, budget, open: 0, connecting: 0, idle_disabled: false, last_id: 0, rng }
    }

    /// Returns the number of connections that are open or being established.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the address of a worker.
    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.pools.get(worker).map(|pool| pool.addr)
    }

    /// Returns the addresses of all workers.
    pub fn addrs(&self) -> impl Iterator<Item = (&WorkerId, SocketAddr)> {
        self.pools.iter().map(|(id, pool)| (id, pool.addr))
    }

    /// Returns the time constant, in seconds, with which the peak of connections in use decays.
    fn demand_time_constant(&self) -> f64 {
        (self.settings.idle_timeout * DEMAND_TIME_CONSTANT_SHARE).max(1e-3)
    }

    /// Returns the state of all pools, ordered by their number of connections from most to fewest.
    pub fn views(&self, now: Time) -> Vec<View> {
        let view = |(id, pool): (&WorkerId, &WorkerPool)| View {
            worker: id.clone(),
            addr: pool.addr,
            wanted: pool.wanted,
            suspect: pool.suspect_since.is_some(),
            idle: pool.idle.len(),
            in_use: pool.in_use,
            connecting: pool.connecting,
            waiting: pool.waiters.len(),
            bound: Some(pool.bound(now)).filter(|b| *b < UNBOUNDED),
            counts: pool.counts,
        };
        let mut views: Vec<View> = self.pools.iter().map(view).collect();
        let connections = |v: &View| v.idle + (v.in_use + v.connecting) as usize;
        views.sort_by(|a, b| connections(b).cmp(&connections(a)).then_with(|| a.worker.cmp(&b.worker)));
        views
    }
}
