//! Acquiring a lease: the decision what a holder's block of a program's budget may be granted on.
//!
//! The count of a program is a set of entries, one of each holder, with the units that the holder has taken of the budget.
//! To acquire units a holder increases its entry at the replicas and reads the entries of all others.
//!
//! # Safety: grants never sum to more than the budget
//!
//! An acquisition writes its entry to the replicas, and each that has it on disk replies with all entries that it knows.
//! A grant rests either
//!
//! - on *two rounds*: the entry is at a quorum of complete replicas, and after that a quorum has been read; or
//! - on *one round* at *all* replicas, all of them complete: each was read at the moment when it stored the entry.
//!
//! For an acquisition X let p(X) be the moment when its entry has come to be at a majority of the replicas. *If X does not
//! see the entry of Y, then p(X) < p(Y)*:
//!
//! - X has two rounds. Its second quorum, read after p(X), does not have Y's entry, so at that quorum Y's entry arrives
//!   later than p(X). As any majority intersects that quorum, p(Y) is later, too.
//! - X has one round. At every replica that Y's entry reaches it arrives later than X's. So whenever Y's entry is at
//!   a majority, X's is at that majority already, and earlier.
//!
//! So of all grants whose units are still leased, the one with the latest p has seen the entries of all the others. What
//! it saw of another holder is the entry of that holder's newest grant, or a later one. An entry is never below what its
//! holder still leases: it is increased before the units are used, and reduced only after they are given up. So the sum
//! that this last grant was checked against covers all leased units, and it was within the budget.
//!
//! An acquisition that fails, or finds too little left, leaves its holder the units that it leased before. Its entry may
//! be too high for a while, which takes units away from nobody who was granted them.
//!
//! *Changes of the store map.* Both rounds are made in one layout of the partition. A replica that knows a newer layout
//! serves no request of an older one, so of two acquisitions in different layouts the later one sees the earlier one's
//! entry at the replica that their quorums share. The argument above applies with the layout's epoch ordered before the
//! moment.
//!
//! *Lost disks.* A store that lost its disk is another store, which counts only once it has caught up on what was
//! acknowledged (see `opalrun_store::transfer`).
//!
//! `tests/model_check.rs` explores small instances in every order of events.

use crate::quorum::QuorumTracker;
use opalrun_wire::{
    feed::PartitionReplicas,
    ids::NodeIdentity,
    store::{CountEntry, merge_count_entries},
};

/// A round of requests to all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Writes the entry.
    First,
    /// Writes it again, to read all entries after it has come to a quorum.
    Second,
}

/// The progress of an acquisition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More replies are needed.
    Waiting,
    /// The entry is at a quorum. The second round may begin; it is not needed if all other replicas reply as well.
    AtQuorum,
    /// The acquisition is decided: a lease may be granted within what the others leave of the budget.
    Done {
        /// Units that all other holders have taken.
        others_taken: u64,
    },
}

/// An acquisition in one layout of its partition, as a state machine without I/O.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseAcquisition {
    holder: u64,
    first: QuorumTracker,
    second: Option<QuorumTracker>,
    /// Without any reply.
    without_replies: QuorumTracker,
    entries: Vec<CountEntry>,
}

impl LeaseAcquisition {
    /// Begins the first round.
    #[must_use]
    pub fn new(holder: u64, partition: &PartitionReplicas) -> Self {
        let without_replies = QuorumTracker::new(partition);
        Self { holder, first: without_replies.clone(), second: None, without_replies, entries: Vec::new() }
    }

    /// Begins the second round. To be called at [`Progress::AtQuorum`], and before any request of the round is sent.
    pub fn start_second_round(&mut self) {
        if self.first.is_quorum() && self.second.is_none() {
            self.second = Some(self.without_replies.clone());
        }
    }

    /// A replica has replied to a request of a round: it has the entry on disk and knows these entries. `is_complete` is what it
    /// says of itself.
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

    /// Its progress.
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
