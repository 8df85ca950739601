//! Requests that need a connection, and the connection attempts started for them.

use super::{
    AcquireOutcome, CloseReason, Command, ConnectionId, MAX_CONNECTING_SHARE, NoConnection, PoolState, Time,
    WaiterId, WorkerId,
};

impl PoolState {
    /// Gets a connection to `worker` for a request: an idle one, or a place among the waiters.
    pub fn acquire(&mut self, now: Time, worker: &WorkerId, commands: &mut Vec<Command>) -> AcquireOutcome {
        let (idle_timeout, time_constant) = (self.settings.idle_timeout, self.demand_time_constant());
        let Some(pool) = self.pools.get_mut(worker) else {
            return AcquireOutcome::Failed(NoConnection::Unavailable);
        };
        if !pool.wanted || pool.disabled {
            // The worker became unavailable between the routing decision and this call.
            return AcquireOutcome::Failed(NoConnection::Unavailable);
        }
        if pool.suspect_since.is_none() {
            // Uses the most recently used connection first, so that the surplus ones stay idle and are closed.
            while let Some(idle) = pool.idle.pop() {
                if now - idle.idle_since < pool.idle_timeout(idle_timeout) {
                    pool.counts.reused += 1;
                    pool.mark_one_used(now, time_constant);
                    return AcquireOutcome::Use(idle.id);
                }
                pool.count_close(CloseReason::IdleTimeout);
                self.open -= 1;
                commands.push(Command::Close(idle.id));
            }
        }
        self.last_id += 1;
        let waiter = WaiterId(self.last_id);
        pool.waiters.push_back(waiter);
        match self.open_for_waiters(now, worker, commands) {
            Some(reason) => {
                if let Some(pool) = self.pools.get_mut(worker) {
                    pool.waiters.retain(|queued| *queued != waiter);
                }
                AcquireOutcome::Failed(reason)
            }
            None => AcquireOutcome::Wait(waiter),
        }
    }

    /// Starts connection attempts until there is one for each waiter or a limit is reached. Returns the limit if the
    /// worker has no connection in use or being established that the waiters could get.
    pub(super) fn open_for_waiters(
        &mut self,
        now: Time,
        worker: &WorkerId,
        commands: &mut Vec<Command>,
    ) -> Option<NoConnection> {
        let max_connecting = ((self.budget as f64 * MAX_CONNECTING_SHARE) as usize).max(1);
        loop {
            let pool = self.pools.get(worker)?;
            if pool.waiters.len() <= pool.connecting as usize {
                return None;
            }
            let is_limited = !pool.may_open(now);
            let is_exhausted = !is_limited
                && (self.connecting >= max_connecting
                    || self.open >= self.budget && !self.close_lowest_ranked_idle(now, commands));
            let pool = self.pools.get_mut(worker)?;
            if is_limited || is_exhausted {
                let can_wait = pool.in_use + pool.connecting > 0;
                return (!can_wait).then_some(if is_limited {
                    NoConnection::LimitReached
                } else {
                    NoConnection::NoDescriptor
                });
            }
            pool.connecting += 1;
            self.connecting += 1;
            self.open += 1;
            self.last_id += 1;
            let id = ConnectionId(self.last_id);
            commands.push(Command::Open { worker: worker.clone(), addr: pool.addr, id });
        }
    }

    /// As [`PoolState::open_for_waiters`], but fails the waiters if no connection can be expected. To be called after
    /// the loss of a connection that they may have waited for.
    pub(super) fn open_for_waiters_or_fail(
        &mut self,
        now: Time,
        worker: &WorkerId,
        commands: &mut Vec<Command>,
    ) {
        if let Some(reason) = self.open_for_waiters(now, worker, commands)
            && let Some(pool) = self.pools.get_mut(worker)
        {
            commands.extend(pool.waiters.drain(..).map(|waiter| Command::Fail(waiter, reason)));
        }
    }

    /// Returns why a request has waited for a connection to `worker` for longer than the connect time-out.
    pub fn wait_timeout_reason(&self, worker: &str) -> NoConnection {
        let is_connecting = self.pools.get(worker).is_some_and(|pool| pool.connecting > 0);
        if is_connecting { NoConnection::TimedOut } else { NoConnection::LimitReached }
    }

    /// Removes a waiter.
    pub fn cancel_waiter(&mut self, worker: &str, waiter: WaiterId) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.waiters.retain(|queued| *queued != waiter);
        }
    }
}
