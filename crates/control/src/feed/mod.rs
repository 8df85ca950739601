//! The server of the change feed: agents and stores subscribe here.

mod connection;
pub mod subscribers;

use crate::process::ControlProcess;
use opalrun_net::Listener;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves all subscribers of a process.
pub async fn serve(process: Rc<ControlProcess>, listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                tokio::task::spawn_local(connection::serve(Rc::clone(&process), connection));
            }
            Err(error) => {
                tracing::warn!(%error, "a subscriber was not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
