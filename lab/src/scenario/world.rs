//! The machines of a scenario: gateways, workers, the shared counter and discovery.

use serde::{Deserialize, Serialize};

/// Gateways and workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[allow(clippy::struct_excessive_bools, reason = "each is a key of its own in scenario files")]
pub struct World {
    pub gatekeepers: usize,
    pub memory_mb: u64,
    pub sockets: u64,
    /// Gateways keep a folder over restarts (`NODE_STATE`).
    pub disk: bool,
    /// Gateways know each other by datagrams (`fleet` in their configuration).
    pub fleet: bool,
    /// Gateways say why they refuse and send; without it no unit has a cause.
    pub events: bool,
    pub zones: Vec<String>,
    pub workers: usize,
    pub cores: usize,
    /// Work done a second by each core, relative to nominal: drawn for each worker between the two.
    pub speed: [f64; 2],
    /// Requests that may wait at a worker.
    pub queue: usize,
    /// A worker starts with this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after so long.
    pub cold_s: f64,
    /// A cold worker falls when sent more than this many times its capacity ...
    pub fall_multiple: f64,
    /// ... over so long.
    pub fall_s: f64,
    /// A worker that fell or crashed is back after so long.
    pub back_s: f64,
    /// Connections that a worker holds, from all gateways together.
    pub connections: usize,
    pub handshake_ms: f64,
    /// Share of the answers that are errors for no reason.
    pub errors: f64,
    /// One way, within a zone and between zones.
    pub near_ms: f64,
    pub far_ms: f64,
    /// Answers carry a load report.
    pub reports: bool,
    /// Bytes that an answer has at least.
    pub answer_bytes: usize,
    pub drain_grace_s: f64,
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
    /// There is one.
    pub on: bool,
    /// Calls a second, over all parts.
    pub calls_per_s: f64,
    pub parts: usize,
    /// An answer takes so long at least.
    pub ms: f64,
    /// Gateways wait no longer.
    pub timeout_ms: f64,
    /// A part whose line is longer than this answers `busy`.
    pub line_ms: f64,
}

impl Default for CounterSpec {
    fn default() -> Self {
        Self { on: true, calls_per_s: 600.0, parts: 2, ms: 1.2, timeout_ms: 50.0, line_ms: 250.0 }
    }
}

/// How news of the workers spreads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiscoverySpec {
    /// A change reaches an agent after a time drawn between the two.
    pub late_s: [f64; 2],
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self { late_s: [0.2, 0.9] }
    }
}
