//! The state of all pools, without I/O: what happens goes in with its time, what is to be opened or closed
//! comes out. Whoever carries that out holds the connections; here they are numbers.

mod connects;
mod idle;
mod listing;
mod outcomes;
#[cfg(test)]
mod tests;
mod types;
mod worker;

pub use types::{
    Asked, CloseReason, Command, ConnectionId, Counts, NoConnection, Placed, PoolSettings, View, WaiterId,
    WorkerLimits,
};

use crate::{WorkerId, clock::Time};
use fnv::FnvHashMap;
use std::net::SocketAddr;
use worker::{CONNECTING_SHARE, DEMAND_MEMORY, EARLY, Idle, UNBOUND, WorkerPool};

/// The state of the pools of all workers.
pub struct PoolState {
    pools: FnvHashMap<WorkerId, WorkerPool>,
    limits: PoolSettings,
    budget: usize,
    open: usize,
    connecting: usize,
    /// None is kept idle.
    none: bool,
    numbers: u64,
    rng: fastrand::Rng,
}

impl PoolState {
    /// `budget` connections at most, those under way included.
    pub fn new(budget: usize, limits: PoolSettings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let pools = FnvHashMap::default();
        Self { pools, limits, budget, open: 0, connecting: 0, none: false, numbers: 0, rng }
    }

    /// Connections that are open or on their way.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Where a worker is.
    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.pools.get(worker).map(|p| p.addr)
    }

    /// Where all workers are.
    pub fn addrs(&self) -> impl Iterator<Item = (&WorkerId, SocketAddr)> {
        self.pools.iter().map(|(id, p)| (id, p.addr))
    }

    fn memory(&self) -> f64 {
        (self.limits.keep * DEMAND_MEMORY).max(1e-3)
    }

    /// All pools, those with most connections first.
    pub fn views(&self, now: Time) -> Vec<View> {
        let view = |(id, p): (&WorkerId, &WorkerPool)| View {
            worker: id.clone(),
            addr: p.addr,
            wanted: p.wanted,
            suspect: p.suspect.is_some(),
            idle: p.idle.len(),
            in_use: p.in_use,
            connecting: p.connecting,
            waiting: p.waiters.len(),
            bound: Some(p.bound(now)).filter(|b| *b < UNBOUND),
            counts: p.counts,
        };
        let mut views: Vec<View> = self.pools.iter().map(view).collect();
        let held = |v: &View| v.idle + (v.in_use + v.connecting) as usize;
        views.sort_by(|a, b| held(b).cmp(&held(a)).then_with(|| a.worker.cmp(&b.worker)));
        views
    }
}
