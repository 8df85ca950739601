//! The pool of connections to one worker.

use super::{CloseReason, Command, ConnectionId, Counts, NoConnection, WaiterId, WorkerLimits};
use crate::clock::Time;
use std::{collections::VecDeque, net::SocketAddr};

/// Maximum number of concurrent connection attempts to one worker. Waiting requests take the first connection that is
/// established, whichever it is.
pub const MAX_CONNECTING_PER_WORKER: u32 = 4;
/// Share of the budget that concurrent connection attempts may take in all, so that attempts to unresponsive workers
/// leave capacity for the others.
pub const MAX_CONNECTING_SHARE: f64 = 0.5;
/// Seconds in which the learned bound doubles after a worker has reached its capacity.
pub const BOUND_DOUBLING_S: f64 = 10.0;
/// Factor applied to the number of connections to get the new bound when a worker has reached its capacity.
pub const BOUND_DECREASE_FACTOR: f64 = 0.7;
/// Range of the idle time, as shares of the idle time-out, from which the time is drawn at random after which a
/// connection is closed if recent demand does not need it.
pub const SURPLUS_CLOSE_SHARES: (f64, f64) = (0.25, 0.5);
/// Time constant, as a share of the idle time-out, with which the peak of connections in use decays.
pub const DEMAND_TIME_CONSTANT_SHARE: f64 = 0.25;
/// Bound that stands for no limit; a bound that has grown to this value is not reported.
pub const UNBOUNDED: f64 = 1e6;

/// An idle connection.
#[derive(Debug)]
pub struct IdleConnection {
    pub id: ConnectionId,
    pub opened_at: Time,
    pub idle_since: Time,
    /// When the connection is closed if recent demand does not need it.
    pub surplus_close_at: Time,
}

/// The pool of connections to one worker.
#[derive(Debug)]
pub struct WorkerPool {
    pub addr: SocketAddr,
    /// The worker lists allow requests to this worker.
    pub wanted: bool,
    /// The worker has left the fleet. The pool is removed once it has no connections.
    pub gone: bool,
    /// An operator has disabled the worker, independently of the worker lists.
    pub disabled: bool,
    /// Connections opened before this time lead to an earlier incarnation of the worker or to another address.
    pub valid_since: Time,
    /// Idle connections, the most recently used one last.
    pub idle: Vec<IdleConnection>,
    pub in_use: u32,
    pub connecting: u32,
    /// Requests that wait for a connection, the oldest first.
    pub waiters: VecDeque<WaiterId>,
    /// Learned maximum number of this gateway's connections to the worker, as of `bound_at`. A bound below one is the
    /// share of the time in which one connection may be open.
    pub bound: f64,
    pub bound_at: Time,
    /// With a bound below one, no connection is opened before this time.
    pub no_open_before: Time,
    /// Peak number of connections in use, decayed as of `peak_at`.
    pub peak: f64,
    pub peak_at: Time,
    /// When the worker last responded or accepted a connection.
    pub last_response_at: Time,
    /// When the worker stopped responding, while no response has come since. Idle connections are not used meanwhile.
    pub suspect_since: Option<Time>,
    /// Limits of this worker, which apply in addition to the common settings.
    pub limits: WorkerLimits,
    pub counts: Counts,
}

impl WorkerPool {
    pub fn new(addr: SocketAddr, now: Time) -> Self {
        Self {
            addr,
            wanted: true,
            gone: false,
            disabled: false,
            valid_since: f64::NEG_INFINITY,
            idle: Vec::new(),
            in_use: 0,
            connecting: 0,
            waiters: VecDeque::new(),
            bound: UNBOUNDED,
            bound_at: now,
            no_open_before: f64::NEG_INFINITY,
            peak: 0.0,
            peak_at: now,
            last_response_at: f64::NEG_INFINITY,
            suspect_since: None,
            limits: WorkerLimits::default(),
            counts: Counts::default(),
        }
    }

    /// Returns the number of connections: idle, in use and being established.
    pub fn connections(&self) -> usize {
        self.idle.len() + (self.in_use + self.connecting) as usize
    }

    /// Returns the maximum number of connections now: the learned bound, grown since `bound_at`, or the configured
    /// maximum if that is lower.
    pub fn bound(&self, now: Time) -> f64 {
        let learned = self.bound * ((now - self.bound_at).max(0.0) / BOUND_DOUBLING_S).exp2();
        let configured = self.limits.max_connections.map_or(UNBOUNDED, |max| max.max(1) as f64);
        learned.min(configured)
    }

    /// Returns the idle time-out of this worker's connections in seconds, where `default` is the common one.
    pub fn idle_timeout(&self, default: Time) -> Time {
        self.limits.idle_timeout.map_or(default, |own| own.min(default))
    }

    /// Lowers the bound below the present number of connections, since the worker has reached its capacity.
    pub fn decrease_bound(&mut self, now: Time, gateway_count: u32) {
        let minimum = 1.0 / f64::from(gateway_count.max(1));
        let connections = (self.connections() as f64).max(1.0);
        self.bound = (self.bound(now).min(connections) * BOUND_DECREASE_FACTOR).max(minimum);
        self.bound_at = now;
        if self.bound < 1.0 {
            // Leaves the other gateways their share of the time, assuming that each connection is open for one second.
            self.no_open_before = now + (1.0 / self.bound - 1.0).min(BOUND_DOUBLING_S);
        }
    }

    /// Whether another connection may be opened now.
    pub fn may_open(&self, now: Time) -> bool {
        let bound = self.bound(now);
        let connections = self.connections() as f64;
        self.connecting < MAX_CONNECTING_PER_WORKER
            && (connections + 1.0 <= bound || connections == 0.0 && now >= self.no_open_before)
    }

    /// Returns the decayed peak of connections in use, at least the number in use now. The excess over that number
    /// decays exponentially with `time_constant` seconds.
    pub fn peak(&self, now: Time, time_constant: f64) -> f64 {
        let in_use_now = f64::from(self.in_use);
        in_use_now
            + (self.peak - in_use_now).max(0.0) * (-(now - self.peak_at).max(0.0) / time_constant).exp()
    }

    /// Counts one more connection as in use and updates the peak.
    pub fn mark_one_used(&mut self, now: Time, time_constant: f64) {
        let peak = self.peak(now, time_constant);
        self.in_use += 1;
        self.peak = peak.max(f64::from(self.in_use));
        self.peak_at = now;
    }

    /// Fails all waiters, so that their requests, which have not been sent, are routed again.
    pub fn fail_waiters(&mut self, commands: &mut Vec<Command>) {
        commands.extend(self.waiters.drain(..).map(|w| Command::Fail(w, NoConnection::Unavailable)));
    }

    /// Counts a closed connection.
    pub fn count_close(&mut self, reason: CloseReason) {
        if let Some(count) = self.counts.closed.get_mut(reason as usize) {
            *count += 1;
        }
    }
}
