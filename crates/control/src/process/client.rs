//! Client for the owners of shards and for the other control processes, used by all services of a control process.

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

/// Time limit of a commit or of a synchronization; afterwards it fails as unavailable. Callers time out after a
/// second and retry at another process.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(750);
/// Delay before an operation is retried at the then current owner of the shard.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time limit of a periodic report to the owner of a shard.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The operation is not possible now, or its outcome is unknown. The caller should retry at another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// This process does not own the shard that a call addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NotOwner;

/// The result of a committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CommittedCommand {
    /// Index of the command in the shard's log.
    pub(crate) index: LogIndex,
    /// Encoded outcome, as the state machine returned it.
    pub(crate) outcome: Vec<u8>,
}

/// The result of one attempt to commit a command.
pub(super) enum ProposalResult {
    /// The command is committed.
    Committed(CommittedCommand),
    /// The process asked does not own the shard, or no owner is known.
    NotOwner,
    /// The outcome is unknown: the command may still be committed.
    Unknown,
}

/// The owner of a shard, as known to this process.
pub(super) enum ShardOwner {
    /// This process owns the shard.
    ThisProcess,
    /// The control process with this identity owns the shard.
    Peer(NodeIdentity),
}

/// Gives access to the replicated shards, independent of which control process owns them.
pub(crate) struct ControlClient {
    host: Rc<Host>,
    shards: Shards,
}

impl ControlClient {
    pub(super) fn new(host: Rc<Host>, shards: Shards) -> Rc<Self> {
        Rc::new(Self { host, shards })
    }

    /// Returns the replicated host.
    pub(super) fn host(&self) -> &Rc<Host> {
        &self.host
    }

    /// Returns the state of all shards, as applied at this process.
    pub(super) fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Returns the identity of this process.
    pub(super) fn identity(&self) -> NodeIdentity {
        self.host.identity()
    }

    /// Returns all control processes in the directory.
    pub(super) fn members(&self) -> Vec<ControlNode> {
        self.shards.with_configuration(|shard| shard.directory().nodes().to_vec())
    }

    /// Returns the identities of the other control processes in the directory.
    pub(super) fn peers(&self) -> Vec<NodeIdentity> {
        let own = self.identity();
        let identities = self.members().into_iter().map(|node| node.identity);
        identities.filter(|identity| *identity != own).collect()
    }

    /// Returns the owner of a shard; `None` if it is not known.
    pub(super) fn owner(&self, shard: Shard) -> Option<ShardOwner> {
        let owner = self.host.owner(shard)?;
        Some(if owner == self.identity() { ShardOwner::ThisProcess } else { ShardOwner::Peer(owner) })
    }

    /// Checks that this process owns a shard.
    ///
    /// # Errors
    /// [`NotOwner`] if it does not.
    pub(super) fn require_ownership(&self, shard: Shard) -> Result<(), NotOwner> {
        if self.host.is_owner(shard) { Ok(()) } else { Err(NotOwner) }
    }

    /// Returns whether this process owns a shard and is in contact with its quorum.
    pub(super) fn is_confirmed_owner(&self, shard: Shard) -> bool {
        self.host.is_owner(shard) && self.host.is_fresh(shard)
    }

    /// Calls another control process; returns `None` if it does not answer within `limit`.
    pub(super) async fn call(
        &self,
        identity: NodeIdentity,
        call: &ControlCall,
        limit: Duration,
    ) -> Option<ControlAnswer> {
        let answer = self.host.call(identity, encode(call).to_vec(), limit).await.ok()?;
        decode(&answer).ok()
    }

    /// Calls all other control processes and concurrently runs `local` as this process's part, and waits for all of
    /// them, but at most for `limit`.
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

    /// Commits a command through the owner of a shard.
    ///
    /// # Errors
    /// [`Unavailable`] if the commit is not confirmed in time. The command may still be committed later.
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
            // A call that was not answered may have been carried out; the retry is safe because every command is
            // idempotent.
            Some(ControlAnswer::NotOwner) | None => ProposalResult::NotOwner,
            Some(_) => ProposalResult::Unknown,
        }
    }

    /// Proposes a command to the local replica of a shard, which must be the owner.
    pub(super) async fn propose_here(&self, shard: Shard, command: Vec<u8>) -> ProposalResult {
        match self.host.propose(shard, command).await {
            Ok(Committed { index, reply }) => {
                ProposalResult::Committed(CommittedCommand { index, outcome: reply })
            }
            Err(ProposeError::NotOwner(_)) => ProposalResult::NotOwner,
            Err(_) => ProposalResult::Unknown,
        }
    }

    /// Commits a command through the owner of shard 0.
    ///
    /// # Errors
    /// As [`Self::commit`], or if the outcome can't be decoded.
    pub(crate) async fn commit_configuration(
        &self,
        command: &ConfigurationCommand,
    ) -> Result<ConfigurationOutcome, Unavailable> {
        let committed = self.commit(CONFIGURATION_SHARD, encode(command).to_vec()).await?;
        decode(&committed.outcome).map_err(|_| Unavailable)
    }

    /// Waits until this process has applied all entries of a shard that were committed before the call.
    ///
    /// # Errors
    /// [`Unavailable`] if no majority confirms the commit index in time.
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

    /// Returns the log index up to which a linearizable read of a shard must have applied, as confirmed by the
    /// shard's owner.
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

    /// Returns the log index up to which a linearizable read of a shard must have applied. This process must own the
    /// shard.
    ///
    /// # Errors
    /// [`Unavailable`] if no majority confirms that this process still owns the shard.
    pub(super) async fn read_index_here(&self, shard: Shard) -> Result<LogIndex, Unavailable> {
        self.host.read_index(shard).await.map_err(|_| Unavailable)?;
        Ok(log_index(self.shards.offset(shard)))
    }

    /// Waits until this process has applied a shard's log up to `index`, but at most for `limit`.
    pub(super) async fn wait_until_applied(&self, shard: Shard, index: LogIndex, limit: Duration) {
        let _ = timeout(limit, self.shards.wait_for(shard, index)).await;
    }
}
