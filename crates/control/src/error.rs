//! Why the control process can't run.

use snafu::Snafu;
use std::io;

/// Why the control process can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: io::Error,
    },
}
