//! The proxy's subscription to the agent on its machine.

use super::{ControlView, all_shards};
use opalrun_metrics::Scrape;
use opalrun_net::feed_client::{self, FeedClient, FeedOptions};
use opalrun_wire::feed::{FeedUpdate, Subscriber, WorkerFailures};
use std::{
    cell::{Ref, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use tokio::sync::watch;

/// Keeps a [`ControlView`] up to date. A configuration counts as in force as soon as the view contains it.
pub struct ControlFeed {
    view: RefCell<ControlView>,
    changes: watch::Sender<u64>,
    client: FeedClient,
}

impl ControlFeed {
    /// Subscribes to the agent at the given address.
    #[must_use]
    pub fn start_at(agent: SocketAddr) -> Rc<Self> {
        let options = FeedOptions {
            subscriber: Subscriber::Proxy,
            shards: all_shards(),
            seeds: vec![agent],
            feed_port: agent.port(),
            zone: String::new(),
            only_seeds: true,
        };
        Rc::new_cyclic(|feed: &std::rc::Weak<Self>| {
            let feed = feed.clone();
            let deliver = move |update| {
                if let Some(feed) = feed.upgrade() {
                    feed.apply_update(update);
                }
            };
            Self {
                view: RefCell::default(),
                changes: watch::Sender::new(0),
                client: FeedClient::start(options, deliver),
            }
        })
    }

    /// Current state. The borrow must not be held across an await.
    #[must_use]
    pub fn view(&self) -> Ref<'_, ControlView> {
        self.view.borrow()
    }

    /// Notified of every change of the view, except one of its freshness alone.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Adds the metrics of the subscription to a scrape.
    pub fn scrape(&self, scrape: &mut Scrape) {
        let agent = self.client.peer_count();
        scrape.peers(feed_client::AGENT, agent.missing, agent.failed_attempts);
    }

    /// Reports failures of requests at workers to control.
    pub fn report_worker_failures(&self, failures: Vec<WorkerFailures>) {
        self.client.report_worker_failures(failures);
    }

    fn apply_update(&self, update: FeedUpdate) {
        let changed = self.view.borrow_mut().apply(update);
        if !changed {
            return;
        }
        let generation = self.view.borrow().generation();
        self.client.report_generation(generation);
        self.changes.send_modify(|count| *count += 1);
    }
}
