//! A simulated machine and its control process: the production replicas, state machines and failure detectors, with a disk
//! that survives restarts and a queue of writes that are not synced yet.

use crate::world::{Packet, member_id, node_identity};
use opalrun_control::{
    calls::{ControlAnswer, ControlCall},
    host::freshness::{self, SuspensionDetector},
    process::member_failure_detector::MemberFailureDetector,
    shards::{Shards, log_index},
};
use opalrun_replication::{
    LogIndex, LogPosition, Membership, Options, Payload, ReadIndexResult, Replica, Snapshot,
    SnapshotMetadata, Term, Write,
};
use opalrun_simulation::ReplicaDisk;
use opalrun_wire::{
    feed::ControlNode,
    ids::{NodeIdentity, Shard},
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

/// Number of simulated groups: that of the configuration, and one of sessions.
pub const GROUP_COUNT: u16 = 2;
/// Number of applied entries after which a group's log is replaced by a snapshot.
const COMPACTION_INTERVAL_ENTRIES: u64 = 30;
/// The recipient of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTarget {
    /// Another process, with its number for the call.
    Process { slot: usize, number: u64 },
    /// A pending operation of this process.
    Operation(u64),
    /// No recipient: the answer is discarded.
    Nobody,
}

/// A machine that may run a control process.
pub struct Node {
    pub slot: usize,
    pub identity: NodeIdentity,
    pub disks: Vec<ReplicaDisk>,
    pub process: Option<Process>,
    /// Queued writes, oldest first, with the time at which each is synced.
    pub writes: VecDeque<(u64, Shard, Write)>,
    /// When the process starts again; `None` if it is running or the machine is removed permanently.
    pub restarts_at: Option<u64>,
    /// The time until which the machine is frozen.
    pub frozen_until: u64,
}

/// The progress of a process that was asked to shut down.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownProgress {
    pub ends_at: u64,
    /// Whether the process was removed from the directory; it then waits until its groups no longer count it as a voter.
    pub is_removed: bool,
}

/// A running process.
pub struct Process {
    pub replicas: Vec<Replica>,
    pub shards: Shards,
    pub applied: Vec<LogIndex>,
    pub failure_detector: MemberFailureDetector,
    pub last_contact: HashMap<NodeIdentity, u64>,
    pub started_at: u64,
    proposals: BTreeMap<(Shard, LogIndex), (Term, ReplyTarget)>,
    reads: HashMap<u64, (Shard, ReplyTarget)>,
    next_read: u64,
    suspensions: SuspensionDetector,
    pub last_quorum_contact: Option<u64>,
    /// The progress of the shutdown; `None` if the process was not asked to shut down.
    pub shutdown: Option<ShutdownProgress>,
}

/// The effects of handling a process's outputs.
#[derive(Default)]
pub struct Effects {
    pub packets: Vec<(NodeIdentity, Packet)>,
    pub writes: Vec<(Shard, Write)>,
    pub answers: Vec<(ReplyTarget, ControlAnswer)>,
    /// Observed leaders: group, term, identity of the leader.
    pub leaderships: Vec<(Shard, Term, NodeIdentity)>,
    pub committed: Vec<(Shard, std::rc::Rc<opalrun_replication::Entry>)>,
}

impl Node {
    pub fn new(slot: usize, identity: NodeIdentity, genesis: Option<&Membership>) -> Self {
        let base =
            SnapshotMetadata { membership: genesis.cloned().unwrap_or_default(), ..Default::default() };
        Self {
            slot,
            identity,
            disks: (0..GROUP_COUNT).map(|_| ReplicaDisk::new(base.clone())).collect(),
            process: None,
            writes: VecDeque::new(),
            restarts_at: Some(0),
            frozen_until: 0,
        }
    }

    pub fn control_node(&self) -> ControlNode {
        ControlNode {
            identity: self.identity,
            node_name: format!("core-{}", self.slot),
            peer_address: self.slot.to_string(),
            control_address: format!("control-{}", self.slot),
            zone: format!("zone-{}", self.slot % 3),
        }
    }

    /// Starts the process from the state on disk.
    pub fn start(&mut self, now: u64, seed: u64, hosts_lost: usize, min_members: usize) {
        let shards = Shards::new();
        let mut replicas = Vec::new();
        let mut applied = Vec::new();
        for (group, disk) in (0..).map(Shard).zip(&self.disks) {
            if let Some(state) = disk.state() {
                shards.restore(group, state).expect("the process can decode its own snapshot");
            }
            let options = Options {
                identity: member_id(self.identity),
                hosts_lost,
                seed: seed.wrapping_add(u64::from(group.0)),
            };
            replicas.push(Replica::new(options, disk.restored(), now));
            applied.push(disk.base_index());
        }
        self.process = Some(Process {
            replicas,
            shards,
            applied,
            failure_detector: MemberFailureDetector::new(min_members),
            last_contact: HashMap::new(),
            started_at: now,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            suspensions: SuspensionDetector::new(now),
            last_quorum_contact: None,
            shutdown: None,
        });
        self.restarts_at = None;
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && now >= self.frozen_until
    }

    /// Carries out the writes that are synced at `now`.
    pub fn sync(&mut self, now: u64) {
        while let Some((due, _, _)) = self.writes.front()
            && *due <= now
        {
            let Some((_, group, write)) = self.writes.pop_front() else { return };
            self.disks[group.position()].write(&write);
            if let Some(process) = &mut self.process {
                process.replicas[group.position()].on_persisted(write.sequence);
            }
        }
    }

    /// Replaces long logs with snapshots if no write is queued.
    pub fn compact(&mut self) {
        let Some(process) = &mut self.process else { return };
        if !self.writes.is_empty() {
            return;
        }
        for group in (0..GROUP_COUNT).map(Shard) {
            let (disk, replica) =
                (&mut self.disks[group.position()], &mut process.replicas[group.position()]);
            let applied = process.applied[group.position()];
            if applied >= disk.base_index() + COMPACTION_INTERVAL_ENTRIES {
                let metadata = replica.applied_snapshot_metadata();
                replica.compact(metadata.last_included_index, 5, 1 << 20);
                disk.compact(Snapshot { metadata, state: process.shards.snapshot(group) });
            }
        }
    }
}

impl Process {
    pub fn replica(&mut self, group: Shard) -> &mut Replica {
        &mut self.replicas[group.position()]
    }

    pub fn leads(&self, group: Shard) -> bool {
        self.replicas[group.position()].is_leader()
    }

    /// Advances the time, as the host's tick does.
    pub fn tick(&mut self, now: u64) {
        for replica in &mut self.replicas {
            replica.tick(now);
        }
        self.suspensions.tick(now);
        if self.is_fresh(Shard(0), now) {
            self.last_quorum_contact = Some(now);
        }
    }

    /// Returns whether the group's state is fresh, by the host's criteria.
    pub fn is_fresh(&self, group: Shard, now: u64) -> bool {
        self.suspensions.is_running(now) && freshness::is_fresh(&self.replicas[group.position()], now)
    }

    pub fn all_fresh(&self, now: u64) -> bool {
        (0..GROUP_COUNT).all(|group| self.is_fresh(Shard(group), now))
    }

    /// Returns the time since the last message from another process, or since the start if there was none.
    pub fn since_last_contact(&self, identity: NodeIdentity, now: u64) -> Duration {
        let last_contact = self.last_contact.get(&identity).copied().unwrap_or(self.started_at);
        Duration::from_millis(now.saturating_sub(last_contact))
    }

    /// Proposes a command. Returns an answer only if the proposal was not accepted.
    pub fn propose(
        &mut self,
        group: Shard,
        command: Vec<u8>,
        reply_target: ReplyTarget,
    ) -> Option<ControlAnswer> {
        match self.replica(group).propose(command) {
            Ok(LogPosition { index, term }) => {
                self.proposals.insert((group, index), (term, reply_target));
                None
            }
            Err(opalrun_replication::ProposeError::NotLeader { .. }) => Some(ControlAnswer::NotOwner),
            Err(opalrun_replication::ProposeError::TooManyUncommitted) => Some(ControlAnswer::Unavailable),
        }
    }

    /// Requests a linearizable read. Returns an answer only if this process does not own the group.
    pub fn read(&mut self, group: Shard, reply_target: ReplyTarget) -> Option<ControlAnswer> {
        self.next_read += 1;
        let request = self.next_read;
        match self.replica(group).read_index(request) {
            Ok(()) => {
                self.reads.insert(request, (group, reply_target));
                None
            }
            Err(_) => Some(ControlAnswer::NotOwner),
        }
    }

    /// Handles a call. Returns the answer if it is available immediately; otherwise it is sent to `reply_target` later.
    pub fn answer(&mut self, call: ControlCall, reply_target: ReplyTarget) -> Option<ControlAnswer> {
        match call {
            ControlCall::Propose { shard, command } => self.propose(shard, command, reply_target),
            ControlCall::ReadIndex { shard } => self.read(shard, reply_target),
            ControlCall::Voters { shard } => Some(match self.replica(shard).committed_voters() {
                Some(voters) => ControlAnswer::Voters(voters.into_iter().map(node_identity).collect()),
                None => ControlAnswer::NotOwner,
            }),
            _ => Some(ControlAnswer::Unavailable),
        }
    }

    /// Handles the pending actions of all groups and returns their effects.
    pub fn handle_ready(&mut self, identity: NodeIdentity) -> Effects {
        let mut effects = Effects::default();
        for group in (0..GROUP_COUNT).map(Shard) {
            loop {
                let ready = self.replica(group).ready();
                if self.leads(group) {
                    effects.leaderships.push((group, self.replica(group).term(), identity));
                }
                effects.writes.extend(ready.writes.into_iter().map(|write| (group, write)));
                let packet = |message: opalrun_replication::Message| {
                    (node_identity(message.to), Packet::Replication { group, message })
                };
                effects.packets.extend(ready.messages.into_iter().map(packet));
                if let Some(snapshot) = ready.snapshot_to_install {
                    self.shards.restore(group, &snapshot.state).expect("a complete snapshot can be decoded");
                    self.applied[group.position()] = snapshot.metadata.last_included_index;
                    // The outcome of proposals at indexes covered by the snapshot is unknown.
                    self.proposals.retain(|(of, index), _| {
                        *of != group || *index > snapshot.metadata.last_included_index
                    });
                }
                for entry in ready.committed_entries {
                    let reply = match &entry.payload {
                        Payload::Command(command) => self.shards.apply(group, entry.index, command),
                        _ => Vec::new(),
                    };
                    self.applied[group.position()] = entry.index;
                    if let Some((term, reply_target)) = self.proposals.remove(&(group, entry.index)) {
                        let answer = if term == entry.term {
                            ControlAnswer::Proposed { index: entry.index, outcome: reply }
                        } else {
                            ControlAnswer::NotOwner
                        };
                        effects.answers.push((reply_target, answer));
                    }
                    effects.committed.push((group, entry));
                }
                for read in ready.read_results {
                    let (request, is_confirmed) = match read {
                        ReadIndexResult::Confirmed { request, .. } => (request, true),
                        ReadIndexResult::Failed { request } => (request, false),
                    };
                    if let Some((group, reply_target)) = self.reads.remove(&request) {
                        let offset = ControlAnswer::Offset(log_index(self.shards.offset(group)));
                        effects.answers.push((
                            reply_target,
                            if is_confirmed { offset } else { ControlAnswer::Unavailable },
                        ));
                    }
                }
                if !ready.is_snapshot_needed {
                    break;
                }
                let state = self.shards.snapshot(group);
                self.replica(group).offer_snapshot(state);
            }
        }
        effects
    }
}
