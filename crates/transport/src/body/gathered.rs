//! Bytes of bodies that are held in memory, within a budget of the whole process.

use super::GATHERED;
use bytes::{Bytes, BytesMut};
use std::{cell::Cell, collections::VecDeque, rc::Rc};

/// What the process may gather of all bodies together, in bytes.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }
}

/// Bytes gathered, on the pool's account.
pub struct Gathered {
    pool: MemoryBudget,
    taken: usize,
    pub(super) parts: VecDeque<Bytes>,
}

impl Gathered {
    pub fn new(pool: &MemoryBudget) -> Self {
        Self { pool: pool.clone(), taken: 0, parts: VecDeque::new() }
    }

    /// Whether so many more bytes may be gathered.
    pub fn fits(&self, more: usize) -> bool {
        self.taken + more <= GATHERED && more <= self.pool.0.get()
    }

    /// Takes a piece in, also one that does not fit: that is the last, and what follows streams.
    pub fn push(&mut self, part: Bytes) {
        let taken = part.len().min(self.pool.0.get());
        self.pool.0.set(self.pool.0.get() - taken);
        self.taken += taken;
        self.parts.push_back(part);
    }

    pub fn len(&self) -> u64 {
        self.parts.iter().map(|p| p.len() as u64).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    /// All of it as one piece from now on, which is cheap to send more than once.
    pub(super) fn join(&mut self) {
        if self.parts.len() > 1 {
            let mut whole = BytesMut::with_capacity(self.len() as usize);
            self.parts.drain(..).for_each(|p| whole.extend_from_slice(&p));
            self.parts.push_back(whole.freeze());
        }
    }

    /// What has been joined.
    pub fn whole(&self) -> Bytes {
        self.parts.front().cloned().unwrap_or_default()
    }
}

impl Drop for Gathered {
    fn drop(&mut self) {
        self.pool.0.set(self.pool.0.get() + self.taken);
    }
}
