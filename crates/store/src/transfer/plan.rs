//! Plan of a partition transfer: which pages an incomplete replica requests, and from which stores.
//!
//! # Safety: the transfer covers every acknowledged write
//!
//! A partition has `n` replicas and a quorum of `q = n / 2 + 1`. A write is acknowledged once `q` complete replicas have it
//! on disk. The receiving store reads all pages of the partition from `n - q + 1` sources. A source is a complete replica,
//! or a former one that the store map still lists as a source, and it has learned the epoch in which the receiving store
//! became a replica.
//!
//! *Writes of earlier epochs.* Before it replies, each source has learned the new epoch and no longer accepts writes of an
//! older one. So a write acknowledged in an older epoch reached its quorum before the pages were read. Of the `n` complete
//! replicas of that time, `q` have the write, and any `n - q + 1` of them include one of those. A store that lost its disk
//! is not a source. With `n = 2 x hosts_lost + 1`, `n - hosts_lost = n - q + 1` sources are left even after `hosts_lost`
//! disks are lost. In that case all of them are read, and as `q > hosts_lost`, one of them has the write.
//!
//! *Writes of the new epoch* are also sent to the receiving store, but don't wait for it: they are acknowledged by `q`
//! other replicas that are complete. Once its transfer is complete, the receiving store counts as a replica that may or
//! may not have such a write, like any slow replica, so the next quorum intersects a replica that has it.
//!
//! *A further change of the replicas* during the transfer would break the last point: a disk with such a write may be
//! lost, and the transfer may lack the write. So a transfer is valid only if it began in the epoch in which the replicas
//! last changed, or later. The store restarts its transfer on each change of the replicas, and control ignores reports of
//! transfers that began before the change.

use opalrun_wire::{feed::PartitionReplicas, ids::NodeIdentity};

/// Plan of one partition's transfer: tracks the progress at each source and selects the next page to request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferPlan {
    /// Number of sources that must be read to their last page.
    required_sources: usize,
    /// Sources in ascending order of their identities.
    sources: Vec<Source>,
    /// The source whose request failed last: sources with higher identities are tried before it.
    last_failed: Option<NodeIdentity>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Source {
    store: NodeIdentity,
    cursor: u64,
    is_read: bool,
}

/// The next page to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextPage {
    /// Identity of the source.
    pub store: NodeIdentity,
    /// Start of the page: the lowest number of a log record of the source that the page may contain.
    pub cursor: u64,
}

impl TransferPlan {
    /// Creates the plan by which the store `identity` catches up on a partition with the given placement.
    #[must_use]
    pub fn new(partition: &PartitionReplicas, identity: NodeIdentity) -> Self {
        let complete =
            partition.replicas.iter().filter(|replica| replica.is_complete).map(|replica| replica.store);
        let mut stores: Vec<NodeIdentity> =
            complete.chain(partition.sources.iter().copied()).filter(|store| *store != identity).collect();
        stores.sort_unstable();
        stores.dedup();
        let sources = stores.into_iter().map(|store| Source { store, cursor: 0, is_read: false }).collect();
        let required_sources = (partition.replicas.len() + 1).saturating_sub(partition.quorum()).max(1);
        Self { required_sources, sources, last_failed: None }
    }

    /// Whether the required number of sources have been read to their last page.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.sources.iter().filter(|source| source.is_read).count() >= self.required_sources
    }

    /// Whether the store map lists at least the required number of sources.
    #[must_use]
    pub fn has_enough_sources(&self) -> bool {
        self.sources.len() >= self.required_sources
    }

    /// Returns the next page to request; `None` if the transfer is complete or every source has been read.
    #[must_use]
    pub fn next_page(&self) -> Option<NextPage> {
        if self.is_complete() {
            return None;
        }
        let mut unread = self.sources.iter().filter(|source| !source.is_read);
        let after_failed = |source: &&Source| self.last_failed.is_none_or(|failed| source.store > failed);
        let source = unread.clone().find(after_failed).or_else(|| unread.next())?;
        Some(NextPage { store: source.store, cursor: source.cursor })
    }

    /// Records that a page of a source was merged. The next page of the source begins at `next`; `None` after its last
    /// page.
    pub fn record_page(&mut self, store: NodeIdentity, next: Option<u64>) {
        if let Some(source) = self.sources.iter_mut().find(|source| source.store == store) {
            match next {
                Some(cursor) => source.cursor = cursor,
                None => source.is_read = true,
            }
        }
    }

    /// Records that a request to a source failed: the other sources are tried before it is retried.
    pub fn record_failure(&mut self, store: NodeIdentity) {
        self.last_failed = Some(store);
    }

    /// Applies a changed placement of the partition. Sources that have been read to their last page still count, even if
    /// the new placement no longer lists them.
    pub fn set_sources(&mut self, partition: &PartitionReplicas, identity: NodeIdentity) {
        let mut updated = Self::new(partition, identity);
        for known in &self.sources {
            match updated.sources.iter_mut().find(|source| source.store == known.store) {
                Some(source) => *source = *known,
                None if known.is_read => updated.sources.push(*known),
                None => {}
            }
        }
        updated.sources.sort_unstable_by_key(|source| source.store);
        updated.last_failed = self.last_failed;
        *self = updated;
    }
}
