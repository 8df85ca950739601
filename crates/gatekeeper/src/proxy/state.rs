//! What the proxy's requests share: the configuration, the workers and the connections to them. Each part owns its state;
//! this wires them up with what control sends.

use crate::{
    feed::{ControlView, Workers},
    lease::ProgramLeases,
    proxy::{
        balance::{Balancer, WorkerId},
        body::BodyMemory,
        failed_requests::FailedRequests,
        freshness::Freshness,
        metrics::ProxyMetrics,
        services::Services,
        worker_connections::WorkerConnections,
    },
    turns::Turns,
};
use opalrun_configuration::{Configuration, Limits};
use opalrun_settings::Settings;
use opalrun_store_client::StoreClient;
use opalrun_transport::pool::Pools;
use opalrun_wire::{
    feed::{StoreMap, WorkerFailures, stable_hash},
    ids::Epoch,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Descriptors that are kept for other things than connections.
const RESERVED_DESCRIPTORS: u64 = 260;
/// Share of the memory limit that all bodies together may take.
const BODY_MEMORY_SHARE: f64 = 0.15;
/// Memory for what was said in recent turns.
const TURN_CACHE_BYTES: usize = 8 << 20;
const BYTES_PER_MB: f64 = 1e6;

/// The state of the proxy, shared by all its requests.
pub struct Proxy {
    started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    services: Services,
    connections: WorkerConnections,
    /// What the configuration in force allows clients.
    limits: watch::Sender<Limits>,
    freshness: Freshness,
    is_shutting_down: Cell<bool>,
    /// Memory for the bodies of requests.
    pub(super) memory: BodyMemory,
    /// What programs may still spend here.
    pub(super) leases: ProgramLeases<Rc<StoreClient>>,
    /// What was said in earlier turns.
    pub(super) turns: Turns<Rc<StoreClient>>,
    /// What is counted for scrapers.
    pub(super) metrics: ProxyMetrics,
    /// Counts and logs requests that got no complete answer.
    pub(super) failed_requests: Rc<FailedRequests>,
    pub(super) store_client: Rc<StoreClient>,
    store_epoch: Cell<Epoch>,
}

impl Proxy {
    /// With nothing known yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Rc<Self> {
        let started = Instant::now();
        let store_client = StoreClient::new(fastrand::u64(..), &settings.zone);
        let body_bytes = (settings.limits.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE) as usize;
        Rc::new(Self {
            started,
            configuration: RefCell::default(),
            services: Services::new(&settings.zone, stable_hash(settings.node_name.as_bytes())),
            connections: WorkerConnections::new(connections_to_workers(settings)),
            limits: watch::Sender::default(),
            freshness: Freshness::new(started),
            is_shutting_down: Cell::new(false),
            memory: BodyMemory::new(body_bytes),
            leases: ProgramLeases::new(store_client.clone(), fastrand::u64(..)),
            turns: Turns::new(store_client.clone(), TURN_CACHE_BYTES),
            metrics: ProxyMetrics::default(),
            failed_requests: Rc::default(),
            store_client,
            store_epoch: Cell::new(Epoch(0)),
        })
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The newest configuration.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// What the configuration in force allows clients, and a notification of its changes.
    #[must_use]
    pub fn limits(&self) -> watch::Receiver<Limits> {
        self.limits.subscribe()
    }

    /// Whether new clients are welcome: the proxy knows what holds, and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.borrow().is_some()
            && self.freshness.was_confirmed()
            && !self.is_shutting_down.get()
    }

    /// Requests of this gatekeeper that are at a worker.
    #[must_use]
    pub fn in_flight(&self, service: &str, worker: &str) -> u32 {
        self.with_balancer(service, |balancer| balancer.in_flight(worker))
    }

    /// Whether what is known was fresh a short while ago, so that a route that is not known does not exist.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.freshness.is_fresh()
    }

    /// For how long what is known has not been fresh; `None` where it never was.
    #[must_use]
    pub fn feed_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// A graceful shutdown has begun: the proxy is no longer ready.
    pub fn stop(&self) {
        self.is_shutting_down.set(true);
    }

    /// Works with the balancer of a service.
    pub(super) fn with_balancer<T>(&self, service: &str, work: impl FnOnce(&mut Balancer) -> T) -> T {
        self.services.with_balancer(service, work)
    }

    /// The connections to workers.
    pub(super) fn pools(&self) -> &Rc<Pools> {
        &self.connections.pools
    }

    // ---- What control sends ----

    /// Applies what control has sent.
    pub fn apply(&self, view: &ControlView) {
        self.set_gatekeepers(view.gatekeepers);
        self.set_store_map(&view.store_map);
        // Workers first: a configuration that is in force should find those of its services.
        self.set_workers(&view.workers);
        self.services.set_suspects(self.now(), &view.suspects);
        if let Some(newest) = &view.configuration {
            self.set_configuration(newest.configuration.clone());
        }
        self.apply_freshness(view);
    }

    /// Requests that failed at workers since this was last asked.
    pub(super) fn take_failures(&self) -> Vec<WorkerFailures> {
        self.services.take_failures()
    }

    /// Applies only when control last confirmed what is known.
    pub fn apply_freshness(&self, view: &ControlView) {
        if let Some(at) = view.fresh_at {
            self.confirm_freshness(at.into_std());
        }
    }

    /// A newer configuration is in force; an older one is ignored.
    pub fn set_configuration(&self, configuration: Rc<Configuration>) {
        let known = self.configuration.borrow().as_ref().map(|known| known.generation);
        if known.is_some_and(|known| known >= configuration.generation) {
            return;
        }
        for service in configuration.services.values() {
            let tokens = service.engine.as_ref().map_or(0, |engine| engine.kv_capacity);
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            self.with_balancer(&service.name, |balancer| balancer.set_kv_cache_tokens(tokens));
        }
        self.limits.send_if_modified(|limits| std::mem::replace(limits, configuration.limits) != *limits);
        self.configuration.replace(Some(configuration));
        self.set_connection_limits();
    }

    /// So many gatekeepers share the connections that workers take.
    pub fn set_gatekeepers(&self, gatekeepers: u32) {
        if self.services.set_gatekeepers(gatekeepers) {
            self.set_connection_limits();
        }
    }

    /// Which store holds what.
    pub fn set_store_map(&self, map: &StoreMap) {
        if self.store_epoch.replace(map.epoch) != map.epoch {
            self.store_client.set_map(map.clone());
        }
    }

    /// Returns what turns in flight do not need of their programs' budgets; `false`: not all in time.
    pub(super) async fn return_unused_units(&self, limit: Duration) -> bool {
        self.leases.drain(limit).await
    }

    /// What is known was confirmed at `at`.
    pub fn confirm_freshness(&self, at: Instant) {
        self.freshness.confirm(at);
    }

    /// All workers that are known; those that are not among them are gone.
    pub fn set_workers(&self, workers: &HashMap<String, Workers>) {
        self.services.set_workers(self.now(), workers);
        self.connections.set_workers(workers);
        self.set_connection_limits();
    }

    /// Each worker's connections are shared evenly by the gatekeepers.
    fn set_connection_limits(&self) {
        if let Some(configuration) = &*self.configuration.borrow() {
            self.connections.set_limits(configuration, &self.services);
        }
    }

    /// A worker keeps idle connections for so many seconds.
    pub(super) fn record_keep_alive(&self, worker: &WorkerId, seconds: u32) {
        if self.connections.record_keep_alive(worker, seconds) {
            self.set_connection_limits();
        }
    }
}

/// Connections to all workers together.
fn connections_to_workers(settings: &Settings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    usize::try_from(free / 3).unwrap_or(usize::MAX).max(1)
}

/// Connections of clients.
pub(super) fn connections_of_clients(settings: &Settings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    usize::try_from(free / 2).unwrap_or(usize::MAX).max(1)
}
