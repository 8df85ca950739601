//! The client of the change feed, the same for agents, stores and proxies.
//!
//! It keeps one subscription, and moves to another server when connecting fails, when the server reports itself
//! unavailable, or when its updates are no longer fresh. Offsets of delivered updates never decrease.

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

/// The servers of most subscribers, as the log names them.
pub const CONTROL: &str = "control";
/// The server of a proxy, as the log names it.
pub const AGENT: &str = "agent";

/// A subscription to the change feed, kept up until the client is dropped.
pub struct FeedClient {
    shared: Rc<Shared>,
    task: JoinHandle<()>,
}

impl FeedClient {
    /// Subscribes; `deliver` is called for each update, in order, and never with [`FeedUpdate::Unavailable`]. Has to run
    /// inside a `LocalSet`.
    #[must_use]
    pub fn start(options: FeedOptions, deliver: impl FnMut(FeedUpdate) + 'static) -> Self {
        Self::start_with_seeds(options, || None, deliver)
    }

    /// As [`FeedClient::start`]; `read_seeds` is called for the current seeds whenever no known server could be used.
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

    /// Reports at once which generation of the configuration is in force here.
    pub fn report_generation(&self, generation: Generation) {
        if self.shared.generation.replace(generation) != generation {
            self.shared.send_heartbeat();
        }
    }

    /// Subscribes under another description from the next connection on.
    pub fn set_subscriber(&self, subscriber: Subscriber) {
        self.shared.subscriber.replace(subscriber);
    }

    /// From a store: the replicas of these partitions here are complete. Returns whether the report was sent; it may be
    /// lost all the same, so the caller repeats it until the map shows it.
    #[expect(clippy::must_use_candidate, reason = "callers repeat the report, sent or not")]
    pub fn report_replicas_complete(
        &self,
        store: NodeIdentity,
        epoch: Epoch,
        partitions: Vec<Partition>,
    ) -> bool {
        self.shared.send(&FeedRequest::ReplicasComplete { store, epoch, partitions })
    }

    /// From a store that received SIGTERM; [`FeedUpdate::ShutdownDecision`] answers it. Returns whether the request was
    /// sent; it may be lost all the same.
    #[expect(clippy::must_use_candidate, reason = "callers repeat the request, sent or not")]
    pub fn request_shutdown(&self, store: NodeIdentity) -> bool {
        self.shared.send(&FeedRequest::ShutdownRequested { store })
    }

    /// From a gatekeeper: requests that failed at workers. Losing a report does no harm.
    pub fn report_worker_failures(&self, failures: Vec<WorkerFailures>) {
        self.shared.send(&FeedRequest::WorkerFailures(failures));
    }

    /// Attempts to reach a server that failed, and whether none is reached now.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.shared.reachability.borrow().count()
    }

    /// Whether a server is connected.
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
