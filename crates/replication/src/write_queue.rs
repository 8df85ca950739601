//! Writes on their way to the disk, and the messages that may be sent only when a write is synced.
//!
//! A replica updates its term, vote and log on stable storage before it responds (Raft §5.1, figure 2): what it says must
//! not be undone by a loss of power.

use crate::{HardState, LogIndex, Message, Snapshot, Write, entry::SharedEntry};
use std::{collections::VecDeque, rc::Rc};

/// Writes on their way to the disk.
#[derive(Debug, Clone)]
pub(crate) struct WriteQueue {
    /// Writes that were not handed to the caller yet.
    unissued: Vec<Write>,
    /// Writes that the caller was handed and has not synced, oldest first.
    in_flight: VecDeque<InFlightWrite>,
    next_sequence: u64,
    persisted_sequence: u64,
    /// The last entry of the log that is synced.
    durable_index: LogIndex,
    /// Messages that wait for a write, in the order in which they may be sent.
    deferred: VecDeque<DeferredMessage>,
}

#[derive(Debug, Clone, Copy)]
struct InFlightWrite {
    sequence: u64,
    /// The last entry of the log that is synced together with this write.
    last_index: LogIndex,
}

#[derive(Debug, Clone)]
struct DeferredMessage {
    /// The write that must be synced first.
    after_write: u64,
    message: Message,
}

impl WriteQueue {
    /// An empty queue over a disk that has the log up to an entry.
    pub fn new(durable_index: LogIndex) -> Self {
        Self {
            unissued: Vec::new(),
            in_flight: VecDeque::new(),
            next_sequence: 1,
            persisted_sequence: 0,
            durable_index,
            deferred: VecDeque::new(),
        }
    }

    /// The last entry of the log that is synced.
    pub fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    /// Whether a write is synced.
    pub fn is_persisted(&self, sequence: u64) -> bool {
        sequence <= self.persisted_sequence
    }

    /// Writes a term and vote. Returns the sequence number of the write.
    pub fn write_hard_state(&mut self, hard_state: HardState) -> u64 {
        let write = self.open_write();
        write.hard_state = Some(hard_state);
        write.sequence
    }

    /// Writes an entry.
    pub fn write_entry(&mut self, entry: SharedEntry) {
        self.open_write().entries.push(entry);
    }

    /// Writes a snapshot, which replaces the log.
    pub fn write_snapshot(&mut self, snapshot: Rc<Snapshot>) {
        self.truncate_durable(LogIndex::START);
        self.begin_write().snapshot = Some(snapshot);
    }

    /// Entries after this one are replaced: they don't count as synced, whatever is under way.
    pub fn truncate_durable(&mut self, index: LogIndex) {
        self.durable_index = self.durable_index.min(index);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(index);
        }
    }

    /// Hands the gathered writes out; `last_index` is the last entry of the log as of now.
    pub fn issue(&mut self, last_index: LogIndex) -> Vec<Write> {
        let writes = std::mem::take(&mut self.unissued);
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

    /// Every write up to this sequence number is synced. Returns the messages that waited for them.
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

    /// Keeps a message until everything written so far is synced. Returns it if that is so already.
    pub fn defer(&mut self, message: Message) -> Option<Message> {
        let after_write = self.next_sequence - 1;
        if self.is_persisted(after_write) {
            return Some(message);
        }
        self.deferred.push_back(DeferredMessage { after_write, message });
        None
    }

    /// The write that is being gathered.
    fn open_write(&mut self) -> &mut Write {
        if self.unissued.is_empty() {
            self.begin_write();
        }
        let newest = self.unissued.len() - 1;
        &mut self.unissued[newest]
    }

    /// Begins another write after those gathered.
    fn begin_write(&mut self) -> &mut Write {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.unissued.push(Write { sequence, hard_state: None, snapshot: None, entries: Vec::new() });
        let newest = self.unissued.len() - 1;
        &mut self.unissued[newest]
    }
}
