//! Outcomes of connection attempts and of the use of connections, and what they show about a worker.

use super::{
    CloseReason, Command, ConnectionId, DEMAND_TIME_CONSTANT_SHARE, IdleConnection, NoConnection, Placement,
    PoolState, SURPLUS_CLOSE_SHARES, SocketAddr, Time, WorkerId,
};

impl PoolState {
    /// A connection attempt to `addr` has succeeded.
    pub fn connect_succeeded(
        &mut self,
        now: Time,
        worker: &WorkerId,
        addr: SocketAddr,
        connection: ConnectionId,
        commands: &mut Vec<Command>,
    ) -> Placement {
        self.connecting -= 1;
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placement::Closed;
        };
        pool.connecting -= 1;
        pool.counts.opened += 1;
        if pool.addr != addr {
            pool.count_close(CloseReason::WorkerChanged);
            self.open -= 1;
            self.open_for_waiters_or_fail(now, worker, commands);
            return Placement::Closed;
        }
        pool.last_response_at = now;
        if pool.suspect_since.take().is_some() {
            // The worker responds again, but it may have lost the connections from before.
            self.close_idle_where(worker, commands, |_, _| Some(CloseReason::Suspect));
        }
        let placement = self.place_connection(now, worker, connection, now);
        // One attempt less is under way, so another may be started for a waiter.
        self.open_for_waiters_or_fail(now, worker, commands);
        placement
    }

    /// A connection in use, established at `opened_at`, was released.
    pub fn released(
        &mut self,
        now: Time,
        worker: &WorkerId,
        connection: ConnectionId,
        opened_at: Time,
        commands: &mut Vec<Command>,
    ) -> Placement {
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placement::Closed;
        };
        let time_constant = (self.settings.idle_timeout * DEMAND_TIME_CONSTANT_SHARE).max(1e-3);
        (pool.peak, pool.peak_at) = (pool.peak(now, time_constant), now);
        pool.in_use -= 1;
        if opened_at < pool.valid_since {
            pool.count_close(CloseReason::WorkerChanged);
            self.open -= 1;
            self.open_for_waiters_or_fail(now, worker, commands);
            return Placement::Closed;
        }
        if !pool.waiters.is_empty() {
            pool.counts.reused += 1;
        }
        self.place_connection(now, worker, connection, opened_at)
    }

    /// Grants a free connection to the oldest waiter, keeps it idle, or has it closed.
    pub(super) fn place_connection(
        &mut self,
        now: Time,
        worker: &WorkerId,
        connection: ConnectionId,
        opened_at: Time,
    ) -> Placement {
        let time_constant = self.demand_time_constant();
        let surplus_share =
            SURPLUS_CLOSE_SHARES.0 + self.rng.f64() * (SURPLUS_CLOSE_SHARES.1 - SURPLUS_CLOSE_SHARES.0);
        let Some(pool) = self.pools.get_mut(worker) else { return Placement::Closed };
        if let Some(waiter) = pool.waiters.pop_front() {
            pool.mark_one_used(now, time_constant);
            return Placement::Granted(waiter);
        }
        let reason = if self.idle_disabled || !pool.wanted {
            CloseReason::Unwanted
        } else if self.open > self.budget {
            CloseReason::DescriptorPressure
        } else {
            let surplus_close_at = now + surplus_share * self.settings.idle_timeout;
            pool.idle.push(IdleConnection { id: connection, opened_at, idle_since: now, surplus_close_at });
            return Placement::Idle;
        };
        pool.count_close(reason);
        self.open -= 1;
        Placement::Closed
    }

    /// A connection attempt has failed.
    pub fn connect_failed(
        &mut self,
        now: Time,
        worker: &WorkerId,
        reason: NoConnection,
        commands: &mut Vec<Command>,
    ) {
        self.connecting -= 1;
        self.open -= 1;
        let gateway_count = self.settings.gateway_count;
        let Some(pool) = self.pools.get_mut(worker) else { return };
        pool.connecting -= 1;
        match reason {
            NoConnection::Refused => {
                pool.counts.refused += 1;
                if pool.in_use > 0 || !pool.idle.is_empty() {
                    // The worker serves its present connections, so it is alive and has reached its capacity.
                    pool.decrease_bound(now, gateway_count);
                }
            }
            NoConnection::TimedOut => {
                pool.counts.timed_out += 1;
                pool.suspect_since.get_or_insert(now);
            }
            NoConnection::NoDescriptor => {
                self.close_lowest_ranked_idle(now, commands);
            }
            NoConnection::Unavailable | NoConnection::LimitReached => {}
        }
        // As many waiters stay as there are attempts under way. The others are failed, since a connection in use may
        // not become free for a long time.
        if let Some(pool) = self.pools.get_mut(worker) {
            let connecting = pool.connecting as usize;
            let failed = pool.waiters.len().saturating_sub(connecting);
            commands.extend(pool.waiters.drain(..failed).map(|waiter| Command::Fail(waiter, reason)));
        }
    }

    /// A connection in use has failed or was closed.
    pub fn connection_lost(
        &mut self,
        now: Time,
        worker: &WorkerId,
        reason: CloseReason,
        commands: &mut Vec<Command>,
    ) {
        self.open -= 1;
        let time_constant = self.demand_time_constant();
        if let Some(pool) = self.pools.get_mut(worker) {
            (pool.peak, pool.peak_at) = (pool.peak(now, time_constant), now);
            pool.in_use -= 1;
            pool.count_close(reason);
        }
        self.open_for_waiters_or_fail(now, worker, commands);
    }

    /// A leased connection was found closed before a byte was written on it.
    pub fn found_dead(&mut self, worker: &str) {
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.counts.stale += 1);
    }

    /// The worker has closed an idle connection.
    pub fn idle_closed(&mut self, worker: &str, connection: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(worker)
            && let Some(index) = pool.idle.iter().position(|idle| idle.id == connection)
        {
            pool.idle.remove(index);
            pool.count_close(CloseReason::ClosedByPeer);
            self.open -= 1;
        }
    }

    /// A worker has responded on a connection that was established at `opened_at`. A response on a connection from
    /// before the suspicion shows that the worker still has its connections.
    pub fn response_received(&mut self, now: Time, worker: &str, opened_at: Time) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.last_response_at = now;
            if pool.suspect_since.is_some_and(|since| opened_at < since) {
                pool.suspect_since = None;
            }
        }
    }

    /// A request sent at `sent_at` had no response in time. If the worker has not responded to anything else since
    /// then, it is unresponsive rather than slow, and becomes suspect.
    pub fn request_timed_out(&mut self, now: Time, worker: &str, sent_at: Time) {
        if let Some(pool) = self.pools.get_mut(worker)
            && pool.last_response_at < sent_at
        {
            pool.suspect_since.get_or_insert(now);
        }
    }

    /// A worker has closed a new connection, which still counts as in use. If it has other connections, or `rejected`
    /// tells that it rejected the request, it is alive and has reached its capacity. Otherwise it may have terminated,
    /// and the bound stays.
    pub fn capacity_reached(&mut self, now: Time, worker: &str, rejected: bool) {
        let gateway_count = self.settings.gateway_count;
        if let Some(pool) = self.pools.get_mut(worker).filter(|pool| rejected || pool.connections() > 1) {
            pool.decrease_bound(now, gateway_count);
        }
    }
}
