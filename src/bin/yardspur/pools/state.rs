//! The state of all pools, without I/O: what happens goes in with its time, what is to be opened or closed
//! comes out. Whoever carries that out holds the connections; here they are numbers.

use fnv::FnvHashMap;
use std::{collections::VecDeque, net::SocketAddr};
use weirusher::{ServerId, Time};

/// Connects under way to one worker at most: the next request takes whichever of them comes first.
const CONNECTING: u32 = 4;
/// Share of the budget that connects under way may hold in all, so that silent workers leave room for others.
const CONNECTING_SHARE: f64 = 0.5;
/// Seconds in which a bound doubles again after a worker had no room.
const REGROWTH: f64 = 10.0;
/// What a worker without room leaves of what is held there.
const SHRINK: f64 = 0.7;
/// Shares of the idle limit between which a connection that recent demand does not need is closed.
const EARLY: (f64, f64) = (0.25, 0.5);
/// Share of the idle limit over which the most in use at once is forgotten.
const DEMAND_MEMORY: f64 = 0.25;
/// Bounds from here on bind nobody.
const UNBOUND: f64 = 1e6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(u64);

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// Its worker's idle limit came near.
    Aged,
    /// Recent demand does not need it.
    Surplus,
    /// Its worker is not to be sent to, or none is kept any more.
    Unwanted,
    /// Its worker has started anew, or is elsewhere.
    Changed,
    /// The other end closed it, or sent what nobody asked for.
    Peer,
    /// Its worker had fallen silent.
    Suspect,
    /// Others needed its descriptor.
    Pressure,
    /// It was given up under a request, or broke there.
    Broken,
}

impl Closed {
    pub const ALL: [(Self, &'static str); 8] = [
        (Self::Aged, "idle_limit"),
        (Self::Surplus, "surplus"),
        (Self::Unwanted, "unwanted"),
        (Self::Changed, "changed"),
        (Self::Peer, "peer"),
        (Self::Suspect, "suspect"),
        (Self::Pressure, "descriptors"),
        (Self::Broken, "in_use"),
    ];
}

/// Why there is no connection for a request. Nothing of it has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoLink {
    /// No list has told where the worker is.
    Unknown,
    /// The worker refused, or reset what had just come up.
    Refused,
    /// No connection came up in time.
    TimedOut,
    /// No descriptor is left, or none within the budget.
    NoDescriptor,
    /// The worker's bound is reached: this says nothing of how it is.
    Bound,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    Use(LinkId),
    /// The connection comes, or an [`Order::Fail`] does.
    Wait(WaiterId),
    No(NoLink),
}

/// Where a connection goes that has come up or was given back.
#[derive(Debug, PartialEq, Eq)]
pub enum Placed {
    Granted(WaiterId),
    Parked,
    Closed,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Order {
    Open { worker: ServerId, addr: SocketAddr, link: LinkId },
    Close(LinkId),
    Fail(WaiterId, NoLink),
}

/// What holds for all pools.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Seconds that a connection may stand idle.
    pub keep: f64,
    /// How many gateways share the workers' connections.
    pub gateways: u32,
}

#[derive(Debug)]
struct Idle {
    link: LinkId,
    opened: Time,
    since: Time,
    /// When it goes if recent demand does not need it.
    early: Time,
}

/// How many of each there were since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub opened: u64,
    pub reused: u64,
    pub refused: u64,
    pub timed_out: u64,
    /// Met a connection that turned out dead before a byte was written.
    pub stale: u64,
    pub closed: [u64; Closed::ALL.len()],
}

#[derive(Debug)]
struct Pool {
    addr: SocketAddr,
    /// Requests may be sent there.
    wanted: bool,
    /// No list names it any more.
    gone: bool,
    /// It is out by hand, whatever the lists say.
    aside: bool,
    /// Connections from before belong to an earlier life or another address.
    born: Time,
    /// The one used last stands last.
    idle: Vec<Idle>,
    in_use: u32,
    connecting: u32,
    waiters: VecDeque<WaiterId>,
    /// Connections that this gateway may hold there at `bound_at`; under one, that share of the time.
    bound: f64,
    bound_at: Time,
    /// While the bound is under one, none is opened before.
    pause: Time,
    /// The most in use at once, fading.
    peak: f64,
    peak_at: Time,
    heard: Time,
    /// Since when it has been silent: connections from before are not handed out.
    suspect: Option<Time>,
    counts: Counts,
}

impl Pool {
    fn new(addr: SocketAddr, now: Time) -> Self {
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
            counts: Counts::default(),
        }
    }

    fn held(&self) -> usize {
        self.idle.len() + (self.in_use + self.connecting) as usize
    }

    fn bound(&self, now: Time) -> f64 {
        (self.bound * ((now - self.bound_at).max(0.0) / REGROWTH).exp2()).min(UNBOUND)
    }

    /// The worker had no room: what is held there has to do, and less.
    fn shrink(&mut self, now: Time, gateways: u32) {
        let least = 1.0 / f64::from(gateways.max(1));
        let held = (self.held() as f64).max(1.0);
        self.bound = (self.bound(now).min(held) * SHRINK).max(least);
        self.bound_at = now;
        if self.bound < 1.0 {
            // The others' share of the time, as if each place were held for a second.
            self.pause = now + (1.0 / self.bound - 1.0).min(REGROWTH);
        }
    }

    fn may_open(&self, now: Time) -> bool {
        let bound = self.bound(now);
        let held = self.held() as f64;
        self.connecting < CONNECTING && (held + 1.0 <= bound || held == 0.0 && now >= self.pause)
    }

    fn peak(&self, now: Time, memory: f64) -> f64 {
        let now_used = f64::from(self.in_use);
        now_used + (self.peak - now_used).max(0.0) * (-(now - self.peak_at).max(0.0) / memory).exp()
    }

    fn use_one(&mut self, now: Time, memory: f64) {
        let peak = self.peak(now, memory);
        self.in_use += 1;
        self.peak = peak.max(f64::from(self.in_use));
        self.peak_at = now;
    }

    /// Who waits is to choose anew: it was not sent.
    fn fail_waiters(&mut self, orders: &mut Vec<Order>) {
        orders.extend(self.waiters.drain(..).map(|w| Order::Fail(w, NoLink::Unknown)));
    }

    fn close(&mut self, why: Closed) {
        if let Some(count) = self.counts.closed.get_mut(why as usize) {
            *count += 1;
        }
    }
}

/// What is told of one pool.
#[derive(Debug, Clone)]
pub struct View {
    pub worker: ServerId,
    pub addr: SocketAddr,
    pub wanted: bool,
    pub suspect: bool,
    pub idle: usize,
    pub in_use: u32,
    pub connecting: u32,
    pub waiting: usize,
    /// `None`: no bound but the budget.
    pub bound: Option<f64>,
    pub counts: Counts,
}

pub struct Book {
    pools: FnvHashMap<ServerId, Pool>,
    limits: Limits,
    budget: usize,
    open: usize,
    connecting: usize,
    /// None is kept idle.
    none: bool,
    numbers: u64,
    rng: fastrand::Rng,
}

impl Book {
    /// `budget` connections at most, those under way included.
    pub fn new(budget: usize, limits: Limits, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let pools = FnvHashMap::default();
        Self { pools, limits, budget, open: 0, connecting: 0, none: false, numbers: 0, rng }
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn addr(&self, worker: &str) -> Option<SocketAddr> {
        self.pools.get(worker).map(|p| p.addr)
    }

    pub fn addrs(&self) -> impl Iterator<Item = (&ServerId, SocketAddr)> {
        self.pools.iter().map(|(id, p)| (id, p.addr))
    }

    fn memory(&self) -> f64 {
        (self.limits.keep * DEMAND_MEMORY).max(1e-3)
    }

    // ---- The lists, and what holds for all ----

    /// What a list says of one worker: where it is, when it started, and whether it may be sent to.
    pub fn listed(
        &mut self,
        now: Time,
        worker: &ServerId,
        addr: Option<SocketAddr>,
        started: Time,
        (wanted, gone): (bool, bool),
        orders: &mut Vec<Order>,
    ) {
        let pool = match (self.pools.get_mut(worker), addr) {
            (Some(pool), _) => pool,
            (None, Some(addr)) => self.pools.entry(worker.clone()).or_insert(Pool::new(addr, now)),
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
                pool.fail_waiters(orders);
            }
        }
        if wanted {
            self.close_where(worker, orders, |pool, idle| {
                (idle.opened < pool.born).then_some(Closed::Changed)
            });
        } else {
            self.turn_away(worker, orders);
        }
    }

    /// Nothing new may go to a worker: what is idle closes, and who waits goes elsewhere, as a connection that comes up
    /// late would carry it there long after this.
    fn turn_away(&mut self, worker: &str, orders: &mut Vec<Order>) {
        self.close_idle(worker, orders);
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.fail_waiters(orders));
    }

    /// Takes a worker out by hand, or puts it back.
    pub fn set_aside(&mut self, worker: &str, out: bool, orders: &mut Vec<Order>) {
        self.pools.get_mut(worker).into_iter().for_each(|pool| pool.aside = out);
        if out {
            self.turn_away(worker, orders);
        }
    }

    /// A whole list has come: those that it does not name are gone.
    pub fn only(&mut self, named: impl Fn(&str) -> bool, orders: &mut Vec<Order>) {
        let unnamed: Vec<ServerId> = self.pools.keys().filter(|id| !named(id)).cloned().collect();
        for worker in unnamed {
            if let Some(pool) = self.pools.get_mut(&worker) {
                (pool.wanted, pool.gone) = (false, true);
            }
            self.turn_away(&worker, orders);
        }
    }

    /// Where a worker is that no list has named yet.
    pub fn told(&mut self, now: Time, worker: &ServerId, addr: SocketAddr) {
        self.pools.entry(worker.clone()).or_insert_with(|| Pool::new(addr, now));
    }

    pub fn retune(&mut self, now: Time, limits: Limits, orders: &mut Vec<Order>) {
        self.limits = limits;
        self.sweep(now, orders);
    }

    /// From now on `budget` connections at most: idle ones go at once, those in use as they end.
    pub fn set_budget(&mut self, now: Time, budget: usize, orders: &mut Vec<Order>) {
        self.budget = budget;
        while self.open > self.budget && self.relieve(now, orders) {}
    }

    /// Whether no connection is kept idle any more.
    pub fn keep_none(&mut self, none: bool, orders: &mut Vec<Order>) {
        self.none = none;
        if none {
            let workers: Vec<ServerId> = self.pools.keys().cloned().collect();
            workers.iter().for_each(|worker| self.close_idle(worker, orders));
        }
    }

    /// Closes the idle connections to one worker.
    pub fn close_idle(&mut self, worker: &str, orders: &mut Vec<Order>) {
        self.close_where(worker, orders, |_, _| Some(Closed::Unwanted));
    }

    fn close_where(
        &mut self,
        worker: &str,
        orders: &mut Vec<Order>,
        why: impl Fn(&Pool, &Idle) -> Option<Closed>,
    ) {
        let Some(pool) = self.pools.get_mut(worker) else { return };
        let mut at = 0;
        while at < pool.idle.len() {
            let Some(why) = why(pool, &pool.idle[at]) else {
                at += 1;
                continue;
            };
            let idle = pool.idle.remove(at);
            pool.close(why);
            self.open -= 1;
            orders.push(Order::Close(idle.link));
        }
    }

    /// Closes idle connections that are due, or beyond what recent demand needs.
    pub fn sweep(&mut self, now: Time, orders: &mut Vec<Order>) {
        let (keep, memory) = (self.limits.keep, self.memory());
        let workers: Vec<ServerId> =
            self.pools.iter().filter(|(_, p)| !p.idle.is_empty()).map(|(id, _)| id.clone()).collect();
        for worker in workers {
            self.close_where(&worker, orders, |pool, idle| {
                // A share of a connection is one for a share of the time.
                let keep = keep * pool.bound(now).min(1.0);
                let needed = pool.peak(now, memory).ceil().max(1.0);
                if now - idle.since >= keep {
                    Some(Closed::Aged)
                } else {
                    (now >= idle.early && pool.held() as f64 > needed).then_some(Closed::Surplus)
                }
            });
        }
        self.pools.retain(|_, p| !p.gone || p.held() > 0 || !p.waiters.is_empty());
    }

    /// Closes the idle connection that is least useful; `false`: there is none.
    fn relieve(&mut self, now: Time, orders: &mut Vec<Order>) -> bool {
        let memory = self.memory();
        let rank = |(worker, pool): (&ServerId, &Pool)| {
            let oldest = pool.idle.first()?;
            let needed = pool.suspect.is_none() && pool.held() as f64 <= pool.peak(now, memory).ceil();
            Some((pool.wanted, needed, oldest.since, worker.clone()))
        };
        let least =
            self.pools.iter().filter_map(rank).min_by(|a, b| {
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then_with(|| a.3.cmp(&b.3))
            });
        let Some(pool) = least.and_then(|(_, _, _, worker)| self.pools.get_mut(&worker)) else {
            return false;
        };
        let idle = pool.idle.remove(0);
        pool.close(Closed::Pressure);
        self.open -= 1;
        orders.push(Order::Close(idle.link));
        true
    }

    // ---- Requests ----

    /// A request needs a connection to `worker`.
    pub fn ask(&mut self, now: Time, worker: &ServerId, orders: &mut Vec<Order>) -> Asked {
        let (keep, memory) = (self.limits.keep, self.memory());
        let Some(pool) = self.pools.get_mut(worker) else { return Asked::No(NoLink::Unknown) };
        if !pool.wanted || pool.aside {
            // It was told between the decision and this.
            return Asked::No(NoLink::Unknown);
        }
        if pool.suspect.is_none() {
            // The one used last first: the rest stay idle and go.
            while let Some(idle) = pool.idle.pop() {
                if now - idle.since < keep {
                    pool.counts.reused += 1;
                    pool.use_one(now, memory);
                    return Asked::Use(idle.link);
                }
                pool.close(Closed::Aged);
                self.open -= 1;
                orders.push(Order::Close(idle.link));
            }
        }
        self.numbers += 1;
        let waiter = WaiterId(self.numbers);
        pool.waiters.push_back(waiter);
        match self.supply(now, worker, orders) {
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
    fn supply(&mut self, now: Time, worker: &ServerId, orders: &mut Vec<Order>) -> Option<NoLink> {
        let most = ((self.budget as f64 * CONNECTING_SHARE) as usize).max(1);
        loop {
            let pool = self.pools.get(worker)?;
            if pool.waiters.len() <= pool.connecting as usize {
                return None;
            }
            let bound = !pool.may_open(now);
            let short =
                !bound && (self.connecting >= most || self.open >= self.budget && !self.relieve(now, orders));
            let pool = self.pools.get_mut(worker)?;
            if bound || short {
                let hope = pool.in_use + pool.connecting > 0;
                return (!hope).then_some(if bound { NoLink::Bound } else { NoLink::NoDescriptor });
            }
            pool.connecting += 1;
            self.connecting += 1;
            self.open += 1;
            self.numbers += 1;
            let link = LinkId(self.numbers);
            orders.push(Order::Open { worker: worker.clone(), addr: pool.addr, link });
        }
    }

    /// As [`Book::supply`], where a connection has gone that somebody may have waited for.
    fn resupply(&mut self, now: Time, worker: &ServerId, orders: &mut Vec<Order>) {
        if let Some(why) = self.supply(now, worker, orders)
            && let Some(pool) = self.pools.get_mut(worker)
        {
            orders.extend(pool.waiters.drain(..).map(|w| Order::Fail(w, why)));
        }
    }

    /// Why somebody waits for a connection to `worker` for longer than one may take to come up.
    pub fn overdue(&self, worker: &str) -> NoLink {
        let connects = self.pools.get(worker).is_some_and(|p| p.connecting > 0);
        if connects { NoLink::TimedOut } else { NoLink::Bound }
    }

    /// A request waits no more.
    pub fn give_up(&mut self, worker: &str, waiter: WaiterId) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.waiters.retain(|w| *w != waiter);
        }
    }

    /// A connect that was ordered has come up, to `addr`.
    pub fn opened(
        &mut self,
        now: Time,
        worker: &ServerId,
        addr: SocketAddr,
        link: LinkId,
        orders: &mut Vec<Order>,
    ) -> Placed {
        self.connecting -= 1;
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placed::Closed;
        };
        pool.connecting -= 1;
        pool.counts.opened += 1;
        if pool.addr != addr {
            pool.close(Closed::Changed);
            self.open -= 1;
            self.resupply(now, worker, orders);
            return Placed::Closed;
        }
        pool.heard = now;
        if pool.suspect.take().is_some() {
            // It is there; whether it knows the connections from before is not told.
            self.close_where(worker, orders, |_, _| Some(Closed::Suspect));
        }
        let placed = self.place(now, worker, link, now);
        // Who waits behind the bound on connects has a place there now.
        self.resupply(now, worker, orders);
        placed
    }

    /// A connection in use is free again; it came up at `opened`.
    pub fn given_back(
        &mut self,
        now: Time,
        worker: &ServerId,
        link: LinkId,
        opened: Time,
        orders: &mut Vec<Order>,
    ) -> Placed {
        let Some(pool) = self.pools.get_mut(worker) else {
            self.open -= 1;
            return Placed::Closed;
        };
        let memory = (self.limits.keep * DEMAND_MEMORY).max(1e-3);
        (pool.peak, pool.peak_at) = (pool.peak(now, memory), now);
        pool.in_use -= 1;
        if opened < pool.born {
            pool.close(Closed::Changed);
            self.open -= 1;
            self.resupply(now, worker, orders);
            return Placed::Closed;
        }
        if !pool.waiters.is_empty() {
            pool.counts.reused += 1;
        }
        self.place(now, worker, link, opened)
    }

    fn place(&mut self, now: Time, worker: &ServerId, link: LinkId, opened: Time) -> Placed {
        let memory = self.memory();
        let early = EARLY.0 + self.rng.f64() * (EARLY.1 - EARLY.0);
        let Some(pool) = self.pools.get_mut(worker) else { return Placed::Closed };
        if let Some(waiter) = pool.waiters.pop_front() {
            pool.use_one(now, memory);
            return Placed::Granted(waiter);
        }
        let why = if self.none || !pool.wanted {
            Closed::Unwanted
        } else if self.open > self.budget {
            Closed::Pressure
        } else {
            let early = now + early * self.limits.keep;
            pool.idle.push(Idle { link, opened, since: now, early });
            return Placed::Parked;
        };
        pool.close(why);
        self.open -= 1;
        Placed::Closed
    }

    /// A connect that was ordered has failed.
    pub fn not_opened(&mut self, now: Time, worker: &ServerId, why: NoLink, orders: &mut Vec<Order>) {
        self.connecting -= 1;
        self.open -= 1;
        let gateways = self.limits.gateways;
        let Some(pool) = self.pools.get_mut(worker) else { return };
        pool.connecting -= 1;
        match why {
            NoLink::Refused => {
                pool.counts.refused += 1;
                if pool.in_use > 0 || !pool.idle.is_empty() {
                    // It lives for those that are there, and has no room for more.
                    pool.shrink(now, gateways);
                }
            }
            NoLink::TimedOut => {
                pool.counts.timed_out += 1;
                pool.suspect.get_or_insert(now);
            }
            NoLink::NoDescriptor => {
                self.relieve(now, orders);
            }
            NoLink::Unknown | NoLink::Bound => {}
        }
        // Who still has a connect under way waits for it; who waits for one in use may be far from its turn.
        if let Some(pool) = self.pools.get_mut(worker) {
            let left = pool.connecting as usize;
            let failed = pool.waiters.len().saturating_sub(left);
            orders.extend(pool.waiters.drain(..failed).map(|w| Order::Fail(w, why)));
        }
    }

    /// A connection in use has ended.
    pub fn lost(&mut self, now: Time, worker: &ServerId, why: Closed, orders: &mut Vec<Order>) {
        self.open -= 1;
        let memory = self.memory();
        if let Some(pool) = self.pools.get_mut(worker) {
            (pool.peak, pool.peak_at) = (pool.peak(now, memory), now);
            pool.in_use -= 1;
            pool.close(why);
        }
        self.resupply(now, worker, orders);
    }

    /// One that was handed out turned out dead before a byte was written on it.
    pub fn stale(&mut self, worker: &str) {
        self.pools.get_mut(worker).into_iter().for_each(|p| p.counts.stale += 1);
    }

    /// The other end has ended an idle connection.
    pub fn ended(&mut self, worker: &str, link: LinkId) {
        if let Some(pool) = self.pools.get_mut(worker)
            && let Some(at) = pool.idle.iter().position(|i| i.link == link)
        {
            pool.idle.remove(at);
            pool.close(Closed::Peer);
            self.open -= 1;
        }
    }

    // ---- What the worker shows ----

    /// It has answered on a connection that came up at `opened`.
    pub fn heard(&mut self, now: Time, worker: &str, opened: Time) {
        if let Some(pool) = self.pools.get_mut(worker) {
            pool.heard = now;
            if pool.suspect.is_some_and(|since| opened < since) {
                pool.suspect = None;
            }
        }
    }

    /// Nothing came in time for what was sent at `sent`. Where nothing else has come since either, it is
    /// silent and not only slow.
    pub fn silent(&mut self, now: Time, worker: &str, sent: Time) {
        if let Some(pool) = self.pools.get_mut(worker)
            && pool.heard < sent
        {
            pool.suspect.get_or_insert(now);
        }
    }

    /// It ended a connection that had just come up and is still counted as in use. With others there it lives
    /// and has no room for more; with none it may as well have ended. `said`: it turned the request away.
    pub fn no_room(&mut self, now: Time, worker: &str, said: bool) {
        let gateways = self.limits.gateways;
        if let Some(pool) = self.pools.get_mut(worker).filter(|p| said || p.held() > 1) {
            pool.shrink(now, gateways);
        }
    }

    /// All pools, those with most connections first.
    pub fn views(&self, now: Time) -> Vec<View> {
        let view = |(id, p): (&ServerId, &Pool)| View {
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeMap, BTreeSet};

    const KEEP: f64 = 20.0;

    fn limits() -> Limits {
        Limits { keep: KEEP, gateways: 4 }
    }

    fn addr(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// A book, whoever carries out its orders, and a count of its own of every connection.
    struct World {
        book: Book,
        now: Time,
        orders: Vec<Order>,
        idle: BTreeMap<LinkId, (ServerId, Time)>,
        in_use: BTreeMap<LinkId, (ServerId, Time)>,
        connecting: BTreeMap<LinkId, (ServerId, SocketAddr)>,
        waiting: BTreeMap<WaiterId, ServerId>,
        failed: Vec<(WaiterId, NoLink)>,
    }

    impl World {
        fn new(budget: usize, seed: u64) -> Self {
            Self {
                book: Book::new(budget, limits(), seed),
                now: 1000.0,
                orders: Vec::new(),
                idle: BTreeMap::new(),
                in_use: BTreeMap::new(),
                connecting: BTreeMap::new(),
                waiting: BTreeMap::new(),
                failed: Vec::new(),
            }
        }

        fn list(&mut self, id: &ServerId, port: u16, started: Time, wanted: bool) {
            self.book.listed(self.now, id, Some(addr(port)), started, (wanted, false), &mut self.orders);
            self.carry_out();
        }

        fn carry_out(&mut self) {
            for order in self.orders.drain(..) {
                match order {
                    Order::Open { worker, addr, link } => {
                        let known = self.idle.contains_key(&link) || self.in_use.contains_key(&link);
                        assert!(!known && self.connecting.insert(link, (worker, addr)).is_none());
                    }
                    Order::Close(link) => assert!(self.idle.remove(&link).is_some(), "not idle"),
                    Order::Fail(waiter, why) => {
                        assert!(self.waiting.remove(&waiter).is_some(), "it waits for nothing");
                        self.failed.push((waiter, why));
                    }
                }
            }
            self.check();
        }

        fn check(&self) {
            let held = self.idle.len() + self.in_use.len() + self.connecting.len();
            assert_eq!(self.book.open(), held, "counted exactly");
            let views = self.book.views(self.now);
            let told = |v: &View| v.idle + (v.in_use + v.connecting) as usize;
            assert_eq!(views.iter().map(told).sum::<usize>(), held);
            for view in &views {
                assert!(view.connecting <= CONNECTING);
                let of = |w: &ServerId| *w == view.worker;
                assert_eq!(view.idle, self.idle.values().filter(|(w, _)| of(w)).count());
                assert_eq!(view.in_use as usize, self.in_use.values().filter(|(w, _)| of(w)).count());
                assert_eq!(view.waiting, self.waiting.values().filter(|w| of(w)).count());
                assert!(view.waiting == 0 || view.in_use + view.connecting > 0, "waits for nothing");
            }
        }

        fn ask(&mut self, id: &ServerId) -> Asked {
            let asked = self.book.ask(self.now, id, &mut self.orders);
            match &asked {
                Asked::Use(link) => {
                    let idle = self.idle.remove(link).expect("handed out once");
                    assert_eq!(idle.0, *id);
                    self.in_use.insert(*link, idle);
                }
                Asked::Wait(waiter) => {
                    self.waiting.insert(*waiter, id.clone());
                }
                Asked::No(_) => {}
            }
            self.carry_out();
            asked
        }

        fn placed(&mut self, placed: &Placed, link: LinkId, worker: ServerId, opened: Time) {
            match placed {
                Placed::Granted(waiter) => {
                    assert_eq!(self.waiting.remove(waiter), Some(worker.clone()), "woken for nothing");
                    self.in_use.insert(link, (worker, opened));
                }
                Placed::Parked => {
                    self.idle.insert(link, (worker, opened));
                }
                Placed::Closed => {}
            }
            self.carry_out();
        }

        fn up(&mut self, link: LinkId) -> Placed {
            let (worker, addr) = self.connecting.remove(&link).expect("ordered");
            let placed = self.book.opened(self.now, &worker, addr, link, &mut self.orders);
            self.placed(&placed, link, worker, self.now);
            placed
        }

        fn down(&mut self, link: LinkId, why: NoLink) {
            let (worker, _) = self.connecting.remove(&link).expect("ordered");
            self.book.not_opened(self.now, &worker, why, &mut self.orders);
            self.carry_out();
        }

        fn back(&mut self, link: LinkId) -> Placed {
            let (worker, opened) = self.in_use.remove(&link).expect("in use");
            let placed = self.book.given_back(self.now, &worker, link, opened, &mut self.orders);
            self.placed(&placed, link, worker, opened);
            placed
        }

        fn lose(&mut self, link: LinkId) {
            let (worker, _) = self.in_use.remove(&link).expect("in use");
            self.book.lost(self.now, &worker, Closed::Broken, &mut self.orders);
            self.carry_out();
        }

        fn sweep(&mut self) {
            self.book.sweep(self.now, &mut self.orders);
            self.carry_out();
        }

        fn view(&self, id: &ServerId) -> View {
            self.book.views(self.now).into_iter().find(|v| v.worker == *id).expect("listed")
        }

        /// Opens `n` connections to `id` and leaves them idle; in the order of their use.
        fn idle(&mut self, id: &ServerId, n: usize) -> Vec<LinkId> {
            for _ in 0..n {
                self.ask(id);
            }
            while let Some(link) = self.connecting.keys().next().copied() {
                self.up(link);
            }
            let links: Vec<LinkId> = self.in_use.keys().copied().collect();
            links.iter().for_each(|link| {
                self.back(*link);
            });
            links
        }
    }

    fn pick<K: Copy, V>(rng: &mut fastrand::Rng, from: &BTreeMap<K, V>) -> Option<K> {
        (!from.is_empty()).then(|| from.keys().nth(rng.usize(..from.len())).copied()).flatten()
    }

    /// Between the decision to send and the task that asks there is no event that a test of the whole program could
    /// put the news at.
    #[test]
    fn who_asks_after_a_worker_was_turned_away_has_no_connection_and_begins_none() {
        let id: ServerId = "a".into();
        for by_hand in [false, true] {
            let mut world = World::new(8, 1);
            world.list(&id, 1, 0.0, true);
            if by_hand {
                world.book.set_aside(&id, true, &mut world.orders);
            } else {
                world.list(&id, 1, 0.0, false);
            }
            assert_eq!(world.ask(&id), Asked::No(NoLink::Unknown));
            assert_eq!(world.book.open(), 0);
            // Lists do not put back what is out by hand.
            world.list(&id, 1, 0.0, true);
            assert_eq!(matches!(world.ask(&id), Asked::No(_)), by_hand);
            world.book.set_aside(&id, false, &mut world.orders);
            assert!(matches!(world.ask(&id), Asked::Wait(_)));
        }
    }

    #[test]
    fn whatever_happens_each_connection_is_counted_and_has_one_holder_and_nobody_waits_for_nothing() {
        for seed in 0..150 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let ids: Vec<ServerId> = (0..4).map(|i| format!("w{i}").into()).collect();
            let mut budget = rng.usize(1..24);
            let mut world = World::new(budget, seed);
            ids.iter().zip(1..).for_each(|(id, port)| world.list(id, port, 0.0, true));
            for _ in 0..400 {
                world.now += rng.f64() * rng.f64() * 2.0;
                let id = &ids[rng.usize(..ids.len())];
                let before = world.book.open();
                match rng.u32(..16) {
                    0..=4 => {
                        world.ask(id);
                    }
                    5 | 6 => {
                        if let Some(link) = pick(&mut rng, &world.connecting) {
                            world.up(link);
                        }
                    }
                    7..=9 => {
                        if let Some(link) = pick(&mut rng, &world.in_use) {
                            world.back(link);
                        }
                    }
                    10 => {
                        let whys = [NoLink::Refused, NoLink::TimedOut, NoLink::NoDescriptor];
                        let link = pick(&mut rng, &world.connecting);
                        link.into_iter().for_each(|l| world.down(l, whys[rng.usize(..3)]));
                    }
                    11 => pick(&mut rng, &world.in_use).into_iter().for_each(|l| world.lose(l)),
                    12 => {
                        if let Some(waiter) = pick(&mut rng, &world.waiting) {
                            let id = world.waiting.remove(&waiter).expect("picked");
                            world.book.give_up(&id, waiter);
                        }
                    }
                    13 => {
                        // Elsewhere, anew, draining, back: in any order.
                        let started = if rng.bool() { world.now - rng.f64() } else { 0.0 };
                        world.list(id, rng.u16(1..6), started, rng.u32(..4) > 0);
                    }
                    14 => {
                        world.book.silent(world.now, id, world.now - rng.f64());
                        world.book.heard(world.now, id, world.now - 5.0 * rng.f64());
                        world.book.no_room(world.now, id, rng.bool());
                        if let Some(link) = pick(&mut rng, &world.idle) {
                            let (worker, _) = world.idle.remove(&link).expect("picked");
                            world.book.ended(&worker, link);
                        }
                    }
                    _ => {
                        world.sweep();
                        budget = rng.usize(1..24);
                        world.book.set_budget(world.now, budget, &mut world.orders);
                        world.carry_out();
                        assert!(world.book.open() <= budget || world.idle.is_empty());
                    }
                }
                world.check();
                assert!(world.book.open() <= budget.max(before), "over the budget");
            }
            // Everything ends: nobody is left waiting.
            while let Some(link) = world.connecting.keys().next().copied() {
                world.down(link, NoLink::Refused);
                while let Some(link) = world.in_use.keys().next().copied() {
                    world.back(link);
                }
            }
            while let Some(link) = world.in_use.keys().next().copied() {
                world.back(link);
            }
            while let Some(link) = world.connecting.keys().next().copied() {
                world.up(link);
                while let Some(link) = world.in_use.keys().next().copied() {
                    world.lose(link);
                }
            }
            assert!(world.waiting.is_empty(), "seed {seed}: {} wait for good", world.waiting.len());
        }
    }

    #[test]
    fn a_bound_is_never_passed_by_opening_and_a_share_of_one_is_a_share_of_the_time() {
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let id: ServerId = "w".into();
            let mut world = World::new(100, seed);
            world.list(&id, 1, 0.0, true);
            for _ in 0..200 {
                world.now += rng.f64();
                let (before, view) = (world.connecting.len(), world.view(&id));
                world.ask(&id);
                if world.connecting.len() > before {
                    let held = (view.idle + (view.in_use + view.connecting) as usize) as f64;
                    assert!(view.bound.is_none_or(|b| held + 1.0 <= b || held == 0.0));
                }
                match rng.u32(..4) {
                    0 => {
                        if let Some(link) = pick(&mut rng, &world.connecting) {
                            world.up(link);
                        }
                    }
                    1 => {
                        let link = pick(&mut rng, &world.connecting);
                        link.into_iter().for_each(|l| world.down(l, NoLink::Refused));
                    }
                    _ => {
                        if let Some(link) = pick(&mut rng, &world.in_use) {
                            world.back(link);
                        }
                    }
                }
            }
        }
        let id: ServerId = "w".into();
        let mut world = World::new(100, 1);
        world.list(&id, 1, 0.0, true);
        world.book.no_room(world.now, &id, true);
        assert_eq!(world.ask(&id), Asked::No(NoLink::Bound), "its share of the time is not now");
        world.now += REGROWTH;
        assert!(matches!(world.ask(&id), Asked::Wait(_)));
    }

    #[test]
    fn a_bound_shrinks_with_what_is_held_and_grows_back_slowly() {
        let id: ServerId = "w".into();
        let mut world = World::new(100, 1);
        world.list(&id, 1, 0.0, true);
        world.idle(&id, 4);
        assert_eq!(world.view(&id).bound, None);
        let links: Vec<Asked> = (0..4).map(|_| world.ask(&id)).collect();
        assert!(links.iter().all(|l| matches!(l, Asked::Use(_))));
        world.ask(&id);
        let link = *world.connecting.keys().next().expect("a connect");
        world.down(link, NoLink::Refused);
        let after = world.view(&id).bound.expect("bound now");
        assert!(after < 4.0 && after > 2.0, "{after}");
        assert!(matches!(world.ask(&id), Asked::Wait(_)), "for one that is in use");
        assert!(world.connecting.is_empty(), "no herd of connects");
        world.now += REGROWTH;
        assert!((world.view(&id).bound.expect("still bound") / after - 2.0).abs() < 1e-6);
        // One that is refused with nothing else there has ended: that bounds nothing.
        let other: ServerId = "dead".into();
        world.list(&other, 2, 0.0, true);
        world.ask(&other);
        let link = *world.connecting.keys().next().expect("a connect");
        world.down(link, NoLink::Refused);
        assert_eq!(world.view(&other).bound, None);
    }

    #[test]
    fn the_one_used_last_goes_first_and_who_waits_takes_what_comes_first() {
        let id: ServerId = "w".into();
        let mut world = World::new(100, 1);
        world.list(&id, 1, 0.0, true);
        let links = world.idle(&id, 3);
        assert_eq!(world.ask(&id), Asked::Use(links[2]));
        assert_eq!(world.ask(&id), Asked::Use(links[1]));
        assert_eq!(world.ask(&id), Asked::Use(links[0]));
        let Asked::Wait(waiter) = world.ask(&id) else { panic!("none is idle") };
        assert_eq!(world.back(links[1]), Placed::Granted(waiter), "given back before the connect is up");
        let link = *world.connecting.keys().next().expect("a connect");
        assert_eq!(world.up(link), Placed::Parked, "kept though nobody waits any more");
        assert_eq!(world.ask(&id), Asked::Use(link));
    }

    #[test]
    fn connects_under_way_are_bounded_for_each_worker_and_in_all() {
        let mut world = World::new(20, 1);
        for i in 0..10 {
            let id: ServerId = format!("w{i}").into();
            world.list(&id, i + 1, 0.0, true);
            for _ in 0..20 {
                world.ask(&id);
            }
            assert!(world.view(&id).connecting <= CONNECTING);
        }
        assert_eq!(world.connecting.len(), 10, "half of the budget");
    }

    #[test]
    fn a_silent_workers_other_connections_are_suspect_until_it_is_heard_again() {
        let id: ServerId = "w".into();
        let mut world = World::new(100, 1);
        world.list(&id, 1, 0.0, true);
        let links = world.idle(&id, 3);
        let sent = world.now;
        world.now += 1.0;
        // Slow, not silent: something else came since.
        world.book.heard(world.now, &id, sent);
        world.book.silent(world.now, &id, sent);
        assert!(!world.view(&id).suspect);
        let (sent, asked) = (world.now + 0.1, world.ask(&id));
        assert_eq!(asked, Asked::Use(links[2]));
        world.now += 1.0;
        world.lose(links[2]);
        world.book.silent(world.now, &id, sent);
        assert!(matches!(world.ask(&id), Asked::Wait(_)), "none of the others is handed out");
        let link = *world.connecting.keys().next().expect("a connect");
        assert!(matches!(world.up(link), Placed::Granted(_)));
        assert!(world.idle.is_empty(), "whether it knows those from before is not told");
        assert!(!world.view(&id).suspect);
        // An answer on one from before clears the others.
        world.back(link);
        let links = world.idle(&id, 2);
        world.ask(&id);
        world.now += 1.0;
        world.book.silent(world.now, &id, world.now - 0.5);
        assert!(world.view(&id).suspect);
        world.book.heard(world.now, &id, world.now - 5.0);
        assert_eq!(world.ask(&id), Asked::Use(links[0]));
    }

    #[test]
    fn workers_that_exchange_addresses_or_start_anew_keep_no_connection_from_before() {
        let (one, two): (ServerId, ServerId) = ("one".into(), "two".into());
        let mut world = World::new(100, 1);
        world.list(&one, 1, 0.0, true);
        world.list(&two, 2, 0.0, true);
        world.idle(&one, 2);
        world.idle(&two, 1);
        let Asked::Use(used) = world.ask(&one) else { panic!("one is idle") };
        let Asked::Wait(waiter) = (0..2).map(|_| world.ask(&one)).last().expect("asked") else {
            panic!("none is idle")
        };
        world.now += 1.0;
        world.list(&one, 2, 0.0, true);
        world.list(&two, 1, 0.0, true);
        assert!(world.idle.is_empty());
        assert_eq!(world.back(used), Placed::Closed, "it leads to the other one");
        let link = *world.connecting.keys().next().expect("a connect");
        assert_eq!(world.up(link), Placed::Closed, "as does one that was under way");
        let link = *world.connecting.keys().next().expect("one in its place");
        assert_eq!(world.connecting[&link].1, addr(2));
        assert_eq!(world.up(link), Placed::Granted(waiter));
        world.back(link);
        world.now += 1.0;
        world.list(&one, 2, world.now, true);
        assert!(world.idle.is_empty(), "it has started anew");
        world.idle(&one, 1);
        world.list(&one, 2, world.now - 0.5, true);
        assert_eq!(world.idle.len(), 1, "told late: this came after that start");
        world.list(&one, 2, world.now - 0.5, false);
        assert!(world.idle.is_empty(), "it drains");
    }

    #[test]
    fn what_recent_demand_does_not_need_goes_early_and_not_in_step() {
        let mut ends = BTreeSet::new();
        for seed in 0..8 {
            let id: ServerId = "w".into();
            let mut world = World::new(100, seed);
            world.list(&id, 1, 0.0, true);
            world.idle(&id, 4);
            let start = world.now;
            while world.idle.len() > 1 {
                world.now += 0.01;
                // One is in use now and then.
                if let Asked::Use(link) = world.ask(&id) {
                    world.back(link);
                }
                world.sweep();
                assert!(world.now < start + KEEP, "only its limit closes it");
            }
            assert!(world.now > start + EARLY.0 * KEEP);
            ends.insert((world.now * 100.0) as u64);
            while !world.idle.is_empty() {
                world.now += 0.1;
                world.sweep();
            }
            assert!(world.now >= start + KEEP, "the last one stays to its limit");
        }
        assert!(ends.len() > 4, "{ends:?}");
    }

    #[test]
    fn under_pressure_the_least_useful_of_all_goes_and_none_in_use() {
        let (one, two): (ServerId, ServerId) = ("one".into(), "two".into());
        let mut world = World::new(4, 1);
        world.list(&one, 1, 0.0, true);
        world.list(&two, 2, 0.0, true);
        let needed = world.idle(&one, 1)[0];
        world.now += 1.0;
        world.idle(&two, 2);
        world.now += 2.0 * KEEP * DEMAND_MEMORY;
        world.ask(&two);
        let ids: Vec<ServerId> = (0..3).map(|i| ServerId::from(format!("n{i}"))).collect();
        ids.iter().for_each(|id| world.list(id, 9, 0.0, true));
        world.ask(&ids[0]);
        world.ask(&ids[1]);
        assert!(world.idle.contains_key(&needed), "the surplus one of the other went");
        assert_eq!(world.view(&two).idle, 0);
        while let Some(link) = world.connecting.keys().next().copied() {
            world.up(link);
        }
        world.ask(&ids[2]);
        assert!(world.idle.is_empty());
        let two_in_use = world.view(&two).in_use;
        assert_eq!((two_in_use, world.book.open()), (1, 4));
        let fourth: ServerId = "n3".into();
        world.list(&fourth, 9, 0.0, true);
        assert_eq!(world.ask(&fourth), Asked::No(NoLink::NoDescriptor));
    }

    #[test]
    fn a_list_that_replaces_every_worker_leaves_nothing_behind() {
        let mut world = World::new(100, 1);
        for i in 0..20 {
            let id: ServerId = format!("old{i}").into();
            world.list(&id, 1 + i, 0.0, true);
            world.idle(&id, 1);
        }
        let old: ServerId = "old0".into();
        let Asked::Use(used) = world.ask(&old) else { panic!("one is idle") };
        let new: ServerId = "new".into();
        world.list(&new, 99, 0.0, true);
        world.book.only(|id| id == &*new, &mut world.orders);
        world.carry_out();
        assert!(world.idle.is_empty());
        world.sweep();
        assert_eq!(world.book.views(world.now).len(), 2, "one still has a request");
        assert_eq!(world.back(used), Placed::Closed);
        world.sweep();
        assert_eq!(world.book.views(world.now).len(), 1);
    }

    #[test]
    fn a_shorter_idle_limit_and_a_smaller_budget_hold_at_once_for_what_is_idle() {
        let id: ServerId = "w".into();
        let mut world = World::new(100, 1);
        world.list(&id, 1, 0.0, true);
        world.idle(&id, 6);
        world.book.set_budget(world.now, 2, &mut world.orders);
        world.carry_out();
        assert_eq!(world.idle.len(), 2);
        world.now += 2.0;
        world.book.retune(world.now, Limits { keep: 1.0, ..limits() }, &mut world.orders);
        world.carry_out();
        assert!(world.idle.is_empty());
    }
}
