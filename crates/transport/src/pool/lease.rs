//! The exclusive use of a pooled connection by one request.

use super::{
    PooledConnection, Pools, WorkerId,
    state::{CloseReason, ConnectionId},
};
use crate::connection::{Connection, Progress};
use std::{rc::Rc, time::Duration};

/// Time between the end of a response and the reuse of its connection. A worker may send an unsolicited second response
/// some milliseconds late (at most 4 ms were observed), and a later request would take it for its own.
pub(super) const RELEASE_DELAY: Duration = Duration::from_millis(8);

/// The exclusive use of a connection by one request. Dropping it returns an unused connection to its pool and closes a
/// used one.
pub struct Lease {
    pub(super) pools: Rc<Pools>,
    pub(super) worker: WorkerId,
    pub(super) id: ConnectionId,
    /// `None` once the connection has been released or closed.
    pub(super) pooled: Option<PooledConnection>,
    /// Whether the connection was idle or in use before this lease, so that the worker may have closed it meanwhile.
    pub(super) is_reused: bool,
    /// Whether this lease has handed out the connection with [`Lease::connection`].
    pub(super) used: bool,
}

impl Lease {
    /// Whether the connection was idle or in use before this lease, so that the worker may have closed it meanwhile.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns the connection, which counts as used from now on.
    ///
    /// # Panics
    /// Never: a lease has its connection until it is dropped.
    pub fn connection(&mut self) -> &mut Connection {
        self.used = true;
        &mut self.pooled.as_mut().expect("a lease has its connection until it is dropped").connection
    }

    /// Returns how much of the current request has been written.
    ///
    /// # Panics
    /// Never: a lease has its connection until it is dropped.
    #[must_use]
    pub fn progress(&self) -> Rc<Progress> {
        self.pooled.as_ref().expect("a lease has its connection until it is dropped").connection.progress()
    }

    /// Reports that the worker has responded on this connection.
    pub fn report_response(&self) {
        if let Some(pooled) = &self.pooled {
            self.pools.state.borrow_mut().response_received(
                self.pools.clock.now(),
                &self.worker,
                pooled.opened_at,
            );
        }
    }

    /// Reports that the connection was already closed when it was leased.
    pub fn report_dead(self) {
        self.pools.state.borrow_mut().found_dead(&self.worker);
    }

    /// Reports that the worker closed the connection instead of responding. On a new connection this shows that the
    /// worker has no capacity for more connections.
    pub fn report_closed_early(self) {
        if !self.is_reused {
            self.pools.state.borrow_mut().capacity_reached(self.pools.clock.now(), &self.worker, false);
        }
    }

    /// Returns the connection to its pool after `RELEASE_DELAY`. To be called once the response is complete.
    /// `rejected` tells that the response rejected the request for lack of capacity.
    pub fn release(self, rejected: bool) {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RELEASE_DELAY).await;
            self.finish_release(rejected);
        });
    }

    fn finish_release(mut self, rejected: bool) {
        let Some(pooled) = self.pooled.take() else { return };
        let is_alive = self.pools.clone().return_connection(&self.worker, self.id, pooled);
        if rejected && !is_alive && !self.is_reused {
            self.pools.state.borrow_mut().capacity_reached(self.pools.clock.now(), &self.worker, true);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(pooled) = self.pooled.take() else { return };
        if !self.used {
            self.pools.clone().return_connection(&self.worker, self.id, pooled);
            return;
        }
        drop(pooled);
        let mut commands = Vec::new();
        let now = self.pools.clock.now();
        self.pools.state.borrow_mut().connection_lost(now, &self.worker, CloseReason::Broken, &mut commands);
        self.pools.execute(commands);
    }
}

impl Lease {
    pub(super) fn close(mut self, reason: CloseReason) {
        drop(self.pooled.take());
        let (mut commands, now) = (Vec::new(), self.pools.clock.now());
        self.pools.state.borrow_mut().connection_lost(now, &self.worker, reason, &mut commands);
        self.pools.execute(commands);
    }
}
