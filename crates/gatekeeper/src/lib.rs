//! The gatekeeper on every edge machine: the proxy that carries the traffic, and the agent that feeds it.
#![forbid(unsafe_code)]

pub mod agent;
pub mod feed;
pub mod lease;
pub mod proxy;
pub mod turns;
