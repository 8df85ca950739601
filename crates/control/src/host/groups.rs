//! The replicated groups of this process, one for each shard. No I/O: what they ask for is gathered in [`GroupWork`].

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

/// A checkpoint is due once a group has applied this many entries since its last snapshot.
const CHECKPOINT_ENTRIES: u64 = 4096;
/// Entries that a group keeps in memory although a snapshot covers them, for followers that are a little behind.
const MAX_RETAINED_ENTRIES: u64 = 512;
/// Bytes of such entries.
const MAX_RETAINED_BYTES: usize = 512 << 10;

/// What all groups ask their process to do.
#[derive(Default)]
pub(super) struct GroupWork {
    /// Writes for the journal, each with its shard, in order.
    pub writes: Vec<(Shard, Write)>,
    /// Messages to other processes, by their identity.
    pub messages: BTreeMap<NodeIdentity, Vec<GroupMessage>>,
    /// The state of a shard has changed.
    pub has_applied: bool,
    /// The state in a snapshot of another process can't be decoded.
    pub unreadable_snapshot: Option<UnreadableSnapshot>,
}

/// A snapshot of another process whose state can't be decoded.
pub(super) struct UnreadableSnapshot {
    pub shard: Shard,
    pub error: FrameError,
}

/// Snapshots of the groups, and the records that are needed beside them: together they replace the journal.
pub(super) struct Checkpoint {
    /// Encoded snapshots of the shards that have changed since the last one.
    pub snapshots: Vec<(Shard, Vec<u8>)>,
    pub records: Vec<Vec<u8>>,
}

/// How many votes this process has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct VoteCount {
    /// Groups in which this process has a vote.
    pub own: usize,
    /// Voters of the largest group.
    pub voters: usize,
    /// All groups.
    pub groups: usize,
}

/// The replicated groups of this process, by the number of their shard.
pub(super) struct Groups {
    groups: Vec<Group>,
}

impl Groups {
    pub fn new(groups: Vec<Group>) -> Self {
        Self { groups }
    }

    /// The group of a shard.
    pub fn of_shard(&mut self, shard: Shard) -> &mut Group {
        &mut self.groups[shard.position()]
    }

    /// The numbers of all shards.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + use<> {
        (0..self.groups.len() as u16).map(Shard)
    }

    /// Advances the clock of all groups to `now`, in milliseconds of the steady clock.
    pub fn tick(&mut self, now: u64) {
        for group in &mut self.groups {
            group.replica.tick(now);
        }
    }

    /// Hands a message to its group; one for an unknown shard is dropped.
    pub fn receive(&mut self, now: u64, GroupMessage { shard, message }: GroupMessage) {
        if let Some(group) = self.groups.get_mut(shard.position()) {
            group.replica.step(now, message);
        }
    }

    /// Applies what is committed and gathers what all groups ask for.
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

    /// The write with this sequence, and all before it, are synced.
    pub fn persisted(&mut self, shard: Shard, sequence: u64) {
        self.of_shard(shard).replica.on_persisted(sequence);
    }

    /// Whether a group has applied so many entries since its last snapshot that a checkpoint is due.
    pub fn is_checkpoint_due(&self) -> bool {
        self.groups.iter().any(|group| group.applied >= group.snapshot_index + CHECKPOINT_ENTRIES)
    }

    /// Takes snapshots of the groups that have changed since their last one.
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

    /// Drops entries from memory that the snapshots on disk cover.
    pub fn compact(&mut self) {
        for group in &mut self.groups {
            group.replica.compact(group.snapshot_index, MAX_RETAINED_ENTRIES, MAX_RETAINED_BYTES);
        }
    }

    /// Sets the members that all groups should have; each group that this process leads moves towards them.
    pub fn set_desired_members(&mut self, members: &[Member]) {
        for group in &mut self.groups {
            group.replica.set_desired_members(members.to_vec());
        }
    }

    /// Addresses of the members of all groups, by identity.
    pub fn member_addresses(&self) -> HashMap<NodeIdentity, String> {
        let memberships = self.groups.iter().map(|group| group.replica.membership());
        let members = memberships.flat_map(|membership| &membership.members);
        members.map(|member| (node_identity(member.identity), member.address.clone())).collect()
    }

    /// How many votes a process has in the groups.
    pub fn votes_of(&self, identity: NodeIdentity) -> VoteCount {
        let memberships = || self.groups.iter().map(|group| group.replica.membership());
        VoteCount {
            own: memberships().filter(|membership| membership.is_voter(member_id(identity))).count(),
            voters: memberships().map(Membership::voter_count).max().unwrap_or(0),
            groups: self.groups.len(),
        }
    }

    /// Begins to transfer the leadership of all groups that this process leads to other members, as far as there are
    /// any. Returns whether a transfer is under way.
    pub fn transfer_leadership(&mut self) -> bool {
        let mut is_transferring = false;
        for group in &mut self.groups {
            is_transferring |= group.replica.is_leader() && group.replica.transfer_leadership(None);
        }
        is_transferring
    }

    /// Forgets proposals and reads whose callers have timed out.
    pub fn drop_abandoned_requests(&mut self) {
        self.groups.iter_mut().for_each(Group::drop_abandoned_requests);
    }
}

/// Carries out what needs no I/O, and adds the rest to the work.
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
