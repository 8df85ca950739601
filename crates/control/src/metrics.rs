//! Metrics of a control process. All values are read at the time of the scrape.

use crate::{process::ControlProcess, shards::all_shards};
use opalrun_metrics::Scrape;
use opalrun_wire::ids::Shard;

/// Adds the metrics of a control process to a scrape.
pub fn scrape(process: &ControlProcess, scrape: &mut Scrape) {
    for shard in all_shards() {
        scrape_group(process, shard, scrape);
    }
    scrape_configuration_shard(process, scrape);
    let fresh = f64::from(u8::from(process.is_fresh()));
    scrape.gauge("fresh", "1 while in touch with the owner of every group", fresh);
    let gatekeepers = process.subscribers().borrow().gatekeeper_count(process.now());
    scrape.gauge("gatekeepers_here", "Gatekeepers that subscribe here", f64::from(gatekeepers));
    scrape.gauge(
        "gatekeepers",
        "Gatekeepers of the whole tier, as last heard",
        f64::from(process.gatekeeper_count().total()),
    );
    let control = process.host().peer_count();
    scrape.peers("control", control.missing, control.failed_attempts);
    scrape.gauge("disk_bytes", "Bytes of the journal", process.host().journal_bytes() as f64);
}

/// Adds the metrics of the configuration and the store map, as of the last entry of shard 0 that is applied here.
fn scrape_configuration_shard(process: &ControlProcess, scrape: &mut Scrape) {
    process.shards().with_configuration(|shard| {
        let generation = shard.generation().0 as f64;
        scrape.gauge("configuration_generation", "Generation of the newest configuration", generation);
        let map = shard.stores().map();
        scrape.gauge("store_map_epoch", "Epoch of the store map", map.epoch.0 as f64);
        let replicas = map.partitions.iter().flat_map(|partition| &partition.replicas);
        let copying = replicas.filter(|replica| !replica.is_complete).count() as f64;
        scrape.gauge("replicas_copying", "Replicas of partitions that are not whole", copying);
    });
}

/// Adds the metrics of one replicated group, and the number of worker sessions in its shard.
fn scrape_group(process: &ControlProcess, shard: Shard, scrape: &mut Scrape) {
    let host = process.host();
    let labels = [("shard", shard.to_string())];
    let is_owner = f64::from(u8::from(host.is_owner(shard)));
    scrape.labelled_gauge("group_owner", "1 where this process owns the group", &labels, is_owner);
    let term = host.term(shard).0 as f64;
    scrape.labelled_gauge("group_term", "Term; each election raises it", &labels, term);
    let applied = host.applied(shard).0 as f64;
    scrape.labelled_gauge("group_applied", "Entries committed and applied here", &labels, applied);
    let workers = process.shards().with_sessions(shard, |sessions| sessions.workers().len());
    if let Some(workers) = workers {
        scrape.labelled_gauge("workers", "Sessions of workers", &labels, workers as f64);
    }
}
