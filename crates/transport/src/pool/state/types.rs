//! Inputs and outputs of the pools' state.

use crate::WorkerId;
use std::net::SocketAddr;

/// Identifies a connection, from the start of its connection attempt on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub(super) u64);

/// Identifies a request that waits for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub(super) u64);

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The connection reached its idle time-out, which ends before that of the worker.
    IdleTimeout,
    /// More connections were open than recent demand needs.
    Surplus,
    /// The worker may not receive requests, or idle connections are disabled.
    Unwanted,
    /// The worker restarted or changed its address after the connection was opened.
    WorkerChanged,
    /// The worker closed the connection, or sent unsolicited data.
    ClosedByPeer,
    /// The worker had stopped responding when the connection was idle, and may have lost it.
    Suspect,
    /// The budget or the process's file descriptors were exhausted.
    DescriptorPressure,
    /// The connection failed while a request used it, or the request was abandoned.
    Broken,
}

impl CloseReason {
    /// All reasons in the order of declaration, with their names in the report.
    pub const ALL: [(Self, &'static str); 8] = [
        (Self::IdleTimeout, "idle_limit"),
        (Self::Surplus, "surplus"),
        (Self::Unwanted, "unwanted"),
        (Self::WorkerChanged, "changed"),
        (Self::ClosedByPeer, "peer"),
        (Self::Suspect, "suspect"),
        (Self::DescriptorPressure, "descriptors"),
        (Self::Broken, "in_use"),
    ];
}

/// Why a request got no connection. Nothing of the request has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoConnection {
    /// The worker's address is unknown, or the worker may not receive requests.
    Unavailable,
    /// The worker refused the connection, or the attempt failed for another reason than the ones below.
    Refused,
    /// No connection was established within the connect time-out.
    TimedOut,
    /// The process has no file descriptor or local port left, or the budget of connections is exhausted.
    NoDescriptor,
    /// The limit of connections to the worker is reached, which is no sign of a failure of the worker.
    LimitReached,
}

/// How a request gets its connection.
#[derive(Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// An idle connection is now in use by the request.
    Use(ConnectionId),
    /// The request waits, until a connection is granted to the waiter or [`Command::Fail`] names it.
    Wait(WaiterId),
    /// No connection is available, and none is expected.
    Failed(NoConnection),
}

/// What becomes of a connection that was established or released.
#[derive(Debug, PartialEq, Eq)]
pub enum Placement {
    /// It is in use by this waiter.
    Granted(WaiterId),
    /// It is idle in its pool.
    Idle,
    /// The owner of the connections has to close it.
    Closed,
}

/// What the owner of the connections has to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Start a connection attempt, and report its outcome with `connect_succeeded` or `connect_failed`.
    Open { worker: WorkerId, addr: SocketAddr, id: ConnectionId },
    /// Close an idle connection.
    Close(ConnectionId),
    /// Tell a waiter that it gets no connection.
    Fail(WaiterId, NoConnection),
}

/// Settings of all pools.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSettings {
    /// Seconds after which an idle connection is closed.
    pub idle_timeout: f64,
    /// Number of gatekeepers that share the connections which a worker accepts.
    pub gateway_count: u32,
}

/// Limits of one worker, which apply in addition to the common settings.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkerLimits {
    /// Maximum number of this gatekeeper's connections to the worker, where 0 counts as 1; `None`: only the learned
    /// bound applies.
    pub max_connections: Option<usize>,
    /// Seconds after which an idle connection is closed, if that is less than the common time-out; `None`: the common
    /// time-out applies.
    pub idle_timeout: Option<f64>,
}

/// Counts of one pool since its creation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Connections established.
    pub opened: u64,
    /// Requests that got a connection which was idle or just released.
    pub reused: u64,
    /// Connection attempts that were refused.
    pub refused: u64,
    /// Connection attempts that timed out.
    pub timed_out: u64,
    /// Leased connections that were found closed before a byte of the request was written.
    pub stale: u64,
    /// Connections closed, by [`CloseReason`].
    pub closed: [u64; CloseReason::ALL.len()],
}

/// The reported state of one pool.
#[derive(Debug, Clone)]
pub struct View {
    pub worker: WorkerId,
    pub addr: SocketAddr,
    pub wanted: bool,
    pub suspect: bool,
    pub idle: usize,
    pub in_use: u32,
    pub connecting: u32,
    pub waiting: usize,
    /// Maximum number of connections to the worker; `None`: only the budget limits them.
    pub bound: Option<f64>,
    pub counts: Counts,
}
