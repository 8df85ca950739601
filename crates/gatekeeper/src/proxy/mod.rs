//! The proxy: takes the requests of clients, has workers answer them, and passes the answers on.

pub mod attempt;
pub mod balance;
pub mod event_stream;

use opalrun_settings::Settings;
use std::{convert::Infallible, future::pending};

/// Runs the role until SIGTERM.
///
/// # Errors
/// None yet.
pub async fn run(_settings: Settings) -> Result<(), Infallible> {
    tokio::select! {
        () = opalrun_net::signals::terminated() => Ok(()),
        never = pending() => never,
    }
}
