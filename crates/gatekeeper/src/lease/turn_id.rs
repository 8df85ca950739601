//! Identifier of a turn within one gatekeeper process.

/// Identifies a turn from its beginning to its end. A [`Leases`](super::Leases) instance never reuses an identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TurnId(pub(super) u64);
