//! Limits of client connections.

use std::time::Duration;

/// Limits of client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Longest request head, in bytes.
    pub max_head_bytes: usize,
    /// Time-out of a request head, from its first byte on.
    pub head_timeout: Duration,
    /// Time-out of the first request head on a connection, from the start of the connection on.
    pub first_head_timeout: Duration,
    /// Time-out of an idle connection between requests.
    pub idle_timeout: Duration,
    /// Time without activity after which a connection counts as idle: it may be evicted before younger ones, and is
    /// closed when the server drains.
    pub eviction_min_idle: Duration,
    /// A response of which the client accepts no byte for this long is aborted.
    pub write_stall_timeout: Duration,
}
