//! A pooled connection in the hands of one request.

use super::{
    Held, Pools, WorkerId,
    state::{CloseReason, ConnectionId},
};
use crate::connection::{Connection, Progress};
use std::{rc::Rc, time::Duration};

/// An answer may be followed by another that nobody asked for, some milliseconds late, and nothing in it says whose it
/// is: no request is written to a connection for so long after an answer. Twice what was seen at most.
pub(super) const REST: Duration = Duration::from_millis(8);
/// A connection in the hands of one request. Dropped unused it goes back; dropped under use it closes.
pub struct Lease {
    pub(super) pools: Rc<Pools>,
    pub(super) worker: WorkerId,
    pub(super) id: ConnectionId,
    pub(super) held: Option<Held>,
    /// It has been idle, or has carried a request before.
    pub(super) is_reused: bool,
    pub(super) used: bool,
}

impl Lease {
    /// It has been idle, or has carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// The connection itself: from now on it counts as used.
    ///
    /// # Panics
    /// Never: a lease has its connection until it is dropped.
    pub fn connection(&mut self) -> &mut Connection {
        self.used = true;
        &mut self.held.as_mut().expect("held until it is dropped").connection
    }

    /// How much of the present request has been written.
    ///
    /// # Panics
    /// Never: a lease has its connection until it is dropped.
    #[must_use]
    pub fn progress(&self) -> Rc<Progress> {
        self.held.as_ref().expect("held until it is dropped").connection.progress()
    }

    /// The worker answers on it.
    pub fn report_response(&self) {
        if let Some(held) = &self.held {
            self.pools.state.borrow_mut().response_received(
                self.pools.clock.now(),
                &self.worker,
                held.opened,
            );
        }
    }

    /// It was dead already when it was handed out.
    pub fn report_dead(self) {
        self.pools.state.borrow_mut().found_dead(&self.worker);
    }

    /// Fresh as it was, the worker ended it instead of answering.
    pub fn report_closed_early(self) {
        if !self.is_reused {
            self.pools.state.borrow_mut().capacity_reached(self.pools.clock.now(), &self.worker, false);
        }
    }

    /// The answer is whole: another request may have it, after a rest. `turned_away`: it said that the worker has no
    /// room.
    pub fn release(self, turned_away: bool) {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(REST).await;
            self.rested(turned_away);
        });
    }

    fn rested(mut self, turned_away: bool) {
        let Some(held) = self.held.take() else { return };
        let lives = self.pools.clone().take_back(&self.worker, self.id, held);
        if turned_away && !lives && !self.is_reused {
            self.pools.state.borrow_mut().capacity_reached(self.pools.clock.now(), &self.worker, true);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        if !self.used {
            self.pools.clone().take_back(&self.worker, self.id, held);
            return;
        }
        drop(held);
        let mut commands = Vec::new();
        let now = self.pools.clock.now();
        self.pools.state.borrow_mut().lost(now, &self.worker, CloseReason::Broken, &mut commands);
        self.pools.carry_out(commands);
    }
}

impl Lease {
    pub(super) fn close(mut self, why: CloseReason) {
        drop(self.held.take());
        let (mut commands, now) = (Vec::new(), self.pools.clock.now());
        self.pools.state.borrow_mut().lost(now, &self.worker, why, &mut commands);
        self.pools.carry_out(commands);
    }
}
