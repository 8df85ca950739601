//! Membership: ticks, failure detection, join requests, and shutdown of processes.

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
            self.remove_unresponsive_members(slot);
            self.request_join(slot, &own);
            self.handle_ready(slot);
            self.nodes[slot].compact();
        }
    }

    /// Removes unresponsive members from the directory, if the process owns it.
    pub(super) fn remove_unresponsive_members(&mut self, slot: usize) {
        if !self.now.is_multiple_of(250) {
            return;
        }
        let (now, min_members) = (self.now, self.min_members() as u16);
        let identity = self.nodes[slot].identity;
        let Some(process) = &mut self.nodes[slot].process else { return };
        if !process.leads(Shard(0)) || !process.is_fresh(Shard(0), now) {
            return process.failure_detector.reset();
        }
        let members = process.shards.with_configuration(|shard| shard.directory().nodes().to_vec());
        let silences: BTreeMap<NodeIdentity, Duration> = members
            .iter()
            .map(|node| (node.identity, process.since_last_contact(node.identity, now)))
            .collect();
        let since_last_contact =
            |identity: NodeIdentity| silences.get(&identity).copied().unwrap_or_default();
        let dropped = process.failure_detector.evaluate(
            &members,
            identity,
            since_last_contact,
            Duration::from_millis(now),
        );
        if let Some(identity) = dropped {
            let command = ConfigurationCommand::DropControl { identity, min_members };
            process.propose(Shard(0), encode(&command).to_vec(), ReplyTarget::Nobody);
        }
    }

    /// Sends a join request to a random machine if this one may not be a member.
    pub(super) fn request_join(&mut self, slot: usize, own: &opalrun_wire::feed::ControlNode) {
        if !self.now.is_multiple_of(400) {
            return;
        }
        let now = self.now;
        let Some(process) = &self.nodes[slot].process else { return };
        let is_recent =
            process.last_quorum_contact.is_some_and(|at| now.saturating_sub(at) <= MAX_MEMBER_CONTACT_GAP_MS);
        let is_known = process.shards.with_configuration(|shard| shard.directory().nodes().contains(own));
        if process.shutdown.is_some() || (is_recent && is_known) {
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

    /// Lets processes that were asked to shut down leave their groups, and ends them afterwards.
    pub(super) fn proceed_with_shutdowns(&mut self) {
        let now = self.now;
        for PlannedShutdown { slot, at, restarts_at } in self.shutdowns.clone() {
            if now < at || !self.nodes[slot].is_running(now) {
                continue;
            }
            // A shutdown does not begin while the tier is recovering from a loss.
            let has_begun =
                self.nodes[slot].process.as_ref().is_some_and(|process| process.shutdown.is_some());
            let others_lost = self.losses.iter().any(|loss| loss.slot != slot && now < loss.until);
            if !has_begun && (others_lost || now < self.recovering_until) {
                continue;
            }
            let is_done = self.proceed_with_shutdown(slot);
            if is_done {
                self.kill(slot, restarts_at, true);
                self.shutdowns.retain(|shutdown| shutdown.slot != slot);
            }
        }
    }

    /// Proceeds with the shutdown of a process. Returns whether the process may end.
    pub(super) fn proceed_with_shutdown(&mut self, slot: usize) -> bool {
        let (now, min_members) = (self.now, self.min_members());
        let identity = self.nodes[slot].identity;
        let Some(process) = &mut self.nodes[slot].process else { return true };
        let is_member = process.shards.with_configuration(|shard| shard.directory().node(identity).is_some());
        let members = process.shards.with_configuration(|shard| shard.directory().nodes().len());
        let Some(shutdown) = process.shutdown else {
            if members <= min_members {
                return true;
            }
            process.shutdown =
                Some(ShutdownProgress { ends_at: now + SHUTDOWN_TIMEOUT_MS, is_removed: false });
            self.request_removal(slot);
            return false;
        };
        process.shutdown = Some(ShutdownProgress { is_removed: !is_member, ..shutdown });
        if now >= shutdown.ends_at || (is_member && members <= min_members) {
            return true;
        }
        if is_member && now.is_multiple_of(OPERATION_TIMEOUT_MS) {
            self.request_removal(slot);
            return false;
        }
        // A removed process no longer receives entries, so it checks the voters known to the other processes.
        let still_counts = (0..GROUP_COUNT)
            .any(|group| self.committed_voters(Shard(group)).is_none_or(|voters| voters.contains(&identity)));
        shutdown.is_removed && !still_counts
    }

    pub(super) fn request_removal(&mut self, slot: usize) {
        let (identity, min_members) = (self.nodes[slot].identity, self.min_members() as u16);
        let command = ConfigurationCommand::DropControl { identity, min_members };
        let kind = OperationKind::Propose { group: Shard(0), command: encode(&command).to_vec() };
        self.begin_operation(slot, kind, Caller::Nobody);
    }
}

/// Sets the desired members of the groups to those of the directory, once it contains at least as many as the seed nodes.
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
