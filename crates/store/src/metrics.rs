//! Metrics of a store. All values are read at the time of the scrape.

use crate::StoreServer;
use opalrun_metrics::Scrape;

/// Adds the metrics of a store to a scrape.
pub fn scrape(server: &StoreServer, scrape: &mut Scrape) {
    let state = server.state();
    let status = server.journal().status();
    let (programs, turns) =
        state.sizes().fold((0, 0), |(programs, turns), size| (programs + size.programs, turns + size.turns));
    scrape.gauge("programs", "Programs with a count", programs as f64);
    scrape.gauge("turns", "Turns that are kept", turns as f64);
    scrape.gauge("live_bytes", "Bytes of data in memory, about", state.live_bytes() as f64);
    scrape.gauge("disk_bytes", "Bytes of the log", status.bytes as f64);
    scrape.gauge(
        "records_synced",
        "Records that have been synced, since the disk was empty",
        status.synced as f64,
    );
    scrape.gauge("disk_full", "1 while the disk refuses writes", f64::from(u8::from(status.is_full)));
    scrape.gauge("store_map_epoch", "Epoch of the store map", state.epoch().0 as f64);
    scrape.gauge(
        "copies_needed",
        "Partitions that are yet to be copied",
        state.required_transfers().len() as f64,
    );
}
