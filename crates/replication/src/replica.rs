//! A replica: its state, and the operations on it that are the same in every role.

use crate::{
    Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Payload, Ready,
    SnapshotMetadata, Term, election_timer::ElectionTimer, entry::SharedEntry, leader_contact::LeaderContact,
    raft_log::RaftLog, role::Role, snapshot_transfer::IncomingSnapshot, write_queue::WriteQueue,
};
use snafu::Snafu;
use std::rc::Rc;

/// How a replica works.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The identity of this process.
    pub identity: MemberId,
    /// Disks that may be lost at one time (the setting `fault_tolerance.hosts_lost`).
    pub hosts_lost: usize,
    /// Seeds the random election time-outs.
    pub seed: u64,
}

/// What was found on disk.
#[derive(Debug, Clone, Default)]
pub struct RestoredState {
    /// The last term and vote.
    pub hard_state: HardState,
    /// The entries that the snapshot replaces; at a group's start index 0 with its first members, or without members in a
    /// process that is no member yet.
    pub base: SnapshotMetadata,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// Why a proposal or a read was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica is not the leader, or is transferring its leadership.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Too many entries, or bytes of entries, are not committed yet.
    #[snafu(display("too many entries wait to be committed"))]
    TooManyUncommitted,
}

/// One member's replica of a group's log.
///
/// The caller drives it: [`tick`](Self::tick) lets time pass, [`step`](Self::step) takes a message,
/// [`propose`](Self::propose) and [`read_index`](Self::read_index) take requests, [`on_persisted`](Self::on_persisted)
/// tells what is synced. After any of these [`ready`](Self::ready) returns what there is to do. Times are milliseconds of a
/// monotonic clock.
#[derive(Debug, Clone)]
pub struct Replica {
    pub(crate) options: Options,
    pub(crate) now: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    pub(crate) commit_index: LogIndex,
    /// The highest commit index that a leader has sent.
    pub(crate) leader_commit: LogIndex,
    /// The last entry that was handed out to be applied (`lastApplied`).
    pub(crate) applied_index: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader_id: Option<MemberId>,
    /// When a leader was last heard; `None` before the first.
    pub(crate) leader_heard_at: Option<u64>,
    /// Whether that leader hears this replica as well.
    pub(crate) leader_contact: LeaderContact,
    pub(crate) election_timer: ElectionTimer,
    /// The members that the group should have, as the caller last said; empty before.
    pub(crate) desired_members: Vec<Member>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) write_queue: WriteQueue,
    /// What the next call of `ready` returns, but for writes and committed entries.
    pub(crate) pending: Ready,
}

impl Replica {
    /// A replica as it was found on disk.
    #[must_use]
    pub fn new(options: Options, restored: RestoredState, now: u64) -> Self {
        let mut log = RaftLog::new(restored.base);
        for entry in restored.entries {
            log.push(Rc::new(entry));
        }
        let base_index = log.base_index();
        Self {
            options,
            now,
            hard_state: restored.hard_state,
            write_queue: WriteQueue::new(log.last_index()),
            log,
            commit_index: base_index,
            leader_commit: base_index,
            applied_index: base_index,
            role: Role::Follower,
            leader_id: None,
            leader_heard_at: None,
            leader_contact: LeaderContact::default(),
            election_timer: ElectionTimer::new(options.seed, now),
            desired_members: Vec::new(),
            incoming_snapshot: None,
            pending: Ready::default(),
        }
    }

    /// The leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.leader_id
    }

    /// Whether this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role.leader().is_some()
    }

    /// The newest term known.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The term and vote, which must be kept when the writes so far are replaced by a snapshot.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The newest membership, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The entries after this one, to be written again.
    #[must_use]
    pub fn entries_after(&self, index: LogIndex) -> Vec<Rc<Entry>> {
        self.log.range(index + 1, usize::MAX, usize::MAX)
    }

    /// What a snapshot of the state as last handed out to be applied replaces.
    #[must_use]
    pub fn applied_snapshot_metadata(&self) -> SnapshotMetadata {
        self.log.snapshot_metadata_at(self.applied_index).unwrap_or_default()
    }

    /// Whether this replica has handed out everything that was committed, as far as the leader of this term knows. A new
    /// leader, and so those that follow it, know what its predecessors committed only once an entry of its own term is
    /// committed (Raft §8).
    #[must_use]
    pub fn has_applied_committed_entries(&self) -> bool {
        let is_of_this_term = self.log.term(self.commit_index) == Some(self.hard_state.term);
        is_of_this_term && self.applied_index >= self.commit_index.max(self.leader_commit)
    }

    /// Sets term and vote. Returns the sequence number of the write that makes them last.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) -> u64 {
        self.hard_state = hard_state;
        self.write_queue.write_hard_state(hard_state)
    }

    /// Appends an entry to the log.
    pub(crate) fn append_to_log(&mut self, entry: SharedEntry) {
        self.log.push(entry.clone());
        self.write_queue.write_entry(entry);
    }

    /// Appends an entry of this leader's term. Returns its index.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.append_to_log(Rc::new(Entry { index, term: self.hard_state.term, payload }));
        index
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, body);
        self.pending.messages.push(message);
    }

    /// Sends a message once everything written so far is synced.
    pub(crate) fn send_after_sync(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, body);
        self.pending.messages.extend(self.write_queue.defer(message));
    }

    fn message(&self, to: MemberId, body: MessageBody) -> Message {
        Message { from: self.options.identity, to, term: self.hard_state.term, body }
    }
}
