//! The proxy's subscription to the agent beside it.

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

/// Keeps a [`ControlView`] up to date. The configuration of the view counts as in force from the moment it is there.
pub struct ControlFeed {
    view: RefCell<ControlView>,
    changes: watch::Sender<u64>,
    client: FeedClient,
}

impl ControlFeed {
    /// Subscribes to the agent at an address.
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

    /// What is known now. Not to be held over an await.
    #[must_use]
    pub fn view(&self) -> Ref<'_, ControlView> {
        self.view.borrow()
    }

    /// Marked as changed whenever the view has changed in more than its freshness.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Passes the metrics of the subscription to a scraper.
    pub fn scrape(&self, scrape: &mut Scrape) {
        let agent = self.client.peer_count();
        scrape.peers(feed_client::AGENT, agent.missing, agent.failed_attempts);
    }

    /// Reports to control requests that failed at workers.
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
