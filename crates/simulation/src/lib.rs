//! Parts of simulated worlds, for tests: a disk that holds what a replica had synced, and a network that delays, loses and
//! repeats messages and can be partitioned. Both are driven by the test; they read no clock.
#![forbid(unsafe_code)]

mod disk;
mod network;

pub use disk::ReplicaDisk;
pub use network::{Network, NetworkFaults};
