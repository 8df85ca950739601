//! The number of gatekeepers over the whole tier: each control process counts its subscribers, the owner of shard 0 adds
//! up.

use super::{
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner},
    clock::SteadyClock,
};
use crate::{
    calls::{ControlAnswer, ControlCall},
    feed::subscribers::Subscribers,
};
use opalrun_wire::{feed::CONFIGURATION_SHARD, ids::NodeIdentity};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

/// A count that was not renewed for longer is left out.
const COUNT_LIFETIME: Duration = Duration::from_secs(3);

/// What one control process counted.
struct ProcessCount {
    gatekeepers: u32,
    counted_at: Duration,
}

/// The count of gatekeepers. Calls of other processes, the feed and the background tasks share it; all run on one thread.
pub(crate) struct GatekeeperCount {
    client: Rc<ControlClient>,
    /// The connections of the feed write it, this type reads it; both run on one thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: SteadyClock,
    /// By the identity of the control process that counted; used while this process owns shard 0.
    counts: RefCell<HashMap<NodeIdentity, ProcessCount>>,
    total: Cell<u32>,
}

impl GatekeeperCount {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: SteadyClock,
    ) -> Rc<Self> {
        let (counts, total) = (RefCell::default(), Cell::new(0));
        Rc::new(Self { client, subscribers, clock, counts, total })
    }

    /// Gatekeepers over the whole tier, as last reported by the owner of shard 0.
    pub(crate) fn total(&self) -> u32 {
        self.total.get()
    }

    /// Records what a control process counted, and returns the total. For the owner of shard 0.
    ///
    /// # Errors
    /// [`NotOwner`] where this process does not own shard 0.
    pub(super) fn record(&self, counted_by: NodeIdentity, gatekeepers: u32) -> Result<u32, NotOwner> {
        self.client.require_ownership(CONFIGURATION_SHARD)?;
        let now = self.clock.now();
        let mut counts = self.counts.borrow_mut();
        counts.insert(counted_by, ProcessCount { gatekeepers, counted_at: now });
        counts.retain(|_, count| now.saturating_sub(count.counted_at) <= COUNT_LIFETIME);
        Ok(counts.values().map(|count| count.gatekeepers).sum())
    }

    /// Reports this process's count to the owner of shard 0 and takes over the total.
    pub(super) async fn report(&self) {
        let count = self.subscribers.borrow().gatekeeper_count(self.clock.now());
        if let Some(total) = self.record_at_owner(count).await {
            self.total.set(total);
        }
    }

    async fn record_at_owner(&self, count: u32) -> Option<u32> {
        let from = self.client.identity();
        match self.client.owner(CONFIGURATION_SHARD)? {
            ShardOwner::ThisProcess => self.record(from, count).ok(),
            ShardOwner::Peer(owner) => {
                let call = ControlCall::Gatekeepers { from, count };
                match self.client.call(owner, &call, REPORT_TIMEOUT).await {
                    Some(ControlAnswer::Gatekeepers(total)) => Some(total),
                    _ => None,
                }
            }
        }
    }
}
