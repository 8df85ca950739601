//! Collects the metrics for one scrape.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{collections::HashMap, fmt, sync::atomic::AtomicU64};

/// Prefix of the name of each metric.
const PREFIX: &str = "opalrun";

/// Label names and values, which distinguish metrics with the same name.
pub type Labels = Vec<(&'static str, String)>;

type LabelledGauge = Family<Labels, Gauge<f64, AtomicU64>>;

/// The metrics of one scrape.
pub struct Scrape {
    registry: Registry,
    /// Labelled gauges that have been registered, by name.
    gauges: HashMap<&'static str, LabelledGauge>,
    /// Labelled counters that have been registered, by name.
    counters: HashMap<&'static str, Family<Labels, Counter>>,
}

impl Default for Scrape {
    fn default() -> Self {
        Self { registry: Registry::with_prefix(PREFIX), gauges: HashMap::new(), counters: HashMap::new() }
    }
}

impl Scrape {
    /// Adds a gauge with its current value.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: f64) {
        let gauge: Gauge<f64, AtomicU64> = Gauge::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// Adds a labelled gauge with its current value. It may be called several times with one name and different labels.
    pub fn labelled_gauge(
        &mut self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, String)],
        value: f64,
    ) {
        let registry = &mut self.registry;
        let family = self.gauges.entry(name).or_insert_with(|| {
            let family = LabelledGauge::default();
            registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels.to_vec()).set(value);
    }

    /// Adds the metrics of one kind of peer that this process depends on: the number of unreachable peers and the number of
    /// failed connection attempts.
    pub fn peers(&mut self, peer: &'static str, missing: usize, failed_attempts: u64) {
        let labels = [("peer", peer.to_owned())];
        let help = "Peers that this process needs and can't reach";
        self.labelled_gauge("peers_missing", help, &labels, missing as f64);
        let help = "Attempts to reach a peer that failed";
        self.labelled_counter("peer_attempts_failed", help, &labels, failed_attempts);
    }

    /// Adds a labelled counter with its current value. The text format appends `_total` to its name.
    fn labelled_counter(
        &mut self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, String)],
        count: u64,
    ) {
        let registry = &mut self.registry;
        let family = self.counters.entry(name).or_insert_with(|| {
            let family = Family::<Labels, Counter>::default();
            registry.register(name, help, family.clone());
            family
        });
        family.get_or_create(&labels.to_vec()).inc_by(count);
    }

    /// Adds a counter. The text format appends `_total` to its name.
    pub fn counter(&mut self, name: &'static str, help: &'static str, counter: &Counter) {
        self.registry.register(name, help, counter.clone());
    }

    /// Adds a family of labelled counters. The text format appends `_total` to its name.
    pub fn counters(&mut self, name: &'static str, help: &'static str, counters: &Family<Labels, Counter>) {
        self.registry.register(name, help, counters.clone());
    }

    /// Adds a histogram.
    pub fn histogram(&mut self, name: &'static str, help: &'static str, histogram: &Histogram) {
        self.registry.register(name, help, histogram.clone());
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    ///
    /// # Errors
    /// An error if a metric can't be encoded.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
