//! Serves the metrics of a process to scrapers: counters, gauges and histograms in the `OpenMetrics` text format, on a
//! loopback address from the settings.
//!
//! Counters and histograms are updated by the code that owns them. All other values are read from the process only when a
//! scraper sends a request, by the closure passed to [`start`], so that they cost nothing without a scraper.
#![forbid(unsafe_code)]

mod scrape;
mod server;

pub use prometheus_client::metrics::{counter::Counter, family::Family, histogram::Histogram};
pub use scrape::{Labels, Scrape};
pub use server::{serve, start};

/// Upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BOUNDS: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0];

/// Creates a histogram of durations in seconds.
#[must_use]
pub fn duration_histogram() -> Histogram {
    Histogram::new(DURATION_BOUNDS)
}

/// Counters with the same name and different labels.
pub type LabelledCounter = Family<Labels, Counter>;
