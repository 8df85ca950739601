//! How the parts of a control process reach the owners of shards and the other control processes.

use crate::{
    calls::{ControlAnswer, ControlCall},
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    host::{Committed, Host, ProposeError},
    shards::{Shards, log_index},
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, ControlNode},
    frame::{decode, encode},
    ids::{NodeIdentity, Shard},
};
use std::{future::Future, rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};

/// An operation that takes longer is answered as unavailable. Callers go to another process after a second.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(750);
/// Delay before an operation looks up the owner of a shard again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// How long a periodic report to the owner of a shard may take.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The operation is not possible now, or its outcome is unknown: the caller should retry at another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// This process does not own the shard that a call is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NotOwner;

/// A command that is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommittedCommand {
    /// Its index in the log of the shard.
    pub(crate) index: LogIndex,
    /// Its encoded outcome.
    pub(crate) outcome: Vec<u8>,
}

/// The result of one attempt to have a command committed.
pub(super) enum ProposalResult {
    /// It is committed.
    Committed(CommittedCommand),
    /// Another process owns the shard, or none that is known.
    NotOwner,
    /// It may be committed later.
    Unknown,
}

/// The owner of a shard, as far as this process knows.
pub(super) enum ShardOwner {
    /// This process itself.
    ThisProcess,
    /// The control process of this identity.
    Peer(NodeIdentity),
}

/// Access to the replicated shards, at whichever control process their owners are.
pub(crate) struct ControlClient {
    host: Rc<Host>,
    shards: Shards,
}

impl ControlClient {
    pub(super) fn new(host: Rc<Host>, shards: Shards) -> Rc<Self> {
        Rc::new(Self { host, shards })
    }

    /// The replicated host.
    pub(super) fn host(&self) -> &Rc<Host> {
        &self.host
    }

    /// The state of all shards, as far as this process has applied it.
    pub(super) fn shards(&self) -> &Shards {
        &self.shards
    }

    /// The identity of this process.
    pub(super) fn identity(&self) -> NodeIdentity {
        self.host.identity()
    }

    /// All control processes that are members.
    pub(super) fn members(&self) -> Vec<ControlNode> {
        self.shards.with_configuration(|shard| shard.directory().nodes().to_vec())
    }

    /// The identities of the other control processes that are members.
    pub(super) fn peers(&self) -> Vec<NodeIdentity> {
        let own = self.identity();
        let identities = self.members().into_iter().map(|node| node.identity);
        identities.filter(|identity| *identity != own).collect()
    }

    /// The owner of a shard; `None` where none is known.
    pub(super) fn owner(&self, shard: Shard) -> Option<ShardOwner> {
        let owner = self.host.owner(shard)?;
        Some(if owner == self.identity() { ShardOwner::ThisProcess } else { ShardOwner::Peer(owner) })
    }

    /// Succeeds where this process owns a shard.
    ///
    /// # Errors
    /// [`NotOwner`] where it does not.
    pub(super) fn require_ownership(&self, shard: Shard) -> Result<(), NotOwner> {
        if self.host.is_owner(shard) { Ok(()) } else { Err(NotOwner) }
    }

    /// Whether this process owns a shard and is in contact with its quorum.
    pub(super) fn is_confirmed_owner(&self, shard: Shard) -> bool {
        self.host.is_owner(shard) && self.host.is_fresh(shard)
    }

    /// Calls another control process; `None` where it does not answer in time.
    pub(super) async fn call(
        &self,
        identity: NodeIdentity,
        call: &ControlCall,
        limit: Duration,
    ) -> Option<ControlAnswer> {
        let answer = self.host.call(identity, encode(call).to_vec(), limit).await.ok()?;
        decode(&answer).ok()
    }

    /// Calls all other control processes while `local` does the same here, and waits for all of them, but not longer than
    /// `limit`.
    pub(super) async fn broadcast(
        self: &Rc<Self>,
        call: ControlCall,
        limit: Duration,
        local: impl Future<Output = ()> + 'static,
    ) {
        let mut tasks = JoinSet::new();
        for identity in self.peers() {
            let client = Rc::clone(self);
            let call = call.clone();
            tasks.spawn_local(async move {
                client.call(identity, &call, limit).await;
            });
        }
        tasks.spawn_local(local);
        let all = async { while tasks.join_next().await.is_some() {} };
        let _ = timeout(limit, all).await;
    }

    /// Has a command committed by the owner of a shard.
    ///
    /// # Errors
    /// Where that was not possible in time. The command may still be committed later.
    pub(crate) async fn commit(
        &self,
        shard: Shard,
        command: Vec<u8>,
    ) -> Result<CommittedCommand, Unavailable> {
        let deadline = Instant::now() + OPERATION_TIMEOUT;
        timeout_at(deadline, self.commit_until(shard, command, deadline)).await.unwrap_or(Err(Unavailable))
    }

    async fn commit_until(
        &self,
        shard: Shard,
        command: Vec<u8>,
        deadline: Instant,
    ) -> Result<CommittedCommand, Unavailable> {
        loop {
            match self.propose_to_owner(shard, &command, deadline).await {
                ProposalResult::Committed(committed) => return Ok(committed),
                ProposalResult::NotOwner => sleep(OWNER_RETRY_DELAY).await,
                ProposalResult::Unknown => return Err(Unavailable),
            }
        }
    }

    async fn propose_to_owner(&self, shard: Shard, command: &[u8], deadline: Instant) -> ProposalResult {
        if self.host.is_owner(shard) {
            return self.propose_here(shard, command.to_vec()).await;
        }
        let Some(owner) = self.host.owner(shard) else { return ProposalResult::NotOwner };
        let call = ControlCall::Propose { shard, command: command.to_vec() };
        let limit = deadline.saturating_duration_since(Instant::now());
        match self.call(owner, &call, limit).await {
            Some(ControlAnswer::Proposed { index, outcome }) => {
                ProposalResult::Committed(CommittedCommand { index, outcome })
            }
            // A call that was not answered may have been carried out. Every command is idempotent.
            Some(ControlAnswer::NotOwner) | None => ProposalResult::NotOwner,
            Some(_) => ProposalResult::Unknown,
        }
    }

    /// Proposes a command to a shard that this process owns.
    pub(super) async fn propose_here(&self, shard: Shard, command: Vec<u8>) -> ProposalResult {
        match self.host.propose(shard, command).await {
            Ok(Committed { index, reply }) => {
                ProposalResult::Committed(CommittedCommand { index, outcome: reply })
            }
            Err(ProposeError::NotOwner(_)) => ProposalResult::NotOwner,
            Err(_) => ProposalResult::Unknown,
        }
    }

    /// Has a command to shard 0 committed.
    ///
    /// # Errors
    /// As [`Self::commit`].
    pub(crate) async fn commit_configuration(
        &self,
        command: &ConfigurationCommand,
    ) -> Result<ConfigurationOutcome, Unavailable> {
        let committed = self.commit(CONFIGURATION_SHARD, encode(command).to_vec()).await?;
        decode(&committed.outcome).map_err(|_| Unavailable)
    }

    /// Waits until this process has applied everything of a shard that was committed before the call.
    ///
    /// # Errors
    /// Where no majority confirms that in time.
    pub(super) async fn synchronize(&self, shard: Shard) -> Result<(), Unavailable> {
        let deadline = Instant::now() + OPERATION_TIMEOUT;
        timeout_at(deadline, self.synchronize_until(shard, deadline)).await.unwrap_or(Err(Unavailable))
    }

    async fn synchronize_until(&self, shard: Shard, deadline: Instant) -> Result<(), Unavailable> {
        loop {
            let limit = deadline.saturating_duration_since(Instant::now());
            match self.read_index(shard, limit).await {
                Some(offset) => {
                    self.shards.wait_for(shard, offset).await;
                    return Ok(());
                }
                None => sleep(OWNER_RETRY_DELAY).await,
            }
        }
    }

    /// The offset that a read of a shard must have seen, as the owner of the shard confirms it.
    async fn read_index(&self, shard: Shard, limit: Duration) -> Option<LogIndex> {
        match self.owner(shard)? {
            ShardOwner::ThisProcess => self.read_index_here(shard).await.ok(),
            ShardOwner::Peer(owner) => match self.call(owner, &ControlCall::ReadIndex { shard }, limit).await
            {
                Some(ControlAnswer::Offset(offset)) => Some(offset),
                _ => None,
            },
        }
    }

    /// The offset that a read of a shard must have seen, where this process owns the shard.
    ///
    /// # Errors
    /// Where no majority confirms that this process still owns the shard.
    pub(super) async fn read_index_here(&self, shard: Shard) -> Result<LogIndex, Unavailable> {
        self.host.read_index(shard).await.map_err(|_| Unavailable)?;
        Ok(log_index(self.shards.offset(shard)))
    }

    /// Waits until this process has applied a shard up to `index`, but not longer than `limit`.
    pub(super) async fn wait_until_applied(&self, shard: Shard, index: LogIndex, limit: Duration) {
        let _ = timeout(limit, self.shards.wait_for(shard, index)).await;
    }
}
