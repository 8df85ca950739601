//! Number of gatekeepers in the whole tier: each control process reports how many subscribe there, and the owner of
//! shard 0 computes the total.

use super::{
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner},
    clock::MonotonicClock,
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

/// Time after which a count that was not reported again expires.
const COUNT_LIFETIME: Duration = Duration::from_secs(3);

/// Number of gatekeepers that one control process reported.
struct ProcessCount {
    gatekeepers: u32,
    counted_at: Duration,
}

/// Counts the gatekeepers. Remote calls, the change feed and the background tasks share it, all on one thread.
pub(crate) struct GatekeeperCount {
    client: Rc<ControlClient>,
    /// Written by the connections of the change feed and read by this type, on the same thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: MonotonicClock,
    /// Latest counts by the identity of the reporting control process; used while this process owns shard 0.
    counts: RefCell<HashMap<NodeIdentity, ProcessCount>>,
    /// Total that the owner of shard 0 last reported.
    total: Cell<u32>,
}

impl GatekeeperCount {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: MonotonicClock,
    ) -> Rc<Self> {
        let (counts, total) = (RefCell::default(), Cell::new(0));
        Rc::new(Self { client, subscribers, clock, counts, total })
    }

    /// Returns the number of gatekeepers in the whole tier, as last reported by the owner of shard 0; 0 before the
    /// first report.
    pub(crate) fn total(&self) -> u32 {
        self.total.get()
    }

    /// Records the count of one control process and returns the total of all unexpired counts. Called at the owner of
    /// shard 0.
    ///
    /// # Errors
    /// [`NotOwner`] if this process does not own shard 0.
    pub(super) fn record(&self, counted_by: NodeIdentity, gatekeepers: u32) -> Result<u32, NotOwner> {
        self.client.require_ownership(CONFIGURATION_SHARD)?;
        let now = self.clock.now();
        let mut counts = self.counts.borrow_mut();
        counts.insert(counted_by, ProcessCount { gatekeepers, counted_at: now });
        counts.retain(|_, count| now.saturating_sub(count.counted_at) <= COUNT_LIFETIME);
        Ok(counts.values().map(|count| count.gatekeepers).sum())
    }

    /// Reports this process's count to the owner of shard 0 and stores the total that it returns.
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
