//! Errors that keep a control process from starting, or end it.

use crate::host::HostFailure;
use opalrun_net::NetError;
use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{io, net::SocketAddr, sync::Arc};

/// Why a control process can't start, or has to end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The settings lack a key that the role needs.
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
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address of the feed can't be listened on.
    #[snafu(display("the feed: {source}"))]
    Feed {
        /// The error of the listener.
        source: NetError,
    },
    /// The replicated state can't be opened.
    #[snafu(display("the replicated state: {source}"))]
    Host {
        /// What is wrong with it.
        source: crate::host::HostError,
    },
    /// The disk has failed while the process ran.
    #[snafu(display("the disk: {source}"))]
    Disk {
        /// The operation that failed.
        source: Arc<HostFailure>,
    },
}
