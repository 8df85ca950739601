//! Sessions of workers: heartbeats, removal, renewal at the owner of the session's shard, and expiration.

use super::{
    answer_deadline::AnswerDeadline,
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner, Unavailable},
    clock::MonotonicClock,
    heartbeat_target::heartbeat_target,
    quorum_contact::QuorumContact,
};
use crate::{
    calls::{ControlAnswer, ControlCall},
    sessions::{ExpiredSession, SessionCommand, heartbeat_monitor::HeartbeatMonitor, is_ready},
    shards::{all_shards, session_shards},
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{Worker, shard_of_service},
    frame::encode,
    ids::Shard,
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    mem,
    rc::Rc,
    time::Duration,
};
use tokio::task::JoinSet;

/// Maximum time for which the acknowledgement of a session's change waits for the other control processes to apply
/// it.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(300);
/// Maximum time without contact with the shard's quorum during which a process still acknowledges heartbeats that
/// change nothing.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(1500);

/// Handles heartbeats and, for the shards that this process owns, expires sessions. The HTTP server, remote calls and
/// the background tasks share it, all on one thread.
pub(crate) struct WorkerSessions {
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    clock: MonotonicClock,
    /// Ids of workers whose heartbeats were received here and not yet reported to the shard's owner, by shard.
    pending_renewals: RefCell<BTreeMap<Shard, BTreeSet<String>>>,
    /// Times of the last heartbeats of the workers, indexed by shard; used while this process owns the shard.
    heartbeat_monitors: RefCell<Vec<HeartbeatMonitor>>,
}

impl WorkerSessions {
    /// Creates the service for workers that send a heartbeat at the interval `heartbeat`.
    pub(super) fn new(
        client: Rc<ControlClient>,
        quorum_contact: Rc<QuorumContact>,
        clock: MonotonicClock,
        heartbeat: Duration,
    ) -> Rc<Self> {
        let heartbeat_monitors = all_shards().map(|_| HeartbeatMonitor::new(heartbeat)).collect();
        Rc::new(Self {
            client,
            quorum_contact,
            clock,
            pending_renewals: RefCell::default(),
            heartbeat_monitors: RefCell::new(heartbeat_monitors),
        })
    }

    /// Handles a worker's heartbeat. Returns the address of another control process if the worker should send its
    /// further heartbeats there. Only a heartbeat that changes the session is redirected, so that a worker whose
    /// requests fail at the other process is not sent back to it.
    ///
    /// # Errors
    /// [`Unavailable`] if a change is not committed in time, or this process has been out of contact with the quorum
    /// for too long.
    pub(crate) async fn heartbeat(&self, worker: Worker) -> Result<Option<String>, Unavailable> {
        let deadline = AnswerDeadline::of_new_call();
        let shard = shard_of_service(&worker.service);
        let is_unchanged =
            self.client.shards().with_sessions(shard, |sessions| sessions.is_redundant(&worker));
        if is_unchanged == Some(true) {
            self.renew_unchanged(shard, &worker.id)?;
            return Ok(None);
        }
        let (id, stays) = (worker.id.clone(), is_ready(&worker));
        let command = SessionCommand::Put(worker);
        let committed = self.client.commit(shard, encode(&command).to_vec()).await?;
        self.record_renewal(shard, &id);
        propagate(&self.client, shard, committed.index, deadline).await;
        Ok(if stays { self.other_heartbeat_target(&id) } else { None })
    }

    fn renew_unchanged(&self, shard: Shard, id: &str) -> Result<(), Unavailable> {
        if !self.quorum_contact.is_recent(shard, MAX_CONTACT_GAP) {
            return Err(Unavailable);
        }
        self.record_renewal(shard, id);
        Ok(())
    }

    /// Returns the address to which a worker should send its heartbeats, if that is not this process.
    fn other_heartbeat_target(&self, worker_id: &str) -> Option<String> {
        let members = self.client.members();
        let host = self.client.host();
        let target = heartbeat_target(worker_id, &members, |identity| host.since_last_contact(identity))?;
        (target.identity != self.client.identity()).then(|| target.control_address.clone())
    }

    /// Removes the session of a worker that has deregistered.
    ///
    /// # Errors
    /// [`Unavailable`] if the removal is not committed in time.
    pub(crate) async fn remove(&self, id: &str) -> Result<(), Unavailable> {
        let deadline = AnswerDeadline::of_new_call();
        let mut tasks = JoinSet::new();
        for shard in self.shards_to_remove_from(id) {
            let client = Rc::clone(&self.client);
            let command = encode(&SessionCommand::Remove { id: id.to_owned() }).to_vec();
            tasks.spawn_local(async move {
                let committed = client.commit(shard, command).await?;
                propagate(&client, shard, committed.index, deadline).await;
                Ok(())
            });
        }
        let results: Vec<Result<(), Unavailable>> = tasks.join_all().await;
        results.into_iter().collect()
    }

    /// Returns the shards that hold a session of a worker, or all session shards if none is known to.
    fn shards_to_remove_from(&self, id: &str) -> Vec<Shard> {
        let knows_worker = |shard: &Shard| {
            let shards = self.client.shards();
            shards.with_sessions(*shard, |sessions| sessions.workers().contains_key(id)) == Some(true)
        };
        let known: Vec<Shard> = session_shards().filter(knows_worker).collect();
        if known.is_empty() { session_shards().collect() } else { known }
    }

    fn record_renewal(&self, shard: Shard, id: &str) {
        if self.client.is_confirmed_owner(shard) {
            self.heartbeat_monitors.borrow_mut()[shard.position()].record_heartbeat(id, self.clock.now());
            return;
        }
        self.pending_renewals.borrow_mut().entry(shard).or_default().insert(id.to_owned());
    }

    /// Renews sessions of a shard. Called at the shard's owner.
    ///
    /// # Errors
    /// [`NotOwner`] if this process does not own the shard.
    pub(super) fn renew<'a>(
        &self,
        shard: Shard,
        ids: impl IntoIterator<Item = &'a String>,
    ) -> Result<(), NotOwner> {
        self.client.require_ownership(shard)?;
        let now = self.clock.now();
        if let Some(monitor) = self.heartbeat_monitors.borrow_mut().get_mut(shard.position()) {
            for id in ids {
                monitor.record_heartbeat(id, now);
            }
        }
        Ok(())
    }

    /// Reports the heartbeats received here to the owners of the workers' shards. What an owner does not acknowledge
    /// is reported again next time.
    pub(super) async fn report_renewals(&self) {
        let renewals = mem::take(&mut *self.pending_renewals.borrow_mut());
        for (shard, ids) in renewals {
            if !self.renew_at_owner(shard, &ids).await {
                self.pending_renewals.borrow_mut().entry(shard).or_default().extend(ids);
            }
        }
    }

    /// Reports heartbeats to the owner of a shard and returns whether it has acknowledged them.
    async fn renew_at_owner(&self, shard: Shard, ids: &BTreeSet<String>) -> bool {
        match self.client.owner(shard) {
            Some(ShardOwner::ThisProcess) => self.renew(shard, ids).is_ok(),
            Some(ShardOwner::Peer(owner)) => {
                let call = ControlCall::RenewSessions { shard, ids: ids.iter().cloned().collect() };
                self.client.call(owner, &call, REPORT_TIMEOUT).await == Some(ControlAnswer::Done)
            }
            None => false,
        }
    }

    /// Expires the sessions of workers without a recent heartbeat, in a shard that this process owns.
    pub(super) fn expire(&self, shard: Shard) {
        let Some(command) = self.expiry_command(shard) else { return };
        let client = Rc::clone(&self.client);
        tokio::task::spawn_local(async move {
            client.propose_here(shard, encode(&command).to_vec()).await;
        });
    }

    fn expiry_command(&self, shard: Shard) -> Option<SessionCommand> {
        let mut heartbeat_monitors = self.heartbeat_monitors.borrow_mut();
        let monitor = heartbeat_monitors.get_mut(shard.position())?;
        if !self.client.is_confirmed_owner(shard) {
            monitor.reset();
            return None;
        }
        let now = self.clock.now();
        let workers = self.client.shards().with_sessions(shard, |sessions| {
            let expired = monitor.expired(sessions.workers().keys(), now);
            let with_sequence = expired.into_iter().filter_map(|id| {
                let sequence = sessions.workers().get(&id)?.sequence;
                Some(ExpiredSession { id, sequence })
            });
            with_sequence.collect::<Vec<_>>()
        })?;
        if workers.is_empty() {
            return None;
        }
        tracing::info!(
            shard = shard.0,
            count = workers.len(),
            "worker sessions expired: no heartbeat in time"
        );
        Some(SessionCommand::Expire { workers })
    }
}

/// Waits until all control processes have applied a change and can publish it to their subscribers, but at most for
/// [`PROPAGATION_LIMIT`] or until the deadline.
async fn propagate(client: &Rc<ControlClient>, shard: Shard, index: LogIndex, deadline: AnswerDeadline) {
    let limit = deadline.time_left(PROPAGATION_LIMIT);
    let limit_ms = limit.as_millis() as u64;
    let call = ControlCall::AwaitApplied { shard, index, limit_ms };
    let local = Rc::clone(client);
    client
        .broadcast(call, limit, async move {
            local.wait_until_applied(shard, index, Duration::from_millis(limit_ms)).await;
        })
        .await;
}
