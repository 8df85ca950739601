//! Log compaction (Raft §7): removes entries from memory once a snapshot replaces them.

use crate::{
    LogIndex,
    progress::{Progress, ProgressState},
    replica::Replica,
};

/// Maximum size of the entries that are kept, although a snapshot replaces them, for members that are catching up, in bytes.
pub const MAX_CATCH_UP_BYTES: usize = 32 << 20;

impl Replica {
    /// Drops the entries up to `index`, which a snapshot on disk replaces, except for the newest `kept_entries` of them, up
    /// to `kept_bytes`, and those that members which are catching up still need, up to [`MAX_CATCH_UP_BYTES`]. The kept
    /// entries spare members that lag slightly a snapshot, and members that were sent one a second one.
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

    /// Returns the last index to compact so that the newest entries up to `index` are kept within both limits.
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

    /// Returns the index of the last entry that no active member still has to be sent.
    fn last_not_needed_by_peers(&self) -> Option<LogIndex> {
        let last_received = |peer: &Progress| match peer.state {
            ProgressState::Snapshot(snapshot) => snapshot.last_included_index,
            _ => peer.match_index,
        };
        // A member that lacks entries up to the base index needs a snapshot in any case, as they were compacted.
        let base_index = self.log.base_index();
        let active = self.role.leader()?.progress.values().filter(|peer| self.is_recently_active(peer));
        active.map(last_received).filter(|index| *index >= base_index).min()
    }
}
