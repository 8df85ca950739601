//! A leader's view of another member's log.

use crate::LogIndex;
use std::collections::VecDeque;

/// Maximum number of append requests with entries in flight to one member.
const MAX_INFLIGHT_APPENDS: usize = 8;

/// A leader's view of another member's log.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The highest index up to which the member's log is known to match the leader's, and to be synced (`matchIndex`).
    pub match_index: LogIndex,
    /// The index of the next entry to send (`nextIndex`).
    pub next_index: LogIndex,
    pub state: ProgressState,
    /// The latest heartbeat round to which the member has responded.
    pub acknowledged_round: u64,
    /// When the member's last response arrived, in milliseconds of the replica's clock.
    pub last_response_at: u64,
    /// The latest time at which the member is known to have followed this leader: when the latest heartbeat round that it
    /// acknowledged was sent. In milliseconds of the replica's clock.
    pub followed_at: u64,
    /// The commit index that was last sent to the member.
    pub sent_commit_index: LogIndex,
    /// Duration of the last completed catch-up round (thesis §4.2.1), in milliseconds: the time that the member needed to
    /// receive all entries which the leader had at the start of the round. `None` before the first round is complete, and
    /// from the start of a snapshot transfer until the next round is complete.
    pub catch_up_ms: Option<u64>,
    catch_up_goal: CatchUpGoal,
    /// The last index of each append request that was sent and not acknowledged.
    inflight_appends: VecDeque<LogIndex>,
}

/// How entries are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// The last matching index is unknown; heartbeats probe for it.
    Probe,
    /// Entries are pipelined, without waiting for responses.
    Replicate,
    /// Switches to sending a snapshot, as the member needs entries that were compacted.
    Snapshot(SnapshotProgress),
}

/// The progress of a snapshot transfer to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotProgress {
    /// The index of the last entry that the snapshot replaces; 0 until a snapshot is available.
    pub last_included_index: LogIndex,
    /// The number of bytes that the member has received.
    pub received_bytes: u64,
    /// When the last chunk was sent, in milliseconds of the replica's clock; `None` if the next chunk is due.
    pub chunk_sent_at: Option<u64>,
}

/// A catch-up round: the index of the leader's last entry at the start of the round (thesis §4.2.1).
#[derive(Debug, Clone, Copy)]
struct CatchUpGoal {
    index: LogIndex,
    set_at: u64,
}

impl Progress {
    /// Creates the progress of a member whose log is unknown. `next_index` is the index after the leader's last entry.
    pub fn new(next_index: LogIndex, now: u64) -> Self {
        Self {
            match_index: LogIndex::START,
            next_index,
            state: ProgressState::Probe,
            acknowledged_round: 0,
            last_response_at: now,
            followed_at: now,
            sent_commit_index: LogIndex::START,
            catch_up_ms: None,
            catch_up_goal: CatchUpGoal { index: next_index.previous(), set_at: now },
            inflight_appends: VecDeque::new(),
        }
    }

    /// Returns whether another request with entries may be sent.
    pub fn may_send_entries(&self) -> bool {
        self.state == ProgressState::Replicate && self.inflight_appends.len() < MAX_INFLIGHT_APPENDS
    }

    /// Returns whether the member is being sent a snapshot.
    pub fn is_receiving_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// Records that entries up to `last` were sent.
    pub fn on_sent(&mut self, last: LogIndex) {
        self.inflight_appends.push_back(last);
        self.next_index = last.next();
    }

    /// Records that the member's log matches the leader's up to `match_index`.
    pub fn on_accepted(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        while self.inflight_appends.front().is_some_and(|last| *last <= self.match_index) {
            self.inflight_appends.pop_front();
        }
        let has_snapshot = match self.state {
            ProgressState::Snapshot(snapshot) => {
                snapshot.last_included_index != LogIndex::START
                    && self.match_index >= snapshot.last_included_index
            }
            _ => true,
        };
        if has_snapshot {
            self.state = ProgressState::Replicate;
        }
    }

    /// Completes a catch-up round if the member has reached its last entry, records the round's duration, and begins the
    /// next round. The lag is measured in time, not in bytes or entries, as some commands are a thousand times as long as
    /// others.
    pub fn record_catch_up(&mut self, now: u64, leader_last_index: LogIndex) {
        if self.match_index >= self.catch_up_goal.index {
            self.catch_up_ms = Some(now.saturating_sub(self.catch_up_goal.set_at));
            self.catch_up_goal = CatchUpGoal { index: leader_last_index, set_at: now };
        }
    }

    /// Records that the member rejected an append request: its log does not match at `previous_log_index`. Returns whether
    /// the rejection took effect: stale and duplicate rejections, and those during a snapshot transfer, are ignored.
    pub fn on_rejected(&mut self, previous_log_index: LogIndex, hint_index: LogIndex) -> bool {
        if previous_log_index <= self.match_index || self.is_receiving_snapshot() {
            return false;
        }
        if self.state == ProgressState::Probe && previous_log_index != self.next_index.previous() {
            return false;
        }
        let next_index = previous_log_index.min(hint_index.saturating_add(1));
        self.next_index = next_index.max(self.match_index.next());
        self.state = ProgressState::Probe;
        self.inflight_appends.clear();
        true
    }

    /// Switches to sending a snapshot, as the member needs entries that were compacted.
    pub fn begin_snapshot(&mut self) {
        let snapshot =
            SnapshotProgress { last_included_index: LogIndex::START, received_bytes: 0, chunk_sent_at: None };
        self.state = ProgressState::Snapshot(snapshot);
        self.catch_up_ms = None;
        self.inflight_appends.clear();
    }
}
