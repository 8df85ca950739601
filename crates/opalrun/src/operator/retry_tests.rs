//! Tests of the retry policy.

use super::{AttemptOutcome, NextStep, RetryPolicy};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(4);

fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn conclusive_responses_are_not_retried() {
    for status in [200, 204, 400, 409, 412, 413, 422] {
        assert_eq!(
            RetryPolicy::new(LIMIT).after(AttemptOutcome::Answered(status), milliseconds(5)),
            NextStep::Done,
            "{status}"
        );
    }
}

#[test]
fn the_third_unspecific_rejection_is_conclusive() {
    let mut policy = RetryPolicy::new(LIMIT);
    let not_found = AttemptOutcome::Answered(404);
    assert!(matches!(policy.after(not_found, milliseconds(1)), NextStep::RetryAfter(_)));
    assert!(matches!(policy.after(AttemptOutcome::NoAnswer, milliseconds(2)), NextStep::RetryAfter(_)));
    assert!(matches!(policy.after(not_found, milliseconds(3)), NextStep::RetryAfter(_)));
    assert_eq!(policy.after(not_found, milliseconds(4)), NextStep::Done);
}

#[test]
fn the_backoff_increases_until_the_time_limit() {
    let mut policy = RetryPolicy::new(LIMIT);
    let mut elapsed = Duration::ZERO;
    let mut backoffs = Vec::new();
    for outcome in [503, 500, 408, 429, 307].map(AttemptOutcome::Answered).into_iter().cycle() {
        match policy.after(outcome, elapsed) {
            NextStep::RetryAfter(backoff) => {
                elapsed += backoff;
                backoffs.push(backoff);
            }
            NextStep::GiveUp => break,
            NextStep::Done => panic!("{outcome:?} is not conclusive"),
        }
    }
    assert!(backoffs.is_sorted() && backoffs[0] < backoffs[3], "{backoffs:?}");
    assert!(elapsed < LIMIT && elapsed > LIMIT / 2);
}
