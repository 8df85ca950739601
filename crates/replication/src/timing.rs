//! Durations of the protocol, in milliseconds of the monotonic clock that the caller supplies.
//!
//! `broadcast time` ≪ `election timeout` (Raft §5.6): several heartbeats are sent within the shortest election time-out.

/// Interval between heartbeats of the leader.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// The shortest election time-out. A replica that hears from no leader for a random time between this and
/// [`MAX_ELECTION_TIMEOUT_MS`] begins an election. A follower denies votes for this long after it last heard from a leader.
pub const MIN_ELECTION_TIMEOUT_MS: u64 = 350;
/// The longest election time-out. A leader that hears from no majority for this long steps down.
pub const MAX_ELECTION_TIMEOUT_MS: u64 = 700;
/// The shortest election time-out of a replica that has just started. It is shorter than the regular one because it cannot
/// depose an active leader: replicas that hear from the leader deny their votes.
pub const MIN_FIRST_ELECTION_TIMEOUT_MS: u64 = 100;
/// The longest election time-out of a replica that has just started.
pub const MAX_FIRST_ELECTION_TIMEOUT_MS: u64 = 350;
/// For this long after it requested pre-votes, a replica grants none to a candidate of lower priority.
pub const PRE_VOTE_PRIORITY_MS: u64 = 150;
/// A leadership transfer that takes longer is aborted.
pub const LEADERSHIP_TRANSFER_TIMEOUT_MS: u64 = 700;
/// Time after which a snapshot chunk without a response is sent again.
pub const SNAPSHOT_CHUNK_RETRY_MS: u64 = 400;
/// A member that responded within this time counts as active in membership changes, compaction and leadership transfers.
pub const RECENTLY_ACTIVE_MS: u64 = 500;
/// Maximum interval at which callers should call [`Replica::tick`](crate::Replica::tick).
pub const TICK_INTERVAL_MS: u64 = 50;
