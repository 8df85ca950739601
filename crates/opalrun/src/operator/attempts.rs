//! The number of attempts of a call, and why an attempt failed.

use snafu::Snafu;
use std::{fmt, io, time::Duration};

/// The number of attempts of a call. It is displayed after a message, and as an empty string for a single attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts(pub u32);

impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 1 { Ok(()) } else { write!(f, " (sent {} times)", self.0) }
    }
}

/// Why an attempt failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// The control process did not answer in time.
    #[snafu(display("silent for {:.1} s", limit.as_secs_f64()))]
    TimedOut {
        /// Time-out of the attempt.
        limit: Duration,
    },
    /// The connection to the control process can't be established.
    #[snafu(display("{source}"))]
    Connect {
        /// The error from the operating system.
        source: io::Error,
    },
    /// The HTTP request can't be built.
    #[snafu(display("{source}"))]
    BuildRequest {
        /// The error from the HTTP library.
        source: hyper::http::Error,
    },
    /// The connection failed while the request was sent or the response received.
    #[snafu(display("{source}"))]
    Exchange {
        /// The connection error or protocol error.
        source: hyper::Error,
    },
}
