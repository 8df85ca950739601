//! The known workers of one service and the subset that this gatekeeper prefers.

use crate::proxy::balance::{WorkerId, subset::Subset, worker::WorkerEntry};
use fnv::FnvHashMap;
use opalrun_wire::feed;
use std::time::Duration;

/// Minimum number of workers for each suspected one; with fewer, reports of other gatekeepers are ignored.
const MIN_WORKERS_PER_SUSPECT: usize = 3;

/// The workers of one service.
#[derive(Debug)]
pub(super) struct WorkerSet {
    zone: String,
    entries: FnvHashMap<WorkerId, WorkerEntry>,
    /// Parameters of this gatekeeper's subset.
    pub subset: Subset,
    /// So many gatekeepers share the service that this one prefers a subset of the workers.
    pub has_subset: bool,
    /// Number of workers that accept requests.
    pub ready_count: usize,
}

impl WorkerSet {
    /// Returns an empty set for a gatekeeper in `zone`; `gatekeeper` is its key in rendezvous hashing.
    pub fn new(zone: &str, gatekeeper: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            entries: FnvHashMap::default(),
            subset: Subset { gatekeeper, gatekeepers: 1 },
            has_subset: false,
            ready_count: 0,
        }
    }

    /// Sets the number of gatekeepers that share the service.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        if self.subset.gatekeepers != gatekeepers {
            self.subset.gatekeepers = gatekeepers;
            self.draw_subset();
        }
    }

    fn draw_subset(&mut self) {
        let ready = self.entries.iter().filter(|(_, worker)| worker.is_ready());
        let ready: Vec<(WorkerId, bool)> = ready.map(|(id, worker)| (id.clone(), worker.local)).collect();
        self.ready_count = ready.len();
        self.has_subset = self.subset.is_smaller_than(ready.len());
        let subset = self.subset.select(&ready);
        self.entries.iter_mut().for_each(|(id, worker)| worker.in_subset = subset.contains(id));
    }

    /// Replaces the list of workers by the feed's. Missing workers are removed once they have no requests in flight.
    pub fn set_workers<'a>(&mut self, now: Duration, workers: impl Iterator<Item = &'a feed::Worker>) {
        self.entries.values_mut().for_each(|worker| worker.listed = false);
        for worker in workers {
            let local = worker.zone == self.zone;
            self.entries
                .entry(WorkerId::from(worker.id.as_str()))
                .and_modify(|entry| entry.update(now, worker))
                .or_insert_with(|| WorkerEntry::new(now, worker, local));
        }
        self.entries.retain(|_, worker| worker.listed || worker.in_flight > 0);
        self.draw_subset();
    }

    /// Sets the workers at which other gatekeepers have reported failures; workers of other services are ignored. If
    /// more than a third of this service's workers are suspected, the cause is probably not the workers, and the
    /// reports are ignored.
    pub fn set_suspects(&mut self, now: Duration, suspects: &[String]) {
        let is_suspect = |id: &WorkerId| suspects.iter().any(|suspect| **suspect == **id);
        let count = self.entries.keys().filter(|id| is_suspect(id)).count();
        let accepted = count * MIN_WORKERS_PER_SUSPECT <= self.entries.len();
        for (id, worker) in &mut self.entries {
            worker.health.set_suspected(now, accepted && is_suspect(id));
        }
    }

    /// Returns the failures that have not been reported to control yet and marks them as reported.
    pub fn take_failures(&mut self) -> Vec<feed::WorkerFailures> {
        let unreported = self.entries.iter_mut().map(|(id, worker)| (id, worker.health.take_unreported()));
        let failed = unreported.filter(|(_, failures)| *failures > 0);
        failed.map(|(id, failures)| feed::WorkerFailures { worker: id.to_string(), failures }).collect()
    }

    /// All workers with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerEntry)> {
        self.entries.iter()
    }

    /// Returns a worker by its id.
    pub fn get(&self, id: &str) -> Option<&WorkerEntry> {
        self.entries.get(id)
    }

    /// Returns a worker by its id, for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut WorkerEntry> {
        self.entries.get_mut(id)
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }
}
