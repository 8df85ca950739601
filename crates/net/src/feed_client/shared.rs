//! State shared by a client and the task that maintains its subscription.

use super::offsets::ShardOffsets;
use crate::{FrameWriter, reachability::Reachability};
use opalrun_wire::{
    feed::{FeedRequest, Subscriber},
    ids::Generation,
};
use std::cell::{Cell, RefCell};

/// State shared by a client and the task that maintains its subscription. Both run on one thread, and no borrow is kept
/// across an await.
pub(super) struct Shared {
    pub(super) subscriber: RefCell<Subscriber>,
    pub(super) offsets: RefCell<ShardOffsets>,
    /// Generation of the configuration that is in force at this subscriber.
    pub(super) generation: Cell<Generation>,
    /// Writer of the connection to the current server; `None` while no connection is open.
    pub(super) writer: RefCell<Option<FrameWriter>>,
    /// Whether a server with fresh updates can be reached.
    pub(super) reachability: RefCell<Reachability>,
}

impl Shared {
    /// Queues a request to the connected server. Returns whether it was queued; if that fails, the connection is
    /// closed.
    pub(super) fn send(&self, request: &FeedRequest) -> bool {
        let writer = self.writer.borrow();
        let Some(writer) = writer.as_ref() else { return false };
        let is_written = writer.send(request).is_ok();
        if !is_written {
            writer.close();
        }
        is_written
    }

    /// Returns the request that starts a subscription at a server.
    pub(super) fn subscribe_request(&self) -> FeedRequest {
        FeedRequest::Subscribe {
            subscriber: self.subscriber.borrow().clone(),
            positions: self.offsets.borrow().positions(),
        }
    }

    pub(super) fn send_heartbeat(&self) {
        let positions = self.offsets.borrow().positions();
        self.send(&FeedRequest::Heartbeat { positions, generation: self.generation.get() });
    }
}
