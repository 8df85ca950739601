//! A replica: its state, and the operations that are the same in every role.

use crate::{
    Entry, HardState, LogIndex, Member, MemberId, Membership, Message, MessageBody, Payload, Ready,
    SnapshotMetadata, Term, election_timer::ElectionTimer, entry::SharedEntry, leader_contact::LeaderContact,
    raft_log::RaftLog, role::Role, snapshot_transfer::IncomingSnapshot, write_queue::WriteQueue,
};
use snafu::Snafu;
use std::rc::Rc;

/// Options of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The identity of this replica's member.
    pub identity: MemberId,
    /// The number of disks that may be lost at the same time (the setting `fault_tolerance.hosts_lost`).
    pub hosts_lost: usize,
    /// The seed of the random election time-outs.
    pub seed: u64,
}

/// The state of a replica as read from its disk.
#[derive(Debug, Clone, Default)]
pub struct RestoredState {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// The metadata of the snapshot on disk. Without a snapshot: index 0 with the initial membership, or with no members if
    /// this process is not a member yet.
    pub base: SnapshotMetadata,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The reason why a proposal or a read request was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica is not the leader, or is transferring its leadership.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The limit of uncommitted entries, in number or in bytes, is reached.
    #[snafu(display("too many uncommitted entries"))]
    TooManyUncommitted,
}

/// One member's replica of a group's log.
///
/// The caller drives it: [`tick`](Self::tick) advances the time, [`step`](Self::step) handles a message,
/// [`propose`](Self::propose) and [`read_index`](Self::read_index) accept requests, [`on_persisted`](Self::on_persisted)
/// reports synced writes. After any of these, [`ready`](Self::ready) returns the required actions. Times are in
/// milliseconds of a monotonic clock.
#[derive(Debug, Clone)]
pub struct Replica {
    pub(crate) options: Options,
    pub(crate) now: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: RaftLog,
    pub(crate) commit_index: LogIndex,
    /// The highest commit index received from a leader.
    pub(crate) leader_commit: LogIndex,
    /// The index of the last entry returned to the caller for application (`lastApplied`).
    pub(crate) applied_index: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader_id: Option<MemberId>,
    /// When the last message from a leader arrived; `None` before the first one.
    pub(crate) leader_heard_at: Option<u64>,
    /// Tracks whether this replica's responses reach the leader.
    pub(crate) leader_contact: LeaderContact,
    pub(crate) election_timer: ElectionTimer,
    /// The members that the group should have, as last set by the caller; empty until set.
    pub(crate) desired_members: Vec<Member>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) write_queue: WriteQueue,
    /// The result of the next call of `ready`, except for writes and committed entries.
    pub(crate) pending: Ready,
}

impl Replica {
    /// Creates a replica from the state on its disk.
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

    /// Returns the leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.leader_id
    }

    /// Returns whether this replica is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role.leader().is_some()
    }

    /// Returns the latest term that this replica has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the term and vote. They must be preserved when the writes so far are replaced by a snapshot.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the index of the last log entry.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the log entries after `index`, to be written again after a snapshot.
    #[must_use]
    pub fn entries_after(&self, index: LogIndex) -> Vec<Rc<Entry>> {
        self.log.range(index + 1, usize::MAX, usize::MAX)
    }

    /// Returns the metadata of a snapshot of the state after all entries returned so far by
    /// [`ready`](Self::ready) were applied.
    #[must_use]
    pub fn applied_snapshot_metadata(&self) -> SnapshotMetadata {
        self.log.snapshot_metadata_at(self.applied_index).unwrap_or_default()
    }

    /// Returns whether this replica has returned, for application, every entry that the leader of the current term knows to
    /// be committed. A new leader and its followers know which entries its predecessors committed only once an entry of the
    /// leader's own term is committed (Raft §8); before that, the result is false.
    #[must_use]
    pub fn has_applied_committed_entries(&self) -> bool {
        let is_of_this_term = self.log.term(self.commit_index) == Some(self.hard_state.term);
        is_of_this_term && self.applied_index >= self.commit_index.max(self.leader_commit)
    }

    /// Sets term and vote. Returns the sequence number of the write that makes them durable.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) -> u64 {
        self.hard_state = hard_state;
        self.write_queue.write_hard_state(hard_state)
    }

    /// Appends an entry to the log.
    pub(crate) fn append_to_log(&mut self, entry: SharedEntry) {
        self.log.push(entry.clone());
        self.write_queue.write_entry(entry);
    }

    /// Appends an entry in the current term, as the leader. Returns the entry's index.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.append_to_log(Rc::new(Entry { index, term: self.hard_state.term, payload }));
        index
    }

    /// Sends a message without waiting for pending writes.
    pub(crate) fn send(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, body);
        self.pending.messages.push(message);
    }

    /// Sends a message once all writes queued so far are synced.
    pub(crate) fn send_after_sync(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, body);
        self.pending.messages.extend(self.write_queue.defer(message));
    }

    fn message(&self, to: MemberId, body: MessageBody) -> Message {
        Message { from: self.options.identity, to, term: self.hard_state.term, body }
    }
}
