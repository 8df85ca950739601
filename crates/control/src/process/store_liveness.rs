//! Liveness of stores: which stores were heard from here, and what the owner of shard 0 concludes from all reports.

use super::{
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner},
    clock::SteadyClock,
    store_failure_detector::{StoreFailureDetector, StoreLayout},
};
use crate::{
    calls::{ControlCall, StoreContact},
    configuration_shard::ConfigurationCommand,
    feed::subscribers::Subscribers,
};
use opalrun_wire::feed::CONFIGURATION_SHARD;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Liveness of the stores. Calls of other processes and the background tasks share it; both run on one thread.
pub(super) struct StoreLiveness {
    client: Rc<ControlClient>,
    /// The connections of the feed write it, this type reads it; both run on one thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: SteadyClock,
    layout: StoreLayout,
    /// Used while this process owns shard 0.
    failure_detector: RefCell<StoreFailureDetector>,
}

impl StoreLiveness {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: SteadyClock,
        layout: StoreLayout,
    ) -> Rc<Self> {
        Rc::new(Self { client, subscribers, clock, layout, failure_detector: RefCell::default() })
    }

    /// Records which stores other processes heard from. For the owner of shard 0.
    ///
    /// # Errors
    /// [`NotOwner`] where this process does not own shard 0.
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

    /// Reports to the owner of shard 0 which stores were heard from here.
    pub(super) async fn report_contacts(&self) {
        let contacts = self.contacts_here();
        if contacts.is_empty() {
            return;
        }
        // A report that is lost is followed by the next one.
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

    /// The stores that were heard from here.
    fn contacts_here(&self) -> Vec<StoreContact> {
        self.subscribers.borrow().store_contacts(self.clock.now())
    }

    /// The commands that follow from the time that has passed. For the owner of shard 0.
    pub(super) fn evaluate(&self, now: Duration) -> Vec<ConfigurationCommand> {
        let commands = self.client.shards().with_configuration(|shard| {
            self.failure_detector.borrow_mut().evaluate(shard.stores(), &self.layout, now)
        });
        commands.into_iter().map(ConfigurationCommand::Store).collect()
    }

    /// This process does not own shard 0, or is out of contact with its quorum.
    pub(super) fn reset_failure_detector(&self) {
        self.failure_detector.borrow_mut().reset();
    }
}
