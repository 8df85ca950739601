//! Progress of a response that is forwarded in chunks.

use super::MAX_BUFFERED_BYTES;
use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// The progress of a response that is forwarded to its client in chunks. A response of at most [`MAX_BUFFERED_BYTES`]
/// is short: the deadline of the request applies to all of it, and the user of this type ends it if its worker stalls
/// after the deadline. A longer response may continue after the deadline.
#[derive(Debug)]
pub struct Forwarding {
    /// Maximum number of further bytes with which the response still counts as short; `None` if it is long.
    short_remaining: Cell<Option<usize>>,
    /// Since when the worker has been waited for; `None` while the client is waited for.
    waiting_since: Cell<Option<Instant>>,
}

impl Forwarding {
    /// Creates the progress of a response of `length` bytes, if that is known, of which `received` bytes have been
    /// received, the last ones at `last_received_at`.
    #[must_use]
    pub fn new(length: Option<u64>, received: usize, last_received_at: Instant) -> Self {
        let may_be_short = length.is_none_or(|length| length <= MAX_BUFFERED_BYTES as u64);
        let short_remaining = if may_be_short { MAX_BUFFERED_BYTES.checked_sub(received) } else { None };
        Self { short_remaining: Cell::new(short_remaining), waiting_since: Cell::new(Some(last_received_at)) }
    }

    /// Records that the client has accepted all bytes received: the worker is waited for from now on.
    pub fn delivered(&self) {
        self.waiting_since.set(Some(Instant::now()));
    }

    /// Records that the worker has sent `bytes` further bytes.
    pub fn received(&self, bytes: usize) {
        self.waiting_since.set(None);
        self.short_remaining
            .set(self.short_remaining.get().and_then(|remaining| remaining.checked_sub(bytes)));
    }

    /// Returns for how long a short response has been waiting for its worker; `None` for a long response.
    #[must_use]
    pub fn stalled(&self) -> Option<Duration> {
        self.short_remaining.get()?;
        Some(self.waiting_since.get().map_or(Duration::ZERO, |since| since.elapsed()))
    }
}
