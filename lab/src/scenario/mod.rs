//! Scenario files: what world there is, what load it gets, which faults strike when, and what must hold.
//!
//! A file is checked whole before anything starts: every error is told with its key.

mod check;
mod defaults;
mod error;
mod fault;
mod load;
mod parse;
mod plans;
mod requirements;
mod shipped;
mod target;
mod world;

pub use error::{Invalid, Problem};
pub use fault::{Direction, Disk, Fault, FaultKind};
pub use load::{Arrivals, Clients, Load, Step};
pub use plans::{ClassSpec, Effect, PlanSpec, default_classes, default_plans};
pub use requirements::Requirements;
pub use shipped::shipped;
pub use target::{Peers, Selection};
pub use world::{CounterSpec, DiscoverySpec, World};

use defaults::{default_lead, default_seeds};
use serde::{Deserialize, Serialize};

/// Gateways that a play may have.
const MAX_GATEWAYS: usize = 100;
/// Workers that a play may have.
const MAX_WORKERS: usize = 400;

/// Everything a run needs to know; times in seconds, counts in whole numbers, unless the key says otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// One line on what it shows.
    #[serde(default)]
    pub about: String,
    /// Load lasts so long.
    pub length_s: f64,
    /// The seeds it is played on by default.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// Length of the first part that counts for nothing: connections and leases come up.
    #[serde(default = "default_lead")]
    pub lead_s: f64,
    /// The machines.
    #[serde(default)]
    pub world: World,
    /// The shared counter.
    #[serde(default)]
    pub counter: CounterSpec,
    /// How news of the workers spreads.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The classes of requests.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// The plans of customers.
    #[serde(default = "default_plans", rename = "plan")]
    pub plans: Vec<PlanSpec>,
    /// What clients ask for.
    #[serde(default)]
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What it has to show to pass.
    #[serde(default)]
    pub must: Requirements,
}

impl Scenario {
    /// When the first fault that ends begins, and when the last of them ends, within the play.
    pub fn fault_span(&self) -> Option<(f64, f64)> {
        let spans = self.faults.iter().map(|f| (f.at_s, f.at_s + f.for_s.unwrap_or(0.0) + f.over_s));
        let spans: Vec<(f64, f64)> = spans.filter(|(_, to)| *to < self.length_s).collect();
        let from = spans.iter().map(|s| s.0).reduce(f64::min)?;
        Some((from, spans.iter().map(|s| s.1).fold(from, f64::max)))
    }

    /// The same play with so many times the gateways and workers, and with that the load.
    #[must_use]
    pub fn scaled(mut self, scale: f64) -> Self {
        let times = |n: usize, most: usize| ((n as f64 * scale).round() as usize).clamp(2, most);
        self.world.gatekeepers = times(self.world.gatekeepers, MAX_GATEWAYS);
        self.world.workers = times(self.world.workers, MAX_WORKERS);
        self.counter.calls_per_s *= scale;
        self
    }
}

#[cfg(test)]
mod tests;
