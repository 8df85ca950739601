//! One control process of the simulated world: the replicas, the state machines and the watches that ship, with a disk that
//! lasts and one that does not.

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

/// The groups that are played: the configuration's, and one of sessions.
pub const GROUP_COUNT: u16 = 2;
/// Entries after which a group's log is replaced by a snapshot.
const COMPACTION_INTERVAL_ENTRIES: u64 = 30;
/// Who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTarget {
    /// Another process, which calls it so.
    Process { slot: usize, number: u64 },
    /// An operation of this process.
    Operation(u64),
    /// Nobody.
    Nobody,
}

/// A machine that may run a control process.
pub struct Node {
    pub slot: usize,
    pub identity: NodeIdentity,
    pub disks: Vec<ReplicaDisk>,
    pub process: Option<Process>,
    /// Writes under way to the disk, with when each is synced.
    pub writes: VecDeque<(u64, Shard, Write)>,
    /// When the process starts again; `None` where the machine is gone for good.
    pub restarts_at: Option<u64>,
    /// Until when it stands still.
    pub frozen_until: u64,
}

/// How far a process that was asked to end has left its groups.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    pub ends_at: u64,
    /// It was dropped from the directory, and waits until its groups go on without it.
    pub is_dropped: bool,
}

/// A running process.
pub struct Process {
    pub replicas: Vec<Replica>,
    pub shards: Shards,
    pub applied: Vec<LogIndex>,
    pub members: MemberFailureDetector,
    pub last_contact: HashMap<NodeIdentity, u64>,
    pub started: u64,
    proposals: BTreeMap<(Shard, LogIndex), (Term, ReplyTarget)>,
    reads: HashMap<u64, (Shard, ReplyTarget)>,
    next_read: u64,
    suspensions: SuspensionDetector,
    pub last_quorum_contact: Option<u64>,
    /// It was asked to end: how far it has left its groups, and when it ends in any case.
    pub leaving: Option<Leaving>,
}

/// What came of handling a process's outputs.
#[derive(Default)]
pub struct Effects {
    pub packets: Vec<(NodeIdentity, Packet)>,
    pub writes: Vec<(Shard, Write)>,
    pub answers: Vec<(ReplyTarget, ControlAnswer)>,
    /// Leadership that was seen: group, term, identity.
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

    /// Starts the process from what is on disk.
    pub fn start(&mut self, now: u64, seed: u64, hosts_lost: usize, min_members: usize) {
        let shards = Shards::new();
        let mut replicas = Vec::new();
        let mut applied = Vec::new();
        for (group, disk) in (0..).map(Shard).zip(&self.disks) {
            if let Some(state) = disk.state() {
                shards.restore(group, state).expect("its own snapshot can be read");
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
            members: MemberFailureDetector::new(min_members),
            last_contact: HashMap::new(),
            started: now,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            suspensions: SuspensionDetector::new(now),
            last_quorum_contact: None,
            leaving: None,
        });
        self.restarts_at = None;
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && now >= self.frozen_until
    }

    /// Carries out writes that are synced by now.
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

    /// Replaces long logs by snapshots, when the disk is idle.
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
                let header = replica.applied_snapshot_metadata();
                replica.compact(header.last_included_index, 5, 1 << 20);
                disk.compact(Snapshot { metadata: header, state: process.shards.snapshot(group) });
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

    /// Lets time pass, as the host's tick does.
    pub fn tick(&mut self, now: u64) {
        for replica in &mut self.replicas {
            replica.tick(now);
        }
        self.suspensions.tick(now);
        if self.is_fresh(Shard(0), now) {
            self.last_quorum_contact = Some(now);
        }
    }

    /// As the host judges it.
    pub fn is_fresh(&self, group: Shard, now: u64) -> bool {
        self.suspensions.is_running(now) && freshness::is_fresh(&self.replicas[group.position()], now)
    }

    pub fn all_fresh(&self, now: u64) -> bool {
        (0..GROUP_COUNT).all(|group| self.is_fresh(Shard(group), now))
    }

    /// How long it has not last_contact another process.
    pub fn since_last_contact(&self, identity: NodeIdentity, now: u64) -> Duration {
        let last_contact = self.last_contact.get(&identity).copied().unwrap_or(self.started);
        Duration::from_millis(now.saturating_sub(last_contact))
    }

    /// Has a command committed, or says that another process owns the shard.
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

    /// Asks for a moment at which the state may be read.
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

    /// Answers a call of another process, now or later.
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

    /// Does what the groups ask for.
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
                    self.shards.restore(group, &snapshot.state).expect("a whole snapshot can be read");
                    self.applied[group.position()] = snapshot.metadata.last_included_index;
                    // Nobody knows what became of what was proposed before.
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
                    let (request, ready) = match read {
                        ReadIndexResult::Confirmed { request, .. } => (request, true),
                        ReadIndexResult::Failed { request } => (request, false),
                    };
                    if let Some((group, reply_target)) = self.reads.remove(&request) {
                        let offset = ControlAnswer::Offset(log_index(self.shards.offset(group)));
                        effects
                            .answers
                            .push((reply_target, if ready { offset } else { ControlAnswer::Unavailable }));
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
