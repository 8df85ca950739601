//! Signals that the platform sends to a process.

use std::{cell::RefCell, future::pending, io};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
};

thread_local! {
    /// Whether SIGTERM or SIGINT has been received; `None` until [`install`] is called.
    static TERMINATED: RefCell<Option<watch::Receiver<bool>>> = const { RefCell::new(None) };
}

/// Installs the signal handlers. From now on SIGTERM, SIGINT and SIGHUP do not end the process by themselves, and a
/// later [`terminated`] learns of a SIGTERM or SIGINT received before. To be called inside a `LocalSet`.
///
/// # Errors
/// The system refuses to install a handler.
pub fn install() -> io::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?;
    let (sender, receiver) = watch::channel(false);
    TERMINATED.set(Some(receiver));
    tokio::task::spawn_local(watch_signals(terminate, interrupt, hang_up, sender));
    Ok(())
}

async fn watch_signals(
    mut terminate: Signal,
    mut interrupt: Signal,
    mut hang_up: Signal,
    sender: watch::Sender<bool>,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => sender.send_replace(true),
            _ = interrupt.recv() => sender.send_replace(true),
            _ = hang_up.recv() => continue,
        };
    }
}

/// Waits for SIGTERM, or for SIGINT from a terminal. Returns at once if one was received since [`install`].
pub async fn terminated() {
    let Some(mut receiver) = receiver() else { return pending().await };
    if receiver.wait_for(|terminated| *terminated).await.is_err() {
        pending::<()>().await;
    }
}

/// Returns the receiver of the termination state. Calls [`install`] if that was not done yet, or was done in a runtime
/// that has ended.
fn receiver() -> Option<watch::Receiver<bool>> {
    let existing = TERMINATED.with_borrow(Clone::clone).filter(|receiver| receiver.has_changed().is_ok());
    if existing.is_some() {
        return existing;
    }
    if let Err(error) = install() {
        tracing::error!(%error, "can't install the signal handlers");
    }
    TERMINATED.with_borrow(Clone::clone)
}

/// Waits for SIGHUP, which tells that the settings file has changed.
pub async fn settings_changed() {
    match signal(SignalKind::hangup()) {
        Ok(mut stream) => {
            stream.recv().await;
        }
        Err(error) => {
            tracing::error!(%error, "can't install the handler of SIGHUP");
            pending::<()>().await;
        }
    }
}
