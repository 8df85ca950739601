//! Liveness of stores: each control process reports the stores that were in contact with it, and the owner of shard 0
//! evaluates all reports.

use super::{
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner},
    clock::MonotonicClock,
    store_failure_detector::{StoreFailureDetector, StoreLayout},
};
use crate::{
    calls::{ControlCall, StoreContact},
    configuration_shard::ConfigurationCommand,
    feed::subscribers::Subscribers,
};
use opalrun_wire::feed::CONFIGURATION_SHARD;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Reports and evaluates the contacts of stores. Remote calls and the background tasks share it on one thread.
pub(super) struct StoreLiveness {
    client: Rc<ControlClient>,
    /// Written by the connections of the change feed and read by this type, on the same thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: MonotonicClock,
    layout: StoreLayout,
    /// Used while this process owns shard 0.
    failure_detector: RefCell<StoreFailureDetector>,
}

impl StoreLiveness {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: MonotonicClock,
        layout: StoreLayout,
    ) -> Rc<Self> {
        Rc::new(Self { client, subscribers, clock, layout, failure_detector: RefCell::default() })
    }

    /// Records the contacts of stores that a control process reports. Called at the owner of shard 0.
    ///
    /// # Errors
    /// [`NotOwner`] if this process does not own shard 0.
    pub(super) fn record_contacts(&self, contacts: &[StoreContact]) -> Result<(), NotOwner> {
        self.client.require_ownership(CONFIGURATION_SHARD)?;
        let now = self.clock.now();
        let mut failure_detector = self.failure_detector.borrow_mut();
        for contact in contacts {
            let age = Duration::from_millis(contact.age_ms);
            failure_detector.record_contact(contact.identity, now.saturating_sub(age));
        }
        Ok(())
    }

    /// Reports the contacts of stores with this process to the owner of shard 0.
    pub(super) async fn report_contacts(&self) {
        let contacts = self.contacts_here();
        if contacts.is_empty() {
            return;
        }
        // A lost report is not retried: the next periodic report supersedes it.
        match self.client.owner(CONFIGURATION_SHARD) {
            Some(ShardOwner::ThisProcess) => {
                let _ = self.record_contacts(&contacts);
            }
            Some(ShardOwner::Peer(owner)) => {
                let call = ControlCall::StoreContacts { contacts };
                self.client.call(owner, &call, REPORT_TIMEOUT).await;
            }
            None => {}
        }
    }

    /// Returns the last contacts of the stores that subscribe at this process.
    fn contacts_here(&self) -> Vec<StoreContact> {
        self.subscribers.borrow().store_contacts(self.clock.now())
    }

    /// Returns the commands that change the store map according to the failure detector. Called at the owner of shard
    /// 0.
    pub(super) fn evaluate(&self, now: Duration) -> Vec<ConfigurationCommand> {
        let commands = self.client.shards().with_configuration(|shard| {
            self.failure_detector.borrow_mut().evaluate(shard.stores(), &self.layout, now)
        });
        commands.into_iter().map(ConfigurationCommand::Store).collect()
    }

    /// Resets the failure detector. Called while this process does not own shard 0 or is out of contact with its
    /// quorum.
    pub(super) fn reset_failure_detector(&self) {
        self.failure_detector.borrow_mut().reset();
    }
}
