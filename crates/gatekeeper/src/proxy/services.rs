//! One balancer for each service, with the service's workers.

use crate::{
    feed::Workers,
    proxy::balance::{Balancer, WorkerId},
};
use fnv::FnvHashMap;
use opalrun_wire::feed::WorkerFailures;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

/// The balancers of all services, shared by all requests. Each use borrows them for one call that does not wait.
pub struct Services {
    zone: String,
    /// Identifier of this gatekeeper among all gatekeepers.
    gatekeeper: u64,
    /// Number of gatekeepers that share the services.
    gatekeepers: Cell<u32>,
    balancers: RefCell<FnvHashMap<String, Balancer>>,
}

impl Services {
    /// Starts without services, for a gatekeeper in `zone`. One gatekeeper is assumed until
    /// [`set_gatekeepers`](Self::set_gatekeepers) is called.
    #[must_use]
    pub fn new(zone: &str, gatekeeper: u64) -> Self {
        Self { zone: zone.to_owned(), gatekeeper, gatekeepers: Cell::new(1), balancers: RefCell::default() }
    }

    /// Calls `work` with the balancer of a service, which is created if it does not exist.
    pub fn with_balancer<T>(&self, service: &str, work: impl FnOnce(&mut Balancer) -> T) -> T {
        let mut balancers = self.balancers.borrow_mut();
        if !balancers.contains_key(service) {
            let mut balancer = Balancer::new(&self.zone, self.gatekeeper);
            balancer.set_gatekeepers(self.gatekeepers.get());
            balancers.insert(service.to_owned(), balancer);
        }
        let new = || Balancer::new(&self.zone, self.gatekeeper);
        work(balancers.entry(service.to_owned()).or_insert_with(new))
    }

    /// Returns the number of gatekeepers that share the services.
    #[must_use]
    pub fn gatekeepers(&self) -> u32 {
        self.gatekeepers.get()
    }

    /// Sets the number of gatekeepers that share the services. Returns whether it has changed.
    pub fn set_gatekeepers(&self, gatekeepers: u32) -> bool {
        let gatekeepers = gatekeepers.max(1);
        let changed = self.gatekeepers.replace(gatekeepers) != gatekeepers;
        if changed {
            self.balancers.borrow_mut().values_mut().for_each(|b| b.set_gatekeepers(gatekeepers));
        }
        changed
    }

    /// Replaces the known workers, by service. Workers missing from `workers` are removed.
    pub fn set_workers(&self, now: Duration, workers: &HashMap<String, Workers>) {
        for (service, listed) in workers {
            self.with_balancer(service, |balancer| {
                balancer.set_workers(now, listed.values().map(|worker| &**worker));
            });
        }
        let mut balancers = self.balancers.borrow_mut();
        let absent = balancers.iter_mut().filter(|(service, _)| !workers.contains_key(*service));
        absent.for_each(|(_, balancer)| balancer.set_workers(now, [].iter()));
    }

    /// Sets the workers for which other gatekeepers have reported failures.
    pub fn set_suspects(&self, now: Duration, suspects: &[String]) {
        self.balancers.borrow_mut().values_mut().for_each(|balancer| balancer.set_suspects(now, suspects));
    }

    /// Returns the failures at workers that have not been reported to control yet, and marks them as reported.
    pub fn take_failures(&self) -> Vec<WorkerFailures> {
        self.balancers.borrow_mut().values_mut().flat_map(Balancer::take_failures).collect()
    }

    /// Calls `visit` with the service and the id of each worker.
    pub fn for_each_worker(&self, mut visit: impl FnMut(&str, &WorkerId)) {
        for (service, balancer) in &*self.balancers.borrow() {
            balancer.worker_ids().for_each(|worker| visit(service, worker));
        }
    }
}
