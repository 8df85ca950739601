//! Run delay: the time that threads were ready to run but waited for a processor, as counted by the kernel.
//!
//! On an overloaded test machine even a correct gateway exceeds its time limits by the time that it waited for a
//! processor. The judge allows for exactly the measured delay.

use crate::micros::Micros;
use serde::{Deserialize, Serialize};

/// Run delays of the processes in a run. Empty if none were measured.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunDelays {
    /// One series for each gateway, summed over its threads and its restarts.
    pub gates: Vec<DelaySeries>,
    /// Delay of the lab's own process: in each sample, that of the thread that waited longest.
    pub lab: DelaySeries,
    /// Time stolen by the hypervisor: in each sample, from the processor that lost the most.
    pub steal: DelaySeries,
}

impl RunDelays {
    /// Returns the seconds by which waiting for processors may have delayed a gateway in a span of the run.
    #[must_use]
    pub fn between(&self, gate: usize, from_s: f64, until_s: f64) -> f64 {
        let own = self.gates.get(gate).map_or(0.0, |series| series.between(from_s, until_s));
        own + self.lab.between(from_s, until_s) + self.steal.between(from_s, until_s)
    }
}

/// Cumulative delay over time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DelaySeries(Vec<DelaySample>);

/// Cumulative delay at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DelaySample {
    /// Time of the measurement.
    at: Micros,
    /// Sum of all delays until then.
    total: Micros,
}

impl DelaySeries {
    /// Adds the delay measured since the last sample. A span without any delay is stored as two samples, whatever its
    /// length.
    pub fn add(&mut self, at: Micros, delay: Micros) {
        let total = self.0.last().map_or(0, |last| last.total) + delay;
        let sample = DelaySample { at, total };
        match self.0.as_mut_slice() {
            [.., before, last] if before.total == last.total && last.total == total => *last = sample,
            _ => self.0.push(sample),
        }
    }

    /// Returns the seconds of delay between the last sample before a span and the first one after it.
    #[must_use]
    pub fn between(&self, from_s: f64, until_s: f64) -> f64 {
        let micros = |seconds: f64| (seconds.max(0.0) * 1e6) as Micros;
        let before = self.0.partition_point(|sample| sample.at <= micros(from_s));
        let after = self.0.partition_point(|sample| sample.at < micros(until_s));
        let begun = before.checked_sub(1).map_or(0, |index| self.0[index].total);
        let ended = self.0.get(after).or(self.0.last()).map_or(0, |sample| sample.total);
        ended.saturating_sub(begun) as f64 / 1e6
    }
}

#[cfg(test)]
mod tests;
