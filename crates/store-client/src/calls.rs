//! Calls of the replicas of a partition: each is retried on its own, so that none waits for another.

use opalrun_net::{RpcClient, reachability::PeerCount};
use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::NodeIdentity,
    store::{StoreReply, StoreRequest},
};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

/// Backoff before a replica that did not reply, or could not serve the request, is called again.
const RETRY_BACKOFF: Duration = Duration::from_millis(25);
/// Time-out of one call; a replica that is slower is called again, in case the reply was lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The peer, as the log names it.
const STORE: &str = "store";

/// A connection to one store.
type Connection = Rc<RpcClient<StoreRequest, StoreReply>>;

/// A connection to each store of the map.
#[derive(Default)]
pub struct StoreConnections {
    // Shared by all operations; no borrow lasts over an await.
    connections: RefCell<HashMap<NodeIdentity, Connection>>,
}

impl StoreConnections {
    /// Applies the stores of a map: connections to others are dropped.
    pub fn set_stores(&self, map: &StoreMap) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|identity, _| map.stores.iter().any(|store| store.identity == *identity));
        for store in &map.stores {
            let Ok(address) = store.address.parse() else {
                tracing::warn!(store = store.identity.0, address = %store.address, "store address is invalid");
                continue;
            };
            connections
                .entry(store.identity)
                .or_insert_with(|| RpcClient::new(STORE, address))
                .set_address(address);
        }
    }

    /// Stores that can't be reached, and attempts that failed at those of the map.
    pub fn peer_count(&self) -> PeerCount {
        self.connections.borrow().values().map(|connection| connection.peer_count()).sum()
    }

    fn get(&self, store: NodeIdentity) -> Option<Connection> {
        self.connections.borrow().get(&store).cloned()
    }
}

/// The reply of a replica to a call of the kind `T`.
#[derive(Debug)]
pub struct ReplicaReply<T> {
    /// The call.
    pub call: T,
    /// The replica's store.
    pub store: NodeIdentity,
    /// The reply.
    pub reply: StoreReply,
}

/// Calls in flight. Dropping it ends their retries: each task ends when the call that it waits for has ended. A request
/// that was sent already may still be served, which is harmless, as all of them are idempotent.
pub struct ReplicaCalls<T> {
    connections: Rc<StoreConnections>,
    deadline: Instant,
    sender: mpsc::UnboundedSender<ReplicaReply<T>>,
    replies: mpsc::UnboundedReceiver<ReplicaReply<T>>,
}

impl<T: Copy + 'static> ReplicaCalls<T> {
    /// No calls yet; their retries end at `deadline`.
    pub fn new(connections: Rc<StoreConnections>, deadline: Instant) -> Self {
        let (sender, replies) = mpsc::unbounded_channel();
        Self { connections, deadline, sender, replies }
    }

    /// Calls all replicas of a partition.
    pub fn send_to_all(&self, call: T, partition: &PartitionReplicas, request: &Rc<StoreRequest>) {
        for replica in &partition.replicas {
            self.send(call, replica.store, request);
        }
    }

    /// Calls one store, with retries until it replies with a result, or that it knows a newer map.
    pub fn send(&self, call: T, store: NodeIdentity, request: &Rc<StoreRequest>) {
        let Some(connection) = self.connections.get(store) else { return };
        let (sender, request, deadline) = (self.sender.clone(), request.clone(), self.deadline);
        tokio::task::spawn_local(async move {
            loop {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() || sender.is_closed() {
                    return;
                }
                match connection.call(&request, left.min(CALL_TIMEOUT)).await {
                    Ok(StoreReply::StaleEpoch { epoch }) if epoch <= request.epoch() => {
                        sleep(RETRY_BACKOFF).await;
                    }
                    Ok(StoreReply::Failed { .. }) | Err(_) => sleep(RETRY_BACKOFF).await,
                    Ok(reply) => {
                        // The operation may have ended without this reply.
                        let _ = sender.send(ReplicaReply { call, store, reply });
                        return;
                    }
                }
            }
        });
    }

    /// Waits for the next reply.
    pub async fn next_reply(&mut self) -> ReplicaReply<T> {
        match self.replies.recv().await {
            Some(reply) => reply,
            // Unreachable: this type owns a sender.
            None => std::future::pending().await,
        }
    }
}
