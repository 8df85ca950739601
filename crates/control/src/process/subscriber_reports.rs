//! Reports of all control processes on their subscribers, for people who look at the tier.

use super::{client::ControlClient, clock::SteadyClock};
use crate::{
    calls::{ControlAnswer, ControlCall, SubscribedGatekeeper},
    feed::subscribers::Subscribers,
};
use opalrun_wire::ids::NodeIdentity;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::task::JoinSet;

/// How long another control process may take to answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The gatekeepers that subscribe at a control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberReport {
    /// The identity of the control process.
    pub from: NodeIdentity,
    /// The gatekeepers.
    pub gatekeepers: Vec<SubscribedGatekeeper>,
}

/// Collects the reports.
pub(crate) struct SubscriberReports {
    client: Rc<ControlClient>,
    /// The connections of the feed write it, this type reads it; both run on one thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: SteadyClock,
}

impl SubscriberReports {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: SteadyClock,
    ) -> Self {
        Self { client, subscribers, clock }
    }

    /// The gatekeepers that subscribe here.
    pub(super) fn gatekeepers_here(&self) -> Vec<SubscribedGatekeeper> {
        self.subscribers.borrow().gatekeeper_generations(self.clock.now())
    }

    /// The reports of all control processes, this one included. Those that don't answer in time are left out.
    pub(crate) async fn collect(&self) -> Vec<SubscriberReport> {
        let mut tasks = JoinSet::new();
        for identity in self.client.peers() {
            let client = Rc::clone(&self.client);
            tasks.spawn_local(async move {
                match client.call(identity, &ControlCall::Subscribers, REPORT_TIMEOUT).await {
                    Some(ControlAnswer::Subscribers(gatekeepers)) => {
                        Some(SubscriberReport { from: identity, gatekeepers })
                    }
                    _ => None,
                }
            });
        }
        let own = SubscriberReport { from: self.client.identity(), gatekeepers: self.gatekeepers_here() };
        std::iter::once(own).chain(tasks.join_all().await.into_iter().flatten()).collect()
    }
}
