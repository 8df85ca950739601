//! Load of a worker, estimated from its last report and this gatekeeper's requests in flight.

use crate::proxy::balance::decay::HalfLife;
use std::time::Duration;

/// Time within which the load that was attributed to other gatekeepers decays to half.
const HALF_LIFE: HalfLife = HalfLife(Duration::from_millis(400));

/// Load that a worker reports in the `Server-Load` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Maximum number of requests processed at a time.
    pub slots: u32,
}

impl LoadReport {
    /// Parses the header's value, such as `3,0,8`; `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
        let (running, waiting, slots) = (numbers.next()?.ok()?, numbers.next()?.ok()?, numbers.next()?.ok()?);
        numbers.next().is_none().then_some(Self { running, waiting, slots })
    }

    /// Whether the worker can start another request at once.
    #[must_use]
    pub fn has_free_slots(self) -> bool {
        self.running < self.slots && self.waiting == 0
    }
}

/// Estimated number of requests at a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Load {
    /// Requests of this gatekeeper in flight.
    pub own: f64,
    /// Requests of other gatekeepers being processed.
    pub others_running: f64,
    /// Requests of other gatekeepers queued.
    pub others_waiting: f64,
}

impl Load {
    /// Sum of all requests.
    pub fn total(&self) -> f64 {
        self.own + self.others_running + self.others_waiting
    }
}

/// Load caused by other gatekeepers, as of the worker's last report.
#[derive(Debug, Default)]
pub(super) struct ReportedLoad {
    reported_at: Duration,
    others_running: f64,
    others_waiting: f64,
}

impl ReportedLoad {
    /// Sets the load from a report that arrived while `own` requests of this gatekeeper were at the worker.
    pub fn set(&mut self, now: Duration, report: LoadReport, own: u32) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        let others = (all - f64::from(own)).max(0.0);
        self.others_waiting = others.min(f64::from(report.waiting));
        self.others_running = others - self.others_waiting;
        self.reported_at = now;
    }

    /// Estimates the load at `now` with `own` requests of this gatekeeper in flight.
    pub fn load(&self, now: Duration, own: u32) -> Load {
        let share_left = HALF_LIFE.share_left(self.reported_at, now);
        Load {
            own: f64::from(own),
            others_running: self.others_running * share_left,
            others_waiting: self.others_waiting * share_left,
        }
    }
}
