//! Who is a member: ticks, failure detection, join requests, and processes that are asked to end.

use super::*;
use opalrun_wire::ids::NodeIdentity;

impl World {
    pub(super) fn tick(&mut self) {
        for slot in 0..self.nodes.len() {
            let now = self.now;
            let node = &mut self.nodes[slot];
            if !node.is_running(now) {
                continue;
            }
            let own = node.control_node();
            if let Some(process) = &mut node.process {
                process.tick(now);
                follow_directory(process, self.seeds);
            }
            self.own_directory(slot);
            self.request_join(slot, &own);
            self.handle_ready(slot);
            self.nodes[slot].compact();
        }
    }

    /// Drops members that are silent, as the owner of the directory.
    pub(super) fn own_directory(&mut self, slot: usize) {
        if !self.now.is_multiple_of(250) {
            return;
        }
        let (now, min_members) = (self.now, self.min_members() as u16);
        let identity = self.nodes[slot].identity;
        let Some(process) = &mut self.nodes[slot].process else { return };
        if !process.leads(Shard(0)) || !process.is_fresh(Shard(0), now) {
            return process.members.reset();
        }
        let members = process.shards.with_configuration(|shard| shard.directory().nodes().to_vec());
        let silences: BTreeMap<NodeIdentity, Duration> = members
            .iter()
            .map(|node| (node.identity, process.since_last_contact(node.identity, now)))
            .collect();
        let since_last_contact =
            |identity: NodeIdentity| silences.get(&identity).copied().unwrap_or_default();
        let dropped =
            process.members.evaluate(&members, identity, since_last_contact, Duration::from_millis(now));
        if let Some(identity) = dropped {
            let command = ConfigurationCommand::DropControl { identity, min_members };
            process.propose(Shard(0), encode(&command).to_vec(), ReplyTarget::Nobody);
        }
    }

    /// Asks another machine to be let in, where this one may not be a member.
    pub(super) fn request_join(&mut self, slot: usize, own: &opalrun_wire::feed::ControlNode) {
        if !self.now.is_multiple_of(400) {
            return;
        }
        let now = self.now;
        let Some(process) = &self.nodes[slot].process else { return };
        let is_recent =
            process.last_quorum_contact.is_some_and(|at| now.saturating_sub(at) <= MAX_MEMBER_CONTACT_GAP_MS);
        let is_known = process.shards.with_configuration(|shard| shard.directory().nodes().contains(own));
        if process.leaving.is_some() || (is_recent && is_known) {
            return;
        }
        let asked = self.any_slot();
        if self.network.is_connected(slot, asked) {
            let command = ConfigurationCommand::AdmitControl { node: own.clone() };
            let kind = OperationKind::Propose { group: Shard(0), command: encode(&command).to_vec() };
            self.begin_operation(asked, kind, Caller::Nobody);
        }
    }

    pub(super) fn end_partitions(&mut self) {
        let now = self.now;
        for link in self.partitions.extract_if(.., |link| now >= link.until) {
            self.network.reconnect(link.from, link.to);
        }
    }

    /// Lets processes that were asked to end leave their groups, and ends them.
    pub(super) fn end_processes(&mut self) {
        let now = self.now;
        for PlannedShutdown { slot, at, restarts_at } in self.shutdowns.clone() {
            if now < at || !self.nodes[slot].is_running(now) {
                continue;
            }
            // Nobody takes a machine away while a loss has not been got over.
            let has_begun =
                self.nodes[slot].process.as_ref().is_some_and(|process| process.leaving.is_some());
            let others_lost = self.losses.iter().any(|loss| loss.slot != slot && now < loss.until);
            if !has_begun && (others_lost || now < self.recovering_until) {
                continue;
            }
            let is_done = self.leave(slot);
            if is_done {
                self.kill(slot, restarts_at, true);
                self.shutdowns.retain(|shutdown| shutdown.slot != slot);
            }
        }
    }

    /// Returns whether the process may end.
    pub(super) fn leave(&mut self, slot: usize) -> bool {
        let (now, min_members) = (self.now, self.min_members());
        let identity = self.nodes[slot].identity;
        let Some(process) = &mut self.nodes[slot].process else { return true };
        let is_member = process.shards.with_configuration(|shard| shard.directory().node(identity).is_some());
        let members = process.shards.with_configuration(|shard| shard.directory().nodes().len());
        let Some(leaving) = process.leaving else {
            if members <= min_members {
                return true;
            }
            process.leaving = Some(Leaving { ends_at: now + LEAVE_TIMEOUT_MS, is_dropped: false });
            self.request_removal(slot);
            return false;
        };
        process.leaving = Some(Leaving { is_dropped: !is_member, ..leaving });
        if now >= leaving.ends_at || (is_member && members <= min_members) {
            return true;
        }
        if is_member && now.is_multiple_of(OPERATION_TIMEOUT_MS) {
            self.request_removal(slot);
            return false;
        }
        // Its log ends where the others go on without it, so it asks them.
        let still_counts = (0..GROUP_COUNT)
            .any(|group| self.committed_voters(Shard(group)).is_none_or(|voters| voters.contains(&identity)));
        leaving.is_dropped && !still_counts
    }

    pub(super) fn request_removal(&mut self, slot: usize) {
        let (identity, min_members) = (self.nodes[slot].identity, self.min_members() as u16);
        let command = ConfigurationCommand::DropControl { identity, min_members };
        let kind = OperationKind::Propose { group: Shard(0), command: encode(&command).to_vec() };
        self.begin_operation(slot, kind, Caller::Nobody);
    }
}

/// Lets the groups follow the directory, once those that the tier began with are all in it.
fn follow_directory(process: &mut crate::node::Process, seeds: usize) {
    let nodes = process.shards.with_configuration(|shard| shard.directory().nodes().to_vec());
    if nodes.len() < seeds {
        return;
    }
    let members: Vec<Member> = nodes
        .iter()
        .map(|node| Member {
            identity: member_id(node.identity),
            address: node.peer_address.clone(),
            is_voter: true,
        })
        .collect();
    for replica in &mut process.replicas {
        replica.set_desired_members(members.clone());
    }
}
