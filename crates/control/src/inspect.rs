//! Offline inspection of a control process's data directory: counts and sizes, never contents. The field names are
//! the keys of the JSON that `opalrun state` prints.

use crate::{
    configuration_shard::ConfigurationShard,
    host::{
        HostError,
        members::node_identity,
        stored_state::{self, StoredShard, StoredState},
    },
    shards::{SHARDS, Shards},
};
use facet::Facet;
use opalrun_replication::{Entry, LogIndex, LogPosition, Payload, SnapshotMetadata, Term};
use opalrun_storage::DataDirectory;
use opalrun_wire::{
    ResultCode,
    feed::CONFIGURATION_SHARD,
    ids::{Epoch, Generation, NodeIdentity, Shard},
};
use snafu::Snafu;
use std::path::PathBuf;

/// Summary of a control process's data directory.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct ControlState {
    /// Identity of the control process.
    pub identity: NodeIdentity,
    /// Number of members with which the groups were bootstrapped; 0 in a process that joined later.
    pub first_members: u64,
    /// Size in bytes of the journal, which all groups share.
    pub journal_bytes: u64,
    /// Generation of the configuration in the snapshot; 0 if there is none.
    pub snapshot_generation: Generation,
    /// Generation of the configuration after all log entries, committed or not; 0 if there is none.
    pub log_generation: Generation,
    /// Epoch of the store map after all log entries, committed or not.
    pub store_epoch: Epoch,
    /// One element for each replicated group.
    pub shards: Vec<ShardState>,
}

/// Stored state of one replicated group.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct ShardState {
    /// Number of the shard: 0 holds the configuration, the others hold worker sessions.
    pub shard: Shard,
    /// Current term, as stored.
    pub term: Term,
    /// Candidate that the process voted for in that term.
    pub vote: Option<NodeIdentity>,
    /// Index of the last log entry that the snapshot covers; 0 without a snapshot.
    pub snapshot_index: LogIndex,
    /// Term of the last log entry that the snapshot covers; 0 without a snapshot.
    pub snapshot_term: Term,
    /// Size of the snapshot's state in bytes.
    pub snapshot_bytes: u64,
    /// Number of log entries after the snapshot.
    pub entries: u64,
    /// Approximate size in bytes of the log entries after the snapshot.
    pub entry_bytes: u64,
    /// Index of the last log entry.
    pub last_index: LogIndex,
    /// Term of the last log entry.
    pub last_term: Term,
    /// Number of worker sessions after all log entries, committed or not.
    pub workers: u64,
    /// Members of the group by the newest membership in the log, committed or not.
    pub members: Vec<MemberState>,
}

/// A member of a group.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Identity of the member's control process.
    pub identity: NodeIdentity,
    /// Peer address of the member, for the links between control processes.
    pub address: String,
    /// Whether the member is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// An inconsistency of the stored state.
#[derive(Debug, Snafu)]
pub enum Problem {
    /// The data directory has no state of a control process.
    #[snafu(display("{}: {}: no control process has stored state in this folder", ResultCode::STATE_MISSING, path.display()))]
    NoState {
        /// Path of the data directory.
        path: PathBuf,
    },
    /// The stored state can't be read.
    #[snafu(display("{source}"))]
    Unreadable {
        /// Error of the host's storage.
        source: HostError,
    },
    /// The term of a log entry is lower than that of the entry before it.
    #[snafu(display(
        "{}: {}: log entry {index} has a lower term than the entry before it",
        ResultCode::STATE_INCONSISTENT,
        shard_name(*shard)
    ))]
    DecreasingTerm {
        /// Shard of the log.
        shard: Shard,
        /// Index of the entry with the lower term.
        index: LogIndex,
    },
    /// A log entry has a higher term than the stored current term.
    #[snafu(display(
        "{}: {}: a log entry has term {term}, but the stored current term is {current}",
        ResultCode::STATE_INCONSISTENT,
        shard_name(*shard)
    ))]
    TermAboveCurrent {
        /// Shard of the log.
        shard: Shard,
        /// Highest term of an entry in the log.
        term: Term,
        /// Stored current term.
        current: Term,
    },
    /// The state in a snapshot file can't be decoded.
    #[snafu(display(
        "{}: {}: the state in the snapshot can't be decoded",
        ResultCode::DISK_CORRUPT,
        shard_name(*shard)
    ))]
    UnreadableSnapshot {
        /// Shard of the snapshot.
        shard: Shard,
    },
    /// The command of a log entry can't be decoded.
    #[snafu(display(
        "{}: {}: the command of log entry {index} can't be decoded",
        ResultCode::DISK_CORRUPT,
        shard_name(*shard)
    ))]
    UnreadableCommand {
        /// Shard of the log.
        shard: Shard,
        /// Index of the entry.
        index: LogIndex,
    },
}

/// Result of an inspection.
#[derive(Debug)]
pub struct Inspection {
    /// Summary of the stored state; `None` if it can't be read.
    pub state: Option<ControlState>,
    /// Inconsistencies found; each message begins with a result code.
    pub problems: Vec<Problem>,
}

/// Inspects a data directory. Writes nothing if the directory was opened on a read-only disk.
#[must_use]
pub fn inspect(directory: &DataDirectory) -> Inspection {
    match stored_state::read(directory, SHARDS) {
        Ok(Some(stored)) => describe(&stored),
        Ok(None) => failed(Problem::NoState { path: directory.path().to_owned() }),
        Err(source) => failed(Problem::Unreadable { source }),
    }
}

fn failed(problem: Problem) -> Inspection {
    Inspection { state: None, problems: vec![problem] }
}

fn describe(stored_state: &StoredState) -> Inspection {
    let mut problems = Vec::new();
    let shards = Shards::new();
    for (shard, stored) in (0..).map(Shard).zip(&stored_state.shards) {
        check_order(shard, stored, &mut problems);
        restore(&shards, shard, stored, &mut problems);
    }
    let snapshot_generation = shards.with_configuration(ConfigurationShard::generation);
    for (shard, stored) in (0..).map(Shard).zip(&stored_state.shards) {
        replay(&shards, shard, &stored.log.entries, &mut problems);
    }
    let (log_generation, store_epoch) =
        shards.with_configuration(|shard| (shard.generation(), shard.stores().map().epoch));
    let state = ControlState {
        identity: stored_state.identity,
        first_members: stored_state.first_members as u64,
        journal_bytes: stored_state.journal_bytes,
        snapshot_generation,
        log_generation,
        store_epoch,
        shards: (0..)
            .map(Shard)
            .zip(&stored_state.shards)
            .map(|(shard, stored)| shard_state(&shards, shard, stored))
            .collect(),
    };
    Inspection { state: Some(state), problems }
}

fn shard_state(shards: &Shards, shard: Shard, stored: &StoredShard) -> ShardState {
    let log = &stored.log;
    let none = SnapshotMetadata::default();
    let snapshot = stored.snapshot_header().unwrap_or(&none);
    let last = last_entry(stored);
    ShardState {
        shard,
        term: log.hard_state.term,
        vote: log.hard_state.voted_for.map(node_identity),
        snapshot_index: snapshot.last_included_index,
        snapshot_term: snapshot.last_included_term,
        snapshot_bytes: stored.snapshot.as_ref().map_or(0, Vec::len) as u64,
        entries: log.entries.len() as u64,
        entry_bytes: log.entries.iter().map(Entry::size).sum::<usize>() as u64,
        last_index: last.index,
        last_term: last.term,
        workers: shards.with_sessions(shard, |sessions| sessions.workers().len()).unwrap_or(0) as u64,
        members: newest_members(stored),
    }
}

fn last_entry(stored: &StoredShard) -> LogPosition {
    let base = &stored.log.base;
    let at_base = LogPosition { index: base.last_included_index, term: base.last_included_term };
    stored.log.entries.last().map_or(at_base, Entry::position)
}

fn newest_members(stored: &StoredShard) -> Vec<MemberState> {
    let in_log = stored.log.entries.iter().rev().find_map(|entry| match &entry.payload {
        Payload::MembershipChange(membership) => Some(membership),
        _ => None,
    });
    let members = &in_log.unwrap_or(&stored.log.base.membership).members;
    let describe = |member: &opalrun_replication::Member| MemberState {
        identity: node_identity(member.identity),
        address: member.address.clone(),
        voter: member.is_voter,
    };
    members.iter().map(describe).collect()
}

/// Checks that terms never decrease along a log and that none is above the stored current term.
fn check_order(shard: Shard, stored: &StoredShard, problems: &mut Vec<Problem>) {
    let mut term = stored.log.base.last_included_term;
    for entry in &stored.log.entries {
        if entry.term < term {
            problems.push(Problem::DecreasingTerm { shard, index: entry.index });
        }
        term = term.max(entry.term);
    }
    let current = stored.log.hard_state.term;
    // An installed snapshot may have a higher term than the stored current term: the replica adopts it at its start.
    if !stored.log.entries.is_empty() && term > current {
        problems.push(Problem::TermAboveCurrent { shard, term, current });
    }
}

fn restore(shards: &Shards, shard: Shard, stored: &StoredShard, problems: &mut Vec<Problem>) {
    let Some(snapshot) = &stored.snapshot else { return };
    if shards.restore(shard, snapshot).is_err() {
        problems.push(Problem::UnreadableSnapshot { shard });
    }
}

/// Applies the commands of log entries. A command without an outcome could not be decoded.
fn replay(shards: &Shards, shard: Shard, entries: &[Entry], problems: &mut Vec<Problem>) {
    for entry in entries {
        if let Payload::Command(command) = &entry.payload
            && shards.apply(shard, entry.index, command).is_empty()
        {
            problems.push(Problem::UnreadableCommand { shard, index: entry.index });
        }
    }
}

fn shard_name(shard: Shard) -> String {
    if shard == CONFIGURATION_SHARD { "shard 0 (configuration)".to_owned() } else { format!("shard {shard}") }
}
