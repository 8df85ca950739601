//! What goes into the state of the pools, and what comes out.

use crate::WorkerId;
use std::net::SocketAddr;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub(super) u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub(super) u64);

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Its worker's idle limit came near.
    Aged,
    /// Recent demand does not need it.
    Surplus,
    /// Its worker is not to be sent to, or none is kept any more.
    Unwanted,
    /// Its worker has started anew, or is elsewhere.
    Changed,
    /// The other end closed it, or sent what nobody asked for.
    Peer,
    /// Its worker had fallen silent.
    Suspect,
    /// Others needed its descriptor.
    Pressure,
    /// It was given up under a request, or broke there.
    Broken,
}

impl CloseReason {
    pub const ALL: [(Self, &'static str); 8] = [
        (Self::Aged, "idle_limit"),
        (Self::Surplus, "surplus"),
        (Self::Unwanted, "unwanted"),
        (Self::Changed, "changed"),
        (Self::Peer, "peer"),
        (Self::Suspect, "suspect"),
        (Self::Pressure, "descriptors"),
        (Self::Broken, "in_use"),
    ];
}

/// Why there is no connection for a request. Nothing of it has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoConnection {
    /// No list has told where the worker is.
    Unavailable,
    /// The worker refused, or reset what had just come up.
    Refused,
    /// No connection came up in time.
    TimedOut,
    /// No descriptor is left, or none within the budget.
    NoDescriptor,
    /// The worker's bound is reached: this says nothing of how it is.
    LimitReached,
}

/// Where a request gets its connection from.
#[derive(Debug, PartialEq, Eq)]
pub enum Asked {
    Use(ConnectionId),
    /// The connection comes, or an [`Command::Fail`] does.
    Wait(WaiterId),
    No(NoConnection),
}

/// Where a connection goes that has come up or was given back.
#[derive(Debug, PartialEq, Eq)]
pub enum Placed {
    Granted(WaiterId),
    Idle,
    Closed,
}

/// What whoever holds the connections has to carry out.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    Open { worker: WorkerId, addr: SocketAddr, id: ConnectionId },
    Close(ConnectionId),
    Fail(WaiterId, NoConnection),
}

/// What holds for all pools.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSettings {
    /// Seconds that a connection may stand idle.
    pub keep: f64,
    /// How many gatekeepers share the workers' connections.
    pub gateway_count: u32,
}

/// What holds for one worker beside the settings that hold for all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkerLimits {
    /// Connections that this gatekeeper may hold there at most, one at least; `None`: only what is learned counts.
    pub max_connections: Option<usize>,
    /// Seconds that a connection may stand idle at most; `None`: what holds for all.
    pub idle_timeout: Option<f64>,
}

/// How many of each there were since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    pub opened: u64,
    pub reused: u64,
    pub refused: u64,
    pub timed_out: u64,
    /// Met a connection that turned out dead before a byte was written.
    pub stale: u64,
    pub closed: [u64; CloseReason::ALL.len()],
}

/// What is told of one pool.
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
    /// `None`: no bound but the budget.
    pub bound: Option<f64>,
    pub counts: Counts,
}
