//! Frequently requested prefixes count as cached at every worker, rare ones do not.

use super::{MAX_PREFIXES, Popularity};
use std::time::Duration;

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
#[expect(clippy::float_cmp, reason = "exactly 0 without requests")]
fn frequent_prefix_of_many_gatekeepers_is_probably_cached_everywhere() {
    let mut popularity = Popularity::default();
    assert_eq!(popularity.cached_probability(at(0), 7, 70, 50), 0.0, "no requests yet");
    for second in 0..10 {
        popularity.record(at(second), 7);
    }
    assert!(popularity.cached_probability(at(10), 7, 70, 50) > 0.99);
    assert!(popularity.cached_probability(at(10), 8, 70, 50) < 0.01, "another prefix");
    assert!(popularity.cached_probability(at(10), 7, 2, 50) < 0.3, "few gatekeepers, many workers");
    assert!(popularity.cached_probability(at(100), 7, 70, 50) < 0.01, "the requests have decayed");
}

#[test]
fn prefixes_are_bounded_and_the_most_requested_ones_are_kept() {
    let mut popularity = Popularity::default();
    (0..20).for_each(|_| popularity.record(at(0), u64::MAX));
    for prefix in 0..4 * MAX_PREFIXES as u64 {
        popularity.record(at(1), prefix);
    }
    assert!(popularity.prefixes.len() <= MAX_PREFIXES);
    assert!(popularity.cached_probability(at(1), u64::MAX, 10, 10) > 0.99);
}
