//! The replicated groups of this process, one for each shard. Sans I/O: the I/O that they require is collected in
//! [`GroupWork`].

use super::{
    group::Group,
    journal,
    members::{member_id, node_identity},
    peer_frame::GroupMessage,
};
use opalrun_replication::{Member, Membership, Ready, Snapshot, Write};
use opalrun_wire::{
    frame::{FrameError, encode},
    ids::{NodeIdentity, Shard},
};
use std::collections::{BTreeMap, HashMap};

/// Number of entries that a group applies after its last snapshot before a checkpoint is due.
const CHECKPOINT_ENTRIES: u64 = 4096;
/// Maximum number of entries that a group retains in memory although a snapshot covers them, so that followers
/// slightly behind don't need the snapshot.
const MAX_RETAINED_ENTRIES: u64 = 512;
/// Maximum size in bytes of the entries retained in this way.
const MAX_RETAINED_BYTES: usize = 512 << 10;

/// The I/O that all groups require of their process.
#[derive(Default)]
pub(super) struct GroupWork {
    /// Writes to the journal, each with its shard, in order.
    pub writes: Vec<(Shard, Write)>,
    /// Messages to other processes, by the receiver's identity.
    pub messages: BTreeMap<NodeIdentity, Vec<GroupMessage>>,
    /// Whether the state of a shard has changed.
    pub has_applied: bool,
    /// Set if the state in a snapshot of another process can't be decoded.
    pub unreadable_snapshot: Option<UnreadableSnapshot>,
}

/// A snapshot of another process whose state can't be decoded.
pub(super) struct UnreadableSnapshot {
    pub shard: Shard,
    pub error: FrameError,
}

/// Snapshots of the groups and the journal records after them. Together they replace the journal.
pub(super) struct Checkpoint {
    /// Encoded snapshots of the shards that have changed since their last snapshot.
    pub snapshots: Vec<(Shard, Vec<u8>)>,
    /// Encoded records of the terms, votes and entries that the snapshots don't cover.
    pub records: Vec<Vec<u8>>,
}

/// Number of groups in which a process is a voter, and number of voters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct VoteCount {
    /// Number of groups in which the process is a voter.
    pub own: usize,
    /// Number of voters of the group that has the most.
    pub voters: usize,
    /// Number of groups.
    pub groups: usize,
}

/// The replicated groups of this process, indexed by shard number.
pub(super) struct Groups {
    groups: Vec<Group>,
}

impl Groups {
    pub fn new(groups: Vec<Group>) -> Self {
        Self { groups }
    }

    /// Returns the group of a shard.
    pub fn of_shard(&mut self, shard: Shard) -> &mut Group {
        &mut self.groups[shard.position()]
    }

    /// Returns all shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + use<> {
        (0..self.groups.len() as u16).map(Shard)
    }

    /// Advances the clock of all groups to `now`, in milliseconds of the monotonic clock.
    pub fn tick(&mut self, now: u64) {
        for group in &mut self.groups {
            group.replica.tick(now);
        }
    }

    /// Passes a message to its group. A message for an unknown shard is dropped.
    pub fn receive(&mut self, now: u64, GroupMessage { shard, message }: GroupMessage) {
        if let Some(group) = self.groups.get_mut(shard.position()) {
            group.replica.step(now, message);
        }
    }

    /// Applies committed entries and collects the I/O that all groups require.
    pub fn take_work(&mut self) -> GroupWork {
        let mut work = GroupWork::default();
        for (shard, group) in (0..).map(Shard).zip(&mut self.groups) {
            loop {
                let ready = group.replica.ready();
                let is_snapshot_needed = ready.is_snapshot_needed;
                take_ready(shard, group, ready, &mut work);
                if !is_snapshot_needed {
                    break;
                }
                let state = group.state();
                group.replica.offer_snapshot(state);
            }
        }
        work
    }

    /// Notifies a group that the write with this sequence number, and all before it, are durable.
    pub fn persisted(&mut self, shard: Shard, sequence: u64) {
        self.of_shard(shard).replica.on_persisted(sequence);
    }

    /// Returns whether a group has applied [`CHECKPOINT_ENTRIES`] since its last snapshot.
    pub fn is_checkpoint_due(&self) -> bool {
        self.groups.iter().any(|group| group.applied >= group.snapshot_index + CHECKPOINT_ENTRIES)
    }

    /// Takes snapshots of the groups that have changed since their last snapshot, and collects the records after the
    /// snapshots of all groups.
    pub fn checkpoint(&mut self) -> Checkpoint {
        let mut checkpoint = Checkpoint { snapshots: Vec::new(), records: Vec::new() };
        for (shard, group) in (0..).map(Shard).zip(&mut self.groups) {
            if group.applied > group.snapshot_index {
                let snapshot =
                    Snapshot { metadata: group.replica.applied_snapshot_metadata(), state: group.state() };
                group.snapshot_index = group.applied;
                checkpoint.snapshots.push((shard, encode(&snapshot).to_vec()));
            }
            let entries = group.replica.entries_after(group.snapshot_index);
            let hard_state = Some(group.replica.hard_state());
            checkpoint.records.extend(journal::records_of(shard, hard_state, &entries));
        }
        checkpoint
    }

    /// Discards entries in memory that the snapshots on disk cover, except the retained ones.
    pub fn compact(&mut self) {
        for group in &mut self.groups {
            group.replica.compact(group.snapshot_index, MAX_RETAINED_ENTRIES, MAX_RETAINED_BYTES);
        }
    }

    /// Sets the desired members of all groups. The groups that this process leads change their membership towards
    /// them.
    pub fn set_desired_members(&mut self, members: &[Member]) {
        for group in &mut self.groups {
            group.replica.set_desired_members(members.to_vec());
        }
    }

    /// Returns the addresses of the members of all groups, by identity.
    pub fn member_addresses(&self) -> HashMap<NodeIdentity, String> {
        let memberships = self.groups.iter().map(|group| group.replica.membership());
        let members = memberships.flat_map(|membership| &membership.members);
        members.map(|member| (node_identity(member.identity), member.address.clone())).collect()
    }

    /// Returns in how many groups a process is a voter.
    pub fn votes_of(&self, identity: NodeIdentity) -> VoteCount {
        let memberships = || self.groups.iter().map(|group| group.replica.membership());
        VoteCount {
            own: memberships().filter(|membership| membership.is_voter(member_id(identity))).count(),
            voters: memberships().map(Membership::voter_count).max().unwrap_or(0),
            groups: self.groups.len(),
        }
    }

    /// Starts to transfer the leadership of all groups that this process leads to other voters, where there are any.
    /// Returns whether a transfer is in progress.
    pub fn transfer_leadership(&mut self) -> bool {
        let mut is_transferring = false;
        for group in &mut self.groups {
            is_transferring |= group.replica.is_leader() && group.replica.transfer_leadership(None);
        }
        is_transferring
    }

    /// Discards proposals and reads whose callers have timed out.
    pub fn drop_abandoned_requests(&mut self) {
        self.groups.iter_mut().for_each(Group::drop_abandoned_requests);
    }
}

/// Carries out the outputs of a replica that need no I/O, and adds the others to the work.
fn take_ready(shard: Shard, group: &mut Group, ready: Ready, work: &mut GroupWork) {
    work.writes.extend(ready.writes.into_iter().map(|write| (shard, write)));
    for message in ready.messages {
        work.messages.entry(node_identity(message.to)).or_default().push(GroupMessage { shard, message });
    }
    if let Some(snapshot) = ready.snapshot_to_install {
        if let Err(error) = group.install(&snapshot) {
            work.unreadable_snapshot = Some(UnreadableSnapshot { shard, error });
        }
        work.has_applied = true;
    }
    for entry in ready.committed_entries {
        group.apply(&entry);
        work.has_applied = true;
    }
    for read in ready.read_results {
        group.finish_read(read);
    }
}
