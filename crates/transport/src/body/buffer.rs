//! Buffering of bodies in memory, within a budget for the whole process.

use super::MAX_BUFFERED_BYTES;
use bytes::{Bytes, BytesMut};
use std::{cell::Cell, collections::VecDeque, rc::Rc};

/// The number of bytes that may still be buffered, for all bodies together. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// Creates a budget of `bytes` bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    fn available(&self) -> usize {
        self.0.get()
    }

    /// Reserves `bytes` bytes, or what is available if that is less. Returns the number of bytes reserved.
    fn reserve(&self, bytes: usize) -> usize {
        let reserved = bytes.min(self.0.get());
        self.0.set(self.0.get() - reserved);
        reserved
    }

    fn release(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }
}

/// The buffered beginning of a body. Dropping it releases its bytes to the budget.
pub struct BodyBuffer {
    budget: MemoryBudget,
    /// Bytes reserved from the budget.
    reserved: usize,
    pub(super) chunks: VecDeque<Bytes>,
}

impl BodyBuffer {
    /// Creates an empty buffer that reserves its bytes from `budget`.
    #[must_use]
    pub fn new(budget: &MemoryBudget) -> Self {
        Self { budget: budget.clone(), reserved: 0, chunks: VecDeque::new() }
    }

    /// Whether `more` further bytes may be buffered.
    #[must_use]
    pub fn fits(&self, more: usize) -> bool {
        self.reserved + more <= MAX_BUFFERED_BYTES && more <= self.budget.available()
    }

    /// Appends a chunk. One that does not fit has to be the last; the rest of the body is forwarded in chunks.
    pub fn push(&mut self, chunk: Bytes) {
        self.reserved += self.budget.reserve(chunk.len());
        self.chunks.push_back(chunk);
    }

    /// Returns the number of bytes buffered.
    #[must_use]
    pub fn len(&self) -> u64 {
        self.chunks.iter().map(|chunk| chunk.len() as u64).sum()
    }

    /// Whether nothing is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.iter().all(Bytes::is_empty)
    }

    /// Joins all chunks into one, which can be sent several times without copying.
    pub(super) fn coalesce(&mut self) {
        if self.chunks.len() < 2 {
            return;
        }
        let mut joined = BytesMut::with_capacity(self.len() as usize);
        for chunk in self.chunks.drain(..) {
            joined.extend_from_slice(&chunk);
        }
        self.chunks.push_back(joined.freeze());
    }

    /// Returns the bytes of a coalesced buffer.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        self.chunks.front().cloned().unwrap_or_default()
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.release(self.reserved);
    }
}
