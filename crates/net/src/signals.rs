//! The signals that the platform sends to a process.

use std::future::pending;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM, or SIGINT at a terminal. After the first call these no longer end the process by themselves.
pub async fn terminated() {
    tokio::select! {
        () = received(SignalKind::terminate()) => {}
        () = received(SignalKind::interrupt()) => {}
    }
}

/// Waits for SIGHUP: the settings file has changed. After the first call it no longer ends the process by itself.
pub async fn settings_changed() {
    received(SignalKind::hangup()).await;
}

async fn received(kind: SignalKind) {
    match signal(kind) {
        Ok(mut stream) => {
            stream.recv().await;
        }
        Err(error) => {
            tracing::error!(%error, "a signal can't be waited for");
            pending::<()>().await;
        }
    }
}
