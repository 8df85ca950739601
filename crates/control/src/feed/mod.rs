//! Server of the change feed, to which agents and stores subscribe.

mod connection;
pub mod subscribers;

use crate::process::ControlProcess;
use opalrun_net::Listener;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// Delay before the listener accepts again after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves all subscribers of a process until the task is aborted.
pub async fn serve(process: Rc<ControlProcess>, listener: Listener) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                tokio::task::spawn_local(connection::serve(Rc::clone(&process), connection));
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a subscriber failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
