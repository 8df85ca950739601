//! Replica of the control state in the gatekeeper's processes.
//!
//! The agent keeps a [`ControlState`] and serves it; the proxy keeps a typed [`ControlView`] through a [`ControlFeed`].

mod client;
mod state;
mod view;

pub use client::ControlFeed;
pub use state::ControlState;
pub use view::{ControlView, NewestConfiguration, Workers};

use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, SESSION_SHARDS},
    ids::Shard,
};

/// All shards of the control state; a gatekeeper subscribes to each of them.
#[must_use]
pub fn all_shards() -> Vec<Shard> {
    (CONFIGURATION_SHARD.0..=SESSION_SHARDS).map(Shard).collect()
}
