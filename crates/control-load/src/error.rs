//! Errors of a measurement.

use fleetlab::tier::fleet::TierError;
use snafu::Snafu;
use std::{io, path::PathBuf};

/// Why a measurement failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MeasureError {
    /// The async runtime for the simulated gatekeepers and workers can't be started.
    #[snafu(display("{source}"))]
    Runtime {
        /// The error from the operating system.
        source: io::Error,
    },
    /// The processes of the tier could not be started, or did not become ready.
    #[snafu(display("the tier: {source}"), context(false))]
    Tier {
        /// Error of the tier.
        source: TierError,
    },
    /// A file in `/proc` can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A file in `/proc` does not have the expected format.
    #[snafu(display("{} has an unexpected format", path.display()))]
    Unexpected {
        /// Path of the file.
        path: PathBuf,
    },
    /// A configuration was not accepted.
    #[snafu(display("configuration {generation} was rejected with status {status}"))]
    Rejected {
        /// Generation of the configuration.
        generation: u64,
        /// HTTP status of the response; 0 if there was none.
        status: u16,
    },
    /// A condition was not met within its time limit.
    #[snafu(display("timed out waiting for {condition}"))]
    TimedOut {
        /// Description of the condition, for the message.
        condition: String,
    },
}
