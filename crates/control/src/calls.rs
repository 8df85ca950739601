//! Remote calls between control processes, other than the replication messages of the shards.
#![expect(missing_docs, reason = "the derived resolvers have no docs; every item written here has")]

use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{ControlNode, WorkerFailures},
    ids::{Generation, NodeIdentity, Shard},
};
use rkyv::{Archive, Deserialize, Serialize};

/// A remote call to another control process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum ControlCall {
    /// Asks the owner of a shard to commit a command. Answered by [`ControlAnswer::Proposed`].
    Propose {
        /// Shard that the command changes.
        shard: Shard,
        /// Encoded command of that shard's state machine.
        command: Vec<u8>,
    },
    /// Asks the owner of a shard for the commit index that a linearizable read has to wait for (Raft dissertation,
    /// section 6.4). Answered by [`ControlAnswer::Offset`].
    ReadIndex {
        /// Shard to read.
        shard: Shard,
    },
    /// Waits until the receiver has applied a shard's log up to an index.
    AwaitApplied {
        /// Shard whose log is waited for.
        shard: Shard,
        /// Last log entry that has to be applied.
        index: LogIndex,
        /// Milliseconds after which the call is answered in any case.
        limit_ms: u64,
    },
    /// Waits until all gatekeepers that subscribe at the receiver have put a configuration in force.
    AwaitGeneration {
        /// Generation of the configuration.
        generation: Generation,
        /// Milliseconds after which the call is answered in any case.
        limit_ms: u64,
    },
    /// Reports to the owner of a session shard that heartbeats of these workers were received.
    RenewSessions {
        /// Shard that holds the sessions.
        shard: Shard,
        /// Ids of the workers.
        ids: Vec<String>,
    },
    /// Reports to the owner of shard 0 when stores last contacted the sender.
    StoreContacts {
        /// Last contact of each store.
        contacts: Vec<StoreContact>,
    },
    /// Reports to the owner of shard 0 how many gatekeepers subscribe at the sender. Answered by the total over all
    /// control processes, [`ControlAnswer::Gatekeepers`].
    Gatekeepers {
        /// Identity of the sender.
        from: NodeIdentity,
        /// Number of gatekeepers that subscribe at the sender.
        count: u32,
    },
    /// Reports to the owner of shard 0 the requests that failed at workers, by the gatekeeper that reported them.
    /// Answered by the workers that are suspected to have failed, [`ControlAnswer::Suspects`].
    WorkerFailures(Vec<GatekeeperReport>),
    /// Asks any member to admit this control process.
    Join(ControlNode),
    /// Asks which gatekeepers subscribe at the receiver.
    Subscribers,
    /// Asks the owner of a shard for the voters of its group. Answered by [`ControlAnswer::Voters`] once the latest
    /// membership change is committed, before that by [`ControlAnswer::NotOwner`].
    Voters {
        /// Shard whose group is meant.
        shard: Shard,
    },
}

/// The last contact of a store.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreContact {
    /// Identity of the store.
    pub identity: NodeIdentity,
    /// Milliseconds since its last message.
    pub age_ms: u64,
}

/// Failed requests at workers, as one gatekeeper reported them.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct GatekeeperReport {
    /// Identifies the gatekeeper: a hash of its machine's name.
    pub reporter: u64,
    /// Number of failed requests of each worker.
    pub failures: Vec<WorkerFailures>,
}

/// A gatekeeper that subscribes to the change feed of a control process.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct SubscribedGatekeeper {
    /// Name of its machine.
    pub node_name: String,
    /// Generation of the configuration in force at the gatekeeper.
    pub generation: Generation,
}

/// The answer to a [`ControlCall`].
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ControlAnswer {
    /// The proposed command is committed.
    Proposed {
        /// Index of the command in the shard's log.
        index: LogIndex,
        /// Encoded outcome, as the state machine returned it.
        outcome: Vec<u8>,
    },
    /// The process called does not own the shard and did nothing.
    NotOwner,
    /// The process called can't carry out the call now, or the outcome is unknown.
    Unavailable,
    /// Commit index that a linearizable read has to wait for.
    Offset(LogIndex),
    /// Number of gatekeepers in the whole tier.
    Gatekeepers(u32),
    /// Ids of the workers that are suspected to have failed.
    Suspects(Vec<String>),
    /// The call was carried out.
    Done,
    /// Gatekeepers that subscribe at the process called.
    Subscribers(Vec<SubscribedGatekeeper>),
    /// Identities of the group's voters.
    Voters(Vec<NodeIdentity>),
}
