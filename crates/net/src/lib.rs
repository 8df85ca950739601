//! Connections between the processes of the serving tier: frames over TCP, remote procedure calls, and the client of
//! the change feed.
//!
//! All tasks run on one thread, inside a `tokio::task::LocalSet`.
#![forbid(unsafe_code)]

mod connection;
mod error;
pub mod feed_client;
mod message;
pub mod reachability;
mod reader;
mod rpc_client;
mod rpc_server;
pub mod signals;
mod socket;
mod writer;

pub use connection::{Connection, Listener, connect};
pub use error::{NetError, RpcError};
pub use message::{Decode, Encode};
pub use reader::FrameReader;
pub use rpc_client::RpcClient;
pub use rpc_server::{serve_connection, serve_rpc};
pub use writer::FrameWriter;
