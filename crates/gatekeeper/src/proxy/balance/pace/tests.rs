//! One long time does not become usual, many do.

use super::Pace;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usual_pace() -> Pace {
    let mut pace = Pace::default();
    for number in 0..64 {
        pace.add(ms(80 + number % 3 * 20));
    }
    pace
}

#[test]
fn a_worker_that_hangs_does_not_make_hanging_usual() {
    let mut pace = usual_pace();
    let before = pace.longest_usual().expect("enough is known");
    pace.add(ms(5000));
    let after = pace.longest_usual().expect("enough is known");
    assert!(before < after && after < before * 3 / 2, "{before:?} and then {after:?}");
}

#[test]
fn where_all_take_longer_that_is_soon_usual() {
    let mut pace = usual_pace();
    let unusual = (0..64).filter(|_| {
        let longest = pace.longest_usual().expect("enough is known");
        pace.add(ms(1500));
        longest < ms(1500)
    });
    let unusual = unusual.count();
    assert!(unusual <= 12, "{unusual} answers were taken for unusual");
}
