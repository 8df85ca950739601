//! Tests of when the absence of a peer is logged.

use opalrun_net::reachability::{Absence, PeerCount, Reachability};
use std::time::Duration;
use tokio::time::Instant;

const ATTEMPT: Duration = Duration::from_millis(500);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Makes attempts of half a second each that all fail, from `from` until `to` after the start. Returns the times after
/// the start at which a warning was due.
fn warnings(reachability: &mut Reachability, start: Instant, from: Duration, to: Duration) -> Vec<Duration> {
    let mut warnings = Vec::new();
    let mut at = from;
    while at < to {
        let ended = at + ATTEMPT;
        if reachability.attempt_failed(start + at, start + ended).is_some() {
            warnings.push(ended);
        }
        at = ended;
    }
    warnings
}

#[test]
fn an_unreachable_peer_is_warned_about_after_three_seconds_and_then_every_thirty() {
    let mut reachability = Reachability::new("control");
    let warned_at = warnings(&mut reachability, Instant::now(), Duration::ZERO, seconds(70));
    assert_eq!(warned_at, [seconds(3), seconds(33), seconds(63)]);
    assert_eq!(reachability.count(), PeerCount { missing: 1, failed_attempts: 140 });
}

#[test]
fn the_end_of_an_absence_that_was_warned_about_is_reported_once() {
    let start = Instant::now();
    let mut reachability = Reachability::new("control");
    assert_eq!(warnings(&mut reachability, start, Duration::ZERO, seconds(5)), [seconds(3)]);
    let ended = Absence { duration: seconds(6), attempts: 10 };
    assert_eq!(reachability.reached(start + seconds(6)), Some(ended));
    assert_eq!(reachability.reached(start + seconds(7)), None);
    assert_eq!(reachability.count(), PeerCount { missing: 0, failed_attempts: 10 });
}

#[test]
fn a_short_absence_is_not_logged() {
    let start = Instant::now();
    let mut reachability = Reachability::new("control");
    assert!(warnings(&mut reachability, start, Duration::ZERO, seconds(2)).is_empty());
    assert_eq!(reachability.reached(start + seconds(2)), None);
    assert!(
        warnings(&mut reachability, start, seconds(10), seconds(12)).is_empty(),
        "the next absence is counted from its own start"
    );
}

#[test]
fn a_peer_with_repeated_absences_is_warned_about_at_most_every_thirty_seconds() {
    let start = Instant::now();
    let mut reachability = Reachability::new("control");
    let mut warned_at = Vec::new();
    for absence in 0..6 {
        let from = seconds(10 * absence);
        warned_at.extend(warnings(&mut reachability, start, from, from + seconds(6)));
        reachability.reached(start + from + seconds(6));
    }
    assert_eq!(warned_at, [seconds(3), seconds(33)]);
}
