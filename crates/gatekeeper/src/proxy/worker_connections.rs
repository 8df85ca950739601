//! Connection pools of the workers, and the connection limits of each worker.

use crate::{
    feed::Workers,
    proxy::{balance::WorkerId, services::Services},
};
use fnv::{FnvHashMap, FnvHashSet};
use opalrun_configuration::Configuration;
use opalrun_transport::{
    clock::Clock,
    pool::{self, Pools, WorkerLimits},
};
use opalrun_wire::feed::WorkerState;
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// Seconds after which a worker that sends no `Keep-Alive` header is assumed to close an idle connection.
const DEFAULT_IDLE_LIMIT_S: f64 = 5.0;
/// Time-out for establishing a connection to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of connections to a worker whose service is not in the configuration.
const DEFAULT_WORKER_CONNECTIONS: u32 = 64;

/// The connection pools, and the keep-alive times that workers have announced.
pub struct WorkerConnections {
    /// The connection pools of all workers.
    pub pools: Rc<Pools>,
    /// Seconds for which a worker keeps idle connections open, for workers that announce it.
    keep_alive_s: RefCell<FnvHashMap<WorkerId, u32>>,
}

impl WorkerConnections {
    /// Creates pools of at most `max_connections` connections to all workers together.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        let settings = pool::Settings {
            worker_idle_timeout: DEFAULT_IDLE_LIMIT_S,
            gateway_count: 1,
            connect_timeout: CONNECT_TIMEOUT,
        };
        Self {
            pools: Pools::new(max_connections, settings, Clock::monotonic(), fastrand::u64(..)),
            keep_alive_s: RefCell::default(),
        }
    }

    /// Replaces the known workers, by service, and closes the connections to all others.
    pub fn set_workers(&self, workers: &HashMap<String, Workers>) {
        let all = || workers.values().flat_map(Workers::values);
        let ids: FnvHashSet<&str> = all().map(|worker| worker.id.as_str()).collect();
        self.pools.retain_workers(|id| ids.contains(id));
        for worker in all() {
            let ready = worker.state == WorkerState::Ready;
            let id = WorkerId::from(worker.id.as_str());
            self.pools.update_worker(&id, worker.address.parse().ok(), 0.0, ready, false);
        }
    }

    /// Sets the limit of connections to each worker: an even share for each gatekeeper, and at least one.
    pub fn set_limits(&self, configuration: &Configuration, services: &Services) {
        let keep_alive_s = self.keep_alive_s.borrow();
        services.for_each_worker(|service, id| {
            let configured = configuration.service(service).map(|service| service.max_connections);
            let max_connections = configured.unwrap_or(DEFAULT_WORKER_CONNECTIONS);
            let share = (max_connections / services.gatekeepers()).max(1) as usize;
            let idle = keep_alive_s.get(id).copied().map(f64::from);
            self.pools
                .set_worker_limits(id, WorkerLimits { max_connections: Some(share), idle_timeout: idle });
        });
    }

    /// Records for how many seconds a worker keeps idle connections open. Returns whether that has changed.
    pub fn record_keep_alive(&self, worker: &WorkerId, seconds: u32) -> bool {
        let before = self.keep_alive_s.borrow_mut().insert(worker.clone(), seconds);
        before != Some(seconds)
    }
}
