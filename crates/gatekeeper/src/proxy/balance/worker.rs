//! State of one worker at this gatekeeper.

use crate::proxy::balance::{
    health::Health,
    load::{Load, LoadReport, ReportedLoad},
    prefix::PrefixCache,
};
use opalrun_wire::feed::{self, WorkerState};
use std::{rc::Rc, time::Duration};

/// State of one worker, from the feed, its answers and this gatekeeper's requests.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "four independent properties")]
pub(super) struct WorkerEntry {
    /// Address, `host:port`.
    pub address: Rc<str>,
    /// Number of requests that it processes at the same time; at least 1.
    pub capacity: u32,
    /// The worker is in this gatekeeper's zone.
    pub local: bool,
    /// The worker is in the subset that this gatekeeper prefers.
    pub in_subset: bool,
    /// The worker is in the feed's current list.
    pub listed: bool,
    /// The worker's address answered 421 (Misdirected Request): another worker uses it now.
    pub replaced: bool,
    /// Requests of this gatekeeper in flight.
    pub in_flight: u32,
    /// Prompt tokens of the requests in flight whose prefill has not ended.
    pub prefill_tokens: u32,
    /// Recent failures and ejection.
    pub health: Health,
    /// Prompt prefixes that the worker has probably cached.
    pub prefixes: PrefixCache,
    state: WorkerState,
    warming_up_until: Duration,
    reported_load: ReportedLoad,
}

impl WorkerEntry {
    /// Returns the state of a worker that is new in the feed; `local`: the worker is in this gatekeeper's zone.
    pub fn new(now: Duration, worker: &feed::Worker, local: bool) -> Self {
        Self {
            address: Rc::from(worker.address.as_str()),
            capacity: worker.capacity.max(1),
            local,
            in_subset: false,
            listed: true,
            replaced: false,
            in_flight: 0,
            prefill_tokens: 0,
            health: Health::default(),
            prefixes: PrefixCache::default(),
            state: worker.state,
            warming_up_until: now + Duration::from_millis(worker.warmup_remaining_ms),
            reported_load: ReportedLoad::default(),
        }
    }

    /// Updates the worker from the feed.
    pub fn update(&mut self, now: Duration, worker: &feed::Worker) {
        self.listed = true;
        self.state = worker.state;
        self.capacity = worker.capacity.max(1);
        if *self.address != *worker.address {
            self.address = Rc::from(worker.address.as_str());
            self.replaced = false;
        }
        if worker.warmup_remaining_ms > 0 && self.warming_up_until < now {
            self.warming_up_until = now + Duration::from_millis(worker.warmup_remaining_ms);
        }
    }

    /// Whether the worker accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.listed && !self.replaced && self.state == WorkerState::Ready
    }

    /// Whether the worker is in slow start.
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now < self.warming_up_until
    }

    /// Estimated number of requests at the worker.
    pub fn load(&self, now: Duration) -> Load {
        self.reported_load.load(now, self.in_flight)
    }

    /// Records the worker's load report.
    pub fn record_load(&mut self, now: Duration, report: LoadReport) {
        self.reported_load.set(now, report, self.in_flight);
    }

    /// Records that the worker rejected a request without a load report: all its slots are assumed to be occupied.
    pub fn assume_full(&mut self, now: Duration) {
        let report = LoadReport { running: self.capacity, waiting: 0, slots: self.capacity };
        self.reported_load.set(now, report, self.in_flight);
    }
}
