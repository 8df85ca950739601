use super::*;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn only_turns_that_would_go_too_early_are_named() {
    let mut kept = KeptTurns::default();
    kept.note("a", seconds(130), seconds(0));
    kept.note("b", seconds(150), seconds(20));
    let ids = ["a".to_owned(), "b".to_owned(), "unknown".to_owned()];
    assert_eq!(kept.too_short(&ids, seconds(130)), [&ids[2]]);
    assert_eq!(kept.too_short(&ids, seconds(140)), [&ids[0], &ids[2]]);
    kept.note("a", seconds(200), seconds(80));
    kept.note("a", seconds(100), seconds(80));
    assert_eq!(kept.too_short(&ids[..2], seconds(150)), Vec::<&String>::new());
}

#[test]
fn what_is_kept_no_more_is_forgotten() {
    let mut kept = KeptTurns::default();
    for number in 0..10 * SWEEP_ABOVE as u64 {
        kept.note(&format!("t{number}"), seconds(number + 10), seconds(number));
    }
    assert!(kept.until.len() <= SWEEP_ABOVE + 10);
    kept.note("last", seconds(1 << 30), seconds(1 << 20));
    assert!(kept.too_short(&["last".to_owned()], seconds(1 << 29)).is_empty());
}
