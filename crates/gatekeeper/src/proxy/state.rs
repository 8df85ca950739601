//! State shared by all requests of the proxy: the configuration, the workers and the connections to them. Each component
//! owns its state; this module applies the updates from control to them.

use crate::{
    feed::{ControlView, Workers},
    lease::ProgramLeases,
    memory::MemoryBudget,
    proxy::{
        balance::{Balancer, WorkerId},
        failed_requests::FailedRequests,
        freshness::Freshness,
        metrics::ProxyMetrics,
        services::Services,
        worker_connections::WorkerConnections,
    },
    turns::{TurnMemory, Turns},
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

/// File descriptors reserved for purposes other than connections.
const RESERVED_DESCRIPTORS: u64 = 260;
/// Share of the memory limit that all request bodies together may take.
const BODY_MEMORY_SHARE: f64 = 0.15;
/// Share of the memory limit that all turns in memory together may take: those of requests in progress, and the cache.
const TURN_MEMORY_SHARE: f64 = 0.25;
/// Capacity of the cache of recent turns.
const TURN_CACHE_BYTES: usize = 8 << 20;
const BYTES_PER_MB: f64 = 1e6;

/// State of the proxy, shared by all its requests.
pub struct Proxy {
    started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    services: Services,
    connections: WorkerConnections,
    /// Limits for clients from the current configuration.
    limits: watch::Sender<Limits>,
    freshness: Freshness,
    is_shutting_down: Cell<bool>,
    /// Memory budget for request bodies.
    pub(super) body_memory: MemoryBudget,
    /// Leases of the programs' budget units.
    pub(super) leases: ProgramLeases<Rc<StoreClient>>,
    /// Reads and stores retained turns.
    pub(super) turns: Turns<Rc<StoreClient>>,
    /// Metrics of requests and turns.
    pub(super) metrics: ProxyMetrics,
    /// Counts and logs requests that received no complete answer.
    pub(super) failed_requests: Rc<FailedRequests>,
    pub(super) store_client: Rc<StoreClient>,
    store_epoch: Cell<Epoch>,
}

impl Proxy {
    /// Creates the proxy without a configuration, workers or stores.
    #[must_use]
    pub fn new(settings: &Settings) -> Rc<Self> {
        let started = Instant::now();
        let store_client = StoreClient::new(fastrand::u64(..), &settings.zone);
        let turn_memory = TurnMemory::new(memory_bytes(settings, TURN_MEMORY_SHARE), TURN_CACHE_BYTES);
        Rc::new(Self {
            started,
            configuration: RefCell::default(),
            services: Services::new(&settings.zone, stable_hash(settings.node_name.as_bytes())),
            connections: WorkerConnections::new(max_worker_connections(settings)),
            limits: watch::Sender::default(),
            freshness: Freshness::new(started),
            is_shutting_down: Cell::new(false),
            body_memory: MemoryBudget::new(memory_bytes(settings, BODY_MEMORY_SHARE)),
            leases: ProgramLeases::new(store_client.clone(), fastrand::u64(..)),
            turns: Turns::new(store_client.clone(), turn_memory),
            metrics: ProxyMetrics::default(),
            failed_requests: Rc::default(),
            store_client,
            store_epoch: Cell::new(Epoch(0)),
        })
    }

    /// Returns the time since the proxy was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the newest configuration; `None` before the first one was received.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns a receiver of the limits for clients, which is notified of their changes.
    #[must_use]
    pub fn limits(&self) -> watch::Receiver<Limits> {
        self.limits.subscribe()
    }

    /// Whether the proxy accepts new clients: it has a configuration that control has confirmed, and is not shutting
    /// down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.borrow().is_some()
            && self.freshness.was_confirmed()
            && !self.is_shutting_down.get()
    }

    /// Returns the number of this gatekeeper's requests in flight at a worker.
    #[must_use]
    pub fn in_flight(&self, service: &str, worker: &str) -> u32 {
        self.with_balancer(service, |balancer| balancer.in_flight(worker))
    }

    /// Whether control has confirmed this gatekeeper's state recently enough that a route missing from the configuration
    /// certainly does not exist.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.freshness.is_fresh()
    }

    /// Returns the time since control last confirmed this gatekeeper's state; `None` when it never did.
    #[must_use]
    pub fn feed_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// Marks the proxy as shutting down, so that it is no longer ready.
    pub fn stop(&self) {
        self.is_shutting_down.set(true);
    }

    /// Calls `work` with the balancer of a service.
    pub(super) fn with_balancer<T>(&self, service: &str, work: impl FnOnce(&mut Balancer) -> T) -> T {
        self.services.with_balancer(service, work)
    }

    /// Returns the connection pools of all workers.
    pub(super) fn pools(&self) -> &Rc<Pools> {
        &self.connections.pools
    }

    // ---- Updates from control ----

    /// Applies the state that control has sent.
    pub fn apply(&self, view: &ControlView) {
        self.set_gatekeepers(view.gatekeepers);
        self.set_store_map(&view.store_map);
        // The workers are set first, so that a new configuration finds the workers of its services.
        self.set_workers(&view.workers);
        self.services.set_suspects(self.now(), &view.suspects);
        if let Some(newest) = &view.configuration {
            self.set_configuration(newest.configuration.clone());
        }
        self.apply_freshness(view);
    }

    /// Returns the request failures at workers since the last call.
    pub(super) fn take_failures(&self) -> Vec<WorkerFailures> {
        self.services.take_failures()
    }

    /// Applies only the time at which control last confirmed this gatekeeper's state.
    pub fn apply_freshness(&self, view: &ControlView) {
        if let Some(at) = view.fresh_at {
            self.confirm_freshness(at.into_std());
        }
    }

    /// Applies a configuration; one that is not newer than the current one is ignored.
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

    /// Sets the number of gatekeepers that share each worker's connections.
    pub fn set_gatekeepers(&self, gatekeepers: u32) {
        if self.services.set_gatekeepers(gatekeepers) {
            self.set_connection_limits();
        }
    }

    /// Sets the map of partitions to stores; a map with an unchanged epoch is ignored.
    pub fn set_store_map(&self, map: &StoreMap) {
        if self.store_epoch.replace(map.epoch) != map.epoch {
            self.store_client.set_map(map.clone());
        }
    }

    /// Returns the leased units that turns in flight do not need to their programs' budgets. The result is `false` when
    /// the stores did not acknowledge all writes before the time-out.
    pub(super) async fn return_unused_units(&self, timeout: Duration) -> bool {
        self.leases.drain(timeout).await
    }

    /// Records that control confirmed this gatekeeper's state at `at`.
    pub fn confirm_freshness(&self, at: Instant) {
        self.freshness.confirm(at);
    }

    /// Replaces the known workers, by service. Workers missing from `workers` are removed.
    pub fn set_workers(&self, workers: &HashMap<String, Workers>) {
        self.services.set_workers(self.now(), workers);
        self.connections.set_workers(workers);
        self.set_connection_limits();
    }

    /// Sets the limit of connections to each worker: an even share for each gatekeeper.
    fn set_connection_limits(&self) {
        if let Some(configuration) = &*self.configuration.borrow() {
            self.connections.set_limits(configuration, &self.services);
        }
    }

    /// Records for how many seconds a worker keeps idle connections open.
    pub(super) fn record_keep_alive(&self, worker: &WorkerId, seconds: u32) {
        if self.connections.record_keep_alive(worker, seconds) {
            self.set_connection_limits();
        }
    }
}

/// Returns a share of the memory limit, in bytes.
fn memory_bytes(settings: &Settings, share: f64) -> usize {
    (settings.limits.memory_mb * BYTES_PER_MB * share) as usize
}

/// Returns the maximum number of connections to all workers together.
fn max_worker_connections(settings: &Settings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    usize::try_from(free / 3).unwrap_or(usize::MAX).max(1)
}

/// Returns the maximum number of connections of clients.
pub(super) fn max_client_connections(settings: &Settings) -> usize {
    let free = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS);
    usize::try_from(free / 2).unwrap_or(usize::MAX).max(1)
}
