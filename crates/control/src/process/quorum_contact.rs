//! Time of this process's last contact with the quorum of each shard.

use super::clock::MonotonicClock;
use crate::{host::Host, shards::SHARDS};
use opalrun_wire::ids::Shard;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Records the last contact with the quorum of each shard. Written by the background tasks and read while workers'
/// requests are handled, on the same thread.
pub(super) struct QuorumContact {
    host: Rc<Host>,
    clock: MonotonicClock,
    /// Time of the last contact, indexed by shard; `None` before the first contact.
    last_contact: RefCell<Vec<Option<Duration>>>,
}

impl QuorumContact {
    pub(super) fn new(host: Rc<Host>, clock: MonotonicClock) -> Rc<Self> {
        let last_contact = RefCell::new(vec![None; usize::from(SHARDS)]);
        Rc::new(Self { host, clock, last_contact })
    }

    /// Records the current time for each shard that is in contact with its quorum now.
    pub(super) fn record(&self) {
        let now = self.clock.now();
        for (shard, at) in (0..).map(Shard).zip(self.last_contact.borrow_mut().iter_mut()) {
            if self.host.is_fresh(shard) {
                *at = Some(now);
            }
        }
    }

    /// Returns whether a shard was in contact with its quorum within the last `span`.
    pub(super) fn is_recent(&self, shard: Shard, span: Duration) -> bool {
        if self.host.is_fresh(shard) {
            return true;
        }
        let at = self.last_contact.borrow()[shard.position()];
        at.is_some_and(|at| self.clock.now().saturating_sub(at) <= span)
    }
}
