//! The HTTP interface for workers and the operator.
//!
//! The web server requires handlers that can move between threads, which the control process cannot. The handler of a
//! route therefore only reads its request into an [`ApiRequest`] (`router`) and forwards it over a channel; `handler`
//! executes it on the thread of the process. `server` runs both.

mod handler;
mod heartbeat_body;
mod json;
mod message;
mod router;
mod server;

pub use message::{ApiAnswer, ApiRequest, PendingRequest};
pub use server::{BoundServer, bind};
