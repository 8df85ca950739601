//! How long clients may take, and how much they may send.

use std::time::Duration;

/// What holds for the connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Longest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest time for a head to come, from its first byte on.
    pub head_timeout: Duration,
    /// Longest time for the first head on a connection to come, from the connection's beginning on.
    pub first_head_timeout: Duration,
    /// Longest time for a connection to stand idle between requests.
    pub idle_timeout: Duration,
    /// A connection that has carried nothing for so long may be closed to make room.
    pub eviction_min_idle: Duration,
    /// An answer of which its client takes nothing for so long is given up.
    pub write_stall_timeout: Duration,
}
