//! The log as it is kept in memory: the entries after a snapshot, and the memberships that they contain.

use crate::{LogIndex, LogPosition, Membership, Payload, SnapshotMetadata, Term, entry::SharedEntry};
use std::collections::VecDeque;

/// A membership and the entry that contains it.
#[derive(Debug, Clone)]
struct LoggedMembership {
    index: LogIndex,
    membership: Membership,
}

/// The entries of the log that are kept in memory.
#[derive(Debug, Clone)]
pub(crate) struct RaftLog {
    /// The last entry that was compacted away.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<SharedEntry>,
    /// Memberships, oldest first, never empty: the one as of the base and those of the entries after it.
    memberships: Vec<LoggedMembership>,
}

impl RaftLog {
    /// An empty log after a snapshot.
    pub fn new(base: SnapshotMetadata) -> Self {
        let index = base.last_included_index;
        Self {
            base_index: index,
            base_term: base.last_included_term,
            entries: VecDeque::new(),
            memberships: vec![LoggedMembership { index, membership: base.membership }],
        }
    }

    /// The last entry that was compacted away; 0 if none was.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// The last entry.
    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// The term of the last entry.
    fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The term of an entry; `None` where it was compacted away or is not there yet.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry; `None` where it was compacted away or is not there yet.
    pub fn get(&self, index: LogIndex) -> Option<&SharedEntry> {
        if index <= self.base_index {
            return None;
        }
        self.entries.get(self.entries_before(index))
    }

    /// How many of the entries that are kept come before this index.
    fn entries_before(&self, index: LogIndex) -> usize {
        index.previous().entries_since(self.base_index) as usize
    }

    /// Appends an entry after the last one.
    pub fn push(&mut self, entry: SharedEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let Payload::MembershipChange(membership) = &entry.payload {
            let membership = membership.clone();
            self.memberships.push(LoggedMembership { index: entry.index, membership });
        }
        self.entries.push_back(entry);
    }

    /// Removes this entry and all after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.entries.truncate(self.entries_before(index));
        while self.memberships.len() > 1 && self.newest_membership().index >= index {
            self.memberships.pop();
        }
    }

    /// Removes the entries up to and with this one, which a snapshot covers.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term(index) else {
            return;
        };
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
        while self.memberships.get(1).is_some_and(|second| second.index <= index) {
            self.memberships.remove(0);
        }
    }

    /// The newest membership, committed or not: a replica uses the newest one in its log (Raft §6).
    pub fn membership(&self) -> &Membership {
        &self.newest_membership().membership
    }

    /// The entry that contains the newest membership.
    pub fn membership_index(&self) -> LogIndex {
        self.newest_membership().index
    }

    fn newest_membership(&self) -> &LoggedMembership {
        &self.memberships[self.memberships.len() - 1]
    }

    /// What a snapshot as of this entry replaces; `None` where the entry is not known.
    pub fn snapshot_metadata_at(&self, index: LogIndex) -> Option<SnapshotMetadata> {
        let last_included_term = self.term(index)?;
        let in_force = self.memberships.iter().rev().find(|logged| logged.index <= index)?;
        let membership = in_force.membership.clone();
        Some(SnapshotMetadata { last_included_index: index, last_included_term, membership })
    }

    /// Bytes of the entries after `after` up to `last`.
    pub fn bytes_between(&self, after: LogIndex, last: LogIndex) -> usize {
        let first = self.entries_before(after.max(self.base_index).next());
        let end = self.entries_before(last.next()).min(self.entries.len());
        self.entries.range(first.min(end)..end).map(|entry| entry.size()).sum()
    }

    /// Entries from `index` on, at most `max_entries` and about `max_bytes`, but one at least.
    pub fn range(&self, index: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<SharedEntry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut next = index;
        while let Some(entry) = self.get(next) {
            bytes += entry.size();
            if taken.len() == max_entries || (!taken.is_empty() && bytes > max_bytes) {
                break;
            }
            taken.push(entry.clone());
            next = next.next();
        }
        taken
    }

    /// An entry up to which the log may be the leader's, which has another term at `index`: the whole term that conflicts
    /// is passed over (Raft §5.3). Committed entries are never in conflict.
    pub fn conflict_hint(&self, index: LogIndex, commit_index: LogIndex) -> LogIndex {
        let Some(term) = self.term(index) else {
            return self.last_index();
        };
        let mut first = index;
        while first > commit_index.next() && self.term(first.previous()) == Some(term) {
            first = first.previous();
        }
        first.previous().max(commit_index)
    }

    /// The last entry's index and term.
    pub fn last_position(&self) -> LogPosition {
        LogPosition { index: self.last_index(), term: self.last_term() }
    }

    /// Whether a candidate's log that ends so is at least as up-to-date as this one: the election restriction, by which a
    /// leader has every committed entry (Raft §5.4.1).
    pub fn is_up_to_date(&self, candidate_last: LogPosition) -> bool {
        (candidate_last.term, candidate_last.index) >= (self.last_term(), self.last_index())
    }

    /// Whether the log has the entry at this position.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.term(position.index) == Some(position.term)
    }
}
