//! The simulated environment of a scenario: gateways, workers, the shared counter and discovery.

use serde::{Deserialize, Serialize};

/// Gateways and workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[allow(clippy::struct_excessive_bools, reason = "each is a key of its own in scenario files")]
pub struct World {
    /// Number of gateways.
    pub gatekeepers: usize,
    /// Memory limit of a gateway process.
    pub memory_mb: u64,
    /// Limit on open files of a gateway process.
    pub sockets: u64,
    /// Whether gateways keep a data directory over restarts (`NODE_STATE`).
    pub disk: bool,
    /// Whether gateways exchange datagrams with each other (`fleet` in their configuration).
    pub fleet: bool,
    /// Whether gateways log the causes of refusals and attempts; without it units are counted without causes.
    pub events: bool,
    /// Names of the zones, over which gateways and workers are distributed in turn.
    pub zones: Vec<String>,
    /// Number of workers.
    pub workers: usize,
    /// Cores of each worker.
    pub cores: usize,
    /// Range from which the speed of each worker's cores is drawn, relative to a nominal core.
    pub speed: [f64; 2],
    /// Greatest number of requests that wait at a worker.
    pub queue: usize,
    /// Share of its capacity that a worker has when it starts.
    pub cold_from: f64,
    /// Length of the warm-up, after which a worker has its full capacity.
    pub cold_s: f64,
    /// Multiple of its present capacity above which a worker that is warming up crashes.
    pub fall_multiple: f64,
    /// Window over which the work sent to a worker that is warming up is compared with its capacity.
    pub fall_s: f64,
    /// Time after which a worker that crashed by overload starts again.
    pub back_s: f64,
    /// Greatest number of connections that a worker accepts from all gateways together.
    pub connections: usize,
    /// Time that a worker takes to set up a connection, added to its first request.
    pub handshake_ms: f64,
    /// Share of the requests that workers answer with an error without a fault.
    pub errors: f64,
    /// One-way delay of links within a zone.
    pub near_ms: f64,
    /// One-way delay of links between zones.
    pub far_ms: f64,
    /// Whether answers carry a load report.
    pub reports: bool,
    /// Least size of an answer's body.
    pub answer_bytes: usize,
    /// Time within which gateways must stop sending to a worker that is reported as draining.
    pub drain_grace_s: f64,
    /// Greatest number of attempts per request at a gateway.
    pub max_attempts: u32,
}

impl Default for World {
    fn default() -> Self {
        Self {
            gatekeepers: 6,
            memory_mb: 192,
            sockets: 512,
            disk: false,
            fleet: false,
            events: true,
            zones: vec!["hall-a".into(), "hall-b".into()],
            workers: 12,
            cores: 2,
            speed: [0.9, 1.3],
            queue: 24,
            cold_from: 0.3,
            cold_s: 8.0,
            fall_multiple: 3.0,
            fall_s: 3.0,
            back_s: 3.0,
            connections: 400,
            handshake_ms: 2.0,
            errors: 0.0005,
            near_ms: 0.0,
            far_ms: 1.5,
            reports: false,
            answer_bytes: 0,
            drain_grace_s: 0.5,
            max_attempts: 4,
        }
    }
}

/// The shared counter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CounterSpec {
    /// Whether there is a shared counter.
    pub on: bool,
    /// Capacity of all shards together, in calls per second.
    pub calls_per_s: f64,
    /// Number of shards.
    pub parts: usize,
    /// Service time of a call that does not queue, in milliseconds.
    pub ms: f64,
    /// Time-out of the gateways' calls.
    pub timeout_ms: f64,
    /// Queueing delay of a shard above which it answers `busy`.
    pub line_ms: f64,
}

impl Default for CounterSpec {
    fn default() -> Self {
        Self { on: true, calls_per_s: 600.0, parts: 2, ms: 1.2, timeout_ms: 50.0, line_ms: 250.0 }
    }
}

/// Propagation of changes in the list of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiscoverySpec {
    /// Range from which the delay of each change at an agent is drawn.
    pub late_s: [f64; 2],
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self { late_s: [0.2, 0.9] }
    }
}
