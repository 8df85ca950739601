//! Default values of optional keys in scenario files.

/// Default seeds of a scenario.
pub(super) fn two_seeds() -> Vec<u64> {
    vec![1, 2]
}

/// Default length of the lead-in, in seconds.
pub(super) fn default_lead() -> f64 {
    2.0
}

/// Default of 1.
pub(super) fn one() -> f64 {
    1.0
}

/// Default of 2.
pub(super) fn two() -> f64 {
    2.0
}

/// Default of 4.
pub(super) fn four() -> f64 {
    4.0
}

/// Default of 0.1.
pub(super) fn tenth() -> f64 {
    0.1
}

/// Default of 0.4.
pub(super) fn four_tenths() -> f64 {
    0.4
}

/// Default range from 0.5 to 1.
pub(super) fn half_to_one() -> [f64; 2] {
    [0.5, 1.0]
}

/// Default selection of all gateways, workers or peers.
pub(super) fn all() -> String {
    "all".into()
}
