//! Errors that prevent a control process from starting or terminate it.

use crate::host::HostFailure;
use opalrun_net::NetError;
use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{io, net::SocketAddr, sync::Arc};

/// Why a control process can't start or has to terminate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The settings lack a key that the control role requires.
    #[snafu(display("{}: {key}: missing, but required by the control role", ResultCode::SETTINGS_INVALID))]
    Missing {
        /// Name of the missing key.
        key: &'static str,
    },
    /// The HTTP server for workers and the operator can't listen on its address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address that can't be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The change feed can't listen on its address.
    #[snafu(display("can't start the change feed: {source}"))]
    Feed {
        /// Error of the listener.
        source: NetError,
    },
    /// The replicated host can't be started.
    #[snafu(display("can't open the replicated state: {source}"))]
    Host {
        /// Why the host can't be started.
        source: crate::host::HostError,
    },
    /// The host has failed at runtime: a write to the disk failed, or a received snapshot can't be decoded.
    #[snafu(display("the replicated state has failed: {source}"))]
    Disk {
        /// What failed.
        source: Arc<HostFailure>,
    },
}
