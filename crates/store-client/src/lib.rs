//! Client of the stores for gatekeepers: leases of programs' budgets, and retained turns.
//!
//! A write is sent to all replicas of its partition, and completes once a quorum of complete replicas has replied. A read
//! starts at the nearest replica and falls back to all of them. So no operation waits for a store that is slow, down or
//! partitioned.
//!
//! [`lease_acquisition`] decides, without I/O, when a lease is granted, and explains why the grants never exceed a budget;
//! [`StoreClient`] sends the requests.
#![forbid(unsafe_code)]

mod calls;
mod client;
mod counts;
mod error;
mod extension;
mod layout;
pub mod lease_acquisition;
mod operation;
mod quorum;
mod retention;
mod turns;

pub use client::{LeaseGrant, StoreClient};
pub use error::{CountError, TurnError};
pub use extension::CachedTurns;
pub use quorum::QuorumTracker;
