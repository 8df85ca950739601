//! Windows of a customer's count at the counter; each customer's windows begin at a phase of their own.

use crate::interface::{CustomerId, Plan, Time};
use std::hash::Hasher;

/// Length of a window as a multiple of burst over rate: several, as each new window costs additional calls.
const WINDOW_BURST_SPANS: f64 = 4.0;
/// Minimum length of a window, in seconds: longer than a known level is trusted.
const MIN_WINDOW: f64 = 2.0;
/// Maximum length of a window, in seconds: the counter keeps a name for less than 60 s.
const MAX_WINDOW: f64 = 25.0;

/// Length of a plan's windows, in seconds.
pub(super) fn window_length(plan: &Plan) -> f64 {
    (WINDOW_BURST_SPANS * plan.burst / plan.rate).clamp(MIN_WINDOW, MAX_WINDOW)
}

/// A customer's phase, as a fraction of a window from 0 to 1; the same at every gateway.
pub(super) fn window_phase(id: &CustomerId) -> f64 {
    (hash(&[id.as_bytes()]) % 1024) as f64 / 1024.0
}

/// The number of the customer's window at `now`, and the seconds since it began.
pub(super) fn window(plan: &Plan, id: &CustomerId, now: Time) -> (u64, f64) {
    let length = window_length(plan);
    let windows = (now / length + window_phase(id)).max(0.0);
    (windows as u64, windows.fract() * length)
}

/// A hash that is the same at every gateway; below 2^63.
pub(super) fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for part in parts {
        hasher.write(part);
    }
    // FNV mixes the high bits of short inputs poorly; one multiply-shift round spreads them.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 1
}
