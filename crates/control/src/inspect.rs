//! What a control process has stored on its disk, for people: numbers and sizes, never contents. The fields are named as
//! in the JSON of `opalrun state`.

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

/// What a control process has stored on its disk.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct ControlState {
    /// Its identity.
    pub identity: NodeIdentity,
    /// Number of the members that its groups began with; 0 in a process that joined later.
    pub first_members: u64,
    /// Bytes of the journal of all groups.
    pub journal_bytes: u64,
    /// The generation of the configuration in the snapshot; 0 for none.
    pub snapshot_generation: Generation,
    /// The generation after all entries, which need not be committed; 0 for none.
    pub log_generation: Generation,
    /// The epoch of the store map after all entries.
    pub store_epoch: Epoch,
    /// The groups.
    pub shards: Vec<ShardState>,
}

/// One replicated group on disk.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct ShardState {
    /// The shard's number; 0 holds the configuration, the others sessions.
    pub shard: Shard,
    /// The newest term known.
    pub term: Term,
    /// Whom the process voted for in that term.
    pub vote: Option<NodeIdentity>,
    /// The last entry that the snapshot covers; 0 without one.
    pub snapshot_index: LogIndex,
    /// That entry's term.
    pub snapshot_term: Term,
    /// Bytes of the snapshot.
    pub snapshot_bytes: u64,
    /// Entries in the journal after the snapshot.
    pub entries: u64,
    /// About how many bytes they take.
    pub entry_bytes: u64,
    /// The last entry.
    pub last_index: LogIndex,
    /// Its term.
    pub last_term: Term,
    /// Sessions of workers after all entries.
    pub workers: u64,
    /// The newest members, committed or not.
    pub members: Vec<MemberState>,
}

/// A member of a group.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct MemberState {
    /// Its identity.
    pub identity: NodeIdentity,
    /// Where the others reach it.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
}

/// Something that is wrong with the state on disk.
#[derive(Debug, Snafu)]
pub enum Problem {
    /// The folder has no state of a control process.
    #[snafu(display("{}: {}: no control process has kept its state here", ResultCode::STATE_MISSING, path.display()))]
    NoState {
        /// The folder.
        path: PathBuf,
    },
    /// The state can't be read.
    #[snafu(display("{source}"))]
    Unreadable {
        /// Why.
        source: HostError,
    },
    /// The term of an entry is lower than that of the entry before it.
    #[snafu(display(
        "{}: {}: the term falls at entry {index}",
        ResultCode::STATE_INCONSISTENT,
        shard_name(*shard)
    ))]
    DecreasingTerm {
        /// The shard.
        shard: Shard,
        /// The index of the entry.
        index: LogIndex,
    },
    /// An entry has a newer term than the newest one known.
    #[snafu(display(
        "{}: {}: an entry has term {term}, the newest known is {known}",
        ResultCode::STATE_INCONSISTENT,
        shard_name(*shard)
    ))]
    UnknownTerm {
        /// The shard.
        shard: Shard,
        /// The newest term of an entry.
        term: Term,
        /// The newest term known.
        known: Term,
    },
    /// The state in a snapshot can't be decoded.
    #[snafu(display(
        "{}: {}: the state in the snapshot can't be read",
        ResultCode::DISK_CORRUPT,
        shard_name(*shard)
    ))]
    UnreadableSnapshot {
        /// The shard.
        shard: Shard,
    },
    /// A command in the log can't be decoded.
    #[snafu(display(
        "{}: {}: the command of entry {index} can't be read",
        ResultCode::DISK_CORRUPT,
        shard_name(*shard)
    ))]
    UnreadableCommand {
        /// The shard.
        shard: Shard,
        /// The index of the entry.
        index: LogIndex,
    },
}

/// What was found, with everything that is wrong about it.
#[derive(Debug)]
pub struct Inspection {
    /// The state, as far as it can be read.
    pub state: Option<ControlState>,
    /// What is wrong; each text begins with a result code.
    pub problems: Vec<Problem>,
}

/// Inspects a data directory. It changes nothing if the directory's disk is read-only.
#[must_use]
pub fn inspect(directory: &DataDirectory) -> Inspection {
    match stored_state::read(directory, SHARDS) {
        Ok(Some(found)) => describe(&found),
        Ok(None) => failed(Problem::NoState { path: directory.path().to_owned() }),
        Err(source) => failed(Problem::Unreadable { source }),
    }
}

fn failed(problem: Problem) -> Inspection {
    Inspection { state: None, problems: vec![problem] }
}

fn describe(found: &StoredState) -> Inspection {
    let mut problems = Vec::new();
    let shards = Shards::new();
    for (shard, stored) in (0..).map(Shard).zip(&found.shards) {
        check_order(shard, stored, &mut problems);
        restore(&shards, shard, stored, &mut problems);
    }
    let snapshot_generation = shards.with_configuration(ConfigurationShard::generation);
    for (shard, stored) in (0..).map(Shard).zip(&found.shards) {
        replay(&shards, shard, &stored.log.entries, &mut problems);
    }
    let (log_generation, store_epoch) =
        shards.with_configuration(|shard| (shard.generation(), shard.stores().map().epoch));
    let state = ControlState {
        identity: found.identity,
        first_members: found.first_members as u64,
        journal_bytes: found.journal_bytes,
        snapshot_generation,
        log_generation,
        store_epoch,
        shards: (0..)
            .map(Shard)
            .zip(&found.shards)
            .map(|(shard, stored)| shard_state(&shards, shard, stored))
            .collect(),
    };
    Inspection { state: Some(state), problems }
}

fn shard_state(shards: &Shards, shard: Shard, found: &StoredShard) -> ShardState {
    let log = &found.log;
    let none = SnapshotMetadata::default();
    let snapshot = found.snapshot_header().unwrap_or(&none);
    let last = last_entry(found);
    ShardState {
        shard,
        term: log.hard_state.term,
        vote: log.hard_state.voted_for.map(node_identity),
        snapshot_index: snapshot.last_included_index,
        snapshot_term: snapshot.last_included_term,
        snapshot_bytes: found.snapshot.as_ref().map_or(0, Vec::len) as u64,
        entries: log.entries.len() as u64,
        entry_bytes: log.entries.iter().map(Entry::size).sum::<usize>() as u64,
        last_index: last.index,
        last_term: last.term,
        workers: shards.with_sessions(shard, |sessions| sessions.workers().len()).unwrap_or(0) as u64,
        members: newest_members(found),
    }
}

fn last_entry(found: &StoredShard) -> LogPosition {
    let base = &found.log.base;
    let at_base = LogPosition { index: base.last_included_index, term: base.last_included_term };
    found.log.entries.last().map_or(at_base, Entry::position)
}

fn newest_members(found: &StoredShard) -> Vec<MemberState> {
    let in_log = found.log.entries.iter().rev().find_map(|entry| match &entry.payload {
        Payload::MembershipChange(membership) => Some(membership),
        _ => None,
    });
    let members = &in_log.unwrap_or(&found.log.base.membership).members;
    let describe = |member: &opalrun_replication::Member| MemberState {
        identity: node_identity(member.identity),
        address: member.address.clone(),
        voter: member.is_voter,
    };
    members.iter().map(describe).collect()
}

/// Terms never fall along a log, and none is above the newest term known.
fn check_order(shard: Shard, found: &StoredShard, problems: &mut Vec<Problem>) {
    let mut term = found.log.base.last_included_term;
    for entry in &found.log.entries {
        if entry.term < term {
            problems.push(Problem::DecreasingTerm { shard, index: entry.index });
        }
        term = term.max(entry.term);
    }
    let known = found.log.hard_state.term;
    // A snapshot from another process may be newer than the last term written: its term is taken over at the start.
    if !found.log.entries.is_empty() && term > known {
        problems.push(Problem::UnknownTerm { shard, term, known });
    }
}

fn restore(shards: &Shards, shard: Shard, found: &StoredShard, problems: &mut Vec<Problem>) {
    let Some(snapshot) = &found.snapshot else { return };
    if shards.restore(shard, snapshot).is_err() {
        problems.push(Problem::UnreadableSnapshot { shard });
    }
}

/// Applies the entries. A command that can't be read has no outcome.
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
