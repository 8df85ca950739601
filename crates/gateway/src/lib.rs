//! opalrun-gateway: the decisions of a gateway that enforces customers' shared quotas in front of a common back end.
//!
//! The crate does no I/O and reads no clock: pass [`Gateway::handle`] one [`Event`] at a time with the current time,
//! and carry out the [`Action`]s that it appends. An overview:
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decisions;
mod interface;
mod options;
mod state;
mod token_bucket;
mod zones;

pub use decisions::{Gateway, PreparedSettings};
pub use interface::*;
pub use options::{Options, OptionsError, OptionsFault};
pub use state::{Ledger, RecoveredState, State};
