//! The HTTP interface for workers and the operator.
//!
//! The web server's handlers must be able to move between threads and the process may not, so each handler only reads
//! its request into an [`ApiRequest`] and hands it over; [`answer`] has the rest.

mod answer;
mod body;
mod request;
mod server;
#[cfg(test)]
mod tests;

pub use answer::{ApiAnswer, answer};
pub use request::{ApiRequest, Handover, router};
pub use server::{Bound, bind};
