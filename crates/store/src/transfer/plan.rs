//! What a replica that is not complete has to transfer, and from whom.
//!
//! # Safety: the transfer covers everything that was acknowledged
//!
//! A partition has `n` replicas and a quorum of `q = n / 2 + 1`. A write is acknowledged once `q` complete replicas have it
//! on disk. The receiving store reads all pages of the partition from `n - q + 1` sources: complete replicas, or former
//! ones which the store map still lists as sources, that know the epoch in which the receiving store became a replica.
//!
//! *Writes of earlier epochs.* Before it replies, each of these sources has learned the new epoch and accepts writes of an
//! older one no more. So a write acknowledged in an older epoch reached its quorum before the pages were read. Of the
//! `n` stores that counted then, `q` have it; any `n - q + 1` of them include one of those. A store that lost its disk
//! counts neither among the sources nor among those that are read, and with `n = 2 x hosts_lost + 1` there are
//! `n - hosts_lost = n - q + 1` left to read even when `hosts_lost` disks are gone: then all that are left are read, and
//! as `q > hosts_lost`, one of them has the write.
//!
//! *Writes of the new epoch* go to the receiving store as well, but don't wait for it: they are acknowledged by `q` other
//! replicas that are complete. The receiving store counts afterwards as one more that may or may not have such a write,
//! just as any replica that was slow, so the next quorum intersects one that has it.
//!
//! *A further change of the replicas* during the transfer would break the last point (a disk with such a write may be
//! gone, and the transfer may lack it). So a transfer counts only if it began in the epoch in which the replicas last
//! changed, or later: here a transfer restarts with each change of the replicas, and control ignores reports from before.

use opalrun_wire::{feed::PartitionReplicas, ids::NodeIdentity};

/// The plan of one partition's transfer: which page to request next, and whether it is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferPlan {
    /// Sources that must be read to their last page.
    required_sources: usize,
    sources: Vec<Source>,
    /// The source that failed last: those after it are tried before it.
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
    /// The identity of the source.
    pub store: NodeIdentity,
    /// Where the page begins: the lowest number of a log record of the source that it contains.
    pub cursor: u64,
}

impl TransferPlan {
    /// The plan by which the store `identity` catches up on a partition that is placed like this.
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

    /// Whether enough sources were read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.sources.iter().filter(|source| source.is_read).count() >= self.required_sources
    }

    /// Whether the store map names enough sources.
    #[must_use]
    pub fn has_enough_sources(&self) -> bool {
        self.sources.len() >= self.required_sources
    }

    /// The next page; `None` where the transfer is complete or no source is left.
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

    /// A page of a source was merged; its next one begins at `next`, if there is one.
    pub fn record_page(&mut self, store: NodeIdentity, next: Option<u64>) {
        if let Some(source) = self.sources.iter_mut().find(|source| source.store == store) {
            match next {
                Some(cursor) => source.cursor = cursor,
                None => source.is_read = true,
            }
        }
    }

    /// A source did not reply: another one is requested from before it is retried.
    pub fn record_failure(&mut self, store: NodeIdentity) {
        self.last_failed = Some(store);
    }

    /// Applies a changed placement of the partition. Sources that were read stay read.
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
