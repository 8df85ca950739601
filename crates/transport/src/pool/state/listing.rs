//! Updates from worker lists, from operators and from the settings.

use super::{
    CloseReason, Command, PoolSettings, PoolState, SocketAddr, Time, UNBOUNDED, WorkerId, WorkerLimits,
    WorkerPool,
};

impl PoolState {
    /// Updates one worker from a worker list: its address, when it started, whether it may receive requests, and
    /// whether it has left the fleet.
    pub fn update_worker(
        &mut self,
        now: Time,
        worker: &WorkerId,
        addr: Option<SocketAddr>,
        started_at: Time,
        (wanted, is_gone): (bool, bool),
        commands: &mut Vec<Command>,
    ) {
        let pool = match (self.pools.get_mut(worker), addr) {
            (Some(pool), _) => pool,
            (None, Some(addr)) => self.pools.entry(worker.clone()).or_insert(WorkerPool::new(addr, now)),
            (None, None) => return,
        };
        (pool.wanted, pool.gone) = (wanted, is_gone);
        let mut valid_since = pool.valid_since.max(started_at.min(now));
        let restarted = valid_since > pool.valid_since;
        if let Some(addr) = addr.filter(|addr| *addr != pool.addr) {
            // The connections from before lead to another process.
            (pool.addr, valid_since) = (addr, now);
        }
        if valid_since > pool.valid_since {
            let is_first_start = pool.valid_since == f64::NEG_INFINITY && pool.connections() == 0;
            pool.valid_since = valid_since;
            if !is_first_start {
                (pool.bound, pool.no_open_before, pool.suspect_since) = (UNBOUNDED, f64::NEG_INFINITY, None);
            }
            if restarted {
                // The waiting requests were routed by the load of the earlier incarnation.
                pool.fail_waiters(commands);
            }
        }
        if wanted {
            self.close_idle_where(worker, commands, |pool, idle| {
                (idle.opened_at < pool.valid_since).then_some(CloseReason::WorkerChanged)
            });
        } else {
            self.stop_using(worker, commands);
        }
    }

    /// Closes a worker's idle connections and fails its waiters, which are routed again. If they stayed, a connection
    /// that is established late would send their requests to the worker long after it stopped being available.
    pub(super) fn stop_using(&mut self, worker: &str, commands: &mut Vec<Command>) {
        self.close_idle(worker, commands);
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.fail_waiters(commands));
    }

    /// Sets the limits of one worker, which apply in addition to the common settings.
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

    /// Disables a worker on an operator's request, or enables it again.
    pub fn set_worker_disabled(&mut self, worker: &str, disabled: bool, commands: &mut Vec<Command>) {
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.disabled = disabled);
        if disabled {
            self.stop_using(worker, commands);
        }
    }

    /// Applies a complete worker list: workers for which `is_listed` returns `false` have left the fleet.
    pub fn retain_workers(&mut self, is_listed: impl Fn(&str) -> bool, commands: &mut Vec<Command>) {
        let unlisted: Vec<WorkerId> = self.pools.keys().filter(|id| !is_listed(id)).cloned().collect();
        for worker in unlisted {
            if let Some(pool) = self.pools.get_mut(&worker) {
                (pool.wanted, pool.gone) = (false, true);
            }
            self.stop_using(&worker, commands);
        }
    }

    /// Adds a worker that no list has named yet.
    pub fn add_address(&mut self, now: Time, worker: &WorkerId, addr: SocketAddr) {
        self.pools.entry(worker.clone()).or_insert_with(|| WorkerPool::new(addr, now));
    }

    /// Replaces the settings and closes idle connections that exceed the new idle time-out.
    pub fn set_settings(&mut self, now: Time, settings: PoolSettings, commands: &mut Vec<Command>) {
        self.settings = settings;
        self.sweep(now, commands);
    }

    /// Sets the maximum number of connections. Idle connections beyond it are closed at once, those in use when they
    /// are released.
    pub fn set_budget(&mut self, now: Time, budget: usize, commands: &mut Vec<Command>) {
        self.budget = budget;
        while self.open > self.budget && self.close_lowest_ranked_idle(now, commands) {}
    }

    /// Sets whether released connections are closed instead of kept idle. Disabling closes all idle connections.
    pub fn set_idle_disabled(&mut self, disabled: bool, commands: &mut Vec<Command>) {
        self.idle_disabled = disabled;
        if disabled {
            let workers: Vec<WorkerId> = self.pools.keys().cloned().collect();
            for worker in &workers {
                self.close_idle(worker, commands);
            }
        }
    }
}
