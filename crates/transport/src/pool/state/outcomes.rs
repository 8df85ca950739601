//! What becomes of connections, and what they show of their worker.

use super::{
    CloseReason, Command, ConnectionId, DEMAND_MEMORY, EARLY, Idle, NoConnection, Placed, PoolState,
    SocketAddr, Time, WorkerId,
};

impl PoolState {
    /// A connect that was ordered has come up, to `addr`.
    pub fn opened(
        &mut self,
        now: Time,
        worker: &WorkerId,
        addr: SocketAddr,
        link: ConnectionId,
        commands: &mut Vec<Command>,
    ) -> Placed {
        self.connecting -= 1;
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placed::Closed;
        };
        pool.connecting -= 1;
        pool.counts.opened += 1;
        if pool.addr != addr {
            pool.close(CloseReason::Changed);
            self.open -= 1;
            self.open_needed_or_fail(now, worker, commands);
            return Placed::Closed;
        }
        pool.heard = now;
        if pool.suspect.take().is_some() {
            // It is there; whether it knows the connections from before is not told.
            self.close_where(worker, commands, |_, _| Some(CloseReason::Suspect));
        }
        let placed = self.place(now, worker, link, now);
        // Who waits behind the bound on connects has a place there now.
        self.open_needed_or_fail(now, worker, commands);
        placed
    }

    /// A connection in use is free again; it came up at `opened`.
    pub fn released(
        &mut self,
        now: Time,
        worker: &WorkerId,
        link: ConnectionId,
        opened: Time,
        commands: &mut Vec<Command>,
    ) -> Placed {
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placed::Closed;
        };
        let memory = (self.limits.keep * DEMAND_MEMORY).max(1e-3);
        (pool.peak, pool.peak_at) = (pool.peak(now, memory), now);
        pool.in_use -= 1;
        if opened < pool.born {
            pool.close(CloseReason::Changed);
            self.open -= 1;
            self.open_needed_or_fail(now, worker, commands);
            return Placed::Closed;
        }
        if !pool.waiters.is_empty() {
            pool.counts.reused += 1;
        }
        self.place(now, worker, link, opened)
    }

    pub(super) fn place(&mut self, now: Time, worker: &WorkerId, link: ConnectionId, opened: Time) -> Placed {
        let memory = self.memory();
        let early = EARLY.0 + self.rng.f64() * (EARLY.1 - EARLY.0);
        let Some(pool) = self.pools.get_mut(worker) else { return Placed::Closed };
        if let Some(waiter) = pool.waiters.pop_front() {
            pool.use_one(now, memory);
            return Placed::Granted(waiter);
        }
        let why = if self.none || !pool.wanted {
            CloseReason::Unwanted
        } else if self.open > self.budget {
            CloseReason::Pressure
        } else {
            let early = now + early * self.limits.keep;
            pool.idle.push(Idle { id: link, opened, since: now, early });
            return Placed::Idle;
        };
        pool.close(why);
        self.open -= 1;
        Placed::Closed
    }

    /// A connect that was ordered has failed.
    pub fn not_opened(
        &mut self,
        now: Time,
        worker: &WorkerId,
        why: NoConnection,
        commands: &mut Vec<Command>,
    ) {
        self.connecting -= 1;
        self.open -= 1;
        let gateway_count = self.limits.gateway_count;
        let Some(pool) = self.pools.get_mut(worker) else { return };
        pool.connecting -= 1;
        match why {
            NoConnection::Refused => {
                pool.counts.refused += 1;
                if pool.in_use > 0 || !pool.idle.is_empty() {
                    // It lives for those that are there, and has no room for more.
                    pool.shrink(now, gateway_count);
                }
            }
            NoConnection::TimedOut => {
                pool.counts.timed_out += 1;
                pool.suspect.get_or_insert(now);
            }
            NoConnection::NoDescriptor => {
                self.close_least_useful(now, commands);
            }
            NoConnection::Unavailable | NoConnection::LimitReached => {}
        }
        // Who still has a connect under way waits for it; who waits for one in use may be far from its turn.
        if let Some(pool) = self.pools.get_mut(worker) {
            let left = pool.connecting as usize;
            let failed = pool.waiters.len().saturating_sub(left);
            commands.extend(pool.waiters.drain(..failed).map(|w| Command::Fail(w, why)));
        }
    }

    /// A connection in use has ended.
    pub fn lost(&mut self, now: Time, worker: &WorkerId, why: CloseReason, commands: &mut Vec<Command>) {
        self.open -= 1;
        let memory = self.memory();
        if let Some(pool) = self.pools.get_mut(worker) {
            (pool.peak, pool.peak_at) = (pool.peak(now, memory), now);
            pool.in_use -= 1;
            pool.close(why);
        }
        self.open_needed_or_fail(now, worker, commands);
    }

    /// One that was handed out turned out dead before a byte was written on it.
    pub fn found_dead(&mut self, worker: &str) {
        self.pools.get_mut(worker).into_iter().for_each(|p| p.counts.stale += 1);
    }

    /// The other end has ended an idle connection.
    pub fn ended(&mut self, worker: &str, link: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(worker)
            && let Some(at) = pool.idle.iter().position(|i| i.id == link)
        {
            pool.idle.remove(at);
            pool.close(CloseReason::Peer);
            self.open -= 1;
        }
    }

    /// It has answered on a connection that came up at `opened`.
    pub fn response_received(&mut self, now: Time, worker: &str, opened: Time) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.heard = now;
            if pool.suspect.is_some_and(|since| opened < since) {
                pool.suspect = None;
            }
        }
    }

    /// Nothing came in time for what was sent at `sent`. Where nothing else has come since either, it is
    /// silent and not only slow.
    pub fn request_timed_out(&mut self, now: Time, worker: &str, sent: Time) {
        if let Some(pool) = self.pools.get_mut(worker)
            && pool.heard < sent
        {
            pool.suspect.get_or_insert(now);
        }
    }

    /// It ended a connection that had just come up and is still counted as in use. With others there it lives
    /// and has no room for more; with none it may as well have ended. `said`: it turned the request away.
    pub fn capacity_reached(&mut self, now: Time, worker: &str, said: bool) {
        let gateway_count = self.limits.gateway_count;
        if let Some(pool) = self.pools.get_mut(worker).filter(|p| said || p.held() > 1) {
            pool.shrink(now, gateway_count);
        }
    }
}
