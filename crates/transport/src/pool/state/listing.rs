//! What lists say of workers, and what holds for all pools.

use super::{
    CloseReason, Command, PoolSettings, PoolState, SocketAddr, Time, UNBOUND, WorkerId, WorkerLimits,
    WorkerPool,
};

impl PoolState {
    /// What a list says of one worker: where it is, when it started, and whether it may be sent to.
    pub fn update_worker(
        &mut self,
        now: Time,
        worker: &WorkerId,
        addr: Option<SocketAddr>,
        started: Time,
        (wanted, gone): (bool, bool),
        commands: &mut Vec<Command>,
    ) {
        let pool = match (self.pools.get_mut(worker), addr) {
            (Some(pool), _) => pool,
            (None, Some(addr)) => self.pools.entry(worker.clone()).or_insert(WorkerPool::new(addr, now)),
            (None, None) => return,
        };
        (pool.wanted, pool.gone) = (wanted, gone);
        let mut born = pool.born.max(started.min(now));
        let anew = born > pool.born;
        if let Some(addr) = addr.filter(|addr| *addr != pool.addr) {
            // Whoever is there now is not who was there before.
            (pool.addr, born) = (addr, now);
        }
        if born > pool.born {
            let unheard = pool.born == f64::NEG_INFINITY && pool.held() == 0;
            pool.born = born;
            if !unheard {
                (pool.bound, pool.pause, pool.suspect) = (UNBOUND, f64::NEG_INFINITY, None);
            }
            if anew {
                // It was chosen for what the old one bore.
                pool.fail_waiters(commands);
            }
        }
        if wanted {
            self.close_where(worker, commands, |pool, idle| {
                (idle.opened < pool.born).then_some(CloseReason::Changed)
            });
        } else {
            self.turn_away(worker, commands);
        }
    }

    /// Nothing new may go to a worker: what is idle closes, and who waits goes elsewhere, as a connection that comes up
    /// late would carry it there long after this.
    pub(super) fn turn_away(&mut self, worker: &str, commands: &mut Vec<Command>) {
        self.close_idle(worker, commands);
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.fail_waiters(commands));
    }

    /// What holds for one worker beside the settings that hold for all.
    pub fn set_worker_limits(
        &mut self,
        now: Time,
        worker: &str,
        limits: WorkerLimits,
        commands: &mut Vec<Command>,
    ) {
        let Some(pool) = self.pools.get_mut(worker).filter(|pool| pool.limits != limits) else { return };
        pool.limits = limits;
        self.sweep(now, commands);
    }

    /// Takes a worker out by hand, or puts it back.
    pub fn set_worker_disabled(&mut self, worker: &str, out: bool, commands: &mut Vec<Command>) {
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.aside = out);
        if out {
            self.turn_away(worker, commands);
        }
    }

    /// A whole list has come: those that it does not name are gone.
    pub fn retain_workers(&mut self, named: impl Fn(&str) -> bool, commands: &mut Vec<Command>) {
        let unnamed: Vec<WorkerId> = self.pools.keys().filter(|id| !named(id)).cloned().collect();
        for worker in unnamed {
            if let Some(pool) = self.pools.get_mut(&worker) {
                (pool.wanted, pool.gone) = (false, true);
            }
            self.turn_away(&worker, commands);
        }
    }

    /// Where a worker is that no list has named yet.
    pub fn add_address(&mut self, now: Time, worker: &WorkerId, addr: SocketAddr) {
        self.pools.entry(worker.clone()).or_insert_with(|| WorkerPool::new(addr, now));
    }

    pub fn set_settings(&mut self, now: Time, limits: PoolSettings, commands: &mut Vec<Command>) {
        self.limits = limits;
        self.sweep(now, commands);
    }

    /// From now on `budget` connections at most: idle ones go at once, those in use as they end.
    pub fn set_budget(&mut self, now: Time, budget: usize, commands: &mut Vec<Command>) {
        self.budget = budget;
        while self.open > self.budget && self.close_least_useful(now, commands) {}
    }

    /// Whether no connection is kept idle any more.
    pub fn set_idle_disabled(&mut self, none: bool, commands: &mut Vec<Command>) {
        self.none = none;
        if none {
            let workers: Vec<WorkerId> = self.pools.keys().cloned().collect();
            for worker in &workers {
                self.close_idle(worker, commands);
            }
        }
    }
}
