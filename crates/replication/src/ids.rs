//! Terms, log indexes and member identities.

use facet::Facet;
use rkyv::{Archive, Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
};

/// A term. Terms are numbered consecutively, and each has at most one leader (Raft §5.2). 0 precedes the first election.
#[derive(
    Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[facet(transparent)]
#[repr(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the following term, which the next election begins.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The index of an entry in the log, counted from 1. 0 denotes the start of the log, before the first entry.
#[derive(
    Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[facet(transparent)]
#[repr(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The start of the log, before the first entry.
    pub const START: Self = Self(0);
    /// An index beyond the last entry of any log.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the index of the next entry.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index of the preceding entry, or [`Self::START`].
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the number of entries after `other`, up to and including this one; 0 if `other` is not before this index.
    #[must_use]
    pub const fn entries_since(self, other: Self) -> u64 {
        self.0.saturating_sub(other.0)
    }

    /// Returns the index `entries` further on, or [`Self::MAX`] on overflow.
    #[must_use]
    pub const fn saturating_add(self, entries: u64) -> Self {
        Self(self.0.saturating_add(entries))
    }

    /// Returns the index `entries` earlier, or [`Self::START`] on underflow.
    #[must_use]
    pub const fn saturating_sub(self, entries: u64) -> Self {
        Self(self.0.saturating_sub(entries))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the index that many entries further on.
impl Add<u64> for LogIndex {
    type Output = Self;

    fn add(self, entries: u64) -> Self {
        Self(self.0 + entries)
    }
}

/// Returns the number of entries after `other`, up to and including this one. `other` must not be the larger index.
impl Sub for LogIndex {
    type Output = u64;

    fn sub(self, other: Self) -> u64 {
        self.0 - other.0
    }
}

/// The index and term of an entry. Entries of two logs with the same index and term are identical (Raft §5.3, Log
/// Matching).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// The entry's index.
    pub index: LogIndex,
    /// The entry's term.
    pub term: Term,
}

/// The identity of a member: chosen at random when its disk is empty, so a member that lost its disk never reuses its old
/// identity.
#[derive(
    Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[facet(transparent)]
#[repr(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
