//! Lease acquisition: decides when a holder may be granted units of a program's budget.
//!
//! The count of a program is a set of entries, one per holder, each with the units of the budget that the holder has taken.
//! To acquire units, a holder increases its entry at the replicas and reads the entries of all other holders.
//!
//! # Safety: grants never sum to more than the budget
//!
//! An acquisition writes its entry to the replicas. Each replica replies, once the entry is on its disk, with all entries
//! that it has. A grant requires either
//!
//! - *two rounds*: the entry is at a quorum of complete replicas, and a quorum has been read after that; or
//! - *one round* at *all* replicas, all of them complete: each was read at the moment when it stored the entry.
//!
//! For an acquisition X, let p(X) be the time at which its entry has reached a majority of the replicas. *If X does not
//! see the entry of Y, then p(X) < p(Y)*:
//!
//! - X has two rounds. Its second quorum, read after p(X), does not have Y's entry, so Y's entry arrives at that quorum
//!   later than p(X). As any majority intersects that quorum, p(Y) is later than p(X).
//! - X has one round. At every replica that Y's entry reaches, it arrives later than X's. So whenever Y's entry has
//!   reached a majority, X's entry reached that majority earlier.
//!
//! So among all grants whose units are still leased, the one with the latest p has seen the entries of all the others. The
//! entry that it saw of another holder is the one of that holder's newest grant, or a later one. An entry is never lower
//! than what its holder still leases: it is increased before the units are used, and reduced only after they are given
//! up. So the sum that the latest grant was checked against covers all leased units, and it was within the budget.
//!
//! An acquisition that fails, or finds too few units left, leaves its holder with the units that it leased before. Its
//! entry may be too high for a while, which delays other acquisitions but revokes no granted units.
//!
//! *Changes of the store map.* Both rounds use one layout of the partition. A replica that knows a newer layout serves no
//! request of an older one. So of two acquisitions in different layouts, the later one sees the earlier one's entry at the
//! replica that their quorums share. The argument above holds if acquisitions are ordered first by the epoch of their
//! layout and then by p.
//!
//! *Lost disks.* A store that lost its disk returns with a new identity, and counts towards a quorum only once it has
//! caught up on all acknowledged writes (see `opalrun_store::transfer`).
//!
//! `tests/model_check.rs` explores small instances in every order of events.

use crate::quorum::QuorumTracker;
use opalrun_wire::{
    feed::PartitionReplicas,
    ids::NodeIdentity,
    store::{CountEntry, merge_count_entries},
};

/// Round of requests to all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Writes the entry.
    First,
    /// Writes the entry again, in order to read all entries after it has reached a quorum.
    Second,
}

/// Progress of an acquisition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More replies are needed.
    Waiting,
    /// The entry is at a quorum. The second round may begin; it is not needed if all other replicas still reply to the
    /// first one.
    AtQuorum,
    /// The acquisition is complete: the holder's lease may be granted up to the budget minus `others_taken`.
    Done {
        /// Units of the budget that all other holders together have taken.
        others_taken: u64,
    },
}

/// An acquisition in one layout of its partition, as a state machine without I/O.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseAcquisition {
    holder: u64,
    /// Replies to the first round.
    first: QuorumTracker,
    /// Replies to the second round; `None` before it begins.
    second: Option<QuorumTracker>,
    /// Tracker without replies, from which the second round's is cloned.
    without_replies: QuorumTracker,
    /// The newest entry of each holder in all replies so far.
    entries: Vec<CountEntry>,
}

impl LeaseAcquisition {
    /// Begins the first round.
    #[must_use]
    pub fn new(holder: u64, partition: &PartitionReplicas) -> Self {
        let without_replies = QuorumTracker::new(partition);
        Self { holder, first: without_replies.clone(), second: None, without_replies, entries: Vec::new() }
    }

    /// Begins the second round. To be called at [`Progress::AtQuorum`], before any request of the round is sent.
    pub fn start_second_round(&mut self) {
        if self.first.is_quorum() && self.second.is_none() {
            self.second = Some(self.without_replies.clone());
        }
    }

    /// Records a replica's reply to a request of a round: the replica has the holder's entry on disk, and `entries` are all
    /// that it has. `is_complete` is the replica's own statement in the reply.
    pub fn record_reply(
        &mut self,
        round: Round,
        store: NodeIdentity,
        is_complete: bool,
        entries: &[CountEntry],
    ) {
        merge_count_entries(&mut self.entries, entries);
        match (round, &mut self.second) {
            (Round::First, _) => self.first.record(store, is_complete),
            (Round::Second, Some(second)) => second.record(store, is_complete),
            (Round::Second, None) => {}
        }
    }

    /// Returns the progress of the acquisition.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let read_after_write = self.second.as_ref().is_some_and(QuorumTracker::is_quorum);
        if self.first.is_unanimous() || read_after_write {
            return Progress::Done { others_taken: self.others_taken() };
        }
        match self.second {
            None if self.first.is_quorum() => Progress::AtQuorum,
            _ => Progress::Waiting,
        }
    }

    fn others_taken(&self) -> u64 {
        let others = self.entries.iter().filter(|entry| entry.holder != self.holder);
        others.fold(0, |sum, entry| sum.saturating_add(entry.taken))
    }
}
