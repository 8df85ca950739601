//! Reasons, and how many lines are logged.

use super::{INTERVAL, LINES_PER_INTERVAL, LineLimit, Reason, Unserved};
use crate::proxy::attempt::Outcome;
use opalrun_configuration::RouteType;
use std::time::{Duration, Instant};

#[test]
fn lines_beyond_the_limit_are_left_out_and_counted() {
    let began = Instant::now();
    let limit = LineLimit::new(began);
    for _ in 0..LINES_PER_INTERVAL {
        assert_eq!(limit.admit(began), Some(0));
    }
    assert_eq!(limit.admit(began), None);
    assert_eq!(limit.admit(began), None);
    assert_eq!(limit.admit(began + INTERVAL), Some(2));
    assert_eq!(limit.admit(began + INTERVAL), Some(0));
}

#[test]
fn a_request_whose_time_is_over_is_told_so_whatever_its_worker_did() {
    let left = Duration::from_millis(20);
    assert_eq!(Reason::of_outcome(Outcome::MayHaveRun, Duration::ZERO), Reason::TimeOver);
    assert_eq!(Reason::of_outcome(Outcome::MayHaveRun, left), Reason::WorkerBroke);
    assert_eq!(Reason::of_outcome(Outcome::NotSent, left), Reason::NotTaken);
    assert_eq!(Reason::of_outcome(Outcome::NotExecuted, left), Reason::NotTaken);
    assert_eq!(Reason::of_outcome(Outcome::WorkerFailed, Duration::ZERO), Reason::WorkerFailed);
}

#[test]
fn each_kind_and_reason_is_counted_by_itself() {
    let unserved = Unserved::default();
    unserved.count(RouteType::Streaming, Reason::TimeOver);
    unserved.count(RouteType::Streaming, Reason::TimeOver);
    unserved.count(RouteType::Unsafe, Reason::NotTaken);
    let count = |kind: &str, reason: &str| {
        let labels = vec![("route_type", kind.to_owned()), ("reason", reason.to_owned())];
        unserved.counters.get_or_create(&labels).get()
    };
    assert_eq!(count("streaming", "time_over"), 2);
    assert_eq!(count("unsafe", "not_taken"), 1);
    assert_eq!(count("safe", "not_taken"), 0);
}
