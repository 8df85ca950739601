//! The state machine of the session shards (1 and up), which hold the sessions of workers.
#![expect(missing_docs, reason = "the derived resolvers have no docs; every item written here has")]

pub mod heartbeat_monitor;
#[cfg(test)]
mod tests;

use opalrun_wire::feed::{Change, Worker, WorkerState};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of removed worker ids that are kept, so that a delayed heartbeat does not restore a removed worker.
const MAX_RETAINED_REMOVALS: usize = 1024;
/// Number of expired sessions that are kept, so that a delayed heartbeat does not override the state of the last one.
const MAX_RETAINED_EXPIRIES: usize = 1024;

/// A command to a session shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum SessionCommand {
    /// A heartbeat of a new worker, or one that changes a session.
    Put(Worker),
    /// A worker has ended its session.
    Remove {
        /// Id of the worker.
        id: String,
    },
    /// Sessions have expired after missed heartbeats. A session that has changed since then does not expire.
    Expire {
        /// The sessions.
        workers: Vec<ExpiredSession>,
    },
}

/// A session that has expired after missed heartbeats.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct ExpiredSession {
    /// Id of the worker.
    pub id: String,
    /// Sequence number of the last heartbeat that changed the session.
    pub sequence: u64,
}

/// Outcome of a command to a session shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionOutcome {
    /// Applied now or earlier.
    Done,
    /// Ignored, because a newer heartbeat of the same worker has been applied.
    Stale,
    /// Ignored, because the worker has ended its session.
    Removed,
}

/// The sessions of one shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct SessionShard {
    /// Sessions by worker id.
    workers: BTreeMap<String, Worker>,
    /// Ids of workers that ended their sessions, oldest first.
    removed: VecDeque<String>,
    /// Expired sessions, oldest first.
    expired: VecDeque<ExpiredSession>,
}

impl SessionShard {
    /// Applies a command and returns its outcome with the changes for the feed's subscribers.
    pub fn apply(&mut self, command: SessionCommand) -> (SessionOutcome, Vec<Change>) {
        match command {
            SessionCommand::Put(worker) => self.put(worker),
            SessionCommand::Remove { id } => self.remove(id),
            SessionCommand::Expire { workers } => self.expire(workers),
        }
    }

    /// The complete state, as the changes that build it from an empty shard.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        self.workers.values().cloned().map(Change::Worker).collect()
    }

    /// All sessions by worker id.
    #[must_use]
    pub fn workers(&self) -> &BTreeMap<String, Worker> {
        &self.workers
    }

    /// Whether the worker has ended its session.
    #[must_use]
    pub fn was_removed(&self, id: &str) -> bool {
        self.removed.iter().any(|removed| removed == id)
    }

    /// Whether a heartbeat would change nothing, because it is stale or equal to the session.
    #[must_use]
    pub fn is_redundant(&self, heartbeat: &Worker) -> bool {
        if self.was_removed(&heartbeat.id) {
            return true;
        }
        let Some(known) = self.workers.get(&heartbeat.id) else { return false };
        heartbeat.sequence < known.sequence || is_same_session(known, heartbeat)
    }

    fn put(&mut self, worker: Worker) -> (SessionOutcome, Vec<Change>) {
        if self.was_removed(&worker.id) {
            return (SessionOutcome::Removed, Vec::new());
        }
        if let Some(known) = self.workers.get(&worker.id) {
            if worker.sequence < known.sequence {
                return (SessionOutcome::Stale, Vec::new());
            }
            if is_same_session(known, &worker) {
                return (SessionOutcome::Done, Vec::new());
            }
        } else if self.predates_expiry(&worker) {
            return (SessionOutcome::Stale, Vec::new());
        }
        self.expired.retain(|session| session.id != worker.id);
        self.workers.insert(worker.id.clone(), worker.clone());
        (SessionOutcome::Done, vec![Change::Worker(worker)])
    }

    fn remove(&mut self, id: String) -> (SessionOutcome, Vec<Change>) {
        if self.was_removed(&id) {
            return (SessionOutcome::Done, Vec::new());
        }
        if self.removed.len() == MAX_RETAINED_REMOVALS {
            self.removed.pop_front();
        }
        let change = self.end_session(&id);
        self.removed.push_back(id);
        (SessionOutcome::Done, change.into_iter().collect())
    }

    fn expire(&mut self, sessions: Vec<ExpiredSession>) -> (SessionOutcome, Vec<Change>) {
        let mut changes = Vec::new();
        for session in sessions {
            let is_unchanged =
                self.workers.get(&session.id).is_some_and(|worker| worker.sequence == session.sequence);
            if is_unchanged {
                changes.extend(self.end_session(&session.id));
                self.record_expiry(session);
            }
        }
        (SessionOutcome::Done, changes)
    }

    /// Whether a heartbeat is older than the last one of the worker's expired session.
    fn predates_expiry(&self, heartbeat: &Worker) -> bool {
        let last = self.expired.iter().rev().find(|session| session.id == heartbeat.id);
        last.is_some_and(|session| heartbeat.sequence < session.sequence)
    }

    fn record_expiry(&mut self, session: ExpiredSession) {
        if self.expired.len() == MAX_RETAINED_EXPIRIES {
            self.expired.pop_front();
        }
        self.expired.push_back(session);
    }

    fn end_session(&mut self, id: &str) -> Option<Change> {
        let worker = self.workers.remove(id)?;
        Some(Change::WorkerGone { service: worker.service, id: worker.id })
    }
}

/// Whether a heartbeat describes the worker as its session does. The sequence number and the remaining warm-up time
/// change with every heartbeat and are ignored.
fn is_same_session(known: &Worker, heartbeat: &Worker) -> bool {
    let comparable = Worker {
        sequence: known.sequence,
        warmup_remaining_ms: known.warmup_remaining_ms,
        ..heartbeat.clone()
    };
    *known == comparable
}

/// Whether the worker accepts new requests.
#[must_use]
pub fn is_ready(worker: &Worker) -> bool {
    worker.state == WorkerState::Ready
}
