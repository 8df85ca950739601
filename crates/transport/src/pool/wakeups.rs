//! Collects the idle connections whose sockets have had an event.

use super::state::ConnectionId;
use std::{
    sync::{Arc, Mutex, PoisonError},
    task::{Wake, Waker},
};
use tokio::sync::Notify;

/// Idle connections whose sockets have had an event since the last [`Wakeups::take`].
#[derive(Default)]
pub struct Wakeups {
    connections: Mutex<Vec<ConnectionId>>,
    notify: Notify,
}

impl Wakeups {
    /// Waits until a connection is woken.
    pub async fn wait(&self) {
        self.notify.notified().await;
    }

    /// Returns the connections that were woken since the last call.
    pub fn take(&self) -> Vec<ConnectionId> {
        std::mem::take(&mut *self.connections.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The waker of one connection while it is idle.
struct IdleWaker {
    connection: ConnectionId,
    wakeups: Arc<Wakeups>,
}

impl Wake for IdleWaker {
    fn wake(self: Arc<Self>) {
        self.wakeups.connections.lock().unwrap_or_else(PoisonError::into_inner).push(self.connection);
        self.wakeups.notify.notify_one();
    }
}

/// Returns a waker that adds `connection` to `wakeups`.
pub fn waker(wakeups: &Arc<Wakeups>, connection: ConnectionId) -> Waker {
    Waker::from(Arc::new(IdleWaker { connection, wakeups: wakeups.clone() }))
}
