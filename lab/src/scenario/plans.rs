//! Classes of requests and customers' plans.

use super::defaults::{four, four_tenths, half_to_one, one};
use serde::{Deserialize, Serialize};

/// Whether executing a request more than once is harmless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// May be executed any number of times.
    Safe,
    /// Carries an idempotency key, by which the workers of one zone discard duplicates within the class's window.
    Keyed,
    /// Must not be sent again once it may have been executed.
    Unsafe,
}

/// A class of requests: work, deadline, value, and whether requests may be executed repeatedly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    pub effect: Effect,
    /// Mean work of a request on one nominal core, in milliseconds.
    pub work_ms: f64,
    /// Latency target.
    pub aim_ms: f64,
    /// Time after which the client has no use for an answer.
    pub deadline_ms: f64,
    /// Value of an answer within the latency target.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of the value that an answer between latency target and deadline earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Deduplication window of keyed requests at the workers, in seconds.
    #[serde(default = "four")]
    pub window_s: f64,
}

/// A plan that customers are on: its quota, its ceiling and its share of the load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    pub name: String,
    /// Share of the load.
    pub share: f64,
    /// Units per second in a customer's quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Factor on the value of this plan's requests.
    #[serde(default = "one")]
    pub pays: f64,
    /// Range from which the share of the gateways that receive one customer's requests is drawn.
    #[serde(default = "half_to_one")]
    pub spread: [f64; 2],
    /// Mean demand of a customer as a share of `rate`.
    #[serde(default = "four_tenths")]
    pub usage: f64,
    /// Greatest number of requests in flight per customer; 0: unlimited.
    #[serde(default)]
    pub open: u32,
    /// Units per second of the rate limit; 0: there is none.
    #[serde(default)]
    pub ceiling_rate: f64,
    /// Capacity of the rate limit's token bucket, in units.
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Units by which the level of the rate limit's bucket may fall below 0.
    #[serde(default = "four")]
    pub slack: f64,
}

fn class(
    name: &str,
    share: f64,
    effect: Effect,
    work_ms: f64,
    times: [f64; 2],
    worth: [f64; 2],
) -> ClassSpec {
    let [aim_ms, deadline_ms] = times;
    let [worth, late_worth] = worth;
    ClassSpec {
        name: name.into(),
        share,
        effect,
        work_ms,
        aim_ms,
        deadline_ms,
        worth,
        late_worth,
        window_s: 4.0,
    }
}

/// Returns the default classes: one of each effect.
#[must_use]
pub fn default_classes() -> Vec<ClassSpec> {
    vec![
        class("record-read", 0.46, Effect::Safe, 40.0, [600.0, 2000.0], [1.0, 0.0]),
        class("dispute-flag", 0.36, Effect::Keyed, 40.0, [600.0, 2000.0], [2.0, 0.2]),
        class("charge-adjust", 0.18, Effect::Unsafe, 60.0, [1000.0, 4000.0], [3.0, 0.2]),
    ]
}

/// Returns the default plans: a small one, a medium one, and a large one with a rate limit and a cap on requests in
/// flight.
#[must_use]
pub fn default_plans() -> Vec<PlanSpec> {
    let plan = |name: &str, share, rate: f64, burst_s: f64, pays| PlanSpec {
        name: name.into(),
        share,
        rate,
        burst: (rate * burst_s).round().max(1.0),
        pays,
        spread: [0.5, 1.0],
        usage: 0.5,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        slack: 4.0,
    };
    let carrier = plan("carrier", 0.43, 12.0, 2.0, 1.6);
    vec![
        plan("basic", 0.28, 0.8, 4.0, 0.88),
        plan("standard", 0.29, 3.0, 4.5, 1.3),
        PlanSpec { open: 3, ceiling_rate: 25.0, ceiling_burst: 48.0, ..carrier },
    ]
}
