//! Requirements that a run of a scenario must meet to pass.

use serde::{Deserialize, Serialize};

/// Bounds on the metrics of a run; the judge's rules must hold in any case.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Requirements {
    /// Greatest number of seconds from the end of the last fault to 95% of the goodput before the first one; 0: not
    /// checked.
    pub recover_s: f64,
    /// Least goodput over the whole run, as a share of the value requested.
    pub goodput: f64,
    /// Greatest number of attempts per try that reached a worker, in the worst second.
    pub amplification: f64,
    /// Greatest share of the units sent to workers that are beyond quotas.
    pub beyond: f64,
    /// Greatest share of the tries that were refused within their quota.
    pub refused_with_room: f64,
}

impl Default for Requirements {
    fn default() -> Self {
        Self { recover_s: 0.0, goodput: 0.0, amplification: f64::MAX, beyond: 1.0, refused_with_room: 1.0 }
    }
}
