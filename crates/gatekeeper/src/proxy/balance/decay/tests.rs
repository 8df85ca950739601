//! Exponential decay of values.

use super::{DecayingValue, HalfLife};
use std::time::Duration;

const HALF_LIFE: HalfLife = HalfLife(Duration::from_millis(400));

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn value_halves_within_each_half_life() {
    let value = DecayingValue::new(at(1000), 8.0);
    let remaining = [1000, 1400, 1800, 2200].map(|ms| value.get(at(ms), HALF_LIFE));
    assert!(
        remaining
            .iter()
            .zip([8.0, 4.0, 2.0, 1.0])
            .all(|(actual, expected): (&f64, f64)| (actual - expected).abs() < 1e-12)
    );
}

#[test]
fn value_set_in_the_future_has_not_decayed() {
    let value = DecayingValue::new(at(1000), 8.0);
    assert_eq!(value.get(at(500), HALF_LIFE).to_bits(), 8.0_f64.to_bits());
}

#[test]
fn decay_equals_exp2_of_negative_age_over_half_life_bit_for_bit() {
    for age_ms in 0..2000 {
        let age = at(age_ms).as_secs_f64();
        let expected = 3.7 * (-age / HALF_LIFE.0.as_secs_f64()).exp2();
        let value = DecayingValue::new(at(77), 3.7);
        assert_eq!(value.get(at(77) + at(age_ms), HALF_LIFE).to_bits(), expected.to_bits());
    }
}
