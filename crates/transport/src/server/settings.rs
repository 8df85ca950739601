//! How long clients may take, and how much they may send.

use std::time::Duration;

/// What holds for the connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Longest head of a request, in bytes.
    pub longest_head: usize,
    /// Longest time for a head to come, from its first byte on.
    pub head_time: Duration,
    /// Longest time for the first head on a connection to come, from the connection's beginning on.
    pub first_time: Duration,
    /// Longest time for a connection to stand idle between requests.
    pub idle_time: Duration,
    /// A connection that has carried nothing for so long may be closed to make room.
    pub spare_time: Duration,
    /// An answer of which its client takes nothing for so long is given up.
    pub untaken_time: Duration,
}
