//! `opalrun-control-load`: measures control processes under the load of simulated gatekeepers and workers, and prints the
//! metrics as one line of JSON.
#![forbid(unsafe_code)]

use opalrun_control_load::{
    error::{MeasureError, RuntimeSnafu},
    measure::{Size, measure},
};
use snafu::ResultExt;
use std::{path::PathBuf, process::ExitCode, time::Duration};
use tokio::{runtime, task::LocalSet};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures control processes under the load of simulated gatekeepers and workers.
        cmd opalrun-control-load {
            /// Path of the opalrun program; target/tier/opalrun by default.
            optional --build path: PathBuf
            /// Number of simulated gatekeepers; 100 by default.
            optional --gatekeepers count: usize
            /// Number of simulated workers; 150 by default.
            optional --workers count: usize
            /// Number of routes in the configuration; 350 by default.
            optional --routes count: usize
            /// Duration in seconds of the phase without changes; 10 by default.
            optional --steady-s seconds: u64
            /// Number of configuration changes after that phase; 10 by default.
            optional --changes count: u64
            /// Milliseconds from one change to the next; 1000 by default.
            optional --change-period-ms milliseconds: u64
        }
    }
}

/// Period of worker heartbeats, as set in the deployments.
const HEARTBEAT: Duration = Duration::from_millis(1200);

fn main() -> ExitCode {
    let flags = flags::OpalrunControlLoad::from_env_or_exit();
    match run(&flags) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the measurement and returns the metrics as one line of JSON.
fn run(flags: &flags::OpalrunControlLoad) -> Result<String, MeasureError> {
    let size = Size {
        gatekeepers: flags.gatekeepers.unwrap_or(100),
        workers: flags.workers.unwrap_or(150),
        routes: flags.routes.unwrap_or(350),
        heartbeat: HEARTBEAT,
        steady: Duration::from_secs(flags.steady_s.unwrap_or(10)),
        changes: flags.changes.unwrap_or(10),
        change_period: Duration::from_millis(flags.change_period_ms.unwrap_or(1000)),
    };
    let build = flags.build.clone().unwrap_or_else(|| PathBuf::from("target/tier/opalrun"));
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let metrics = LocalSet::new().block_on(&runtime, measure(&build, &size))?;
    Ok(metrics.to_json().to_string())
}
