//! Tests of the reasons of failed requests, their counters and the log's rate limit.

use super::{FailedRequests, FailureReason, LOG_INTERVAL, LogRateLimit, MAX_LINES_PER_INTERVAL};
use crate::proxy::attempt::AttemptFailure;
use opalrun_configuration::RouteType;
use std::time::{Duration, Instant};

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let start = Instant::now();
    let limit = LogRateLimit::new(start);
    for _ in 0..MAX_LINES_PER_INTERVAL {
        assert_eq!(limit.admit(start), Some(0));
    }
    assert_eq!(limit.admit(start), None);
    assert_eq!(limit.admit(start), None);
    assert_eq!(limit.admit(start + LOG_INTERVAL), Some(2));
    assert_eq!(limit.admit(start + LOG_INTERVAL), Some(0));
}

#[test]
fn a_passed_deadline_takes_precedence_over_a_broken_connection() {
    let time_left = Duration::from_millis(20);
    assert_eq!(
        FailureReason::after_attempt(AttemptFailure::MayHaveRun, Duration::ZERO),
        FailureReason::DeadlineExceeded
    );
    assert_eq!(
        FailureReason::after_attempt(AttemptFailure::MayHaveRun, time_left),
        FailureReason::ConnectionBroken
    );
    assert_eq!(FailureReason::after_attempt(AttemptFailure::NotSent, time_left), FailureReason::Rejected);
    assert_eq!(FailureReason::after_attempt(AttemptFailure::NotExecuted, time_left), FailureReason::Rejected);
    assert_eq!(
        FailureReason::after_attempt(AttemptFailure::WorkerFailed, Duration::ZERO),
        FailureReason::WorkerFailed
    );
}

#[test]
fn each_route_type_and_reason_is_counted_separately() {
    let failed_requests = FailedRequests::default();
    failed_requests.count(RouteType::Streaming, FailureReason::DeadlineExceeded);
    failed_requests.count(RouteType::Streaming, FailureReason::DeadlineExceeded);
    failed_requests.count(RouteType::Unsafe, FailureReason::Rejected);
    let count = |kind: &str, reason: &str| {
        let labels = vec![("route_type", kind.to_owned()), ("reason", reason.to_owned())];
        failed_requests.counters.get_or_create(&labels).get()
    };
    assert_eq!(count("streaming", "time_over"), 2);
    assert_eq!(count("unsafe", "not_taken"), 1);
    assert_eq!(count("safe", "not_taken"), 0);
}
