use super::*;

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
