//! Exports the proxy's metrics; `docs/operations.md` lists them.

use crate::proxy::Proxy;
use opalrun_metrics::Scrape;

impl Proxy {
    /// Writes the metrics to `scrape`.
    pub fn scrape(&self, scrape: &mut Scrape) {
        let metrics = &self.metrics;
        scrape.counters("requests", "Requests answered, by outcome", &metrics.requests);
        scrape.counters(
            "unserved_requests",
            "Requests that ended without a whole answer, by kind of route and reason",
            &self.failed_requests.counters,
        );
        scrape.counter("retries", "Tries at another worker than a request's first", &metrics.retries);
        scrape.counter("turns_kept", "Turns that the stores have kept", &metrics.turns_stored);
        self.leases.metrics().scrape(scrape);
        let generation = self.configuration().map_or(0, |configuration| configuration.generation);
        scrape.gauge(
            "configuration_generation",
            "Generation of the configuration in force",
            generation as f64,
        );
        scrape.gauge("ready", "1 while new clients are welcome", f64::from(u8::from(self.is_ready())));
        let stores = self.store_client.peer_count();
        scrape.peers("store", stores.missing, stores.failed_attempts);
        if let Some(age) = self.feed_age() {
            scrape.gauge("feed_age_seconds", "Time since what control tells was fresh", age.as_secs_f64());
        }
    }
}
