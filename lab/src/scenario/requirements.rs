//! What a play of a scenario has to show to pass.

use serde::{Deserialize, Serialize};

/// What a play has to show. The rules must always hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Requirements {
    /// Seconds from the end of the last fault to 95% of the goodput before the first one; 0: not asked.
    pub recover_s: f64,
    /// Goodput over the whole play, as a share of the worth asked for.
    pub goodput: f64,
    /// Attempts that reach workers a first try that was sent on, in the worst second.
    pub amplification: f64,
    /// Units sent on beyond quotas, of all units sent on.
    pub beyond: f64,
    /// Refusals with room in the quota, of all first tries.
    pub refused_with_room: f64,
}

impl Default for Requirements {
    fn default() -> Self {
        Self { recover_s: 0.0, goodput: 0.0, amplification: f64::MAX, beyond: 1.0, refused_with_room: 1.0 }
    }
}
