//! The control process: tracks machines and workers, replicates the operator's configuration and publishes changes to
//! gatekeepers.
//!
//! Its state is divided into [`shards`], each replicated by a Raft group of its own. The state machines
//! ([`configuration_shard`], [`sessions`], [`store_map`]) read no clock and do no I/O; [`process`] connects them to
//! the replicated host ([`host`]), the HTTP interface ([`api`]) and the change feed ([`feed`]).
#![forbid(unsafe_code)]

pub mod api;
pub mod calls;
pub mod configuration_shard;
mod error;
pub mod feed;
pub mod host;
pub mod inspect;
pub mod metrics;
pub mod process;
mod replaced_identities;
mod run;
pub mod sessions;
pub mod shards;
pub mod store_map;
pub mod tier_view;
pub mod worker_health_reports;

pub use error::ControlError;
pub use run::{Control, run};
