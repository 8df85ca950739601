//! The proxy: takes the requests of clients, has workers answer them, and passes the answers on.

pub mod attempt;
pub mod balance;
pub mod event_stream;
