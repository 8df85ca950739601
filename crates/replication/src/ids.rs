//! Terms, positions in the log, and identities of members.

use facet::Facet;
use rkyv::{Archive, Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
};

/// A term: it numbers elections, and has one leader at most (Raft §5.2). 0 comes before the first election.
#[derive(
    Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[facet(transparent)]
#[repr(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term that the next election begins.
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

/// The position of an entry in the log, from 1. 0 stands for the log's start, before the first entry.
#[derive(
    Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
)]
#[facet(transparent)]
#[repr(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The log's start, before the first entry.
    pub const START: Self = Self(0);
    /// Beyond the last entry of any log.
    pub const MAX: Self = Self(u64::MAX);

    /// The position of the next entry.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position of the entry before, or the log's start.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// The number of entries behind `other`, up to this one; 0 where this one comes first.
    #[must_use]
    pub const fn entries_since(self, other: Self) -> u64 {
        self.0.saturating_sub(other.0)
    }

    /// The position `entries` further on, or [`Self::MAX`].
    #[must_use]
    pub const fn saturating_add(self, entries: u64) -> Self {
        Self(self.0.saturating_add(entries))
    }

    /// The position `entries` before, or the log's start.
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

/// The position so many entries further on.
impl Add<u64> for LogIndex {
    type Output = Self;

    fn add(self, entries: u64) -> Self {
        Self(self.0 + entries)
    }
}

/// The number of entries between two positions, of which the first lies further on.
impl Sub for LogIndex {
    type Output = u64;

    fn sub(self, other: Self) -> u64 {
        self.0 - other.0
    }
}

/// The index and term of an entry. Entries of two logs that have both in common are the same (Raft §5.3, log matching).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// The entry's index.
    pub index: LogIndex,
    /// The entry's term.
    pub term: Term,
}

/// The identity of a member: drawn on an empty disk, so never the same after the loss of one.
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
