//! The I/O side of a gateway: owns the [`Gateway`] with its decisions, the clock, the timers and the open requests. It
//! turns what happens into events for the decisions and executes the actions that they return; it decides nothing itself.

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
    config::{Config, WorkerEntry, WorkerList, trial::AnswerCounts},
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

/// The process's memory limit divided by this is the budget for buffered bodies. During a handover two processes run.
const BODY_MEMORY_DIVISOR: usize = 10;

/// Settings of the connection pools, from the gateway's options.
fn pool_settings(options: &Options) -> pool::Settings {
    pool::Settings {
        worker_idle_timeout: options.connection_idle_timeout,
        gateway_count: options.settings.gateway_count,
        connect_timeout: Duration::from_secs_f64(options.connect_timeout),
    }
}

/// Guard that marks the driver as handling events, and clears the mark when it is dropped.
struct HandlingEvents<'a>(&'a Cell<bool>);

impl Drop for HandlingEvents<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Rate in units per second and burst in units of each plan, in the order of the settings.
pub fn plans(options: &Options) -> Vec<(f64, f64)> {
    options.settings.plans.iter().map(|p| (p.rate, p.burst)).collect()
}

/// Options that the decisions have accepted, ready for [`Driver::commit`].
pub struct PreparedOptions {
    settings: PreparedSettings,
    options: Rc<Options>,
}

/// Connects the decisions to sockets, timers and the other parts of the program. Everything runs on one thread, and no
/// `RefCell` borrow is kept across an await.
pub struct Driver {
    options: RefCell<Rc<Options>>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    events: RefCell<VecDeque<Event>>,
    is_handling: Cell<bool>,
    open_requests: RefCell<FnvHashMap<JobId, OpenRequest>>,
    last_job_number: Cell<u64>,
    timers: RefCell<TimerQueue>,
    lag: RecentLag,
    /// Notified when a timer is set that is due before all others.
    earlier_timer: Notify,
    pools: Rc<Pools>,
    workers: Workers,
    counter: Option<Counter>,
    /// File descriptors for connections to clients and to workers together.
    connection_descriptors: usize,
    /// By index of the class, whether clients have used it.
    used_classes: RefCell<Vec<bool>>,
    answers: Cell<AnswerCounts>,
    /// Whether another process has taken over from this one.
    has_handed_over: Cell<bool>,
    /// Whether the process is about to be killed: requests that still arrive are rejected at once.
    is_shutting_down: Cell<bool>,
    /// Memory for buffered request and answer bodies.
    budget: MemoryBudget,
    /// Takes request bodies whose remainder is to be read and dropped.
    discards: mpsc::UnboundedSender<DiscardedBody>,
    seed: u64,
    /// Exchange of spending and worker failures with the other gateways; `None` unless the configuration turns it on.
    fleet: RefCell<Option<Rc<Fleet>>>,
    /// Journal on disk; `None` where no state folder is configured.
    recovery: RefCell<Option<Rc<Recovery>>>,
    /// Whether discovery has sent a full list since the start.
    has_full_list: Cell<bool>,
    /// Sends messages to the other process of this gateway during a handover.
    other_process: RefCell<Option<mpsc::UnboundedSender<HandoverMessage>>>,
}

impl Driver {
    pub fn new(config: &Config, connection_descriptors: usize) -> Result<Rc<Self>, SettingsError> {
        let gateway = Gateway::new(config.options.settings.clone(), config.seed)?;
        let limit = Duration::from_secs_f64(config.options.settings.counter_timeout);
        let counter = config.counter.filter(|_| config.options.settings.has_counter);
        let clock = Clock::unix();
        let pools =
            Pools::new(connection_descriptors / 2, pool_settings(&config.options), clock, config.seed);
        let (discards, discarded) = mpsc::unbounded_channel();
        tokio::task::spawn_local(body::discard_all(discarded));
        let driver = Rc::new(Self {
            clock,
            gateway: RefCell::new(gateway),
            events: RefCell::default(),
            is_handling: Cell::new(false),
            open_requests: RefCell::default(),
            last_job_number: Cell::new(0),
            timers: RefCell::default(),
            lag: RecentLag::default(),
            earlier_timer: Notify::new(),
            workers: Workers::new(pools.clone()),
            pools,
            counter: counter.map(|addr| Counter::new(addr, limit)),
            connection_descriptors,
            used_classes: RefCell::new(vec![false; config.options.classes.len()]),
            answers: Cell::default(),
            has_handed_over: Cell::new(false),
            is_shutting_down: Cell::new(false),
            budget: MemoryBudget::new(config.memory / BODY_MEMORY_DIVISOR),
            discards,
            seed: config.seed,
            fleet: RefCell::default(),
            recovery: RefCell::default(),
            has_full_list: Cell::new(false),
            other_process: RefCell::default(),
            options: RefCell::new(Rc::new(config.options.clone())),
        });
        driver.update_workers(ListKind::Stale, config.known.clone());
        Ok(driver)
    }

    /// Opens a connection to the counter before the first call needs it.
    pub fn start_counter(self: &Rc<Self>) {
        if let Some(counter) = &self.counter {
            counter.start(self);
        }
    }

    /// Number of requests that have not been answered yet.
    pub fn waiting_requests(&self) -> usize {
        self.open_requests.borrow().values().filter(|o| o.answer.is_some()).count()
    }

    pub fn options(&self) -> Rc<Options> {
        self.options.borrow().clone()
    }

    /// Checks whether the decisions can change to `options`. Nothing changes before [`Driver::commit`].
    pub fn prepare(&self, options: Options) -> Result<PreparedOptions, SettingsError> {
        let settings = self.gateway.borrow().prepare(options.settings.clone())?;
        Ok(PreparedOptions { settings, options: Rc::new(options) })
    }

    /// Applies prepared options and the counter's address to all parts. It can't fail, so either all parts change or none.
    pub fn commit(&self, prepared: PreparedOptions, counter: Option<SocketAddr>) {
        let PreparedOptions { settings, options } = prepared;
        self.gateway.borrow_mut().commit(settings);
        self.pools.set_settings(pool_settings(&options));
        self.fleet.borrow().iter().for_each(|f| f.set_plans(plans(&options)));
        if let Some(counter_client) = &self.counter {
            counter_client.set_call_timeout(Duration::from_secs_f64(options.settings.counter_timeout));
            counter.into_iter().for_each(|addr| counter_client.set_address(addr));
        }
        // A class whose effect changes counts as a new one that no client has used.
        let before = self.options.replace(options.clone());
        let used = |name: &String, class: &Class| {
            let was = before.classes.iter().position(|n| n == name)?;
            let same = before.settings.classes.get(was)?.effect == class.effect;
            self.used_classes.borrow().get(was).copied().filter(|_| same)
        };
        let classes = options.classes.iter().zip(&options.settings.classes);
        let used = classes.map(|(name, class)| used(name, class).unwrap_or(false)).collect();
        self.used_classes.replace(used);
    }

    /// Whether clients have used the class of that name with its present effect.
    pub fn is_class_used(&self, class: &str) -> bool {
        let options = self.options.borrow();
        let at = options.classes.iter().position(|c| c == class);
        at.is_some_and(|at| self.used_classes.borrow().get(at).copied().unwrap_or(false))
    }

    /// Answers sent to clients since the start, and how many of them reported a failure.
    pub fn answers(&self) -> AnswerCounts {
        self.answers.get()
    }

    /// Whether another process has taken over from this one.
    pub fn has_handed_over(&self) -> bool {
        self.has_handed_over.get()
    }

    fn count_answer(&self, failed: bool) {
        let AnswerCounts { answers, failed: before } = self.answers.get();
        self.answers.set(AnswerCounts { answers: answers + 1, failed: before + u64::from(failed) });
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

    /// State of all zones as the decisions see it, as JSON for the admin API.
    pub fn zones(&self) -> String {
        let (options, now) = (self.options(), self.clock.now());
        let name = |zone: u32| usize::try_from(zone).ok().and_then(|z| options.zones.get(z).cloned());
        let zone_json = |z: &ZoneStatus| {
            json!({
                "zone": name(z.zone), "own": z.zone == options.settings.zone, "usable": z.usable, "cold": z.warming_up,
                "left_workers": z.servers - z.usable, "weight": z.weight, "share": z.traffic_share,
                "left": z.ejected.map(|(since, how)| json!({"since": since, "for_s": now - since, "why": how})),
            })
        };
        json!({ "zones": self.gateway.borrow().zones(now).iter().map(zone_json).collect::<Vec<_>>() })
            .to_string()
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

    /// Restores the state that an earlier process left on disk, if any, and from now on records in the journal what
    /// customers spend.
    pub fn set_recovery(&self, recovery: Rc<Recovery>, recovered: Option<RecoveredState>) {
        recovered.into_iter().for_each(|state| self.gateway.borrow_mut().recover(self.clock.now(), state));
        self.recovery.replace(Some(recovery));
    }

    /// The fleet's estimate of a customer's remaining quota, and the part of the other gateways that it covers; `None`:
    /// there is no estimate.
    fn fleet_view(&self, customer: &str) -> Option<PeerView> {
        let fleet = self.fleet()?;
        let known = fleet.spending(customer)?;
        let others = self.options.borrow().settings.gateway_count.saturating_sub(1).max(1);
        let coverage = (fleet.members() as f64 / f64::from(others)).min(1.0);
        Some(PeerView { level: known.level, age: known.age, coverage })
    }

    /// Passes one event to the decisions and executes the resulting actions. Events posted meanwhile are queued behind it.
    pub fn post(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.is_handling.replace(true) {
            return;
        }
        // Cleared on a panic of the decisions as well, so that other requests are still served.
        let _busy = HandlingEvents(&self.is_handling);
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            self.gateway.borrow_mut().handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(now, action));
        }
    }

    /// Applies a list of workers that discovery has sent.
    pub fn apply_discovery_list(self: &Rc<Self>, list: WorkerList) {
        self.has_full_list.set(self.has_full_list.get() || list.full);
        self.recovery.borrow().iter().for_each(|r| r.record_worker_list(&list));
        self.update_workers(if list.full { ListKind::Full } else { ListKind::Changes }, list.servers);
    }

    /// Applies changes of workers to the pools, the fleet and the decisions. Only the pools learn addresses, as those
    /// may differ between gateways.
    pub fn update_workers(self: &Rc<Self>, kind: ListKind, entries: Vec<WorkerEntry>) {
        let (mut servers, options) = (Vec::with_capacity(entries.len()), self.options());
        for entry in entries {
            let Some(server) = worker_list::server(&entry, &options.zones) else { continue };
            // An entry without a readable address leaves the known address in place.
            let (addr, lifecycle) = (entry.addr.parse().ok(), server.lifecycle);
            let (wanted, gone) = (lifecycle == Lifecycle::Running, lifecycle == Lifecycle::Gone);
            self.pools.update_worker(&server.id, addr, server.started, wanted, gone);
            self.fleet.borrow().iter().for_each(|f| f.register_worker(&server.id));
            servers.push(server);
        }
        if kind != ListKind::Changes {
            let named: FnvHashSet<&str> = servers.iter().map(|s| &*s.id).collect();
            self.pools.retain_workers(|id| named.contains(id));
        }
        self.post(Event::List { kind, servers });
    }

    /// Sets a worker offline or online for an operator. Returns `false` if no list has ever named it.
    pub fn set_worker_offline(&self, id: &str, is_offline: bool) -> bool {
        let known = self.gateway.borrow_mut().set_offline(self.clock.now(), id, is_offline);
        if known {
            self.pools.set_worker_disabled(id, is_offline);
        }
        self.recovery.borrow().iter().filter(|_| known).for_each(|r| r.record_worker_offline(id, is_offline));
        let state = if is_offline { "offline" } else { "online" };
        info!(
            "worker {id:?} {state}: {}",
            if known { "done" } else { "unknown worker, not in any list so far" }
        );
        known
    }

    /// Closes connections to workers that have been idle for too long or are no longer needed.
    pub fn sweep(&self) {
        self.pools.sweep();
    }
}

impl CounterCaller for Driver {
    fn counter(&self) -> Option<&Counter> {
        self.counter.as_ref()
    }

    fn call_ended(self: &Rc<Self>, event: Event) {
        self.post(event);
    }
}
