//! Tests of counting answered requests by outcome.

use super::{OUTCOMES, ProxyMetrics};
use hyper::StatusCode;

#[test]
fn each_status_is_counted_under_its_outcome() {
    let metrics = ProxyMetrics::default();
    for status in [200, 206, 404, 400, 402, 503, 502, 504] {
        metrics.answered(StatusCode::from_u16(status).unwrap());
    }
    let counts: Vec<_> =
        OUTCOMES.iter().copied().zip(metrics.by_outcome.iter().map(opalrun_metrics::Counter::get)).collect();
    let expected = [("served", 2), ("rejected", 2), ("budget_spent", 1), ("refused", 1), ("failed", 2)];
    assert_eq!(counts, expected);
}
