//! How far an answer has come that is passed on in pieces.

use super::GATHERED;
use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// How an answer goes on that is given to its client in pieces.
#[derive(Debug)]
pub struct Forwarding {
    /// Bytes that it may bring yet and still be a short one, which is due whole; `None`: it is a long one.
    short: Cell<Option<usize>>,
    /// Since when its worker is waited for; `None`: its client is.
    waits: Cell<Option<Instant>>,
}

impl Forwarding {
    /// `length` bytes in all, where that is known, of which `seen` have come, the last at `last`.
    pub fn new(length: Option<u64>, seen: usize, last: Instant) -> Self {
        let short = length.is_none_or(|n| n <= GATHERED as u64);
        let short = short.then_some(GATHERED).and_then(|most| most.checked_sub(seen));
        Self { short: Cell::new(short), waits: Cell::new(Some(last)) }
    }

    /// The client has taken what came: the worker is waited for from now on.
    pub fn taken(&self) {
        self.waits.set(Some(Instant::now()));
    }

    /// The worker has given so many bytes more.
    pub fn gave(&self, bytes: usize) {
        self.waits.set(None);
        self.short.set(self.short.get().and_then(|most| most.checked_sub(bytes)));
    }

    /// How long a short answer has been waiting for its worker by now; `None`: it is a long one.
    pub fn stalled(&self) -> Option<Duration> {
        self.short.get()?;
        Some(self.waits.get().map_or(Duration::ZERO, |since| since.elapsed()))
    }
}
