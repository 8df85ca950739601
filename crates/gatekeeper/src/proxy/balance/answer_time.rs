//! Recent times that the workers of a service took to start an answer.

use std::time::Duration;

/// Weight of each new sample in the exponentially weighted mean and deviation.
const NEW_SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Number of samples below which no limit is given.
const MIN_SAMPLES: u32 = 16;
/// Distance of the limit from the mean, in mean absolute deviations.
const NORMAL_DEVIATIONS: f64 = 6.0;

/// Running mean of the time to the start of an answer, with its mean absolute deviation. Both are in seconds.
#[derive(Debug, Default)]
pub(super) struct AnswerTime {
    mean_s: f64,
    deviation_s: f64,
    samples: u32,
}

impl AnswerTime {
    /// Records the time to the start of an answer, or the time waited so far if it has not started. A sample above the
    /// limit counts as the limit, so that a few hanging workers hardly raise it. If all workers become slower, it soon
    /// follows.
    pub fn record(&mut self, elapsed: Duration) {
        let elapsed = self.normal_limit().map_or(elapsed, |limit| elapsed.min(limit)).as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        // The first samples are weighted equally.
        let weight = NEW_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation_s += ((elapsed - self.mean_s).abs() - self.deviation_s) * weight;
        self.mean_s += (elapsed - self.mean_s) * weight;
    }

    /// Longest time to the start of an answer that counts as normal; `None` with fewer than [`MIN_SAMPLES`] samples.
    pub fn normal_limit(&self) -> Option<Duration> {
        let limit = self.mean_s + self.deviation_s * NORMAL_DEVIATIONS;
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(limit))
    }
}

#[cfg(test)]
mod tests;
