use super::{AttemptFailure, Attempts, MAX_ATTEMPTS, MIN_TIME_FOR_ATTEMPT, NextStep};
use std::time::Duration;

const TIME_LEFT: Duration = Duration::from_secs(1);

#[test]
fn a_request_that_is_not_idempotent_fails_once_it_may_have_run() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(attempts.record_failure(AttemptFailure::NotExecuted, TIME_LEFT), NextStep::AttemptAnother);
    assert_eq!(attempts.record_failure(AttemptFailure::NotSent, TIME_LEFT), NextStep::AttemptAnother);
    assert_eq!(attempts.record_failure(AttemptFailure::MayHaveRun, TIME_LEFT), NextStep::Fail);
}

#[test]
fn a_server_error_is_forwarded_for_a_request_that_is_not_idempotent() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(attempts.record_failure(AttemptFailure::WorkerFailed, TIME_LEFT), NextStep::ForwardFailure);
}

#[test]
fn an_idempotent_request_is_run_by_at_most_max_attempts_workers() {
    let mut attempts = Attempts::new(true, 2);
    assert_eq!(attempts.record_failure(AttemptFailure::MayHaveRun, TIME_LEFT), NextStep::AttemptAnother);
    assert_eq!(attempts.record_failure(AttemptFailure::NotExecuted, TIME_LEFT), NextStep::AttemptAnother);
    assert_eq!(attempts.record_failure(AttemptFailure::WorkerFailed, TIME_LEFT), NextStep::ForwardFailure);
}

#[test]
fn only_a_request_that_has_not_run_is_rejected() {
    let mut rejected = Attempts::new(true, 2);
    assert_eq!(rejected.record_failure(AttemptFailure::NotExecuted, Duration::ZERO), NextStep::Reject);
    let mut may_have_run = Attempts::new(true, 2);
    assert_eq!(
        may_have_run.record_failure(AttemptFailure::MayHaveRun, MIN_TIME_FOR_ATTEMPT / 2),
        NextStep::Fail
    );
    assert_eq!(may_have_run.when_exhausted(), NextStep::Fail);
}

#[test]
fn attempts_are_bounded_when_every_worker_rejects_the_request() {
    let mut attempts = Attempts::new(true, 2);
    let ends = (0..MAX_ATTEMPTS)
        .map(|_| attempts.record_failure(AttemptFailure::NotExecuted, TIME_LEFT))
        .collect::<Vec<_>>();
    assert_eq!(
        ends.iter().filter(|next| **next == NextStep::AttemptAnother).count() as u32,
        MAX_ATTEMPTS - 1
    );
    assert_eq!(ends.last(), Some(&NextStep::Reject));
}

#[test]
fn no_sequence_of_failures_lets_a_request_run_more_often_than_allowed() {
    bolero::check!().with_type::<(bool, u8, Vec<u8>)>().for_each(|(idempotent, max_attempts, ends)| {
        let max_attempts = u32::from(*max_attempts % 4);
        let mut attempts = Attempts::new(*idempotent, max_attempts);
        let mut ran = 0;
        for end in ends {
            let outcome = match end % 4 {
                0 => AttemptFailure::NotExecuted,
                1 => AttemptFailure::NotSent,
                2 => AttemptFailure::MayHaveRun,
                _ => AttemptFailure::WorkerFailed,
            };
            ran += u32::from(end % 4 >= 2);
            let next = attempts.record_failure(outcome, TIME_LEFT);
            assert!(next != NextStep::Reject || ran == 0, "a request that may have run is never rejected");
            if next != NextStep::AttemptAnother {
                break;
            }
        }
        let max_executions = if *idempotent { max_attempts.max(1) } else { 1 };
        assert!(ran <= max_executions);
    });
}
