//! Errors of connections and calls.

use opalrun_wire::{ResultCode, frame::FrameError};
use snafu::Snafu;
use std::{io, net::SocketAddr};

/// Why a connection can't be opened, read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The local address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// A connection can't be opened.
    #[snafu(display("can't connect to {address}: {source}"))]
    Connect {
        /// The remote address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// A connection was not established within the time-out.
    #[snafu(display("connecting to {address} timed out"))]
    ConnectTimedOut {
        /// The remote address.
        address: SocketAddr,
    },
    /// Accepting, reading or writing failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// The error of the system call.
        source: io::Error,
    },
    /// The other side uses another protocol version.
    #[snafu(display("{}: the other side uses protocol version {version}", ResultCode::PROTOCOL_VERSION))]
    Version {
        /// The protocol version of the other side.
        version: u32,
    },
    /// A frame is invalid, does not contain a message of the expected type, or is too long to be sent.
    #[snafu(display("{source}"))]
    Frame {
        /// What is wrong with the frame.
        source: FrameError,
    },
    /// The connection ended inside a frame.
    #[snafu(display("connection ended inside a frame"))]
    Truncated,
    /// The send queue is full, since the other side does not read.
    #[snafu(display("the send queue of the connection is full"))]
    QueueFull,
    /// The connection has ended.
    #[snafu(display("the connection has ended"))]
    Closed,
}

/// Why a call has no response.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(context(suffix(CallSnafu)))]
pub enum RpcError {
    /// The call was not sent, so the other side has not received it.
    #[snafu(display("the call was not sent"))]
    NotSent,
    /// The call was sent, but no response was received within the time-out.
    #[snafu(display("no response within the time-out"))]
    TimedOut,
    /// The call was sent, but the connection ended before a response was received.
    #[snafu(display("the connection ended before a response was received"))]
    Closed,
}
