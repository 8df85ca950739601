//! The control process: it knows the machines and keeps the configuration.
#![forbid(unsafe_code)]

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
