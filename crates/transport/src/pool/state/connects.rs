//! Requests that need a connection, and the connects begun for them.

use super::{
    Asked, CONNECTING_SHARE, CloseReason, Command, ConnectionId, NoConnection, PoolState, Time, WaiterId,
    WorkerId,
};

impl PoolState {
    /// A request needs a connection to `worker`.
    pub fn ask(&mut self, now: Time, worker: &WorkerId, commands: &mut Vec<Command>) -> Asked {
        let (keep, memory) = (self.limits.keep, self.memory());
        let Some(pool) = self.pools.get_mut(worker) else { return Asked::No(NoConnection::Unavailable) };
        if !pool.wanted || pool.aside {
            // It was told between the decision and this.
            return Asked::No(NoConnection::Unavailable);
        }
        if pool.suspect.is_none() {
            // The one used last first: the rest stay idle and go.
            while let Some(idle) = pool.idle.pop() {
                if now - idle.since < pool.keep(keep) {
                    pool.counts.reused += 1;
                    pool.use_one(now, memory);
                    return Asked::Use(idle.id);
                }
                pool.close(CloseReason::Aged);
                self.open -= 1;
                commands.push(Command::Close(idle.id));
            }
        }
        self.numbers += 1;
        let waiter = WaiterId(self.numbers);
        pool.waiters.push_back(waiter);
        match self.open_needed(now, worker, commands) {
            Some(why) => {
                if let Some(pool) = self.pools.get_mut(worker) {
                    pool.waiters.retain(|w| *w != waiter);
                }
                Asked::No(why)
            }
            None => Asked::Wait(waiter),
        }
    }

    /// Begins connects, as many as wait and may be; `Some`: there is nothing that who waits could wait for.
    pub(super) fn open_needed(
        &mut self,
        now: Time,
        worker: &WorkerId,
        commands: &mut Vec<Command>,
    ) -> Option<NoConnection> {
        let most = ((self.budget as f64 * CONNECTING_SHARE) as usize).max(1);
        loop {
            let pool = self.pools.get(worker)?;
            if pool.waiters.len() <= pool.connecting as usize {
                return None;
            }
            let bound = !pool.may_open(now);
            let short = !bound
                && (self.connecting >= most
                    || self.open >= self.budget && !self.close_least_useful(now, commands));
            let pool = self.pools.get_mut(worker)?;
            if bound || short {
                let hope = pool.in_use + pool.connecting > 0;
                return (!hope).then_some(if bound {
                    NoConnection::LimitReached
                } else {
                    NoConnection::NoDescriptor
                });
            }
            pool.connecting += 1;
            self.connecting += 1;
            self.open += 1;
            self.numbers += 1;
            let id = ConnectionId(self.numbers);
            commands.push(Command::Open { worker: worker.clone(), addr: pool.addr, id });
        }
    }

    /// As [`PoolState::open_needed`], where a connection has gone that somebody may have waited for.
    pub(super) fn open_needed_or_fail(&mut self, now: Time, worker: &WorkerId, commands: &mut Vec<Command>) {
        if let Some(why) = self.open_needed(now, worker, commands)
            && let Some(pool) = self.pools.get_mut(worker)
        {
            commands.extend(pool.waiters.drain(..).map(|w| Command::Fail(w, why)));
        }
    }

    /// Why somebody waits for a connection to `worker` for longer than one may take to come up.
    pub fn overdue(&self, worker: &str) -> NoConnection {
        let connects = self.pools.get(worker).is_some_and(|p| p.connecting > 0);
        if connects { NoConnection::TimedOut } else { NoConnection::LimitReached }
    }

    /// A request waits no more.
    pub fn give_up(&mut self, worker: &str, waiter: WaiterId) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.waiters.retain(|w| *w != waiter);
        }
    }
}
