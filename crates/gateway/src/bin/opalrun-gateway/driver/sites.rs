//! The driver's side of the interfaces that the fleet and recovery modules define.

use super::{Driver, plans};
use crate::{
    config::WorkerEntry,
    counter::Counter,
    fleet::{Fleet, Site},
    recovery::{self, StartupProgress},
};
use fnv::FnvHashSet;
use opalrun_gateway::{CustomerId, Event, Ledger, ListKind};
use std::rc::Rc;

impl Site for Rc<Driver> {
    fn parameters(&self) -> (u32, u64, Vec<(f64, f64)>) {
        let options = self.options();
        (options.settings.gateway_index, self.seed, plans(&options))
    }

    fn set_fleet(&self, fleet: Option<Rc<Fleet>>) {
        if let Some(fleet) = &fleet {
            self.gateway.borrow().server_names().for_each(|id| fleet.register_worker(id));
        }
        self.fleet.replace(fleet);
    }

    fn worker_failed_elsewhere(&self, worker: &str) {
        let Some(summary) = self.fleet().map(|f| f.worker_summary(worker)) else { return };
        let (answered, failed, members) = (summary.answered, summary.failed, summary.members);
        self.post(Event::FleetObservation { server: worker.into(), answered, failed, members });
    }
}

impl recovery::GatewayHandle for Rc<Driver> {
    fn plan_names(&self) -> Vec<String> {
        self.options.borrow().plans.clone()
    }

    fn customers(&self) -> Vec<CustomerId> {
        self.gateway.borrow().customers().cloned().collect()
    }

    fn ledger(&self, customer: &str, exact: bool) -> Option<(usize, Ledger)> {
        let block = self.options.borrow().settings.max_request_units.max(1.0);
        self.gateway.borrow().ledger(self.clock.now(), customer, if exact { 0.0 } else { block })
    }

    fn startup_progress(&self) -> StartupProgress {
        let zones = self.gateway.borrow().zones(self.clock.now());
        StartupProgress {
            has_worker_list: self.has_full_list.get(),
            counter_answered: self.counter.as_ref().map(Counter::has_answered),
            other_members: self.fleet().map(|f| f.members()),
            usable_workers: zones.iter().map(|z| z.usable).sum(),
            warming_up_workers: zones.iter().map(|z| z.warming_up).sum(),
        }
    }

    fn use_workers(&self, mut workers: Vec<WorkerEntry>) {
        let known: FnvHashSet<String> =
            self.gateway.borrow().server_names().map(|id| id.to_string()).collect();
        workers.retain(|w| !known.contains(&w.id));
        // A worker may have restarted since it was saved, so it counts as started now.
        workers.iter_mut().for_each(|w| w.started_ms = self.clock.now() * 1e3);
        self.update_workers(ListKind::Changes, workers);
    }
}
