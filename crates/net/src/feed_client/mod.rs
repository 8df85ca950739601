//! The client of the change feed, used by agents, stores and proxies.
//!
//! It keeps one subscription, and moves to another server when connecting fails, when the server reports itself
//! unavailable, or when the server stops confirming that its updates are fresh. The offsets of delivered updates never
//! decrease.

mod offsets;
mod options;
mod server_selection;
mod shared;
mod subscription;

pub use options::FeedOptions;

use crate::reachability::{PeerCount, Reachability};
use offsets::ShardOffsets;
use opalrun_wire::{
    feed::{FeedRequest, FeedUpdate, Subscriber, WorkerFailures},
    ids::{Epoch, Generation, NodeIdentity, Partition},
};
use server_selection::ServerSelection;
use shared::Shared;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use subscription::SubscriptionTask;
use tokio::task::JoinHandle;

/// Name in the log of the servers of most subscribers, the control processes.
pub const CONTROL: &str = "control";
/// Name in the log of the server of a proxy, its agent.
pub const AGENT: &str = "agent";

/// A subscription to the change feed, kept up until the client is dropped.
pub struct FeedClient {
    shared: Rc<Shared>,
    task: JoinHandle<()>,
}

impl FeedClient {
    /// Starts a subscription. `deliver` is called for each update, in order, and never with
    /// [`FeedUpdate::Unavailable`]. Has to run inside a `LocalSet`.
    #[must_use]
    pub fn start(options: FeedOptions, deliver: impl FnMut(FeedUpdate) + 'static) -> Self {
        Self::start_with_seeds(options, || None, deliver)
    }

    /// As [`FeedClient::start`]. Whenever all known servers have failed, `read_seeds` is called for the current seeds.
    #[must_use]
    pub fn start_with_seeds(
        options: FeedOptions,
        read_seeds: impl Fn() -> Option<Vec<SocketAddr>> + 'static,
        deliver: impl FnMut(FeedUpdate) + 'static,
    ) -> Self {
        let servers = ServerSelection::new(&options);
        let peer = if options.only_seeds { AGENT } else { CONTROL };
        let shared = Rc::new(Shared {
            subscriber: RefCell::new(options.subscriber),
            offsets: RefCell::new(ShardOffsets::new(&options.shards)),
            generation: Cell::new(Generation(0)),
            writer: RefCell::new(None),
            reachability: RefCell::new(Reachability::new(peer)),
        });
        let subscription = SubscriptionTask {
            shared: shared.clone(),
            servers,
            only_seeds: options.only_seeds,
            read_seeds: Box::new(read_seeds),
            deliver: Box::new(deliver),
        };
        let task = tokio::task::spawn_local(subscription.run());
        Self { shared, task }
    }

    /// Sets the generation of the configuration that is in force at this subscriber, and reports it at once if it has
    /// changed.
    pub fn report_generation(&self, generation: Generation) {
        if self.shared.generation.replace(generation) != generation {
            self.shared.send_heartbeat();
        }
    }

    /// Replaces the subscriber that is named in subscriptions, from the next connection on.
    pub fn set_subscriber(&self, subscriber: Subscriber) {
        self.shared.subscriber.replace(subscriber);
    }

    /// Reports for a store that its replicas of these partitions are complete. Returns whether the report was queued.
    /// It may still be lost, so the caller repeats it until the partition map shows the replicas as complete.
    #[expect(clippy::must_use_candidate, reason = "callers repeat the report, sent or not")]
    pub fn report_replicas_complete(
        &self,
        store: NodeIdentity,
        epoch: Epoch,
        partitions: Vec<Partition>,
    ) -> bool {
        self.shared.send(&FeedRequest::ReplicasComplete { store, epoch, partitions })
    }

    /// Requests the shutdown of a store that received SIGTERM; [`FeedUpdate::ShutdownDecision`] answers the request.
    /// Returns whether the request was queued. It may still be lost.
    #[expect(clippy::must_use_candidate, reason = "callers repeat the request, sent or not")]
    pub fn request_shutdown(&self, store: NodeIdentity) -> bool {
        self.shared.send(&FeedRequest::ShutdownRequested { store })
    }

    /// Reports for a gatekeeper the requests that failed at workers. A report may be lost without harm.
    pub fn report_worker_failures(&self, failures: Vec<WorkerFailures>) {
        self.shared.send(&FeedRequest::WorkerFailures(failures));
    }

    /// Returns the number of failed attempts to reach a server, and whether no server is reached now.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.shared.reachability.borrow().count()
    }

    /// Whether a connection to a server is open.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.shared.writer.borrow().as_ref().is_some_and(|writer| !writer.is_closed())
    }
}

impl Drop for FeedClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}
