//! Requests between control processes, apart from the replication of their shards.
#![expect(missing_docs, reason = "the derived resolvers have no docs; every item written here has")]

use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{ControlNode, WorkerFailures},
    ids::{Generation, NodeIdentity, Shard},
};
use rkyv::{Archive, Deserialize, Serialize};

/// A request to another control process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum ControlCall {
    /// To the owner of a shard: commit this command.
    Propose {
        /// The shard.
        shard: Shard,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// To the owner of a shard: the commit index that a linearizable read has to wait for (Raft dissertation, 6.4).
    ReadIndex {
        /// The shard.
        shard: Shard,
    },
    /// Answered once the state holds the command of an index.
    AwaitApplied {
        /// The shard.
        shard: Shard,
        /// The index.
        index: LogIndex,
        /// Milliseconds after which it is answered in any case.
        limit_ms: u64,
    },
    /// Answered once the gatekeepers that subscribe here have a configuration in force.
    AwaitGeneration {
        /// The generation.
        generation: Generation,
        /// Milliseconds after which it is answered in any case.
        limit_ms: u64,
    },
    /// To the owner of a shard of sessions: heartbeats of these workers arrived.
    RenewSessions {
        /// The shard.
        shard: Shard,
        /// The ids of the workers.
        ids: Vec<String>,
    },
    /// To the owner of shard 0: when these stores were last heard from.
    StoreContacts {
        /// The stores.
        contacts: Vec<StoreContact>,
    },
    /// To the owner of shard 0: how many gatekeepers subscribe here.
    Gatekeepers {
        /// The identity of the process that counted.
        from: NodeIdentity,
        /// How many.
        count: u32,
    },
    /// To the owner of shard 0: requests that failed at workers, by the gatekeepers that reported them. Answered by the
    /// suspects over the whole tier.
    WorkerFailures(Vec<GatekeeperReport>),
    /// To any member: this control process asks to join.
    Join(ControlNode),
    /// Which gatekeepers subscribe there.
    Subscribers,
    /// To the owner of a shard: who has a vote in its group, once the latest change of that is committed.
    Voters {
        /// The shard.
        shard: Shard,
    },
}

/// A store and how long ago it was heard from.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreContact {
    /// The identity of the store.
    pub identity: NodeIdentity,
    /// Milliseconds since it was heard from.
    pub age_ms: u64,
}

/// The failures at workers that one gatekeeper reported.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct GatekeeperReport {
    /// Distinguishes gatekeepers: a hash of the name of the machine.
    pub reporter: u64,
    /// The failures, by worker.
    pub failures: Vec<WorkerFailures>,
}

/// A gatekeeper that subscribes at a control process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct SubscribedGatekeeper {
    /// The name of its machine.
    pub node_name: String,
    /// The generation of the configuration in force there.
    pub generation: Generation,
}

/// The answer to a [`ControlCall`].
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The command is committed.
    Proposed {
        /// Its index.
        index: LogIndex,
        /// The encoded outcome.
        outcome: Vec<u8>,
    },
    /// The process does not own the shard; nothing was done.
    NotOwner,
    /// The process doesn't know, or can't do it now.
    Unavailable,
    /// The commit index that a linearizable read has to wait for.
    Offset(LogIndex),
    /// Gatekeepers over the whole tier.
    Gatekeepers(u32),
    /// Workers that are suspected.
    Suspects(Vec<String>),
    /// Done.
    Done,
    /// The gatekeepers that subscribe there.
    Subscribers(Vec<SubscribedGatekeeper>),
    /// Identities of voters.
    Voters(Vec<NodeIdentity>),
}
