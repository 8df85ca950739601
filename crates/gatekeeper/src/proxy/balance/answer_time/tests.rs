//! The limit ignores single slow answers and follows a slowdown of all workers.

use super::AnswerTime;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn steady_answer_times() -> AnswerTime {
    let mut answer_time = AnswerTime::default();
    for number in 0..64 {
        answer_time.record(ms(80 + number % 3 * 20));
    }
    answer_time
}

#[test]
fn single_hanging_answer_hardly_raises_limit() {
    let mut answer_time = steady_answer_times();
    let before = answer_time.normal_limit().expect("enough samples");
    answer_time.record(ms(5000));
    let after = answer_time.normal_limit().expect("enough samples");
    assert!(before < after && after < before * 3 / 2, "{before:?} before, {after:?} after");
}

#[test]
fn limit_follows_slowdown_of_all_workers() {
    let mut answer_time = steady_answer_times();
    let over_limit = (0..64).filter(|_| {
        let limit = answer_time.normal_limit().expect("enough samples");
        answer_time.record(ms(1500));
        limit < ms(1500)
    });
    let over_limit = over_limit.count();
    assert!(over_limit <= 12, "{over_limit} answers exceeded the limit");
}
