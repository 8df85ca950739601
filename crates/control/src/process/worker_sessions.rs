//! Sessions of workers: heartbeats, removal, renewal at the owner of the session's shard, and expiry.

use super::{
    answer_deadline::AnswerDeadline,
    client::{ControlClient, NotOwner, REPORT_TIMEOUT, ShardOwner, Unavailable},
    clock::SteadyClock,
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

/// How long the acknowledgement of a worker's change waits for the other control processes to apply it.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(300);
/// A process that has been out of contact with the quorum for no longer still acknowledges heartbeats without a change.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(1500);

/// The sessions of workers, as far as this process takes part in them. The server's calls and the background tasks share
/// it; both run on one thread.
pub(crate) struct WorkerSessions {
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    clock: SteadyClock,
    /// Workers that were heard from here and of which the owner is still to be notified, by shard.
    pending_renewals: RefCell<BTreeMap<Shard, BTreeSet<String>>>,
    /// By shard, when its workers were heard from; used while this process owns the shard.
    heartbeat_monitors: RefCell<Vec<HeartbeatMonitor>>,
}

impl WorkerSessions {
    /// Sessions of workers that send a heartbeat once in `heartbeat`.
    pub(super) fn new(
        client: Rc<ControlClient>,
        quorum_contact: Rc<QuorumContact>,
        clock: SteadyClock,
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

    /// Handles a worker's heartbeat. Returns the address to which it should send later ones, where that is another
    /// process's: a worker learns it with a heartbeat that brings a change, and not again, so that one whose calls fail
    /// there stays where they don't.
    ///
    /// # Errors
    /// Where the change could not be committed in time.
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

    /// The address to which a worker should send its heartbeats, if not to this process.
    fn other_heartbeat_target(&self, worker_id: &str) -> Option<String> {
        let members = self.client.members();
        let host = self.client.host();
        let target = heartbeat_target(worker_id, &members, |identity| host.since_last_contact(identity))?;
        (target.identity != self.client.identity()).then(|| target.control_address.clone())
    }

    /// Ends the session of a worker that has left.
    ///
    /// # Errors
    /// Where that could not be committed in time.
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

    /// The shards that know a worker, or all of them where none is known to do.
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

    /// Renews sessions of a shard that this process owns.
    ///
    /// # Errors
    /// [`NotOwner`] where it does not own the shard.
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

    /// Notifies the owners of shards which workers were heard from here.
    pub(super) async fn report_renewals(&self) {
        let renewals = mem::take(&mut *self.pending_renewals.borrow_mut());
        for (shard, ids) in renewals {
            if !self.renew_at_owner(shard, &ids).await {
                self.pending_renewals.borrow_mut().entry(shard).or_default().extend(ids);
            }
        }
    }

    /// Returns whether the owner of the shard has acknowledged.
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

    /// Ends the sessions of workers that were not heard from for too long, in a shard that this process owns.
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
        tracing::info!(shard = shard.0, count = workers.len(), "sessions expired");
        Some(SessionCommand::Expire { workers })
    }
}

/// Gives the other control processes, and so the gatekeepers that subscribe there, the time to apply a change.
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
