//! Test stores on loopback, and a fake control whose store map the tests change.

use opalrun_net::{Listener, RpcClient};
use opalrun_storage::DataDirectory;
use opalrun_store::{
    JournalStatus, StoreServer, serve,
    state::StoreLimits,
    transfer::{CompletedTransfer, Replicator},
};
use opalrun_store_client::StoreClient;
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity},
    store::{StoreReply, StoreRequest, Turn},
};
use std::{net::SocketAddr, rc::Rc, sync::Arc, thread::JoinHandle, time::Duration};
use tempfile::TempDir;
use tokio::sync::{mpsc, oneshot, watch};

/// Time-out of operations that are expected to succeed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time-out of operations that are expected to fail.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Requested retention of the turns that [`turn`] creates, in milliseconds.
pub const RETENTION_MS: u64 = 60_000;

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 100 << 20, disk_bytes: 100 << 20 };

/// A store with its data directory, on a thread of its own. Dropping it closes its connections, as the end of its process
/// would.
pub struct TestStore {
    pub identity: NodeIdentity,
    pub address: SocketAddr,
    data_dir: Arc<TempDir>,
    maps: mpsc::UnboundedSender<StoreMap>,
    completed: watch::Receiver<Vec<CompletedTransfer>>,
    thread: Option<JoinHandle<()>>,
}

/// Starts three stores that are complete replicas of all partitions, and a gatekeeper's client, and publishes a map to all
/// of them.
pub async fn three_stores() -> ([TestStore; 3], Control, Rc<StoreClient>) {
    let stores = [
        TestStore::start(NodeIdentity(1)).await,
        TestStore::start(NodeIdentity(2)).await,
        TestStore::start(NodeIdentity(3)).await,
    ];
    let control = Control::new(&stores.each_ref());
    let client = StoreClient::new(11, "zone-1");
    control.publish_to_all(&stores.each_ref(), &[&client]);
    (stores, control, client)
}

impl TestStore {
    /// Starts a store on an empty data directory.
    pub async fn start(identity: NodeIdentity) -> Self {
        Self::start_on(identity, Arc::new(TempDir::new().unwrap()), "127.0.0.1:0".parse().unwrap()).await
    }

    async fn start_on(identity: NodeIdentity, data_dir: Arc<TempDir>, address: SocketAddr) -> Self {
        let (maps, map_receiver) = mpsc::unbounded_channel();
        let (completed_sender, completed) = watch::channel(Vec::new());
        let (ready_sender, ready) = oneshot::channel();
        let directory = DataDirectory::open(data_dir.path()).unwrap();
        let thread = std::thread::spawn(move || {
            run_thread(async move {
                let server = StoreServer::open(&directory, identity, LIMITS).unwrap();
                let closed = server.journal().watch();
                let listener = Listener::bind(address).await.unwrap();
                ready_sender.send(listener.local_address()).unwrap();
                run_store(server, listener, map_receiver, completed_sender).await;
                closed
            });
        });
        let address = ready.await.unwrap();
        Self { identity, address, data_dir, maps, completed, thread: Some(thread) }
    }

    /// Stops the store and starts it again on the same data directory and address.
    pub async fn restart(self) -> Self {
        let (identity, data_dir, address) = (self.identity, self.data_dir.clone(), self.address);
        drop(self);
        Self::start_on(identity, data_dir, address).await
    }

    pub fn set_map(&self, map: &StoreMap) {
        self.maps.send(map.clone()).unwrap();
    }

    /// Sends a request to this store alone, without a client that writes to all replicas.
    pub async fn call(&self, request: &StoreRequest) -> StoreReply {
        let connection: Rc<RpcClient<StoreRequest, StoreReply>> = RpcClient::new("store", self.address);
        connection.call(request, TEST_TIMEOUT).await.unwrap()
    }

    /// Returns for how long this store retains a turn from now on; `None` if it does not have the turn.
    pub async fn remaining_retention(&self, epoch: Epoch, id: &str) -> Option<Duration> {
        match self.call(&StoreRequest::GetTurn { epoch, id: id.to_owned() }).await {
            StoreReply::Turn { turn, left_ms, .. } => turn.map(|_| Duration::from_millis(left_ms)),
            other => panic!("no reply to a read of a turn: {other:?}"),
        }
    }

    /// Returns the completed transfers to this store.
    pub fn completed(&self) -> Vec<CompletedTransfer> {
        self.completed.borrow().clone()
    }

    /// Waits until the transfers of all partitions that began in `epoch` or a later one are complete; returns them.
    pub async fn wait_completed(&self, epoch: Epoch) -> Vec<CompletedTransfer> {
        let mut completed = self.completed.clone();
        let is_all = |completed: &Vec<CompletedTransfer>| {
            completed.len() == usize::from(STORE_PARTITIONS)
                && completed.iter().all(|transfer| transfer.epoch >= epoch)
        };
        let transfers = tokio::time::timeout(TEST_TIMEOUT, completed.wait_for(is_all))
            .await
            .expect("the transfers timed out")
            .unwrap();
        transfers.clone()
    }
}

impl Drop for TestStore {
    fn drop(&mut self) {
        self.maps = mpsc::unbounded_channel().0;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs a store until the sender of its maps is dropped.
async fn run_store(
    server: Rc<StoreServer>,
    listener: Listener,
    mut maps: mpsc::UnboundedReceiver<StoreMap>,
    completed_sender: watch::Sender<Vec<CompletedTransfer>>,
) {
    let replicator = Replicator::new(server.clone());
    let mut completed = replicator.completed();
    let apply_maps = async {
        while let Some(map) = maps.recv().await {
            server.set_map(Rc::new(map));
        }
    };
    let publish_completed = async {
        loop {
            completed.changed().await.unwrap();
            completed_sender.send_replace(completed.borrow_and_update().clone());
        }
    };
    tokio::select! {
        () = apply_maps => {}
        () = publish_completed => {}
        () = serve(listener, server.clone()) => {}
        () = replicator.run() => {}
    }
}

/// Runs a store on this thread and then waits until its log is closed.
fn run_thread(store: impl Future<Output = watch::Receiver<JournalStatus>>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let mut closed = local.block_on(&runtime, store);
    drop(local);
    runtime.block_on(async { while closed.changed().await.is_ok() {} });
}

/// Fake control.
pub struct Control {
    /// Newest store map.
    pub map: StoreMap,
}

impl Control {
    /// Creates a map with these stores as complete replicas of all partitions.
    pub fn new(stores: &[&TestStore]) -> Self {
        let mut control = Self { map: StoreMap::default() };
        for store in stores {
            control.add_store(store);
        }
        let replicas: Vec<Replica> =
            stores.iter().map(|store| Replica { store: store.identity, is_complete: true }).collect();
        control.change(|partition| partition.replicas.clone_from(&replicas));
        control
    }

    pub fn add_store(&mut self, store: &TestStore) {
        self.map.stores.retain(|node| node.identity != store.identity);
        self.map.stores.push(StoreNode {
            identity: store.identity,
            node_name: format!("storage-{}", store.identity),
            address: store.address.to_string(),
            zone: format!("zone-{}", store.identity),
            state: StoreState::Active,
        });
    }

    /// Changes the placement of all partitions, in a new epoch.
    pub fn change(&mut self, change: impl Fn(&mut PartitionReplicas)) {
        self.map.epoch = self.map.epoch.next();
        self.map.partitions.resize_with(usize::from(STORE_PARTITIONS), PartitionReplicas::default);
        self.map.partitions.iter_mut().for_each(change);
    }

    /// Replaces the store `old` by an incomplete replica in all partitions. `old` becomes a source if `old_is_source`, which
    /// requires that it still has its disk.
    pub fn replace(&mut self, old: NodeIdentity, new: &TestStore, old_is_source: bool) {
        self.add_store(new);
        let new = new.identity;
        self.change(|partition| {
            for replica in &mut partition.replicas {
                if replica.store == old {
                    *replica = Replica { store: new, is_complete: false };
                }
            }
            partition.sources.retain(|source| *source != old);
            if old_is_source {
                partition.sources.push(old);
            }
        });
    }

    /// Marks all replicas of a store as complete.
    pub fn mark_complete(&mut self, store: NodeIdentity) {
        self.change(|partition| {
            partition
                .replicas
                .iter_mut()
                .filter(|replica| replica.store == store)
                .for_each(|replica| replica.is_complete = true);
            if partition.replicas.iter().all(|replica| replica.is_complete) {
                partition.sources.clear();
            }
        });
    }

    pub fn publish(&self, store: &TestStore) {
        store.set_map(&self.map);
    }

    pub fn publish_to_all(&self, stores: &[&TestStore], clients: &[&Rc<StoreClient>]) {
        for store in stores {
            self.publish(store);
        }
        for client in clients {
            client.set_map(self.map.clone());
        }
    }
}

pub fn turn(id: &str) -> Turn {
    turn_after(id, &[])
}

/// Returns a turn that continues the conversation with these earlier turns, oldest first.
pub fn turn_after(id: &str, ancestors: &[&str]) -> Turn {
    Turn {
        id: id.to_owned(),
        ancestors: ancestors.iter().map(|id| (*id).to_owned()).collect(),
        input: format!("input of {id}").into_bytes(),
        output: format!("output of {id}\n").into_bytes(),
        retention_ms: RETENTION_MS,
        worker: "i-1".to_owned(),
    }
}

/// Runs a test on a single-threaded runtime, as the processes use.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, test);
}
