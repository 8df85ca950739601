//! Values of keys that a scenario file may leave out.

/// The seeds that a scenario is played on where its file names none.
pub(super) fn default_seeds() -> Vec<u64> {
    vec![1, 2]
}

/// Seconds of the lead-in where a file gives none.
pub(super) fn default_lead() -> f64 {
    2.0
}

/// The number 1, where a key is missing.
pub(super) fn one() -> f64 {
    1.0
}

/// The number 2, where a key is missing.
pub(super) fn two() -> f64 {
    2.0
}

/// The number 4, where a key is missing.
pub(super) fn four() -> f64 {
    4.0
}

/// The number 0.1, where a key is missing.
pub(super) fn one_tenth() -> f64 {
    0.1
}

/// The number 0.4, where a key is missing.
pub(super) fn four_tenths() -> f64 {
    0.4
}

/// From a half to the whole.
pub(super) fn half_to_one() -> [f64; 2] {
    [0.5, 1.0]
}

/// The text that chooses everything.
pub(super) fn all() -> String {
    "all".into()
}
