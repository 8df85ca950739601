//! Closing of idle connections.

use super::{CloseReason, Command, IdleConnection, PoolState, Time, WorkerId, WorkerPool};

impl PoolState {
    /// Whether an idle connection to a worker can be used at once.
    pub fn has_idle(&self, now: Time, worker: &str) -> bool {
        let Some(pool) = self.pools.get(worker) else { return false };
        let idle_timeout = pool.idle_timeout(self.settings.idle_timeout);
        pool.suspect_since.is_none()
            && pool.idle.last().is_some_and(|idle| now - idle.idle_since < idle_timeout)
    }

    /// Closes all idle connections to one worker.
    pub fn close_idle(&mut self, worker: &str, commands: &mut Vec<Command>) {
        self.close_idle_where(worker, commands, |_, _| Some(CloseReason::Unwanted));
    }

    /// Closes the idle connections to one worker for which `reason` returns a reason.
    pub(super) fn close_idle_where(
        &mut self,
        worker: &str,
        commands: &mut Vec<Command>,
        reason: impl Fn(&WorkerPool, &IdleConnection) -> Option<CloseReason>,
    ) {
        let Some(pool) = self.pools.get_mut(worker) else { return };
        let mut index = 0;
        while index < pool.idle.len() {
            let Some(reason) = reason(pool, &pool.idle[index]) else {
                index += 1;
                continue;
            };
            let idle = pool.idle.remove(index);
            pool.count_close(reason);
            self.open -= 1;
            commands.push(Command::Close(idle.id));
        }
    }

    /// Closes idle connections that have reached their idle time-out or that recent demand does not need, and removes
    /// the empty pools of workers that have left the fleet.
    pub fn sweep(&mut self, now: Time, commands: &mut Vec<Command>) {
        let (idle_timeout, time_constant) = (self.settings.idle_timeout, self.demand_time_constant());
        let workers: Vec<WorkerId> =
            self.pools.iter().filter(|(_, pool)| !pool.idle.is_empty()).map(|(id, _)| id.clone()).collect();
        for worker in workers {
            self.close_idle_where(&worker, commands, |pool, idle| {
                // With a bound below one, a connection may be open for that share of the time only.
                let idle_timeout = pool.idle_timeout(idle_timeout) * pool.bound(now).min(1.0);
                let needed = pool.peak(now, time_constant).ceil().max(1.0);
                if now - idle.idle_since >= idle_timeout {
                    Some(CloseReason::IdleTimeout)
                } else {
                    (now >= idle.surplus_close_at && pool.connections() as f64 > needed)
                        .then_some(CloseReason::Surplus)
                }
            });
        }
        self.pools.retain(|_, pool| !pool.gone || pool.connections() > 0 || !pool.waiters.is_empty());
    }

    /// Closes the idle connection with the lowest rank: first those of workers that may not receive requests, then
    /// those that recent demand does not need, and among these the one that has been idle longest. Returns `false` if
    /// no connection is idle.
    pub(super) fn close_lowest_ranked_idle(&mut self, now: Time, commands: &mut Vec<Command>) -> bool {
        let time_constant = self.demand_time_constant();
        let rank = |(worker, pool): (&WorkerId, &WorkerPool)| {
            let oldest = pool.idle.first()?;
            let needed = pool.suspect_since.is_none()
                && pool.connections() as f64 <= pool.peak(now, time_constant).ceil();
            Some((pool.wanted, needed, oldest.idle_since, worker.clone()))
        };
        let lowest_ranked =
            self.pools.iter().filter_map(rank).min_by(|a, b| {
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then_with(|| a.3.cmp(&b.3))
            });
        let Some(pool) = lowest_ranked.and_then(|(_, _, _, worker)| self.pools.get_mut(&worker)) else {
            return false;
        };
        let idle = pool.idle.remove(0);
        pool.count_close(CloseReason::DescriptorPressure);
        self.open -= 1;
        commands.push(Command::Close(idle.id));
        true
    }
}
