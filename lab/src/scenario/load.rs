//! What clients ask for, and how they behave when they are refused.

use super::defaults::one;
use serde::{Deserialize, Serialize};

/// What clients ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Mean work asked for, over what all workers together can do.
    #[serde(rename = "use")]
    pub utilisation: f64,
    pub arrivals: Arrivals,
    /// How unlike customers of one plan are: the deviation of the logarithm of their demand.
    pub skew: f64,
    /// Share of the customers that ask for `heavy_x` times as much.
    pub heavy: f64,
    pub heavy_x: f64,
    /// One customer of the first plan is this share of the load; 0: none.
    pub whale: f64,
    /// How unlike gateways' shares of the traffic are.
    pub gate_skew: f64,
    pub step: Vec<Step>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            utilisation: 0.5,
            arrivals: Arrivals::Poisson,
            skew: 0.6,
            heavy: 0.08,
            heavy_x: 2.5,
            whale: 0.0,
            gate_skew: 0.0,
            step: Vec::new(),
        }
    }
}

/// How requests are spaced in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Memoryless.
    Poisson,
    /// Evenly spaced.
    Even,
}

/// From `at_s` on the load is `times` its base; `shift` also draws the customers' demands anew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub at_s: f64,
    #[serde(default = "one")]
    pub times: f64,
    #[serde(default)]
    pub shift: bool,
}

/// How clients behave when they are refused or failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Further tries at most.
    pub retries: u32,
    /// Chance that a client keeps to the time to come back.
    pub honour: f64,
    pub backoff_ms: f64,
    pub max_retry_after_ms: f64,
    /// Time given to a try, over the class's deadline: drawn between the two.
    pub try_share: [f64; 2],
    /// Share that leaves before its time.
    pub impatient: f64,
    /// The others leave so long after their time.
    pub patience_ms: f64,
    /// The front notices a dead gateway after so long.
    pub notice_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 3,
            honour: 0.7,
            backoff_ms: 100.0,
            max_retry_after_ms: 1000.0,
            try_share: [0.5, 1.0],
            impatient: 0.005,
            patience_ms: 550.0,
            notice_s: 1.5,
        }
    }
}
