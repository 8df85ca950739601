//! The in-memory log: the entries after the compacted prefix, and the memberships that they contain.

use crate::{LogIndex, LogPosition, Membership, Payload, SnapshotMetadata, Term, entry::SharedEntry};
use std::collections::VecDeque;

/// A membership and the index of the entry that contains it.
#[derive(Debug, Clone)]
struct LoggedMembership {
    index: LogIndex,
    membership: Membership,
}

/// The part of the log that is kept in memory.
#[derive(Debug, Clone)]
pub(crate) struct RaftLog {
    /// The index of the last compacted entry; 0 if none was compacted.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<SharedEntry>,
    /// Memberships, oldest first, never empty: the one in effect at the base index and those of the entries after it.
    memberships: Vec<LoggedMembership>,
}

impl RaftLog {
    /// Creates an empty log that continues after a snapshot.
    pub fn new(base: SnapshotMetadata) -> Self {
        let index = base.last_included_index;
        Self {
            base_index: index,
            base_term: base.last_included_term,
            entries: VecDeque::new(),
            memberships: vec![LoggedMembership { index, membership: base.membership }],
        }
    }

    /// Returns the index of the last compacted entry; 0 if none was compacted.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an entry; `None` if the entry was compacted or does not exist yet.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns an entry; `None` if it was compacted or does not exist yet.
    pub fn get(&self, index: LogIndex) -> Option<&SharedEntry> {
        if index <= self.base_index {
            return None;
        }
        self.entries.get(self.entries_before(index))
    }

    /// Returns the number of retained entries before this index.
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
        while self.memberships.len() > 1 && self.latest_membership().index >= index {
            self.memberships.pop();
        }
    }

    /// Removes the entries up to and including this one, which a snapshot replaces.
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

    /// Returns the latest membership in the log, committed or not: a replica always uses the latest one (Raft §6).
    pub fn membership(&self) -> &Membership {
        &self.latest_membership().membership
    }

    /// Returns the index of the entry that contains the latest membership.
    pub fn membership_index(&self) -> LogIndex {
        self.latest_membership().index
    }

    fn latest_membership(&self) -> &LoggedMembership {
        &self.memberships[self.memberships.len() - 1]
    }

    /// Returns the metadata of a snapshot that ends at this entry; `None` if the entry was compacted or does not exist.
    pub fn snapshot_metadata_at(&self, index: LogIndex) -> Option<SnapshotMetadata> {
        let last_included_term = self.term(index)?;
        let in_force = self.memberships.iter().rev().find(|logged| logged.index <= index)?;
        let membership = in_force.membership.clone();
        Some(SnapshotMetadata { last_included_index: index, last_included_term, membership })
    }

    /// Returns the total size of the entries after `after`, up to and including `last`, in bytes.
    pub fn bytes_between(&self, after: LogIndex, last: LogIndex) -> usize {
        let first = self.entries_before(after.max(self.base_index).next());
        let end = self.entries_before(last.next()).min(self.entries.len());
        self.entries.range(first.min(end)..end).map(|entry| entry.size()).sum()
    }

    /// Returns entries from `index` on, limited to `max_entries` and `max_bytes`. The first entry is returned even if it
    /// exceeds `max_bytes`.
    pub fn range(&self, index: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<SharedEntry> {
        let mut range = Vec::new();
        let mut bytes = 0;
        let mut next = index;
        while let Some(entry) = self.get(next) {
            bytes += entry.size();
            if range.len() == max_entries || (!range.is_empty() && bytes > max_bytes) {
                break;
            }
            range.push(entry.clone());
            next = next.next();
        }
        range
    }

    /// Returns the last index up to which the log may match that of a leader with a different entry at `index`: all
    /// entries of the conflicting term are skipped (Raft §5.3). Committed entries never conflict.
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

    /// Returns the index and term of the last entry.
    pub fn last_position(&self) -> LogPosition {
        LogPosition { index: self.last_index(), term: self.last_term() }
    }

    /// Returns whether a candidate's log that ends at `candidate_last` is at least as up-to-date as this one: the election
    /// restriction, which ensures that a leader has every committed entry (Raft §5.4.1).
    pub fn is_up_to_date(&self, candidate_last: LogPosition) -> bool {
        (candidate_last.term, candidate_last.index) >= (self.last_term(), self.last_index())
    }

    /// Returns whether the log has an entry with this index and term.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.term(position.index) == Some(position.term)
    }
}
