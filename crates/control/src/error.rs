//! Why the control process can't run.

use opalrun_net::NetError;
use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{io, net::SocketAddr};

/// Why the control process can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The settings lack something.
    #[snafu(display("{}: {key}: missing, but a control process needs it", ResultCode::SETTINGS_INVALID))]
    Missing {
        /// The key.
        key: &'static str,
    },
    /// The address for workers and the operator can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The address of the feed can't be listened on.
    #[snafu(display("the feed: {source}"))]
    Feed {
        /// Why.
        source: NetError,
    },
    /// The replicated state can't be opened.
    #[snafu(display("the replicated state: {source}"))]
    Host {
        /// Why.
        source: crate::host::HostError,
    },
    /// The disk has failed while the process ran.
    #[snafu(display("the disk: {why}"))]
    Disk {
        /// Why.
        why: String,
    },
}
