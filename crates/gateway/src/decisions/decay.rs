//! Sums that decay exponentially over time.

use super::{Time, TokenBucket};

/// Adds `units` to a sum that decays with the time constant `memory`, in seconds. Divided by `memory`, the
/// sum is the recent rate.
pub(super) fn add_decaying(sum: &mut TokenBucket, now: Time, units: f64, memory: f64) {
    sum.level = sum.level * (-(now - sum.at) / memory).exp() + units;
    sum.at = now;
}
