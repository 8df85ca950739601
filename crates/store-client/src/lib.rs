//! The gatekeepers' client of the stores: counts of programs, and retained turns.
//!
//! An operation goes to all replicas of its partition and is done once a quorum of whole replicas has answered, so a
//! slow, dead or cut off store is never waited for.
#![forbid(unsafe_code)]

mod calls;
mod client;
mod counts;
mod error;
mod layout;
mod quorum;
pub mod raise;
mod retention;
mod turns;

pub use client::{Granted, StoreClient};
pub use error::{CountError, TurnError};
pub use quorum::Answers;
