//! The I/O side of a gateway: owns the one [`Gateway`], its clock, its timers and the requests in hand, turns what happens
//! into events and carries out the actions. It decides nothing.

mod actions;
mod handover;
mod open_request;
mod request_deadline;
mod requests;
mod sites;
#[cfg(test)]
mod tests;
mod timer_queue;
mod timers;

pub use open_request::{Answer, ClientRequest};

use crate::{
    config::{Config, WorkerEntry, WorkerList, trial::Tally},
    counter::{Counter, CounterCaller},
    fleet::Fleet,
    handover_message::HandoverMessage,
    recovery::Recovery,
    worker_list,
    workers::Workers,
};
use fnv::{FnvHashMap, FnvHashSet};
use opalrun_gateway::{
    Class, Event, Gateway, JobId, Lifecycle, ListKind, Options, PeerView, PreparedSettings, RecoveredState,
    SettingsError, Time, ZoneStatus,
};
use opalrun_transport::{
    body::{self, DiscardedBody, MemoryBudget},
    clock::Clock,
    pool::{self, Pools},
};
use open_request::OpenRequest;
use request_deadline::RecentLag;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use timer_queue::TimerQueue;
use tokio::sync::{Notify, mpsc};
use tracing::info;

/// One over the share of the memory that may buffer bodies: there may be two processes.
const BUFFER_SHARE: usize = 10;

/// What the settings say of the connections to workers.
fn pool_settings(options: &Options) -> pool::Settings {
    pool::Settings {
        idle_limit: options.connection_idle_timeout,
        sharers: options.settings.gateway_count,
        connect_timeout: Duration::from_secs_f64(options.connect_timeout),
    }
}

/// Events are being handed to the decisions; ends when it is dropped.
struct HandlingEvents<'a>(&'a Cell<bool>);

impl Drop for HandlingEvents<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Rate and burst of each plan.
pub fn plans(options: &Options) -> Vec<(f64, f64)> {
    options.settings.plans.iter().map(|p| (p.rate, p.burst)).collect()
}

/// Options that all parts can change to.
pub struct PreparedOptions {
    retune: PreparedSettings,
    options: Rc<Options>,
}

/// See the module. All of it runs on one thread; no borrow is kept across an await.
pub struct Driver {
    options: RefCell<Rc<Options>>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    events: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    open: RefCell<FnvHashMap<JobId, OpenRequest>>,
    jobs: Cell<u64>,
    timers: RefCell<TimerQueue>,
    lag: RecentLag,
    /// A timer was set that is earlier than all others.
    earlier_timer: Notify,
    pools: Rc<Pools>,
    workers: Workers,
    counter: Option<Counter>,
    /// Descriptors for clients and for workers together.
    share: usize,
    /// By class, whether clients have used it.
    used: RefCell<Vec<bool>>,
    answers: Cell<Tally>,
    leaving: Cell<bool>,
    /// The process is about to be killed: what comes now is answered at once.
    ending: Cell<bool>,
    /// What may be buffered of bodies.
    budget: MemoryBudget,
    /// Bodies that nobody wants any more.
    discards: mpsc::UnboundedSender<DiscardedBody>,
    seed: u64,
    /// The other gateways, where they are heard of.
    fleet: RefCell<Option<Rc<Fleet>>>,
    /// What is kept on disk, where the configuration has a folder for it.
    recovery: RefCell<Option<Rc<Recovery>>>,
    /// Discovery has told the whole list.
    listed: Cell<bool>,
    /// Messages to the other process of this gateway, while there are two.
    other_process: RefCell<Option<mpsc::UnboundedSender<HandoverMessage>>>,
}

impl Driver {
    pub fn new(config: &Config, share: usize) -> Result<Rc<Self>, SettingsError> {
        let gateway = Gateway::new(config.options.settings.clone(), config.seed)?;
        let limit = Duration::from_secs_f64(config.options.settings.counter_timeout);
        let counter = config.counter.filter(|_| config.options.settings.has_counter);
        let clock = Clock::unix();
        let pools = Pools::new(share / 2, pool_settings(&config.options), clock, config.seed);
        let (discards, discarded) = mpsc::unbounded_channel();
        tokio::task::spawn_local(body::discard_all(discarded));
        let driver = Rc::new(Self {
            clock,
            gateway: RefCell::new(gateway),
            events: RefCell::default(),
            is_handling: Cell::new(false),
            open: RefCell::default(),
            jobs: Cell::new(0),
            timers: RefCell::default(),
            lag: RecentLag::default(),
            earlier_timer: Notify::new(),
            workers: Workers::new(pools.clone()),
            pools,
            counter: counter.map(|addr| Counter::new(addr, limit)),
            share,
            used: RefCell::new(vec![false; config.options.classes.len()]),
            answers: Cell::default(),
            leaving: Cell::new(false),
            ending: Cell::new(false),
            budget: MemoryBudget::new(config.memory / BUFFER_SHARE),
            discards,
            seed: config.seed,
            fleet: RefCell::default(),
            recovery: RefCell::default(),
            listed: Cell::new(false),
            other_process: RefCell::default(),
            options: RefCell::new(Rc::new(config.options.clone())),
        });
        driver.list(ListKind::Stale, config.known.clone());
        Ok(driver)
    }

    /// Connects to the counter before the first call needs it.
    pub fn start_counter(self: &Rc<Self>) {
        if let Some(counter) = &self.counter {
            counter.start(self);
        }
    }

    /// How many requests wait for their answer.
    pub fn in_hand(&self) -> usize {
        self.open.borrow().values().filter(|o| o.answer.is_some()).count()
    }

    pub fn options(&self) -> Rc<Options> {
        self.options.borrow().clone()
    }

    /// Whether the parts can change to `options`. Nothing changes before [`Driver::commit`].
    pub fn prepare(&self, options: Options) -> Result<PreparedOptions, SettingsError> {
        let retune = self.gateway.borrow().prepare(options.settings.clone())?;
        Ok(PreparedOptions { retune, options: Rc::new(options) })
    }

    /// Changes all parts at once; nothing here can fail.
    pub fn commit(&self, prepared: PreparedOptions, counter: Option<SocketAddr>) {
        let PreparedOptions { retune, options } = prepared;
        self.gateway.borrow_mut().commit(retune);
        self.pools.retune(pool_settings(&options));
        self.fleet.borrow().iter().for_each(|f| f.retune(plans(&options)));
        if let Some(part) = &self.counter {
            part.retune(Duration::from_secs_f64(options.settings.counter_timeout));
            counter.into_iter().for_each(|addr| part.move_to(addr));
        }
        // A class is in use under its effect: another one makes it a new class.
        let before = self.options.replace(options.clone());
        let used = |name: &String, class: &Class| {
            let was = before.classes.iter().position(|n| n == name)?;
            let same = before.settings.classes.get(was)?.effect == class.effect;
            self.used.borrow().get(was).copied().filter(|_| same)
        };
        let classes = options.classes.iter().zip(&options.settings.classes);
        let used = classes.map(|(name, class)| used(name, class).unwrap_or(false)).collect();
        self.used.replace(used);
    }

    /// Whether clients have used the class of that name, under its present effect.
    pub fn uses(&self, class: &str) -> bool {
        let options = self.options.borrow();
        let at = options.classes.iter().position(|c| c == class);
        at.is_some_and(|at| self.used.borrow().get(at).copied().unwrap_or(false))
    }

    /// Answers given since the start, and those of them that failed.
    pub fn answers(&self) -> Tally {
        self.answers.get()
    }

    /// Another process has taken over from this one.
    pub fn leaving(&self) -> bool {
        self.leaving.get()
    }

    fn count_answer(&self, failed: bool) {
        let Tally { answers, failed: before } = self.answers.get();
        self.answers.set(Tally { answers: answers + 1, failed: before + u64::from(failed) });
    }

    pub fn memory_budget(&self) -> &MemoryBudget {
        &self.budget
    }

    pub fn discards(&self) -> &mpsc::UnboundedSender<DiscardedBody> {
        &self.discards
    }

    pub fn pools(&self) -> &Rc<Pools> {
        &self.pools
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// What the module knows of the zones, as JSON.
    pub fn zones(&self) -> String {
        let (options, now) = (self.options(), self.clock.now());
        let name = |zone: u32| usize::try_from(zone).ok().and_then(|z| options.zones.get(z).cloned());
        let told = |z: &ZoneStatus| {
            json!({
                "zone": name(z.zone), "own": z.zone == options.settings.zone, "usable": z.usable, "cold": z.warming_up,
                "left_workers": z.servers - z.usable, "weight": z.weight, "share": z.traffic_share,
                "left": z.ejected.map(|(since, how)| json!({"since": since, "for_s": now - since, "why": how})),
            })
        };
        json!({ "zones": self.gateway.borrow().zones(now).iter().map(told).collect::<Vec<_>>() }).to_string()
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    pub fn fleet(&self) -> Option<Rc<Fleet>> {
        self.fleet.borrow().clone()
    }

    pub fn recovery(&self) -> Option<Rc<Recovery>> {
        self.recovery.borrow().clone()
    }

    /// Goes on from what an earlier process left on disk, and writes down there what is sent on from now on.
    pub fn set_recovery(&self, recovery: Rc<Recovery>, kept: Option<RecoveredState>) {
        kept.into_iter().for_each(|kept| self.gateway.borrow_mut().recover(self.clock.now(), kept));
        self.recovery.replace(Some(recovery));
    }

    /// What others are known to have left of a customer's quota.
    fn view(&self, customer: &str) -> Option<PeerView> {
        let fleet = self.fleet()?;
        let known = fleet.spending(customer)?;
        let others = self.options.borrow().settings.gateway_count.saturating_sub(1).max(1);
        let part = (fleet.members() as f64 / f64::from(others)).min(1.0);
        Some(PeerView { level: known.level, age: known.age, coverage: part })
    }

    /// Hands the decisions one event and carries out what it wants; events that this leads to come after it.
    pub fn post(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        // Given back also if the decisions panic: the requests of others go on.
        let _busy = HandlingEvents(&self.is_handling);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            self.gateway.borrow_mut().handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(now, action));
        }
    }

    /// Discovery sent a list.
    pub fn discovery_listed(self: &Rc<Self>, list: WorkerList) {
        self.listed.set(self.listed.get() || list.full);
        self.recovery.borrow().iter().for_each(|r| r.listed(&list));
        self.list(if list.full { ListKind::Full } else { ListKind::Changes }, list.servers);
    }

    /// News of the workers. Names are mapped to addresses here, which are each gateway's own.
    pub fn list(self: &Rc<Self>, kind: ListKind, entries: Vec<WorkerEntry>) {
        let (mut servers, options) = (Vec::with_capacity(entries.len()), self.options());
        for entry in entries {
            let Some(server) = worker_list::server(&entry, &options.zones) else { continue };
            // Without a readable address what was known of it stays.
            let (addr, lifecycle) = (entry.addr.parse().ok(), server.lifecycle);
            let (wanted, gone) = (lifecycle == Lifecycle::Running, lifecycle == Lifecycle::Gone);
            self.pools.listed(&server.id, addr, server.started, wanted, gone);
            self.fleet.borrow().iter().for_each(|f| f.names(&server.id));
            servers.push(server);
        }
        if kind != ListKind::Changes {
            let named: FnvHashSet<&str> = servers.iter().map(|s| &*s.id).collect();
            self.pools.only(|id| named.contains(id));
        }
        self.post(Event::List { kind, servers });
    }

    /// Takes a worker out by hand, or puts it back; `false`: no list has ever named it.
    pub fn set_worker_offline(&self, id: &str, out: bool) -> bool {
        let known = self.gateway.borrow_mut().set_offline(self.clock.now(), id, out);
        if known {
            self.pools.set_aside(id, out);
        }
        self.recovery.borrow().iter().filter(|_| known).for_each(|r| r.hand(id, out));
        let what = if out { "offline" } else { "online" };
        info!("worker {id:?} {what}: {}", if known { "done" } else { "no list has named it" });
        known
    }

    /// Closes idle connections that are due or no longer wanted.
    pub fn sweep(&self) {
        self.pools.sweep();
    }
}

impl CounterCaller for Driver {
    fn counter(&self) -> Option<&Counter> {
        self.counter.as_ref()
    }

    fn counted(self: &Rc<Self>, event: Event) {
        self.post(event);
    }
}
