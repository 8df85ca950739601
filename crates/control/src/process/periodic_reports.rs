//! Periodic reports of every control process to the owners of shards.

use super::{
    gatekeeper_count::GatekeeperCount, store_liveness::StoreLiveness, worker_health::WorkerHealth,
    worker_sessions::WorkerSessions,
};
use std::{rc::Rc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which reports are sent.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// The periodic task that sends the reports.
pub(super) struct PeriodicReports {
    pub(super) worker_sessions: Rc<WorkerSessions>,
    pub(super) store_liveness: Rc<StoreLiveness>,
    pub(super) gatekeeper_count: Rc<GatekeeperCount>,
    pub(super) worker_health: Rc<WorkerHealth>,
}

impl PeriodicReports {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        let mut ticks = interval(REPORT_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.worker_sessions.report_renewals().await;
            self.store_liveness.report_contacts().await;
            self.gatekeeper_count.report().await;
            self.worker_health.report().await;
        }
    }
}
