//! The metrics of a measurement.

use serde_json::{Value, json};
use std::time::Duration;

/// Resource usage of one process during a measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Role and machine of the process.
    pub name: String,
    /// Mean processor usage in the steady phase, in cores.
    pub steady_cores: f64,
    /// Processor time per configuration change, in addition to the steady usage.
    pub per_change: Duration,
    /// Resident memory at the end of the steady phase, in bytes.
    pub steady_bytes: u64,
    /// Peak resident memory since the start of the process, in bytes.
    pub peak_bytes: u64,
}

/// Metrics of one measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct Metrics {
    /// Number of simulated gatekeepers.
    pub gatekeepers: usize,
    /// Number of simulated workers.
    pub workers: usize,
    /// Size of the configuration body, in bytes.
    pub configuration_bytes: usize,
    /// Acknowledged worker heartbeats per second in the steady phase.
    pub heartbeats_a_second: f64,
    /// Number of heartbeats over the whole measurement that no control process acknowledged.
    pub heartbeats_failed: u64,
    /// Frames per second that each gatekeeper received from control in the steady phase.
    pub frames_a_second: f64,
    /// Bytes per second that each gatekeeper received in the steady phase, without TCP and IP headers.
    pub bytes_down_a_second: f64,
    /// Bytes per second that each gatekeeper sends to control as heartbeats, without TCP and IP headers.
    pub bytes_up_a_second: f64,
    /// Bytes that each gatekeeper received for one change, in addition to the steady traffic.
    pub bytes_a_change: f64,
    /// Time from sending each change until the operator received its acknowledgement.
    pub acknowledged_in: Vec<Duration>,
    /// Time from sending each change until all gatekeepers had received it.
    pub everywhere_in: Vec<Duration>,
    /// Resource usage of each measured process.
    pub loads: Vec<Load>,
}

impl Metrics {
    /// Returns the metrics as a JSON object.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let loads = self.loads.iter().map(|load| {
            json!({
                "process": load.name, "steady_cores": rounded(load.steady_cores),
                "ms_a_change": rounded(load.per_change.as_secs_f64() * 1e3),
                "steady_mb": megabytes(load.steady_bytes), "peak_mb": megabytes(load.peak_bytes),
            })
        });
        json!({
            "gatekeepers": self.gatekeepers, "workers": self.workers,
            "configuration_bytes": self.configuration_bytes,
            "heartbeats_a_second": rounded(self.heartbeats_a_second),
            "heartbeats_failed": self.heartbeats_failed,
            "frames_a_second": rounded(self.frames_a_second),
            "bytes_down_a_second": rounded(self.bytes_down_a_second),
            "bytes_up_a_second": rounded(self.bytes_up_a_second),
            "bytes_a_change": rounded(self.bytes_a_change),
            "acknowledged_ms": median_and_longest_ms(&self.acknowledged_in),
            "everywhere_ms": median_and_longest_ms(&self.everywhere_in),
            "loads": loads.collect::<Vec<_>>(),
        })
    }
}

/// Returns the median and the longest of the durations, in milliseconds.
fn median_and_longest_ms(times: &[Duration]) -> Value {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let ms = |time: Option<&Duration>| time.map(|time| time.as_millis() as u64);
    json!({"median": ms(sorted.get(sorted.len() / 2)), "longest": ms(sorted.last())})
}

fn megabytes(bytes: u64) -> f64 {
    rounded(bytes as f64 / 1e6)
}

/// Rounds to four decimal places, beyond the precision of the measurement.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
