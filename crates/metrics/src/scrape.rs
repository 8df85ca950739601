//! One look of a scraper at the process.

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use std::{collections::HashMap, fmt, sync::atomic::AtomicU64};

/// Stands before the name of each metric.
const PREFIX: &str = "opalrun";

/// Names and values that tell metrics of one name apart.
pub type Labels = Vec<(&'static str, String)>;

type LabelledGauge = Family<Labels, Gauge<f64, AtomicU64>>;

/// Gathers what a scraper gets.
pub struct Scrape {
    registry: Registry,
    gauges: HashMap<&'static str, LabelledGauge>,
    counters: HashMap<&'static str, Family<Labels, Counter>>,
}

impl Default for Scrape {
    fn default() -> Self {
        Self { registry: Registry::with_prefix(PREFIX), gauges: HashMap::new(), counters: HashMap::new() }
    }
}

impl Scrape {
    /// A value as it is now.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: f64) {
        let gauge: Gauge<f64, AtomicU64> = Gauge::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// A value as it is now, one of several with this name.
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

    /// Peers of one kind that this process needs: how many can't be reached, and attempts that failed.
    pub fn peers(&mut self, peer: &'static str, missing: usize, failed_attempts: u64) {
        let labels = [("peer", peer.to_owned())];
        let help = "Peers that this process needs and can't reach";
        self.labelled_gauge("peers_missing", help, &labels, missing as f64);
        let help = "Attempts to reach a peer that failed";
        self.labelled_counter("peer_attempts_failed", help, &labels, failed_attempts);
    }

    /// A count as it is now, one of several with this name. The text format adds `_total` to its name.
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

    /// A counter. The text format adds `_total` to its name.
    pub fn counter(&mut self, name: &'static str, help: &'static str, counter: &Counter) {
        self.registry.register(name, help, counter.clone());
    }

    /// Counters told apart by labels.
    pub fn counters(&mut self, name: &'static str, help: &'static str, counters: &Family<Labels, Counter>) {
        self.registry.register(name, help, counters.clone());
    }

    /// A histogram.
    pub fn histogram(&mut self, name: &'static str, help: &'static str, histogram: &Histogram) {
        self.registry.register(name, help, histogram.clone());
    }

    /// All of it as text.
    ///
    /// # Errors
    /// Where a metric can't be written.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
