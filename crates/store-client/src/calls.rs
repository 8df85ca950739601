//! Calls to the replicas of a partition. Each call is retried independently, so a slow replica does not delay the others.

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

/// Backoff before a call is retried, after a replica did not reply or could not serve the request.
const RETRY_BACKOFF: Duration = Duration::from_millis(25);
/// Time-out of one attempt of a call, after which it is retried in case the reply was lost. It is prolonged while a long
/// frame is being transferred.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Kind of peer, as shown in log messages.
const STORE: &str = "store";

/// Connection to one store.
type Connection = Rc<RpcClient<StoreRequest, StoreReply>>;

/// Connections to all stores of the store map.
#[derive(Default)]
pub struct StoreConnections {
    // Shared by all operations; no borrow is held across an await.
    connections: RefCell<HashMap<NodeIdentity, Connection>>,
}

impl StoreConnections {
    /// Updates the connections to the stores of a map. Connections to other stores are dropped.
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

    /// Returns the number of stores of the map that can't be reached, and of failed attempts to connect to them.
    pub fn peer_count(&self) -> PeerCount {
        self.connections.borrow().values().map(|connection| connection.peer_count()).sum()
    }

    /// Returns when bytes of a long frame were last transferred between this process and a store; `None` if none were.
    pub fn long_frame_progress(&self, store: NodeIdentity) -> Option<Instant> {
        self.get(store)?.long_frame_progress()
    }

    fn get(&self, store: NodeIdentity) -> Option<Connection> {
        self.connections.borrow().get(&store).cloned()
    }
}

/// Reply of a replica to a call.
#[derive(Debug)]
pub struct ReplicaReply<T> {
    /// Tag that the caller gave to the call.
    pub call: T,
    /// Identity of the store that replied.
    pub store: NodeIdentity,
    /// Content of the reply.
    pub reply: StoreReply,
}

/// Calls in flight, each tagged with a value of type `T`. Dropping this ends the retries: each task ends when its current
/// attempt has ended. A request that was already sent may still be served, which is harmless, as all requests are
/// idempotent.
pub struct ReplicaCalls<T> {
    connections: Rc<StoreConnections>,
    deadline: Instant,
    sender: mpsc::UnboundedSender<ReplicaReply<T>>,
    replies: mpsc::UnboundedReceiver<ReplicaReply<T>>,
}

impl<T: Copy + 'static> ReplicaCalls<T> {
    /// Creates an empty set of calls, which are retried until `deadline`.
    pub fn new(connections: Rc<StoreConnections>, deadline: Instant) -> Self {
        let (sender, replies) = mpsc::unbounded_channel();
        Self { connections, deadline, sender, replies }
    }

    /// Sends a request to all replicas of a partition.
    pub fn send_to_all(&self, call: T, partition: &PartitionReplicas, request: &Rc<StoreRequest>) {
        for replica in &partition.replicas {
            self.send(call, replica.store, request);
        }
    }

    /// Sends a request to one store. Retries until the store replies with a result, or that it knows a newer epoch than
    /// that of the request. Does nothing if the store is not in the map.
    pub fn send(&self, call: T, store: NodeIdentity, request: &Rc<StoreRequest>) {
        let Some(connection) = self.connections.get(store) else { return };
        let (sender, request, deadline) = (self.sender.clone(), request.clone(), self.deadline);
        tokio::task::spawn_local(async move {
            loop {
                if Instant::now() >= deadline || sender.is_closed() {
                    return;
                }
                match connection.call_until(&request, CALL_TIMEOUT, deadline).await {
                    Ok(StoreReply::StaleEpoch { epoch }) if epoch <= request.epoch() => {
                        sleep(RETRY_BACKOFF).await;
                    }
                    Ok(StoreReply::Failed { .. }) | Err(_) => sleep(RETRY_BACKOFF).await,
                    Ok(reply) => {
                        // Fails if the operation has ended without this reply, which is then not needed.
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
            // Unreachable: `self.sender` keeps the channel open.
            None => std::future::pending().await,
        }
    }
}
