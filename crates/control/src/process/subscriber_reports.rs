//! Reports of all control processes on the gatekeepers that subscribe there, for the operator's view of the tier.

use super::{client::ControlClient, clock::MonotonicClock};
use crate::{
    calls::{ControlAnswer, ControlCall, SubscribedGatekeeper},
    feed::subscribers::Subscribers,
};
use opalrun_wire::ids::NodeIdentity;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::task::JoinSet;

/// Time limit for the answer of another control process.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The gatekeepers that subscribe at one control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberReport {
    /// Identity of the reporting control process.
    pub from: NodeIdentity,
    /// Gatekeepers that subscribe there, each with the generation of the configuration in force.
    pub gatekeepers: Vec<SubscribedGatekeeper>,
}

/// Collects the reports from all control processes.
pub(crate) struct SubscriberReports {
    client: Rc<ControlClient>,
    /// Written by the connections of the change feed and read by this type, on the same thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: MonotonicClock,
}

impl SubscriberReports {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: MonotonicClock,
    ) -> Self {
        Self { client, subscribers, clock }
    }

    /// Returns the gatekeepers that subscribe at this process.
    pub(super) fn gatekeepers_here(&self) -> Vec<SubscribedGatekeeper> {
        self.subscribers.borrow().gatekeeper_generations(self.clock.now())
    }

    /// Returns the reports of all control processes, including this one, except those that don't answer within
    /// [`REPORT_TIMEOUT`].
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
