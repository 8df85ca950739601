//! The load measurement of control processes, with a small number of simulated gatekeepers and workers.

use opalrun_control_load::measure::{Size, measure};
use std::{path::Path, time::Duration};
use tokio::{runtime, task::LocalSet};

/// Time limit of the measurement.
const TEST_LIMIT: Duration = Duration::from_mins(1);

#[test]
fn a_small_measurement_returns_metrics_of_every_process() {
    let size = Size {
        gatekeepers: 4,
        workers: 6,
        routes: 20,
        heartbeat: Duration::from_millis(400),
        steady: Duration::from_millis(500),
        changes: 2,
        change_period: Duration::from_millis(100),
    };
    let program = Path::new(env!("CARGO_BIN_EXE_opalrun"));
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let measured = LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_LIMIT, measure(program, &size)).await.expect("a measurement in time")
    });
    let metrics = measured.unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((metrics.everywhere_in.len(), metrics.acknowledged_in.len()), (2, 2));
    assert!(metrics.bytes_a_change >= metrics.configuration_bytes as f64, "{metrics:?}");
    assert!(metrics.frames_a_second > 0.0 && metrics.heartbeats_a_second > 0.0, "{metrics:?}");
    let mut names: Vec<&str> = metrics.loads.iter().map(|load| load.name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["agent edge-1", "control core-1", "control core-2", "control core-3", "proxy edge-1"]);
    assert!(metrics.loads.iter().all(|load| load.peak_bytes > 0), "{metrics:?}");
}
