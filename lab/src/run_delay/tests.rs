use super::*;

/// Samples every 20 ms of a gateway that waited 30 ms between 1.00 and 1.02 s.
fn delayed_once() -> DelaySeries {
    let mut series = DelaySeries::default();
    for number in 0..100 {
        let at = number * 20_000;
        series.add(at, if at == 1_020_000 { 30_000 } else { 0 });
    }
    series
}

#[expect(clippy::float_cmp, reason = "sums of whole microseconds are exact")]
#[test]
fn a_delay_counts_only_in_spans_that_overlap_its_sample() {
    let series = delayed_once();
    assert_eq!(series.between(0.9, 1.1), 0.03);
    assert_eq!(series.between(1.005, 1.015), 0.03);
    assert_eq!(series.between(0.2, 0.98), 0.0);
    assert_eq!(series.between(1.03, 1.9), 0.0);
}

#[test]
fn a_span_without_delay_is_stored_as_two_samples() {
    assert_eq!(delayed_once().0.len(), 4);
}

#[expect(clippy::float_cmp, reason = "sums of whole microseconds are exact")]
#[test]
fn a_gateway_is_not_excused_by_the_delay_of_another() {
    let delays = RunDelays { gates: vec![DelaySeries::default(), delayed_once()], ..RunDelays::default() };
    assert_eq!(delays.between(0, 0.0, 2.0), 0.0);
    assert_eq!(delays.between(1, 0.0, 2.0), 0.03);
    assert_eq!(delays.between(7, 0.0, 2.0), 0.0);
}
