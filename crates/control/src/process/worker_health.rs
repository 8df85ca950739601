//! Health of workers: gatekeepers report failed requests to the control process at which they subscribe, and the
//! owner of shard 0 determines from all reports which workers are suspected to have failed.

use super::{
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner},
    clock::MonotonicClock,
};
use crate::{
    calls::{ControlAnswer, ControlCall, GatekeeperReport},
    worker_health_reports::WorkerHealthReports,
};
use opalrun_wire::feed::{CONFIGURATION_SHARD, WorkerFailures, stable_hash};
use std::{cell::RefCell, mem, rc::Rc};

/// Maximum number of reports queued until the next periodic report to the owner of shard 0; further ones are dropped.
const MAX_PENDING_REPORTS: usize = 1024;

/// Forwards and evaluates the reports of failed requests. The change feed, remote calls and the background tasks
/// share it, all on one thread.
pub(crate) struct WorkerHealth {
    client: Rc<ControlClient>,
    clock: MonotonicClock,
    /// Reports received here that are not yet forwarded to the owner of shard 0.
    pending_reports: RefCell<Vec<GatekeeperReport>>,
    /// Reports of all control processes; used while this process owns shard 0.
    reports: RefCell<WorkerHealthReports>,
    /// Ids of the suspected workers, as last reported by the owner of shard 0.
    suspects: RefCell<Vec<String>>,
}

impl WorkerHealth {
    pub(super) fn new(client: Rc<ControlClient>, clock: MonotonicClock) -> Rc<Self> {
        Rc::new(Self {
            client,
            clock,
            pending_reports: RefCell::default(),
            reports: RefCell::default(),
            suspects: RefCell::default(),
        })
    }

    /// Returns the ids of the suspected workers, as last reported by the owner of shard 0; none while it is not
    /// reached.
    pub(crate) fn suspects(&self) -> Vec<String> {
        self.suspects.borrow().clone()
    }

    /// Queues the report of a gatekeeper that subscribes here; drops it while the queue is full.
    pub(crate) fn record_failures(&self, node_name: &str, failures: Vec<WorkerFailures>) {
        let mut pending_reports = self.pending_reports.borrow_mut();
        if pending_reports.len() < MAX_PENDING_REPORTS {
            pending_reports.push(GatekeeperReport { reporter: stable_hash(node_name.as_bytes()), failures });
        }
    }

    /// Records reports and returns the ids of the suspected workers. Called at the owner of shard 0.
    ///
    /// # Errors
    /// [`NotOwner`] if this process does not own shard 0.
    pub(super) fn record_reports(
        &self,
        gatekeeper_reports: impl IntoIterator<Item = GatekeeperReport>,
    ) -> Result<Vec<String>, NotOwner> {
        self.client.require_ownership(CONFIGURATION_SHARD)?;
        let now = self.clock.now();
        let mut reports = self.reports.borrow_mut();
        for report in gatekeeper_reports {
            reports.record(now, report.reporter, report.failures);
        }
        Ok(reports.suspects(now))
    }

    /// Forwards the queued reports to the owner of shard 0 and stores the suspects that it returns.
    pub(super) async fn report(&self) {
        let reports = mem::take(&mut *self.pending_reports.borrow_mut());
        // Lost reports are not retried, as they expire soon. Without an answer of the owner no worker is suspected.
        let suspects = self.record_reports_at_owner(reports).await.unwrap_or_default();
        self.suspects.replace(suspects);
    }

    async fn record_reports_at_owner(&self, reports: Vec<GatekeeperReport>) -> Option<Vec<String>> {
        match self.client.owner(CONFIGURATION_SHARD)? {
            ShardOwner::ThisProcess => self.record_reports(reports).ok(),
            ShardOwner::Peer(owner) => {
                let call = ControlCall::WorkerFailures(reports);
                match self.client.call(owner, &call, REPORT_TIMEOUT).await {
                    Some(ControlAnswer::Suspects(suspects)) => Some(suspects),
                    _ => None,
                }
            }
        }
    }
}
