//! The proxy: accepts requests of clients, forwards them to workers, and relays the answers.

pub mod answer;
pub mod attempt;
pub mod balance;
mod body;
pub mod event_stream;
mod failed_requests;
mod freshness;
mod handler;
mod headers;
mod metrics;
mod readiness;
mod request;
pub mod request_parameters;
mod run;
mod scrape;
mod services;
mod state;
mod stream;
mod turn;
mod turn_lifecycle;
mod upstream;
mod worker_connections;

pub use run::{ProxyError, run, serve};
pub use state::Proxy;
