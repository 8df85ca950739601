//! What a leader knows of another member's log.

use crate::LogIndex;
use std::collections::VecDeque;

/// Requests with entries that may be in flight to one member.
const MAX_INFLIGHT_APPENDS: usize = 8;

/// What a leader knows of another member's log.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The last entry up to which the member's log is known to be the leader's, and synced (`matchIndex`).
    pub match_index: LogIndex,
    /// The next entry to send (`nextIndex`).
    pub next_index: LogIndex,
    pub state: ProgressState,
    /// The newest round of heartbeats that it answered.
    pub acknowledged_round: u64,
    /// When it last responded.
    pub last_response_at: u64,
    /// The latest moment at which it is known to have followed this leader: when the newest round that it answered was
    /// sent.
    pub followed_at: u64,
    /// The commit index that was last sent.
    pub sent_commit_index: LogIndex,
    /// How long it recently took to reach the entry that was the leader's last when it set out, in milliseconds; `None`
    /// while that is not known.
    pub catch_up_ms: Option<u64>,
    catch_up_goal: CatchUpGoal,
    /// The last entries of requests that were sent and not answered.
    inflight_appends: VecDeque<LogIndex>,
}

/// Which entries a member is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// It is not known up to where the logs are the same: heartbeats ask.
    Probe,
    /// Entries are sent without waiting for responses.
    Replicate,
    /// It needs entries that were compacted away.
    Snapshot(SnapshotProgress),
}

/// How far a member has received a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotProgress {
    /// The last entry that the snapshot covers; 0 before there is a snapshot.
    pub last_included_index: LogIndex,
    /// Bytes that the member has.
    pub received_bytes: u64,
    /// When the last chunk was sent; `None` if the next one is due.
    pub chunk_sent_at: Option<u64>,
}

/// The round of the paper's catch-up: the leader's last entry at a moment (thesis §4.2.1).
#[derive(Debug, Clone, Copy)]
struct CatchUpGoal {
    index: LogIndex,
    set_at: u64,
}

impl Progress {
    /// A member of which nothing is known yet; `next_index` is one after the leader's last entry.
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

    /// Whether another request with entries may be sent.
    pub fn may_send_entries(&self) -> bool {
        self.state == ProgressState::Replicate && self.inflight_appends.len() < MAX_INFLIGHT_APPENDS
    }

    /// Whether it is being sent a snapshot.
    pub fn is_receiving_snapshot(&self) -> bool {
        matches!(self.state, ProgressState::Snapshot(_))
    }

    /// Entries up to `last` were sent.
    pub fn on_sent(&mut self, last: LogIndex) {
        self.inflight_appends.push_back(last);
        self.next_index = last.next();
    }

    /// Its log is the leader's up to `match_index`.
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

    /// Measures by how much time it is behind. Bytes and entries would not tell: some commands are a thousand times as
    /// long as others.
    pub fn record_catch_up(&mut self, now: u64, leader_last_index: LogIndex) {
        if self.match_index >= self.catch_up_goal.index {
            self.catch_up_ms = Some(now.saturating_sub(self.catch_up_goal.set_at));
            self.catch_up_goal = CatchUpGoal { index: leader_last_index, set_at: now };
        }
    }

    /// It has no entry of the leader's term at `previous_log_index`. Returns whether this was not known.
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

    /// It needs entries that were compacted away.
    pub fn begin_snapshot(&mut self) {
        let snapshot =
            SnapshotProgress { last_included_index: LogIndex::START, received_bytes: 0, chunk_sent_at: None };
        self.state = ProgressState::Snapshot(snapshot);
        self.catch_up_ms = None;
        self.inflight_appends.clear();
    }
}
