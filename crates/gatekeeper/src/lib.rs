//! The gatekeeper, which runs on every edge machine: the proxy that forwards client requests to workers, and the agent
//! that replicates the control state for it.
#![forbid(unsafe_code)]

pub mod agent;
pub mod feed;
pub mod lease;
pub mod memory;
pub mod proxy;
pub mod turns;
