//! Pending disk writes, and the messages that may be sent only after a write is synced.
//!
//! A replica updates its term, vote and log on stable storage before it responds (Raft §5.1, figure 2), so that a power
//! failure cannot undo what it has acknowledged.

use crate::{HardState, LogIndex, Message, Snapshot, Write, entry::SharedEntry};
use std::{collections::VecDeque, rc::Rc};

/// Pending disk writes.
#[derive(Debug, Clone)]
pub(crate) struct WriteQueue {
    /// Writes not yet returned to the caller.
    queued: Vec<Write>,
    /// Writes returned to the caller and not yet synced, oldest first.
    in_flight: VecDeque<InFlightWrite>,
    next_sequence: u64,
    persisted_sequence: u64,
    /// The index of the last synced log entry.
    durable_index: LogIndex,
    /// Messages that wait for a write to be synced, in the order of those writes.
    deferred: VecDeque<DeferredMessage>,
}

#[derive(Debug, Clone, Copy)]
struct InFlightWrite {
    sequence: u64,
    /// The index of the last log entry that is synced once this write is.
    last_index: LogIndex,
}

#[derive(Debug, Clone)]
struct DeferredMessage {
    /// The sequence number of the write that must be synced first.
    after_write: u64,
    message: Message,
}

impl WriteQueue {
    /// Creates an empty queue. The disk holds the log up to `durable_index`.
    pub fn new(durable_index: LogIndex) -> Self {
        Self {
            queued: Vec::new(),
            in_flight: VecDeque::new(),
            next_sequence: 1,
            persisted_sequence: 0,
            durable_index,
            deferred: VecDeque::new(),
        }
    }

    /// The index of the last synced log entry.
    pub fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Returns whether the write with this sequence number is synced.
    pub fn is_persisted(&self, sequence: u64) -> bool {
        sequence <= self.persisted_sequence
    }

    /// Queues a write of term and vote. Returns the sequence number of the write.
    pub fn write_hard_state(&mut self, hard_state: HardState) -> u64 {
        let write = self.open_write();
        write.hard_state = Some(hard_state);
        write.sequence
    }

    /// Queues a write of a log entry.
    pub fn write_entry(&mut self, entry: SharedEntry) {
        self.open_write().entries.push(entry);
    }

    /// Queues a write of a snapshot, which replaces the log.
    pub fn write_snapshot(&mut self, snapshot: Rc<Snapshot>) {
        self.truncate_durable(LogIndex::START);
        self.begin_write().snapshot = Some(snapshot);
    }

    /// Records that the entries after `index` are replaced: they no longer count as synced, even when writes of the old
    /// entries in flight complete.
    pub fn truncate_durable(&mut self, index: LogIndex) {
        self.durable_index = self.durable_index.min(index);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(index);
        }
    }

    /// Returns the queued writes and marks them as in flight. `last_index` is the current last index of the log.
    pub fn issue(&mut self, last_index: LogIndex) -> Vec<Write> {
        let writes = std::mem::take(&mut self.queued);
        for write in &writes {
            self.in_flight.push_back(InFlightWrite { sequence: write.sequence, last_index: LogIndex::START });
        }
        if !writes.is_empty()
            && let Some(newest) = self.in_flight.back_mut()
        {
            newest.last_index = last_index;
        }
        writes
    }

    /// Records that every write up to this sequence number is synced. Returns the messages that waited for these writes.
    pub fn on_persisted(&mut self, sequence: u64) -> Vec<Message> {
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        while let Some(write) = self.in_flight.front().copied() {
            if write.sequence > self.persisted_sequence {
                break;
            }
            self.durable_index = self.durable_index.max(write.last_index);
            self.in_flight.pop_front();
        }
        let persisted = self.persisted_sequence;
        let released = self.deferred.iter().take_while(|deferred| deferred.after_write <= persisted).count();
        self.deferred.drain(..released).map(|deferred| deferred.message).collect()
    }

    /// Defers a message until everything queued so far is synced. Returns the message if that is already the case.
    pub fn defer(&mut self, message: Message) -> Option<Message> {
        let after_write = self.next_sequence - 1;
        if self.is_persisted(after_write) {
            return Some(message);
        }
        self.deferred.push_back(DeferredMessage { after_write, message });
        None
    }

    /// Returns the write to which further data is added; begins one if there is none.
    fn open_write(&mut self) -> &mut Write {
        if self.queued.is_empty() {
            self.begin_write();
        }
        let newest = self.queued.len() - 1;
        &mut self.queued[newest]
    }

    /// Begins a new write after the queued ones.
    fn begin_write(&mut self) -> &mut Write {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.queued.push(Write { sequence, hard_state: None, snapshot: None, entries: Vec::new() });
        let newest = self.queued.len() - 1;
        &mut self.queued[newest]
    }
}
