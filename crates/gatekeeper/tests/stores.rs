//! Integration tests of leases and turns: two gatekeepers with three stores on loopback.

use bytes::Bytes;
use opalrun_gatekeeper::lease::{LeaseError, ProgramLeases, TurnBudget};
use opalrun_gatekeeper::turns::{ChainError, TurnMemory, Turns};
use opalrun_net::Listener;
use opalrun_storage::DataDirectory;
use opalrun_store::{StoreServer, serve, state::StoreLimits};
use opalrun_store_client::StoreClient;
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity},
    store::{StoreReply, StoreRequest, Turn},
};
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::{
    task::{JoinHandle, JoinSet, LocalSet},
    time::Instant,
};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 10 << 20, disk_bytes: 10 << 20 };
const STORES: u64 = 3;
const CACHE_BYTES: usize = 100_000;
const MEMORY_BYTES: usize = 1_000_000;
/// Time-out that no successful operation reaches.
const GENEROUS_TIMEOUT: Duration = Duration::from_secs(20);
const BUDGET: u64 = 1_000;
const MAX_UNITS: u64 = 100;
const USED: u64 = 60;

fn deadline() -> Instant {
    Instant::now() + GENEROUS_TIMEOUT
}

fn memory() -> TurnMemory {
    TurnMemory::new(MEMORY_BYTES, CACHE_BYTES)
}

/// A store served by a task until it is stopped.
struct Store {
    node: StoreNode,
    server: Rc<StoreServer>,
    task: JoinHandle<()>,
    _temporary_directory: TempDir,
}

impl Store {
    async fn start(identity: u64, limits: StoreLimits) -> Self {
        let temporary_directory = TempDir::new().unwrap();
        let directory = DataDirectory::open(temporary_directory.path()).unwrap();
        let server = StoreServer::open(&directory, NodeIdentity(identity), limits).unwrap();
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let node = StoreNode {
            identity: NodeIdentity(identity),
            node_name: format!("storage-{identity}"),
            address: listener.local_address().to_string(),
            zone: format!("zone-{identity}"),
            state: StoreState::Active,
        };
        // A separate task set, so that the store's connections end with it.
        let tasks = LocalSet::new();
        let shared_server = Rc::clone(&server);
        tasks.spawn_local(async move { serve(listener, shared_server).await });
        let task = tokio::task::spawn_local(tasks);
        Self { node, server, task, _temporary_directory: temporary_directory }
    }
}

/// Running stores that have received the store map.
struct Tier {
    stores: Vec<Store>,
    map: StoreMap,
}

impl Tier {
    async fn start() -> Self {
        Self::start_with(LIMITS).await
    }

    async fn start_with(limits: StoreLimits) -> Self {
        let mut stores = Vec::new();
        for identity in 1..=STORES {
            stores.push(Store::start(identity, limits).await);
        }
        let replicas =
            (1..=STORES).map(|store| Replica { store: NodeIdentity(store), is_complete: true }).collect();
        let partition = PartitionReplicas { replicas, sources: Vec::new() };
        let map = StoreMap {
            epoch: Epoch(1),
            stores: stores.iter().map(|store| store.node.clone()).collect(),
            partitions: vec![partition; usize::from(STORE_PARTITIONS)],
        };
        for store in &stores {
            store.server.set_map(Rc::new(map.clone()));
        }
        Self { stores, map }
    }

    /// Stops one store and closes its connections.
    async fn stop_one(&mut self) {
        let store = self.stores.pop().expect("a running store");
        store.task.abort();
        let outcome = store.task.await;
        assert!(outcome.is_err_and(|error| error.is_cancelled()));
    }

    fn client(&self, holder: u64) -> Rc<StoreClient> {
        let client = StoreClient::new(holder, "zone-1");
        client.set_map(self.map.clone());
        client
    }

    fn leases(&self, holder: u64) -> Rc<ProgramLeases<Rc<StoreClient>>> {
        Rc::new(ProgramLeases::new(self.client(holder), holder))
    }
}

/// Begins a turn and records its consumption; returns the number of units relayed.
async fn run_turn(leases: Rc<ProgramLeases<Rc<StoreClient>>>) -> Result<u64, LeaseError> {
    let lease = leases.begin("p", TurnBudget { budget: BUDGET, max_units: MAX_UNITS }).await?;
    lease.record_units(USED);
    Ok(USED)
}

fn turn(id: &str, ancestors: &[&str]) -> Turn {
    Turn {
        id: id.to_owned(),
        ancestors: ancestors.iter().map(|id| (*id).to_owned()).collect(),
        input: format!("in-{id};").into_bytes(),
        output: format!("out-{id}\n").into_bytes(),
        retention_ms: 60_000,
        worker: "i-1".to_owned(),
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn two_gatekeepers_share_a_budget_without_exceeding_it() {
    run(async {
        let tier = Tier::start().await;
        let (first, second) = (tier.leases(11), tier.leases(12));
        let mut relayed = 0;
        loop {
            let mut turns = JoinSet::new();
            turns.spawn_local(run_turn(Rc::clone(&first)));
            turns.spawn_local(run_turn(Rc::clone(&second)));
            let outcomes = turns.join_all().await;
            assert!(!outcomes.contains(&Err(LeaseError::Unavailable)), "the stores are available");
            relayed += outcomes.iter().flatten().sum::<u64>();
            assert!(relayed <= BUDGET);
            if outcomes.iter().all(Result::is_err) {
                break;
            }
        }
        // One more turn at its maximum would exceed the budget.
        assert!(relayed + MAX_UNITS > BUDGET, "{relayed} units were relayed");
    });
}

#[test]
fn lease_survives_loss_of_one_store_but_not_of_two() {
    run(async {
        let mut tier = Tier::start().await;
        let leases = tier.leases(11);
        tier.stop_one().await;
        assert_eq!(run_turn(Rc::clone(&leases)).await, Ok(USED));
        assert!(leases.drain(GENEROUS_TIMEOUT).await);
        tier.stop_one().await;
        assert_eq!(run_turn(Rc::clone(&leases)).await, Err(LeaseError::Unavailable));
    });
}

#[test]
fn process_with_turns_in_progress_ends_cleanly() {
    run(async {
        let tier = Tier::start().await;
        let leases = tier.leases(11);
        let (started_sender, started_receiver) = tokio::sync::oneshot::channel();
        tokio::task::spawn_local(async move {
            let _lease = leases.begin("p", TurnBudget { budget: BUDGET, max_units: MAX_UNITS }).await;
            started_sender.send(()).expect("the test waits for the start");
            std::future::pending::<()>().await;
        });
        started_receiver.await.expect("the turn begins");
    });
}

#[test]
fn drained_gatekeeper_returns_unused_units() {
    run(async {
        let tier = Tier::start().await;
        let (first, second) = (tier.leases(11), tier.leases(12));
        assert_eq!(run_turn(Rc::clone(&first)).await, Ok(USED));
        assert!(first.drain(GENEROUS_TIMEOUT).await);
        let remaining = TurnBudget { budget: BUDGET, max_units: BUDGET - USED };
        assert!(second.begin("p", remaining).await.is_ok());
    });
}

#[test]
fn turn_stored_by_one_gatekeeper_is_continued_at_another() {
    run(async {
        let tier = Tier::start().await;
        let (first, second) = (Turns::new(tier.client(11), memory()), Turns::new(tier.client(12), memory()));
        first.store(turn("a", &[])).await.unwrap();
        first.store(turn("b", &["a"])).await.unwrap();
        let chain = second.chain("b", deadline()).await.unwrap();
        assert_eq!(chain.body(&Bytes::from_static(b"new").into()).to_vec(), b"in-a;out-a\nin-b;out-b\nnew");
        assert_eq!(chain.ancestors(), ["a", "b"]);
        assert_eq!(second.chain("c", deadline()).await.err(), Some(ChainError::Unknown));
    });
}

/// Guards against a long conversation that cannot be continued once the gatekeeper with its turns in memory is gone: the
/// stores' replies, read at once, exceeded their send queues.
#[test]
fn a_long_conversation_is_read_by_a_gatekeeper_that_has_none_of_it() {
    run(async {
        const TURNS: usize = 12;
        const INPUT_BYTES: usize = 2_500_000;
        let tier = Tier::start_with(StoreLimits { memory_bytes: 80 << 20, disk_bytes: 80 << 20 }).await;
        let ids: Vec<String> = (0..TURNS).map(|number| format!("t{number}")).collect();
        for (number, id) in ids.iter().enumerate() {
            let ancestors: Vec<&str> = ids[..number].iter().map(String::as_str).collect();
            let long_turn = Turn { input: vec![number as u8; INPUT_BYTES], ..turn(id, &ancestors) };
            let request = StoreRequest::PutTurn { epoch: tier.map.epoch, turn: long_turn };
            for store in &tier.stores {
                let reply = store.server.serve(request.clone()).await;
                assert_eq!(reply, StoreReply::Stored { is_complete: true });
            }
        }
        let memory = TurnMemory::new(2 * TURNS * INPUT_BYTES, CACHE_BYTES);
        let turns = Turns::new(tier.client(12), memory);
        let chain = turns.chain(&ids[TURNS - 1], deadline()).await.expect("the complete chain");
        assert_eq!(chain.ancestors(), ids);
        let outputs: usize = ids.iter().map(|id| format!("out-{id}\n").len()).sum();
        assert_eq!(chain.body(&Bytes::new().into()).len(), TURNS * INPUT_BYTES + outputs);
    });
}

/// Guards against a conversation that one gatekeeper continues from its cache although the stores have lost its first
/// turns: every other gatekeeper answered it 503 for good.
#[test]
fn chain_that_only_a_cache_has_is_stored_again_with_the_next_turn() {
    run(async {
        let tier = Tier::start().await;
        let client = tier.client(11);
        let first = Turns::new(Rc::clone(&client), memory());
        // The retention of the first turn is so short that it has to be extended for the second one.
        first.store(Turn { retention_ms: 1, ..turn("a", &[]) }).await.unwrap();
        let mut empty = Tier::start().await;
        empty.map.epoch = tier.map.epoch.next();
        for store in &empty.stores {
            store.server.set_map(Rc::new(empty.map.clone()));
        }
        client.set_map(empty.map.clone());
        let second = Turns::new(empty.client(12), memory());
        assert_eq!(second.chain("a", deadline()).await.err(), Some(ChainError::Unknown));
        first.store(turn("b", &["a"])).await.unwrap();
        assert_eq!(second.chain("b", deadline()).await.unwrap().ancestors(), ["a", "b"]);
    });
}
