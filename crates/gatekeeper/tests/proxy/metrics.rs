//! Test of the metrics that a proxy exports.

use crate::{
    fakes::{FakeWorker, run},
    programs::{complete_stream, gatekeeper, turn},
    stores::Stores,
};
use opalrun_metrics::Scrape;

#[test]
fn requests_turns_and_lease_acquisitions_are_counted() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(2)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        turn(&gatekeeper, "/kept/a", "t1", 40, None, "one").await.expect("an answer");
        let spent = turn(&gatekeeper, "/kept/a", "t2", 20, None, "two").await.expect("an answer");
        assert_eq!(spent.status(), 402);
        let mut scrape = Scrape::default();
        gatekeeper.proxy.scrape(&mut scrape);
        let text = scrape.text().expect("a text");
        for line in [
            "opalrun_requests_total{outcome=\"served\"} 1",
            "opalrun_requests_total{outcome=\"budget_spent\"} 1",
            "opalrun_turns_kept_total 1",
            "opalrun_lease_raises_unanswered_total 0",
            "opalrun_configuration_generation 2.0",
        ] {
            assert!(text.lines().any(|found| found == line), "{line} is missing from {text}");
        }
        let acquisitions =
            text.lines().find_map(|line| line.strip_prefix("opalrun_lease_raise_seconds_count "));
        assert!(acquisitions.expect("the histogram's count").parse::<u32>().expect("a count") >= 1, "{text}");
    });
}
