//! Measures control processes under the load of a large deployment, on a single machine.
//!
//! The control processes, one agent and one proxy are real. The other gatekeepers are simulated: each subscribes to the
//! change feed like an agent but serves no requests, so that hundreds fit into one process. The workers are simulated, too:
//! they send heartbeats but accept no requests. `docs/CAPACITY.md` has the results.
#![forbid(unsafe_code)]

pub mod configuration;
pub mod error;
pub mod gatekeepers;
pub mod measure;
pub mod metrics;
pub mod usage;
pub mod workers;
