//! Test fixture of three stores on loopback, with the store map that lists them.

use opalrun_net::Listener;
use opalrun_storage::DataDirectory;
use opalrun_store::{StoreServer, serve, state::StoreLimits};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity},
};
use std::rc::Rc;
use tempfile::TempDir;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 50 << 20, disk_bytes: 50 << 20 };

pub struct Stores {
    pub map: StoreMap,
    /// Data directories, which are deleted when the stores are dropped.
    directories: Vec<TempDir>,
    tasks: Vec<JoinHandle<()>>,
}

impl Stores {
    pub async fn start() -> Self {
        let mut stores = Self { map: StoreMap::default(), directories: Vec::new(), tasks: Vec::new() };
        let mut servers = Vec::new();
        for identity in 1..=3 {
            servers.push(stores.add(identity).await);
        }
        let replicas =
            (1..=3).map(|store| Replica { store: NodeIdentity(store), is_complete: true }).collect();
        let partition = PartitionReplicas { replicas, sources: Vec::new() };
        stores.map.partitions = vec![partition; usize::from(STORE_PARTITIONS)];
        stores.map.epoch = Epoch(1);
        for server in &servers {
            assert!(server.set_map(Rc::new(stores.map.clone())));
        }
        stores
    }

    async fn add(&mut self, identity: u64) -> Rc<StoreServer> {
        let temp_dir = TempDir::new().expect("a temporary directory");
        let directory = DataDirectory::open(temp_dir.path()).expect("a usable directory");
        let server = StoreServer::open(&directory, NodeIdentity(identity), LIMITS).expect("an empty log");
        let listener = Listener::bind("127.0.0.1:0".parse().expect("an address")).await.expect("a free port");
        self.map.stores.push(StoreNode {
            identity: NodeIdentity(identity),
            node_name: format!("store-{identity}"),
            address: listener.local_address().to_string(),
            zone: "here".to_owned(),
            state: StoreState::Active,
        });
        self.directories.push(temp_dir);
        let serving = serve(listener, server.clone());
        // A `LocalSet` per store, so that aborting the task also closes the store's connections.
        self.tasks.push(spawn_local(async move { LocalSet::new().run_until(serving).await }));
        server
    }

    /// Stops all stores except the first `count`.
    pub fn stop_all_but(&mut self, count: usize) {
        self.tasks.drain(count..).for_each(|task| task.abort());
    }
}
