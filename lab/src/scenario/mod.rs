//! Scenario files: the simulated environment, the load, the injected faults and the requirements for a pass.
//!
//! A file is validated completely before anything starts; every error is reported with its key.

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

use defaults::{default_lead, two_seeds};
use serde::{Deserialize, Serialize};

/// Greatest number of gateways in a run.
const MAX_GATEWAYS: usize = 100;
/// Greatest number of workers in a run.
const MAX_WORKERS: usize = 400;

/// Description of a run. Times are in seconds unless the key names another unit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// One-line description of what it tests.
    #[serde(default)]
    pub about: String,
    /// Duration of the load.
    pub length_s: f64,
    /// Seeds of the default runs.
    #[serde(default = "two_seeds")]
    pub seeds: Vec<u64>,
    /// Length of the lead-in, which the metrics leave out, as connections and leases are established in it.
    #[serde(default = "default_lead")]
    pub lead_s: f64,
    /// Gateways and workers.
    #[serde(default)]
    pub world: World,
    /// Shared counter.
    #[serde(default)]
    pub counter: CounterSpec,
    /// Propagation of changes in the list of workers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// Classes of requests.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// Customers' plans.
    #[serde(default = "default_plans", rename = "plan")]
    pub plans: Vec<PlanSpec>,
    /// Offered load.
    #[serde(default)]
    pub load: Load,
    /// Behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// Injected faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Requirements for a pass.
    #[serde(default)]
    pub must: Requirements,
}

impl Scenario {
    /// Returns the start of the first and the end of the last fault, in seconds, among those that end within the run.
    pub fn fault_span(&self) -> Option<(f64, f64)> {
        let spans = self.faults.iter().map(|f| (f.at_s, f.at_s + f.for_s.unwrap_or(0.0) + f.over_s));
        let spans: Vec<(f64, f64)> = spans.filter(|(_, to)| *to < self.length_s).collect();
        let from = spans.iter().map(|s| s.0).reduce(f64::min)?;
        Some((from, spans.iter().map(|s| s.1).fold(from, f64::max)))
    }

    /// Returns the scenario with the numbers of gateways and workers, and with them the load, multiplied by `scale`.
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
