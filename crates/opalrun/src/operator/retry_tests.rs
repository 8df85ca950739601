//! When orders are sent again.

use super::{Next, Retries, Tried};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(4);

fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn clear_answers_end_an_order_at_once() {
    for status in [200, 204, 400, 409, 412, 413, 422] {
        assert_eq!(
            Retries::new(LIMIT).after(Tried::Answered(status), milliseconds(5)),
            Next::Done,
            "{status}"
        );
    }
}

#[test]
fn other_refusals_count_at_the_third() {
    let mut retries = Retries::new(LIMIT);
    let not_found = Tried::Answered(404);
    assert!(matches!(retries.after(not_found, milliseconds(1)), Next::Again(_)));
    assert!(matches!(retries.after(Tried::Silent, milliseconds(2)), Next::Again(_)));
    assert!(matches!(retries.after(not_found, milliseconds(3)), Next::Again(_)));
    assert_eq!(retries.after(not_found, milliseconds(4)), Next::Done);
}

#[test]
fn pauses_grow_until_the_time_is_over() {
    let mut retries = Retries::new(LIMIT);
    let mut elapsed = Duration::ZERO;
    let mut pauses = Vec::new();
    for tried in [503, 500, 408, 429, 307].map(Tried::Answered).into_iter().cycle() {
        match retries.after(tried, elapsed) {
            Next::Again(pause) => {
                elapsed += pause;
                pauses.push(pause);
            }
            Next::GiveUp => break,
            Next::Done => panic!("{tried:?} is no clear answer"),
        }
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[3], "{pauses:?}");
    assert!(elapsed < LIMIT && elapsed > LIMIT / 2);
}
