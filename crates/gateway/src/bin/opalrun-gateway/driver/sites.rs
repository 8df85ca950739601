//! What other parts of the program ask of the driver: the fleet of gateways, and recovery.

use super::{Driver, plans};
use crate::{
    config::WorkerEntry,
    counter::Counter,
    fleet::{Fleet, Site},
    recovery::{self, Progress},
};
use fnv::FnvHashSet;
use opalrun_gateway::{CustomerId, Event, Ledger, ListKind};
use std::rc::Rc;

impl Site for Rc<Driver> {
    fn facts(&self) -> (u32, u64, Vec<(f64, f64)>) {
        let options = self.options();
        (options.settings.gateway_index, self.seed, plans(&options))
    }

    fn set_fleet(&self, fleet: Option<Rc<Fleet>>) {
        if let Some(fleet) = &fleet {
            self.gateway.borrow().server_names().for_each(|id| fleet.names(id));
        }
        self.fleet.replace(fleet);
    }

    fn failing(&self, worker: &str) {
        let Some(sight) = self.fleet().map(|f| f.sight(worker)) else { return };
        let (answered, failed, members) = (sight.answered, sight.failed, sight.members);
        self.post(Event::FleetObservation { server: worker.into(), answered, failed, members });
    }
}

impl recovery::Site for Rc<Driver> {
    fn plans(&self) -> Vec<String> {
        self.options.borrow().plans.clone()
    }

    fn customers(&self) -> Vec<CustomerId> {
        self.gateway.borrow().customers().cloned().collect()
    }

    fn ledger(&self, customer: &str, exact: bool) -> Option<(usize, Ledger)> {
        let block = self.options.borrow().settings.max_request_units.max(1.0);
        self.gateway.borrow().ledger(self.clock.now(), customer, if exact { 0.0 } else { block })
    }

    fn progress(&self) -> Progress {
        let zones = self.gateway.borrow().zones(self.clock.now());
        Progress {
            listed: self.listed.get(),
            counted: self.counter.as_ref().map(Counter::answers),
            members: self.fleet().map(|f| f.members()),
            usable: zones.iter().map(|z| z.usable).sum(),
            cold: zones.iter().map(|z| z.warming_up).sum(),
        }
    }

    fn use_workers(&self, mut workers: Vec<WorkerEntry>) {
        let known: FnvHashSet<String> =
            self.gateway.borrow().server_names().map(|id| id.to_string()).collect();
        workers.retain(|w| !known.contains(&w.id));
        // Each may have restarted since, and nobody has told.
        workers.iter_mut().for_each(|w| w.started_ms = self.clock.now() * 1e3);
        self.list(ListKind::Changes, workers);
    }
}
