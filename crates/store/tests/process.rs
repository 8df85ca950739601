//! Runs store processes over loopback, with a fake control process that serves the change feed.

use opalrun_net::{Connection, FrameWriter, Listener, RpcClient};
use opalrun_settings::Settings;
use opalrun_wire::{
    feed::{
        CONFIGURATION_SHARD, Change, FeedRequest, FeedUpdate, PartitionReplicas, Replica, STORE_PARTITIONS,
        StoreMap, StoreNode, Subscriber,
    },
    ids::{Epoch, FeedOffset, NodeIdentity, Partition},
    store::{StoreReply, StoreRequest, Turn},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    rc::Rc,
    sync::{
        atomic::{AtomicU16, Ordering},
        mpsc,
    },
    time::Duration,
};
use tempfile::TempDir;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task::JoinHandle,
};

/// Time-out of a test, and of each call in it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Period of the messages that tell stores that their state is up to date.
const FRESH_PERIOD: Duration = Duration::from_millis(100);
/// First port of the first test, below the ephemeral port range of the system.
const FIRST_PORT: u16 = 7200;
/// Number of ports of a machine: one for its process, and one for the feed.
const PORTS: u16 = 2;
/// Bits of a loopback address that distinguish the machines of one test process.
const MACHINE_BITS: u32 = 2;

/// Addresses of the machines of one test. The IP addresses are unique to this process and the ports to the test, so no
/// other process or test uses them.
struct Network {
    peer_port: u16,
}

/// Machine of the test network.
#[derive(Clone, Copy)]
enum Machine {
    Control,
    FirstStore,
    SecondStore,
}

impl Network {
    fn new() -> Self {
        static TESTS: AtomicU16 = AtomicU16::new(0);
        Self { peer_port: FIRST_PORT + PORTS * TESTS.fetch_add(1, Ordering::Relaxed) }
    }

    fn feed_port(&self) -> u16 {
        self.peer_port + 1
    }

    /// Returns the address of a machine: 127.0.0.0/8 is large enough for the id of each process and a few machines.
    fn ip(machine: Machine) -> Ipv4Addr {
        let number = (std::process::id() << MACHINE_BITS) + 1 + machine as u32;
        let [_, high, middle, low] = number.to_be_bytes();
        Ipv4Addr::new(127, high, middle, low)
    }
}

/// Guard that pauses tokio's clock, so that no time-out expires however late the test is scheduled. The clock resumes by
/// itself after [`TEST_TIMEOUT`], so that a test that never gets its reply fails.
struct StoppedClock {
    _resume: mpsc::Sender<()>,
}

impl StoppedClock {
    fn stop() -> Self {
        tokio::time::pause();
        let (resume, resumed) = mpsc::channel::<()>();
        // A paused clock does not advance while a blocking task runs.
        tokio::task::spawn_blocking(move || resumed.recv_timeout(TEST_TIMEOUT));
        Self { _resume: resume }
    }
}

impl Drop for StoppedClock {
    fn drop(&mut self) {
        tokio::time::resume();
    }
}

/// Fake control process, with the interface that stores use: it sends each subscriber the newest map, and confirms at
/// short intervals that it is up to date.
struct Control {
    network: Network,
    feed: Rc<Feed>,
    subscriptions: UnboundedReceiver<Subscription>,
    reports: UnboundedReceiver<CompletionReport>,
}

/// Subscription of a store to the change feed.
struct Subscription {
    node: StoreNode,
    bootstrap: bool,
}

/// Report of a store that its replicas of some partitions are complete.
struct CompletionReport {
    store: NodeIdentity,
    epoch: Epoch,
    partitions: Vec<Partition>,
}

/// Change feed, shared by the test and the tasks that serve its connections.
struct Feed {
    map: RefCell<Option<StoreMap>>,
    /// Feed offset of the newest map.
    offset: Cell<u64>,
    writers: RefCell<Vec<FrameWriter>>,
    subscriptions: UnboundedSender<Subscription>,
    reports: UnboundedSender<CompletionReport>,
}

impl Feed {
    async fn serve(self: Rc<Self>, listener: Listener) {
        while let Ok(connection) = listener.accept().await {
            tokio::task::spawn_local(self.clone().serve_store(connection));
        }
    }

    async fn serve_store(self: Rc<Self>, connection: Connection) {
        let (mut reader, writer) = connection.split();
        while let Ok(Some(request)) = reader.next().await {
            match request {
                FeedRequest::Subscribe { subscriber: Subscriber::Store { node, bootstrap }, positions } => {
                    assert!(positions.iter().all(|position| position.shard == CONFIGURATION_SHARD));
                    self.send_map(&writer);
                    self.writers.borrow_mut().push(writer.clone());
                    let _ = self.subscriptions.send(Subscription { node, bootstrap });
                }
                FeedRequest::ReplicasComplete { store, epoch, partitions } => {
                    let _ = self.reports.send(CompletionReport { store, epoch, partitions });
                }
                _ => {}
            }
        }
    }

    fn send_map(&self, writer: &FrameWriter) {
        if let Some(map) = self.map.borrow().clone() {
            let changes = vec![Change::StoreMap(map)];
            let update = FeedUpdate::Snapshot {
                shard: CONFIGURATION_SHARD,
                offset: FeedOffset(self.offset.get()),
                changes,
            };
            let _ = writer.send(&update);
        }
        let _ = writer.send(&FeedUpdate::Fresh { gatekeepers: 1 });
    }

    /// Confirms to all subscribers, every [`FRESH_PERIOD`], that their state is up to date.
    async fn send_fresh_periodically(self: Rc<Self>) {
        loop {
            for writer in self.writers.borrow().iter() {
                let _ = writer.send(&FeedUpdate::Fresh { gatekeepers: 1 });
            }
            tokio::time::sleep(FRESH_PERIOD).await;
        }
    }
}

impl Control {
    async fn start() -> Self {
        let network = Network::new();
        let address = SocketAddr::from((Network::ip(Machine::Control), network.feed_port()));
        let (subscription_sender, subscriptions) = unbounded_channel();
        let (report_sender, reports) = unbounded_channel();
        let feed = Rc::new(Feed {
            map: RefCell::default(),
            offset: Cell::new(0),
            writers: RefCell::default(),
            subscriptions: subscription_sender,
            reports: report_sender,
        });
        tokio::task::spawn_local(feed.clone().serve(Listener::bind(address).await.unwrap()));
        tokio::task::spawn_local(feed.clone().send_fresh_periodically());
        Self { network, feed, subscriptions, reports }
    }

    /// Returns the settings of a store on a machine of the network.
    fn settings(&self, machine: Machine, data_dir: &Path, bootstrap: bool) -> Settings {
        let text = include_str!("process.toml")
            .replace("STORE_IP", &Network::ip(machine).to_string())
            .replace("PEER_PORT", &self.network.peer_port.to_string())
            .replace("LAST_PORT", &self.network.feed_port().to_string())
            .replace("CONTROL_IP", &Network::ip(Machine::Control).to_string())
            .replace("DATA_DIR", data_dir.to_str().unwrap())
            .replace("BOOTSTRAP", &bootstrap.to_string());
        Settings::parse(&text, Path::new("process.toml")).unwrap()
    }

    /// Waits for the next subscription of a store. A store that lost its connection subscribes again.
    async fn subscribed(&mut self) -> Subscription {
        self.subscriptions.recv().await.unwrap()
    }

    /// Waits for a subscription of a store other than `known`.
    async fn subscribed_other(&mut self, known: &StoreNode) -> Subscription {
        loop {
            let subscription = self.subscribed().await;
            if subscription.node.identity != known.identity {
                return subscription;
            }
        }
    }

    /// Discards the subscriptions received so far.
    fn discard_subscriptions(&mut self) {
        while self.subscriptions.try_recv().is_ok() {}
    }

    /// Publishes a map to all subscribers, and to stores that subscribe later.
    fn publish(&self, map: StoreMap) {
        self.feed.offset.set(self.feed.offset.get() + 1);
        self.feed.map.replace(Some(map));
        for writer in self.feed.writers.borrow().iter() {
            self.feed.send_map(writer);
        }
    }

    /// Waits until a store has reported `count` partitions as complete; returns the epochs of the reports.
    async fn reported_complete(&mut self, store: NodeIdentity, count: usize) -> Vec<Epoch> {
        let (mut complete, mut epochs) = (BTreeSet::new(), Vec::new());
        while complete.len() < count {
            let report = self.reports.recv().await.unwrap();
            assert_eq!(report.store, store);
            epochs.push(report.epoch);
            complete.extend(report.partitions);
        }
        epochs
    }
}

fn map(epoch: u64, stores: &[StoreNode], replicas: &[(NodeIdentity, bool)]) -> StoreMap {
    let replicas =
        replicas.iter().map(|(store, complete)| Replica { store: *store, is_complete: *complete }).collect();
    let partition = PartitionReplicas { replicas, sources: Vec::new() };
    StoreMap {
        epoch: Epoch(epoch),
        stores: stores.to_vec(),
        partitions: vec![partition; usize::from(STORE_PARTITIONS)],
    }
}

fn turn() -> Turn {
    Turn {
        id: "t".to_owned(),
        ancestors: Vec::new(),
        input: vec![1],
        output: vec![2],
        retention_ms: 60_000,
        worker: String::new(),
    }
}

fn start(settings: Settings) -> JoinHandle<()> {
    tokio::task::spawn_local(async move { opalrun_store::run(settings).await.unwrap() })
}

async fn call(store: &StoreNode, request: StoreRequest) -> StoreReply {
    let client: Rc<RpcClient<StoreRequest, StoreReply>> =
        RpcClient::new("store", store.address.parse().unwrap());
    client.call(&request, TEST_TIMEOUT).await.unwrap()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test timed out");
    });
}

#[test]
fn a_new_store_subscribes_receives_the_map_and_catches_up() {
    run(async {
        let data_dirs = [TempDir::new().unwrap(), TempDir::new().unwrap()];
        let mut control = Control::start().await;
        start(control.settings(Machine::FirstStore, data_dirs[0].path(), true));
        let Subscription { node: first, bootstrap } = control.subscribed().await;
        assert!(bootstrap);
        assert_eq!((first.node_name.as_str(), first.zone.as_str()), ("storage-1", "zone-1"));
        control.publish(map(1, std::slice::from_ref(&first), &[(first.identity, true)]));
        let put = StoreRequest::PutTurn { epoch: Epoch(1), turn: turn() };
        // The request may reach the store before the map, and then waits for the map.
        let clock = StoppedClock::stop();
        assert_eq!(call(&first, put).await, StoreReply::Stored { is_complete: true });
        drop(clock);

        // When a second store starts on an empty disk, it catches up on all partitions.
        start(control.settings(Machine::SecondStore, data_dirs[1].path(), false));
        let Subscription { node: second, bootstrap } = control.subscribed_other(&first).await;
        assert!(!bootstrap);
        let stores = [first.clone(), second.clone()];
        let replicas = [(first.identity, true), (second.identity, false)];
        control.publish(map(2, &stores, &replicas));
        let epochs = control.reported_complete(second.identity, usize::from(STORE_PARTITIONS)).await;
        assert!(epochs.iter().all(|epoch| *epoch == Epoch(2)));
        let get = StoreRequest::GetTurn { epoch: Epoch(2), id: "t".to_owned() };
        let StoreReply::Turn { is_complete, turn: found, .. } = call(&second, get).await else { panic!() };
        assert_eq!((is_complete, found), (false, Some(turn())));
    });
}

#[test]
fn a_store_keeps_its_identity_across_a_restart() {
    run(async {
        let data_dir = TempDir::new().unwrap();
        let mut control = Control::start().await;
        let first = start(control.settings(Machine::FirstStore, data_dir.path(), true));
        let before = control.subscribed().await;
        first.abort();
        assert!(first.await.unwrap_err().is_cancelled());
        control.discard_subscriptions();
        start(control.settings(Machine::FirstStore, data_dir.path(), false));
        let after = control.subscribed().await;
        assert_eq!((after.node, after.bootstrap), (before.node, true));
    });
}

#[test]
fn a_request_from_a_newer_epoch_waits_for_the_map() {
    run(async {
        let data_dir = TempDir::new().unwrap();
        let mut control = Control::start().await;
        start(control.settings(Machine::FirstStore, data_dir.path(), true));
        let node = control.subscribed().await.node;
        let map = |epoch| map(epoch, std::slice::from_ref(&node), &[(node.identity, true)]);
        let put = |epoch| StoreRequest::PutTurn { epoch, turn: turn() };
        // With the clock paused, a request waits for the map without a time-out.
        let clock = StoppedClock::stop();
        for epoch in 1..=2 {
            let waiting = call(&node, put(Epoch(epoch)));
            let (reply, ()) = tokio::join!(waiting, async { control.publish(map(epoch)) });
            assert_eq!(reply, StoreReply::Stored { is_complete: true });
        }
        drop(clock);
        assert_eq!(
            call(&node, put(Epoch(3))).await,
            StoreReply::StaleEpoch { epoch: Epoch(2) },
            "a request is rejected if the map does not arrive in time"
        );
    });
}

#[test]
fn a_store_without_a_data_directory_fails_to_start() {
    run(async {
        let data_dir = TempDir::new().unwrap();
        let control = Control::start().await;
        let mut settings = control.settings(Machine::FirstStore, data_dir.path(), true);
        settings.data_dir = None;
        let error = opalrun_store::run(settings).await.unwrap_err();
        assert!(error.to_string().contains("data_dir"), "{error}");
    });
}
