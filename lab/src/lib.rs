//! Test lab for a fleet of real gateways: simulates their environment, injects faults, and checks the recorded events.

#![allow(
    missing_docs,
    reason = "fields and variants of recordings, scenarios and observations are named after what they hold"
)]

pub mod baseline;
mod bucket;
pub mod experiment;
pub mod http;
pub mod judge;
pub mod link;
mod micros;
pub mod record;
pub mod report;
pub mod run_delay;
pub mod scenario;
pub mod tier;
pub mod world;
