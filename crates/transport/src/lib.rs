//! What carries HTTP/1.1 between clients and workers: a server for the connections of clients, connections to workers
//! that know how much of a request has been written, pools of these, and bodies on their way through.
//!
//! Nothing here decides where a request goes, or whether it may go at all.
#![forbid(unsafe_code)]

pub mod body;
pub mod clock;
pub mod connection;
pub mod pool;
pub mod server;

use std::sync::Arc;

/// Names one incarnation of a worker.
pub type WorkerId = Arc<str>;
