//! Failure detector of workers, based on the failed requests that gatekeepers report. Sans I/O.
//!
//! There are no active health checks: a worker is suspected while at least `MIN_FAILURES_OF_SUSPECT` failed
//! requests were reported by at least `MIN_REPORTERS` gatekeepers within `REPORT_LIFETIME`. The gatekeepers
//! decide what to do about suspects, and limit how many of them they act on.

use opalrun_wire::feed::WorkerFailures;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time after which a report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Minimum number of unexpired failures for a worker to be suspected.
const MIN_FAILURES_OF_SUSPECT: u32 = 4;
/// Minimum number of gatekeepers that must have reported those failures.
const MIN_REPORTERS: usize = 2;
/// Maximum number of unexpired reports; further ones are dropped.
const MAX_REPORTS: usize = 4096;

/// Failed requests at one worker, as one gatekeeper reported them.
#[derive(Debug)]
struct Report {
    reported_at: Duration,
    /// Identifies the gatekeeper.
    reporter: u64,
    failures: WorkerFailures,
}

/// Sum of the unexpired reports on one worker.
#[derive(Debug, Default)]
struct FailureTotal {
    failures: u32,
    reporters: BTreeSet<u64>,
}

impl FailureTotal {
    fn add(&mut self, report: &Report) {
        self.failures = self.failures.saturating_add(report.failures.failures);
        self.reporters.insert(report.reporter);
    }

    fn is_suspected(&self) -> bool {
        self.failures >= MIN_FAILURES_OF_SUSPECT && self.reporters.len() >= MIN_REPORTERS
    }
}

/// The unexpired reports. Times are those of the process's monotonic clock.
#[derive(Debug, Default)]
pub struct WorkerHealthReports {
    reports: Vec<Report>,
}

impl WorkerHealthReports {
    /// Records the failures that a gatekeeper reports.
    pub fn record(&mut self, now: Duration, reporter: u64, failures: Vec<WorkerFailures>) {
        self.remove_expired(now);
        let capacity = MAX_REPORTS.saturating_sub(self.reports.len());
        let reports = failures.into_iter().take(capacity);
        self.reports.extend(reports.map(|failures| Report { reported_at: now, reporter, failures }));
    }

    /// Returns the ids of the workers that are suspected now, in ascending order.
    pub fn suspects(&mut self, now: Duration) -> Vec<String> {
        self.remove_expired(now);
        let mut workers: BTreeMap<&str, FailureTotal> = BTreeMap::new();
        for report in &self.reports {
            workers.entry(&report.failures.worker).or_default().add(report);
        }
        let suspected = workers.into_iter().filter(|(_, total)| total.is_suspected());
        suspected.map(|(worker, _)| worker.to_owned()).collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.reports.retain(|report| now.saturating_sub(report.reported_at) <= REPORT_LIFETIME);
    }
}
