//! Which workers are suspected after which failure reports.

use opalrun_control::worker_health_reports::WorkerHealthReports;
use opalrun_wire::feed::WorkerFailures;
use std::time::Duration;

fn failed(worker: &str, failures: u32) -> Vec<WorkerFailures> {
    vec![WorkerFailures { worker: worker.to_owned(), failures }]
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn reports_of_two_gatekeepers_make_a_worker_suspected_until_they_expire() {
    let mut health_reports = WorkerHealthReports::default();
    health_reports.record(at(0), 1, failed("w1", 2));
    assert!(health_reports.suspects(at(0)).is_empty());
    health_reports.record(at(500), 2, failed("w1", 2));
    assert_eq!(health_reports.suspects(at(500)), ["w1"]);
    assert_eq!(health_reports.suspects(at(3000)), ["w1"]);
    assert!(health_reports.suspects(at(3600)).is_empty());
}

#[test]
fn reports_of_one_gatekeeper_make_no_worker_suspected() {
    let mut health_reports = WorkerHealthReports::default();
    health_reports.record(at(0), 1, failed("w1", 50));
    health_reports.record(at(1), 1, failed("w1", 50));
    assert!(health_reports.suspects(at(1)).is_empty(), "the gatekeeper's own link may be faulty");
}

#[test]
fn failures_of_different_workers_are_not_added_up() {
    let mut health_reports = WorkerHealthReports::default();
    for reporter in 0..8 {
        health_reports.record(at(0), reporter, failed(&format!("w{reporter}"), 1));
    }
    assert!(health_reports.suspects(at(0)).is_empty());
}

#[test]
fn a_flood_of_reports_makes_no_worker_suspected_and_does_not_block_later_reports() {
    let mut health_reports = WorkerHealthReports::default();
    for n in 0..20_000 {
        health_reports.record(at(n / 100), n, failed(&format!("w{n}"), u32::MAX));
    }
    assert!(health_reports.suspects(at(200)).is_empty());
    health_reports.record(at(9000), 1, failed("w", u32::MAX));
    health_reports.record(at(9000), 2, failed("w", u32::MAX));
    assert_eq!(health_reports.suspects(at(9000)), ["w"]);
}
