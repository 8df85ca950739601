//! The load that clients offer, and their behaviour after refusals and failures.

use super::defaults::one;
use serde::{Deserialize, Serialize};

/// The load that clients offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Mean offered work as a share of the capacity of all workers.
    #[serde(rename = "use")]
    pub utilisation: f64,
    pub arrivals: Arrivals,
    /// Standard deviation of the logarithm of the demand of customers on one plan.
    pub skew: f64,
    /// Share of the customers whose demand is multiplied by `heavy_x`.
    pub heavy: f64,
    /// Factor on the demand of heavy customers.
    pub heavy_x: f64,
    /// Share of the load that comes from one additional customer on the first plan; 0: there is none.
    pub whale: f64,
    /// Standard deviation of the logarithm of the gateways' weights in the clients' choice.
    pub gate_skew: f64,
    /// Changes of the load during the run.
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

/// Distribution of the times between requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Exponentially distributed gaps (a Poisson process).
    Poisson,
    /// Equal gaps.
    Even,
}

/// A change of the load: from `at_s` on it is `times` the base load; `shift` also redraws the customers' demands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub at_s: f64,
    #[serde(default = "one")]
    pub times: f64,
    #[serde(default)]
    pub shift: bool,
}

/// Behaviour of clients, in particular after refusals and failures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Greatest number of retries per request.
    pub retries: u32,
    /// Probability that a client waits for the time in `Retry-After`.
    pub honour: f64,
    /// Base of the exponential backoff between tries.
    pub backoff_ms: f64,
    /// Upper bound on the `Retry-After` times that clients honour.
    pub max_retry_after_ms: f64,
    /// Range from which the time limit of a try is drawn, as a share of the class's deadline.
    pub try_share: [f64; 2],
    /// Share of the tries whose client disconnects before the time limit.
    pub impatient: f64,
    /// Time after the time limit at which the other clients give up.
    pub patience_ms: f64,
    /// Time after which the load balancer in front of the gateways stops using a gateway that has exited, in seconds.
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
