//! Metrics of the leases for scrapers.

use opalrun_metrics::{Counter, Histogram, Scrape, duration_histogram};
use std::time::Duration;

/// What is counted of acquisitions of programs' counts.
pub struct AcquisitionMetrics {
    times: Histogram,
    unanswered: Counter,
}

impl Default for AcquisitionMetrics {
    fn default() -> Self {
        Self { times: duration_histogram(), unanswered: Counter::default() }
    }
}

impl AcquisitionMetrics {
    /// An acquisition has ended after this long; whether a quorum answered it.
    pub fn record(&self, duration: Duration, answered: bool) {
        self.times.observe(duration.as_secs_f64());
        if !answered {
            self.unanswered.inc();
        }
    }

    /// Tells a scraper the metrics.
    pub fn scrape(&self, scrape: &mut Scrape) {
        scrape.histogram("lease_raise_seconds", "Time of raises of programs' counts", &self.times);
        scrape.counter("lease_raises_unanswered", "Raises that no quorum answered in time", &self.unanswered);
    }
}
