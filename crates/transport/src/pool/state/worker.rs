//! The pool of connections to one worker.

use super::{CloseReason, Command, ConnectionId, Counts, NoConnection, WaiterId, WorkerLimits};
use crate::clock::Time;
use std::{collections::VecDeque, net::SocketAddr};

/// Connects under way to one worker at most: the next request takes whichever of them comes first.
pub const CONNECTING: u32 = 4;
/// Share of the budget that connects under way may hold in all, so that silent workers leave room for others.
pub const CONNECTING_SHARE: f64 = 0.5;
/// Seconds in which a bound doubles again after a worker had no room.
pub const REGROWTH: f64 = 10.0;
/// What a worker without room leaves of what is held there.
pub const SHRINK: f64 = 0.7;
/// Shares of the idle limit between which a connection that recent demand does not need is closed.
pub const EARLY: (f64, f64) = (0.25, 0.5);
/// Share of the idle limit over which the most in use at once is forgotten.
pub const DEMAND_MEMORY: f64 = 0.25;
/// Bounds from here on bind nobody.
pub const UNBOUND: f64 = 1e6;

/// A connection that no request uses.
#[derive(Debug)]
pub struct Idle {
    pub id: ConnectionId,
    pub opened: Time,
    pub since: Time,
    /// When it goes if recent demand does not need it.
    pub early: Time,
}

/// The pool of connections to one worker.
#[derive(Debug)]
pub struct WorkerPool {
    pub addr: SocketAddr,
    /// Requests may be sent there.
    pub wanted: bool,
    /// No list names it any more.
    pub gone: bool,
    /// It is out by hand, whatever the lists say.
    pub aside: bool,
    /// Connections from before belong to an earlier life or another address.
    pub born: Time,
    /// The one used last stands last.
    pub idle: Vec<Idle>,
    pub in_use: u32,
    pub connecting: u32,
    pub waiters: VecDeque<WaiterId>,
    /// Connections that this gateway may hold there at `bound_at`; under one, that share of the time.
    pub bound: f64,
    pub bound_at: Time,
    /// While the bound is under one, none is opened before.
    pub pause: Time,
    /// The most in use at once, fading.
    pub peak: f64,
    pub peak_at: Time,
    pub heard: Time,
    /// Since when it has been silent: connections from before are not handed out.
    pub suspect: Option<Time>,
    /// What holds for this worker beside the settings that hold for all.
    pub limits: WorkerLimits,
    pub counts: Counts,
}

impl WorkerPool {
    pub fn new(addr: SocketAddr, now: Time) -> Self {
        Self {
            addr,
            wanted: true,
            gone: false,
            aside: false,
            born: f64::NEG_INFINITY,
            idle: Vec::new(),
            in_use: 0,
            connecting: 0,
            waiters: VecDeque::new(),
            bound: UNBOUND,
            bound_at: now,
            pause: f64::NEG_INFINITY,
            peak: 0.0,
            peak_at: now,
            heard: f64::NEG_INFINITY,
            suspect: None,
            limits: WorkerLimits::default(),
            counts: Counts::default(),
        }
    }

    pub fn held(&self) -> usize {
        self.idle.len() + (self.in_use + self.connecting) as usize
    }

    pub fn bound(&self, now: Time) -> f64 {
        let learned = self.bound * ((now - self.bound_at).max(0.0) / REGROWTH).exp2();
        let set = self.limits.max_connections.map_or(UNBOUND, |most| most.max(1) as f64);
        learned.min(set)
    }

    /// How long a connection may stand idle here, where it is `keep` for all.
    pub fn keep(&self, keep: Time) -> Time {
        self.limits.idle_timeout.map_or(keep, |own| own.min(keep))
    }

    /// The worker had no room: what is held there has to do, and less.
    pub fn shrink(&mut self, now: Time, gateway_count: u32) {
        let least = 1.0 / f64::from(gateway_count.max(1));
        let held = (self.held() as f64).max(1.0);
        self.bound = (self.bound(now).min(held) * SHRINK).max(least);
        self.bound_at = now;
        if self.bound < 1.0 {
            // The others' share of the time, as if each place were held for a second.
            self.pause = now + (1.0 / self.bound - 1.0).min(REGROWTH);
        }
    }

    pub fn may_open(&self, now: Time) -> bool {
        let bound = self.bound(now);
        let held = self.held() as f64;
        self.connecting < CONNECTING && (held + 1.0 <= bound || held == 0.0 && now >= self.pause)
    }

    pub fn peak(&self, now: Time, memory: f64) -> f64 {
        let now_used = f64::from(self.in_use);
        now_used + (self.peak - now_used).max(0.0) * (-(now - self.peak_at).max(0.0) / memory).exp()
    }

    pub fn use_one(&mut self, now: Time, memory: f64) {
        let peak = self.peak(now, memory);
        self.in_use += 1;
        self.peak = peak.max(f64::from(self.in_use));
        self.peak_at = now;
    }

    /// Who waits is to choose anew: it was not sent.
    pub fn fail_waiters(&mut self, commands: &mut Vec<Command>) {
        commands.extend(self.waiters.drain(..).map(|w| Command::Fail(w, NoConnection::Unavailable)));
    }

    pub fn close(&mut self, why: CloseReason) {
        if let Some(count) = self.counts.closed.get_mut(why as usize) {
            *count += 1;
        }
    }
}
