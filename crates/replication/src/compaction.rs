//! Log compaction (Raft §7): which entries are dropped from memory once a snapshot covers them.

use crate::{
    LogIndex,
    progress::{Progress, ProgressState},
    replica::Replica,
};

/// Bytes of entries that are kept for members who are catching up, though a snapshot covers them.
pub const MAX_CATCH_UP_BYTES: usize = 32 << 20;

impl Replica {
    /// Drops entries up to this one, which a snapshot on disk covers, except for the newest `kept_entries` of them, of
    /// `kept_bytes` at most, and for those that members who are catching up still need, of [`MAX_CATCH_UP_BYTES`] at
    /// most: with these, members that lag a little need no snapshot, and those that were sent one need no second.
    pub fn compact(&mut self, index: LogIndex, kept_entries: u64, kept_bytes: usize) {
        let mut index = index.min(self.applied_index);
        if let Some(needed) = self.last_not_needed_by_peers()
            && self.log.bytes_between(needed, index) <= MAX_CATCH_UP_BYTES
        {
            index = index.min(needed);
        }
        let index = self.keep_newest(index, kept_entries, kept_bytes);
        if index > self.log.base_index() {
            self.log.compact(index);
        }
    }

    /// The entry before the newest ones up to `index` that the limits allow to keep.
    fn keep_newest(&self, mut index: LogIndex, kept_entries: u64, kept_bytes: usize) -> LogIndex {
        let oldest = index.saturating_sub(kept_entries);
        let mut bytes = 0;
        while index > oldest {
            let Some(entry) = self.log.get(index) else {
                break;
            };
            bytes += entry.size();
            if bytes > kept_bytes {
                break;
            }
            index = index.previous();
        }
        index
    }

    /// The last entry before those that an active member still has to be sent.
    fn last_not_needed_by_peers(&self) -> Option<LogIndex> {
        let last_received = |peer: &Progress| match peer.state {
            ProgressState::Snapshot(snapshot) => snapshot.last_included_index,
            _ => peer.match_index,
        };
        // What lies before the log's base is gone: such a member needs a snapshot anyway.
        let base_index = self.log.base_index();
        let active = self.role.leader()?.progress.values().filter(|peer| self.is_recently_active(peer));
        active.map(last_received).filter(|index| *index >= base_index).min()
    }
}
