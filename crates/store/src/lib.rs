//! The store role: a replica of the partitions that the store map places on it.
//!
//! A store holds two kinds of data, both sharded into partitions: counts (per program, the units of its budget that each
//! gatekeeper has leased) and retained turns. Gatekeepers write to all replicas of a partition and wait for a quorum.
//! Stores talk to each other only during a partition [`transfer`]. A write is acknowledged once its record is synced to
//! the log on disk.
//!
//! [`state`] holds the state machine, without I/O; [`StoreServer`] drives it; [`run`] runs the whole process.
#![forbid(unsafe_code)]

mod draining;
mod error;
mod identity;
pub mod inspect;
mod journal;
pub mod metrics;
mod process;
pub mod record;
mod server;
pub mod state;
pub mod transfer;

pub use error::StoreError;
pub use identity::Identity;
pub use journal::{Journal, JournalStatus};
pub use process::{run, serve};
pub use server::StoreServer;
