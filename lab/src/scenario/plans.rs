//! The classes of requests and the plans of customers.

use super::defaults::{four, four_tenths, half_to_one, one};
use serde::{Deserialize, Serialize};

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Workers of one zone discard repeats for the class's window.
    Keyed,
    /// Never, once it may have run.
    Unsafe,
}

/// A class of requests: how much work it is, what it is worth, and whether it may be repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    pub effect: Effect,
    /// Mean work of a request on one nominal core.
    pub work_ms: f64,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    #[serde(default = "one")]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    /// For keyed ones: how long workers remember one.
    #[serde(default = "four")]
    pub window_s: f64,
}

/// A plan that customers are on: its quota, its ceiling and its share of the load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    pub name: String,
    /// Share of the load.
    pub share: f64,
    /// Units a second that a customer may use, and at once.
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "one")]
    pub pays: f64,
    /// Share of the gateways that one customer's requests come through: drawn between the two.
    #[serde(default = "half_to_one")]
    pub spread: [f64; 2],
    /// What a customer asks for, over its rate, on the mean.
    #[serde(default = "four_tenths")]
    pub usage: f64,
    #[serde(default)]
    pub open: u32,
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may fall below 0.
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

/// The classes where a file names none: one of each effect.
#[must_use]
pub fn default_classes() -> Vec<ClassSpec> {
    vec![
        class("record-read", 0.46, Effect::Safe, 40.0, [600.0, 2000.0], [1.0, 0.0]),
        class("dispute-flag", 0.36, Effect::Keyed, 40.0, [600.0, 2000.0], [2.0, 0.2]),
        class("charge-adjust", 0.18, Effect::Unsafe, 60.0, [1000.0, 4000.0], [3.0, 0.2]),
    ]
}

/// The plans where a file names none: small, middling, and one with a cap on what is open and a ceiling.
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
