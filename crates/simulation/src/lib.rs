//! Components for simulation tests: a disk that holds a replica's synced writes, and a network that delays, drops and
//! duplicates messages and can be partitioned. The test drives both and supplies the time.
#![forbid(unsafe_code)]

mod disk;
mod network;

pub use disk::ReplicaDisk;
pub use network::{Network, NetworkFaults};
