use super::*;

/// Requested retention of the turns, in milliseconds.
const RETENTION_MS: u64 = 60_000;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn turns_that_would_expire_too_early_are_listed() {
    let mut retention = KnownRetention::default();
    retention.record("a", seconds(130), seconds(0));
    retention.record("b", seconds(150), seconds(20));
    let ids = ["a".to_owned(), "b".to_owned(), "unknown".to_owned()];
    assert_eq!(retention.not_retained_until(&ids, seconds(130)), [&ids[2]]);
    assert_eq!(retention.not_retained_until(&ids, seconds(140)), [&ids[0], &ids[2]]);
    retention.record("a", seconds(200), seconds(80));
    retention.record("a", seconds(100), seconds(80));
    assert_eq!(retention.not_retained_until(&ids[..2], seconds(150)), Vec::<&String>::new());
}

/// Guards against a gatekeeper that was suspended between its request and the reply, and counted the retention from then on.
#[test]
fn the_retention_after_a_write_counts_from_its_begin() {
    let mut retention = KnownRetention::default();
    let begun = seconds(100);
    retention.record_write("a", begun, RETENTION_MS);
    let expires = begun + Duration::from_millis(keep_ms(RETENTION_MS));
    let ids = ["a".to_owned()];
    assert_eq!(retention.not_retained_until(&ids, expires), Vec::<&String>::new());
    assert_eq!(retention.not_retained_until(&ids, expires + Duration::from_millis(1)), [&ids[0]]);
}

/// Guards against an ancestor that expires inside the retention of its conversation, which counts from the end of the
/// answer and so begins after the turn is stored.
#[test]
fn ancestors_are_retained_beyond_the_end_of_the_answer() {
    let mut retention = KnownRetention::default();
    retention.record_write("a", seconds(0), RETENTION_MS);
    let ids = ["a".to_owned()];
    let last = Duration::from_millis(keep_ms(RETENTION_MS) - RETENTION_MS - RETENTION_SLACK_MS);
    assert_eq!(retention.to_extend(&ids, last, RETENTION_MS), Vec::<&String>::new());
    assert_eq!(retention.to_extend(&ids, last + Duration::from_millis(1), RETENTION_MS), [&ids[0]]);
}

#[test]
fn expired_turns_are_removed() {
    let mut retention = KnownRetention::default();
    for number in 0..10 * MIN_SWEEP_SIZE as u64 {
        retention.record(&format!("t{number}"), seconds(number + 10), seconds(number));
    }
    assert!(retention.until.len() <= MIN_SWEEP_SIZE + 10);
    retention.record("last", seconds(1 << 30), seconds(1 << 20));
    assert!(retention.not_retained_until(&["last".to_owned()], seconds(1 << 29)).is_empty());
}
