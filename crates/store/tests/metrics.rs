//! Metrics that a store exposes to scrapers.

use opalrun_metrics::Scrape;
use opalrun_storage::DataDirectory;
use opalrun_store::{StoreServer, metrics, state::StoreLimits};
use opalrun_wire::ids::NodeIdentity;

#[test]
fn a_scrape_contains_the_metrics_of_the_store() {
    let data_dir = tempfile::tempdir().unwrap();
    let directory = DataDirectory::open(data_dir.path()).unwrap();
    let limits = StoreLimits { memory_bytes: 1 << 20, disk_bytes: 1 << 20 };
    let server = StoreServer::open(&directory, NodeIdentity(1), limits).unwrap();
    let mut scrape = Scrape::default();
    metrics::scrape(&server, &mut scrape);
    let text = scrape.text().unwrap();
    for line in ["opalrun_turns 0.0", "opalrun_disk_full 0.0", "opalrun_copies_needed 0.0"] {
        assert!(text.lines().any(|found| found == line), "{line} is missing from {text}");
    }
}
