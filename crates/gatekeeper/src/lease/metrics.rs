//! Metrics of lease acquisitions.

use opalrun_metrics::{Counter, Histogram, Scrape, duration_histogram};
use std::time::Duration;

/// Durations and failures of acquisitions from the stores.
pub struct AcquisitionMetrics {
    durations: Histogram,
    /// Acquisitions that no quorum of the stores answered in time.
    unanswered: Counter,
}

impl Default for AcquisitionMetrics {
    fn default() -> Self {
        Self { durations: duration_histogram(), unanswered: Counter::default() }
    }
}

impl AcquisitionMetrics {
    /// Records an acquisition that ended after `duration`; `answered` tells whether a quorum answered it.
    pub fn record(&self, duration: Duration, answered: bool) {
        self.durations.observe(duration.as_secs_f64());
        if !answered {
            self.unanswered.inc();
        }
    }

    /// Writes the metrics to `scrape`.
    pub fn scrape(&self, scrape: &mut Scrape) {
        scrape.histogram("lease_raise_seconds", "Time of raises of programs' counts", &self.durations);
        scrape.counter("lease_raises_unanswered", "Raises that no quorum answered in time", &self.unanswered);
    }
}
