//! The change feed: how control publishes its state to gatekeepers and stores.
//!
//! Control state is divided into shards. A subscriber names the offset it holds of each shard and gets either the
//! changes from there on or a snapshot. Offsets are indexes of the shard's replicated log, so they mean the same
//! at every control process. Within one incarnation of a subscriber offsets never decrease.

#![allow(
    missing_docs,
    reason = "the types that rkyv derives have undocumented fields; every type here is documented"
)]

use crate::ids::{Epoch, FeedOffset, Generation, NodeIdentity, Partition, Shard};
use rkyv::{Archive, Deserialize, Serialize};

/// The shard that holds the configuration, the control processes and the store map.
pub const CONFIGURATION_SHARD: Shard = Shard::CONFIGURATION;
/// Number of shards that hold the sessions of workers and gatekeepers, numbered from 1.
pub const SESSION_SHARDS: u16 = 3;

/// The shard that holds the sessions of a service's workers.
#[must_use]
pub fn shard_of_service(service: &str) -> Shard {
    let hash = stable_hash(service.as_bytes());
    Shard(1 + (hash % u64::from(SESSION_SHARDS)) as u16)
}

/// A hash that is the same in every process and version (FNV-1a with a final mix).
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
    /// Drawn at the first start on an empty disk; a machine that lost its disk is another node.
    pub identity: NodeIdentity,
    /// The machine's name.
    pub node_name: String,
    /// Where other processes of the tier reach it.
    pub peer_address: String,
    /// Where workers and the operator reach it.
    pub control_address: String,
    /// Its zone.
    pub zone: String,
}

/// Whether a worker takes new requests.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
}

/// A worker's session.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Worker {
    /// Its id, new at every start.
    pub id: String,
    /// The service it works for.
    pub service: String,
    /// Where it takes requests.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The generation of its software.
    pub generation: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it takes new requests.
    pub state: WorkerState,
    /// Milliseconds of slow start that remained when it reported so (`cold_remaining_ms` of its heartbeat).
    pub warmup_remaining_ms: u64,
    /// Rises with each of its calls.
    pub sequence: u64,
}

/// Whether a store machine takes part.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    /// It holds replicas.
    Active,
    /// Its replicas are being moved to other stores.
    Retiring,
    /// It holds no replicas any more.
    Retired,
}

/// A store process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoreNode {
    /// Drawn at the first start on an empty disk; a machine that lost its disk is another node.
    pub identity: NodeIdentity,
    /// The machine's name.
    pub node_name: String,
    /// Where gatekeepers and other stores reach it.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes part.
    pub state: StoreState,
}

/// One replica of a partition.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replica {
    /// The identity of its store.
    pub store: NodeIdentity,
    /// It holds everything that was acknowledged. An incomplete one is still catching up: it takes writes, but its
    /// answers count towards no quorum.
    pub is_complete: bool,
}

/// The replicas of one partition of the stores' data.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct PartitionReplicas {
    /// The replicas that hold it.
    pub replicas: Vec<Replica>,
    /// Former replicas that still have its data: sources for catching up while some replica is incomplete.
    pub sources: Vec<NodeIdentity>,
}

impl PartitionReplicas {
    /// Complete replicas whose answers an operation needs.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.replicas.len() / 2 + 1
    }
}

/// Which store holds which partitions. Operations carry the epoch; a store rejects those of an older one.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreMap {
    /// Rises with each change of the map.
    pub epoch: Epoch,
    /// All stores that the map or a partition names.
    pub stores: Vec<StoreNode>,
    /// By number; empty until the first map is formed.
    pub partitions: Vec<PartitionReplicas>,
}

/// Number of partitions of the stores' data.
pub const STORE_PARTITIONS: u16 = 32;

/// The partition of a program's count or of a turn, by its name.
#[must_use]
pub fn partition_of(name: &str) -> Partition {
    Partition((stable_hash(name.as_bytes()) % u64::from(STORE_PARTITIONS)) as u16)
}

/// One change of a shard's state.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration is in force: the operator's body as it was sent.
    Configuration {
        /// Its generation.
        generation: Generation,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// The control processes.
    ControlNodes(Vec<ControlNode>),
    /// The store map.
    StoreMap(StoreMap),
    /// A worker has registered or has changed.
    Worker(Worker),
    /// A worker's session has ended.
    WorkerGone {
        /// Its service.
        service: String,
        /// Its id.
        id: String,
    },
}

/// How far a subscriber knows a shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The shard.
    pub shard: Shard,
    /// The offset up to which its changes are known.
    pub offset: FeedOffset,
}

/// What a subscriber (an agent, a store, or a proxy at its agent) sends.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum FeedRequest {
    /// Begins, and asks for the shards named; a shard at offset 0 begins with a snapshot.
    Subscribe {
        /// Who asks.
        subscriber: Subscriber,
        /// What it holds.
        positions: Vec<Position>,
    },
    /// Sent about twice a second: keeps the subscription alive and reports the applied offsets.
    Heartbeat {
        /// What it holds now.
        positions: Vec<Position>,
        /// The generation of the configuration in force there.
        generation: Generation,
    },
    /// From a gatekeeper: requests that failed at workers since its last report.
    WorkerFailures(Vec<WorkerFailures>),
    /// From a store: the replicas of these partitions here are complete as of this epoch.
    ReplicasComplete {
        /// The store's identity.
        store: NodeIdentity,
        /// The epoch of the map in which it became so.
        epoch: Epoch,
        /// The partitions.
        partitions: Vec<Partition>,
    },
    /// From a store that received SIGTERM: asks whether its replicas are to be moved before it exits.
    ShutdownRequested {
        /// The store's identity.
        store: NodeIdentity,
    },
}

/// Requests of one gatekeeper that failed at one worker.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct WorkerFailures {
    /// The worker's id.
    pub worker: String,
    /// How many failed.
    pub failures: u32,
}

/// Who subscribes.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum Subscriber {
    /// The agent beside a gatekeeper.
    Gatekeeper {
        /// The machine's name.
        node_name: String,
        /// Drawn at each start of the agent.
        incarnation: u64,
        /// Its zone.
        zone: String,
    },
    /// A store.
    Store {
        /// Who it is; its `state` does not count.
        node: StoreNode,
        /// Its disk has been there since the first start of the system, or it has caught up since: no data was lost.
        bootstrap: bool,
    },
    /// A proxy, at the agent beside it.
    Proxy,
}

/// What a subscriber gets.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum FeedUpdate {
    /// The whole state of a shard, which replaces what was known of it.
    Snapshot {
        /// The shard.
        shard: Shard,
        /// The offset that it stands for.
        offset: FeedOffset,
        /// The state, as the changes that make it from nothing.
        changes: Vec<Change>,
    },
    /// Changes that follow what is known.
    Changes {
        /// The shard.
        shard: Shard,
        /// The offset after them.
        offset: FeedOffset,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// Sent a few times a second while this control process is in contact with a majority of its group: what it has
    /// sent is fresh. A subscriber that misses these connects to another control process.
    Fresh {
        /// Gatekeepers with a session, over the whole tier.
        gatekeepers: u32,
    },
    /// Workers at which requests of several gatekeepers failed recently. The list replaces the one before it; losing
    /// one does no harm.
    Suspects(Vec<String>),
    /// This process can't serve now; the subscriber connects to another one.
    Unavailable,
    /// To a store that asked to shut down.
    ShutdownDecision {
        /// Its replicas are being moved: it should serve until the map no longer names it. Otherwise it may exit.
        is_moving: bool,
    },
}
