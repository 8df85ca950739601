//! Quorum sizes for elections, confirmation of a leader, and commits.
//!
//! Any two majorities share a voter; the safety of elections and commits rests on this (Raft §5.2, §5.4.3). A commit may
//! need more than a majority, so that a committed entry survives the loss of `hosts_lost` disks.

use crate::{LogIndex, MemberId, Membership};

impl Membership {
    /// Returns the number of voters needed to elect or to confirm a leader.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voter_count() / 2 + 1
    }

    /// Returns the number of voters that must have synced an entry before it is committed: a majority, and at least one
    /// more than the number of disks that may be lost at the same time (limited by the number of voters).
    #[must_use]
    pub fn commit_quorum(&self, hosts_lost: usize) -> usize {
        self.majority().max(self.voter_count().min(hosts_lost + 1))
    }

    /// Returns whether the voters among `members` form a majority.
    pub(crate) fn is_majority<'a>(&self, members: impl IntoIterator<Item = &'a MemberId>) -> bool {
        members.into_iter().filter(|identity| self.is_voter(**identity)).count() >= self.majority()
    }

    /// Returns the highest index synced by a commit quorum, given the last synced index of each voter; `None` if there are
    /// no voters.
    pub(crate) fn quorum_match_index(
        &self,
        hosts_lost: usize,
        match_index: impl Fn(MemberId) -> LogIndex,
    ) -> Option<LogIndex> {
        let mut match_indexes: Vec<LogIndex> = self.voters().map(match_index).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        match_indexes.get(self.commit_quorum(hosts_lost) - 1).copied()
    }
}
