use super::{Attempts, LEAST_TIME_FOR_A_TRY, MAX_TRIES, Next, Outcome};
use std::time::Duration;

const LEFT: Duration = Duration::from_secs(1);

#[test]
fn a_request_that_must_not_run_twice_ends_with_the_first_doubt() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(attempts.ended(Outcome::NotExecuted, LEFT), Next::TryAnother);
    assert_eq!(attempts.ended(Outcome::NotSent, LEFT), Next::TryAnother);
    assert_eq!(attempts.ended(Outcome::MayHaveRun, LEFT), Next::Fail);
}

#[test]
fn a_failure_of_the_worker_is_passed_on_for_a_request_that_must_not_run_twice() {
    let mut attempts = Attempts::new(false, 3);
    assert_eq!(attempts.ended(Outcome::WorkerFailed, LEFT), Next::PassOn);
}

#[test]
fn a_safe_request_is_run_by_no_more_workers_than_its_route_allows() {
    let mut attempts = Attempts::new(true, 2);
    assert_eq!(attempts.ended(Outcome::MayHaveRun, LEFT), Next::TryAnother);
    assert_eq!(attempts.ended(Outcome::NotExecuted, LEFT), Next::TryAnother);
    assert_eq!(attempts.ended(Outcome::WorkerFailed, LEFT), Next::PassOn);
}

#[test]
fn a_request_that_nobody_ran_is_refused_and_one_that_may_have_run_is_not() {
    let mut turned_away = Attempts::new(true, 2);
    assert_eq!(turned_away.ended(Outcome::NotExecuted, Duration::ZERO), Next::Refuse);
    let mut lost = Attempts::new(true, 2);
    assert_eq!(lost.ended(Outcome::MayHaveRun, LEAST_TIME_FOR_A_TRY / 2), Next::Fail);
    assert_eq!(lost.give_up(), Next::Fail);
}

#[test]
fn tries_are_bounded_although_no_worker_takes_the_request() {
    let mut attempts = Attempts::new(true, 2);
    let ends = (0..MAX_TRIES).map(|_| attempts.ended(Outcome::NotExecuted, LEFT)).collect::<Vec<_>>();
    assert_eq!(ends.iter().filter(|next| **next == Next::TryAnother).count() as u32, MAX_TRIES - 1);
    assert_eq!(ends.last(), Some(&Next::Refuse));
}

#[test]
fn no_order_of_ends_lets_a_request_run_more_often_than_allowed() {
    bolero::check!().with_type::<(bool, u8, Vec<u8>)>().for_each(|(idempotent, max_attempts, ends)| {
        let max_attempts = u32::from(*max_attempts % 4);
        let mut attempts = Attempts::new(*idempotent, max_attempts);
        let mut ran = 0;
        for end in ends {
            let outcome = match end % 4 {
                0 => Outcome::NotExecuted,
                1 => Outcome::NotSent,
                2 => Outcome::MayHaveRun,
                _ => Outcome::WorkerFailed,
            };
            ran += u32::from(end % 4 >= 2);
            let next = attempts.ended(outcome, LEFT);
            assert!(next != Next::Refuse || ran == 0, "what may have run is never refused");
            if next != Next::TryAnother {
                break;
            }
        }
        let most = if *idempotent { max_attempts.max(1) } else { 1 };
        assert!(ran <= most);
    });
}
