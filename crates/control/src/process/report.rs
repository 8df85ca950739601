//! What control processes tell each other of their subscribers, for people who look at the tier.

use super::ControlProcess;
use crate::calls::{ControlAnswer, ControlCall};
use std::{rc::Rc, time::Duration};
use tokio::task::JoinSet;

/// How long another control process may take to answer.
const REPORT_LIMIT: Duration = Duration::from_millis(400);

/// The gatekeepers that subscribe at a control process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriberReport {
    /// The identity of the control process.
    pub from: u64,
    /// Names of the gatekeepers' machines, each with the generation in force there.
    pub gatekeepers: Vec<(String, u64)>,
}

impl ControlProcess {
    /// The gatekeepers that subscribe here.
    pub(super) fn subscribed_here(&self) -> Vec<(String, u64)> {
        self.subscribers.borrow().in_force(self.now())
    }

    /// Asks all control processes, this one too, which gatekeepers subscribe there. Those that don't answer in time are
    /// left out.
    pub(crate) async fn ask_for_subscribers(self: &Rc<Self>) -> Vec<SubscriberReport> {
        let mut tasks = JoinSet::new();
        for identity in self.others() {
            let process = Rc::clone(self);
            tasks.spawn_local(async move {
                match process.ask(identity, &ControlCall::Subscribers, REPORT_LIMIT).await {
                    Some(ControlAnswer::Subscribers(gatekeepers)) => {
                        Some(SubscriberReport { from: identity, gatekeepers })
                    }
                    _ => None,
                }
            });
        }
        let own = SubscriberReport { from: self.host.identity(), gatekeepers: self.subscribed_here() };
        std::iter::once(own).chain(tasks.join_all().await.into_iter().flatten()).collect()
    }
}
