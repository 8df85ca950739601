//! Unit of time in a recording.

/// Microseconds since the load began; 0 for earlier events.
pub type Micros = u64;
