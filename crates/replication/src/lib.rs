//! A replicated log for one group of processes: Raft (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", extended version; "thesis" is D. Ongaro, "Consensus: Bridging Theory and Practice"). The implementation
//! performs no I/O.
//!
//! The caller drives a [`Replica`] by [`tick`](Replica::tick), [`step`](Replica::step), [`propose`](Replica::propose),
//! [`read_index`](Replica::read_index) and [`on_persisted`](Replica::on_persisted), and carries out what
//! [`ready`](Replica::ready) returns: messages to send, writes to sync, entries to apply. The caller owns the disk, the
//! network and the state machine.
//!
//! Beyond the paper:
//! - an entry is committed once it is synced on a majority of the voters and on at least `hosts_lost + 1` of them;
//! - elections begin with a pre-vote, and votes are denied while a leader is active, so a process that was partitioned or
//!   removed cannot depose the leader;
//! - a leader that hears from no majority for an election time-out steps down;
//! - a follower knows whether its own messages reach the leader;
//! - a received snapshot is installed only if the complete state matches the SHA-256 digest stated in its chunks;
//! - reads are confirmed by a round of heartbeats (`ReadIndex`), not by clocks;
//! - a member's identity is stored on its disk: a process that lost its disk returns under a new identity, which has no vote
//!   until it is added.
//!
//! # Modules
//! Types that do not depend on [`Replica`]: [`ids`], `entry`, `membership`, `quorum`, `hard_state`, `snapshot`, `message`,
//! `ready`, [`timing`], `raft_log`, `progress`, `heartbeat_rounds`, `leader_contact`, `leader_state`, `role`,
//! `snapshot_transfer`, `write_queue`, `election_timer`. On top of them, `replica` holds the state, and `election`,
//! `follower`, `append_entries`, `read_index`, `contact`, `leadership_transfer`, `install_snapshot`, `membership_change`
//! and `compaction` implement the protocol; `step` dispatches the inputs to them.
#![forbid(unsafe_code)]

mod append_entries;
mod compaction;
mod contact;
mod election;
mod election_timer;
mod entry;
mod follower;
mod hard_state;
mod heartbeat_rounds;
pub mod ids;
mod install_snapshot;
mod leader_contact;
mod leader_state;
mod leadership_transfer;
mod membership;
mod membership_change;
mod message;
mod progress;
mod quorum;
mod raft_log;
mod read_index;
mod ready;
mod replica;
mod role;
mod snapshot;
mod snapshot_transfer;
mod step;
pub mod timing;
mod write_queue;

pub use append_entries::MAX_UNCOMMITTED_BYTES;
pub use compaction::MAX_CATCH_UP_BYTES;
pub use entry::{Entry, Payload};
pub use hard_state::HardState;
pub use ids::{LogIndex, LogPosition, MemberId, Term};
pub use membership::{Member, Membership};
pub use message::{AppendOutcome, Message, MessageBody};
pub use ready::{ReadIndexResult, Ready, Write};
pub use replica::{Options, ProposeError, Replica, RestoredState};
pub use snapshot::{MAX_SNAPSHOT_BYTES, Snapshot, SnapshotMetadata};
