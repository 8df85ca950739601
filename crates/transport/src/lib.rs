//! HTTP/1.1 transport between clients and workers: a server for client connections, connections to workers that
//! track how much of a request has been written, pools of worker connections, and request and response bodies.
//!
//! Routing and admission are decided by the users of this crate.
#![forbid(unsafe_code)]

pub mod body;
pub mod clock;
pub mod connection;
pub mod pool;
pub mod server;

use std::sync::Arc;

/// Identifier of one incarnation of a worker.
pub type WorkerId = Arc<str>;
