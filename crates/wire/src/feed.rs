//! The change feed: how control publishes its state to gatekeepers and stores.
//!
//! Control state is divided into shards. A subscriber sends the offset up to which it has applied each shard, and receives
//! either the changes after that offset or a snapshot. Offsets are indexes of the shard's replicated log, so they have the
//! same meaning at every control process. Within one incarnation of a subscriber, offsets never decrease.

#![allow(
    missing_docs,
    reason = "the types that rkyv derives have undocumented fields; every type defined here is documented"
)]

use crate::ids::{Epoch, FeedOffset, Generation, NodeIdentity, Partition, Shard};
use rkyv::{Archive, Deserialize, Serialize};

/// The shard with the configuration, the list of control processes and the store map.
pub const CONFIGURATION_SHARD: Shard = Shard::CONFIGURATION;
/// Number of shards with the sessions of workers and gatekeepers. They are numbered from 1.
pub const SESSION_SHARDS: u16 = 3;

/// Returns the shard with the sessions of a service's workers.
#[must_use]
pub fn shard_of_service(service: &str) -> Shard {
    let hash = stable_hash(service.as_bytes());
    Shard(1 + (hash % u64::from(SESSION_SHARDS)) as u16)
}

/// Returns a hash that is the same in every process and version (FNV-1a with a final mixing step).
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// A control process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct ControlNode {
    /// Identity of the process, generated at the first start on an empty disk. A machine that lost its disk gets a new one.
    pub identity: NodeIdentity,
    /// Name of the machine.
    pub node_name: String,
    /// Address for other processes of the tier.
    pub peer_address: String,
    /// Address for workers and the operator.
    pub control_address: String,
    /// Zone of the machine.
    pub zone: String,
}

/// Whether a worker accepts new requests.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker accepts requests.
    Ready,
    /// The worker completes its current requests and must not be sent new ones.
    Draining,
}

/// The session of a worker.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Worker {
    /// Identifier of the worker, new at every start.
    pub id: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address on which the worker accepts requests.
    pub address: String,
    /// Zone of the worker.
    pub zone: String,
    /// Version of the worker's software.
    pub generation: String,
    /// Maximum number of requests that the worker processes concurrently.
    pub capacity: u32,
    /// Whether the worker accepts new requests.
    pub state: WorkerState,
    /// Milliseconds of slow start that remained at the worker's last heartbeat (`cold_remaining_ms`).
    pub warmup_remaining_ms: u64,
    /// Sequence number of the worker's last call; increases with each call.
    pub sequence: u64,
}

/// Whether a store machine holds replicas.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    /// The store holds replicas.
    Active,
    /// The replicas of the store are being moved to other stores.
    Retiring,
    /// The store holds no replicas any more.
    Retired,
}

/// A store process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoreNode {
    /// Identity of the process, generated at the first start on an empty disk. A machine that lost its disk gets a new one.
    pub identity: NodeIdentity,
    /// Name of the machine.
    pub node_name: String,
    /// Address for gatekeepers and other stores.
    pub address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the store holds replicas.
    pub state: StoreState,
}

/// One replica of a partition.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// Identity of the store with the replica.
    pub store: NodeIdentity,
    /// Whether the replica has all acknowledged data. An incomplete replica is still catching up: it accepts writes, but
    /// its replies do not count towards a quorum.
    pub is_complete: bool,
}

/// The replicas of one partition of the stores' data.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct PartitionReplicas {
    /// Current replicas of the partition.
    pub replicas: Vec<Replica>,
    /// Former replicas that still have the data, from which incomplete replicas can catch up.
    pub sources: Vec<NodeIdentity>,
}

impl PartitionReplicas {
    /// Returns the number of complete replicas that must reply for an operation to succeed.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.replicas.len() / 2 + 1
    }
}

/// The assignment of partitions to stores. Operations carry its epoch; a store rejects operations with an older epoch.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreMap {
    /// Epoch of the map; increases with each change.
    pub epoch: Epoch,
    /// All known stores, including every store that a partition refers to.
    pub stores: Vec<StoreNode>,
    /// Replicas of each partition, indexed by partition number; empty until the first map is formed.
    pub partitions: Vec<PartitionReplicas>,
}

/// Number of partitions of the stores' data.
pub const STORE_PARTITIONS: u16 = 32;

/// Returns the partition of a program's count or of a turn, from the program's name or the turn's id.
#[must_use]
pub fn partition_of(name: &str) -> Partition {
    Partition((stable_hash(name.as_bytes()) % u64::from(STORE_PARTITIONS)) as u16)
}

/// A change to the state of a shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Change {
    /// A new configuration is in force.
    Configuration {
        /// Generation of the configuration.
        generation: Generation,
        /// The JSON body, as the operator sent it.
        body: Vec<u8>,
    },
    /// The list of control processes has changed; this is the complete new list.
    ControlNodes(Vec<ControlNode>),
    /// The store map has changed.
    StoreMap(StoreMap),
    /// A worker has registered, or its session has changed.
    Worker(Worker),
    /// A worker's session has ended.
    WorkerGone {
        /// Service of the worker.
        service: String,
        /// Identifier of the worker.
        id: String,
    },
}

/// The offset up to which a subscriber has applied a shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The shard.
    pub shard: Shard,
    /// Offset of the last applied change.
    pub offset: FeedOffset,
}

/// A message from a subscriber: an agent, a store, or a proxy that subscribes to its local agent.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum FeedRequest {
    /// Starts a subscription to the listed shards. A shard at offset 0 starts with a snapshot.
    Subscribe {
        /// The subscribing process.
        subscriber: Subscriber,
        /// Applied offset of each requested shard.
        positions: Vec<Position>,
    },
    /// Keeps the subscription alive and reports the applied offsets; sent about twice a second.
    Heartbeat {
        /// Applied offset of each shard.
        positions: Vec<Position>,
        /// Generation of the configuration that the subscriber applies.
        generation: Generation,
    },
    /// From a gatekeeper: numbers of requests that failed at workers since its last report.
    WorkerFailures(Vec<WorkerFailures>),
    /// From a store: its replicas of the listed partitions are complete as of the given epoch.
    ReplicasComplete {
        /// Identity of the store.
        store: NodeIdentity,
        /// Epoch of the store map in which the replicas became complete.
        epoch: Epoch,
        /// Partitions whose replicas are complete.
        partitions: Vec<Partition>,
    },
    /// From a store that received SIGTERM: asks whether its replicas will be moved before it exits.
    ShutdownRequested {
        /// Identity of the store.
        store: NodeIdentity,
    },
}

/// The number of a gatekeeper's requests that failed at one worker.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct WorkerFailures {
    /// Identifier of the worker.
    pub worker: String,
    /// Number of failed requests since the last report.
    pub failures: u32,
}

/// The process that subscribes to the change feed.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Subscriber {
    /// The agent of a gatekeeper machine.
    Gatekeeper {
        /// Name of the machine.
        node_name: String,
        /// Random number generated at each start of the agent.
        incarnation: u64,
        /// Zone of the machine.
        zone: String,
    },
    /// A store.
    Store {
        /// The store; the receiver ignores its `state`.
        node: StoreNode,
        /// Whether the store has all of its data: its disk exists since the first start of the system, or it has caught up
        /// since.
        bootstrap: bool,
    },
    /// A proxy that subscribes to the agent of its machine.
    Proxy,
}

/// A message to a subscriber.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum FeedUpdate {
    /// The complete state of a shard. It replaces the subscriber's state of the shard.
    Snapshot {
        /// The shard.
        shard: Shard,
        /// Offset of the last change contained in the snapshot.
        offset: FeedOffset,
        /// The changes that build the state from an empty one.
        changes: Vec<Change>,
    },
    /// Changes that follow the last offset sent for the shard.
    Changes {
        /// The shard.
        shard: Shard,
        /// Offset of the last change in the message.
        offset: FeedOffset,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// Confirms that this control process is in contact with a majority of its group, so that the state it has sent is up
    /// to date. Sent a few times a second. A subscriber that stops receiving it connects to another control process.
    Fresh {
        /// Number of gatekeepers with a session in the whole tier.
        gatekeepers: u32,
    },
    /// Identifiers of workers at which requests of several gatekeepers failed recently. Each list replaces the previous
    /// one, so a lost message is harmless.
    Suspects(Vec<String>),
    /// This process can't serve the feed now; the subscriber should connect to another one.
    Unavailable,
    /// The reply to a store's [`FeedRequest::ShutdownRequested`].
    ShutdownDecision {
        /// Whether the store's replicas are being moved. If so, the store should serve until the store map no longer
        /// contains it; otherwise it may exit.
        is_moving: bool,
    },
}
