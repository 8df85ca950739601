//! Membership of the control processes: a process joins the replicated groups, is removed from them after a failure,
//! and leaves them before it shuts down.
//!
//! A member that terminates without leaving counts in every majority until the others remove it after a time-out. If
//! another member loses its disk in that time, the quorum may be lost permanently. So a process that is asked to shut
//! down while there are more members than the tier requires removes itself from the directory and keeps running until
//! it is no longer a voter of any group. If it was only restarted, it joins again with the state on its disk.

use super::{
    client::{ControlClient, Unavailable},
    member_failure_detector::MemberFailureDetector,
    quorum_contact::QuorumContact,
};
use crate::{
    calls::{ControlAnswer, ControlCall},
    configuration_shard::ConfigurationCommand,
    shards::all_shards,
};
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, ControlNode},
    frame::encode,
    ids::Shard,
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Interval at which a process that is not a member, or is out of contact with its quorum, sends a join request.
const JOIN_PERIOD: Duration = Duration::from_millis(400);
/// A process that has been out of contact with its quorum for longer may have been removed from the membership.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(2);
/// Time limit for the answer of another control process to a join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for the answer of another control process to a request for the voters of a group.
const VOTERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a leaving process checks whether it is still a voter of a group.
const VOTERS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a leaving process retries its removal from the directory.
const DROP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Manages the membership of this process and, at the owner of shard 0, of the others. The background tasks and the
/// shutdown share it on one thread.
pub(crate) struct ControlMembership {
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    /// Directory entry of this process.
    node: ControlNode,
    /// Number of control processes with which the tier was bootstrapped.
    seed_count: usize,
    /// Used while this process owns shard 0.
    failure_detector: RefCell<MemberFailureDetector>,
    /// Set while this process leaves the groups before its shutdown; it then sends no join requests.
    is_leaving: Cell<bool>,
}

impl ControlMembership {
    pub(super) fn new(
        client: Rc<ControlClient>,
        quorum_contact: Rc<QuorumContact>,
        node: ControlNode,
        seed_count: usize,
        min_members: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            client,
            quorum_contact,
            node,
            seed_count,
            failure_detector: RefCell::new(MemberFailureDetector::new(min_members)),
            is_leaving: Cell::new(false),
        })
    }

    /// Keeps the desired members of the replicated groups equal to the directory, once it contains as many processes
    /// as the tier was bootstrapped with.
    pub(super) async fn follow_directory(self: Rc<Self>) {
        let mut changed = self.client.shards().changed();
        let mut applied: Vec<ControlNode> = Vec::new();
        loop {
            let nodes = self.client.members();
            if nodes != applied && nodes.len() >= self.seed_count {
                self.client.host().set_desired_members(nodes.clone());
                applied = nodes;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sends join requests until the directory contains this process, and whenever it may have been removed.
    pub(super) async fn keep_joined(self: Rc<Self>) {
        let mut ticks = interval(JOIN_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.is_leaving.get() {
                return;
            }
            if !self.quorum_contact.is_recent(CONFIGURATION_SHARD, MAX_CONTACT_GAP) {
                self.request_join().await;
            } else if !self.client.members().contains(&self.node) {
                let _ = self.admit(self.node.clone()).await;
            }
        }
    }

    /// Sends a join request to the linked processes in turn, until one has admitted this process.
    async fn request_join(&self) {
        for identity in self.client.host().linked_peers() {
            let call = ControlCall::Join(self.node.clone());
            if self.client.call(identity, &call, JOIN_TIMEOUT).await == Some(ControlAnswer::Done) {
                return;
            }
        }
    }

    /// Adds a control process to the directory.
    ///
    /// # Errors
    /// [`Unavailable`] if the command is not committed in time.
    pub(super) async fn admit(&self, node: ControlNode) -> Result<(), Unavailable> {
        let command = ConfigurationCommand::AdmitControl { node };
        self.client.commit_configuration(&command).await.map(|_| ())
    }

    /// Returns the command that removes a failed member, if there is one. Called at the owner of shard 0.
    pub(super) fn remove_failed_member(&self, now: Duration) -> Option<ConfigurationCommand> {
        let host = self.client.host();
        let mut failure_detector = self.failure_detector.borrow_mut();
        let min_members = failure_detector.min_members();
        let identity = failure_detector.evaluate(
            &self.client.members(),
            self.client.identity(),
            |identity| host.since_last_contact(identity),
            now,
        )?;
        Some(ConfigurationCommand::DropControl { identity, min_members })
    }

    /// Resets the failure detector. Called while this process does not own shard 0 or is out of contact with its
    /// quorum.
    pub(super) fn reset_failure_detector(&self) {
        self.failure_detector.borrow_mut().reset();
    }

    /// Leaves the groups if there are more members than the tier requires. Returns when that is done, or after
    /// `limit`.
    pub(crate) async fn leave(&self, limit: Duration) {
        if timeout(limit, self.leave_groups()).await.is_err() {
            tracing::warn!(?limit, "leaving the replicated groups timed out");
        }
    }

    async fn leave_groups(&self) {
        let min_members = self.failure_detector.borrow().min_members();
        self.set_leaving(true);
        while !self.remove_self(min_members).await {
            // The outcome may be unknown, or another process may have left concurrently.
            if self.client.members().len() <= usize::from(min_members) {
                return self.set_leaving(false);
            }
            sleep(DROP_RETRY_DELAY).await;
        }
        tracing::info!(
            "removed from the directory; waiting until this process is no longer a voter of any group"
        );
        for shard in all_shards() {
            while self.has_vote(shard).await {
                sleep(VOTERS_POLL_INTERVAL).await;
            }
        }
    }

    fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.set(is_leaving);
        self.client.host().set_leaving(is_leaving);
    }

    /// Removes this process from the directory. Returns whether the directory no longer contains it.
    async fn remove_self(&self, min_members: u16) -> bool {
        if self.client.members().len() <= usize::from(min_members) {
            return false;
        }
        let identity = self.client.identity();
        let command = ConfigurationCommand::DropControl { identity, min_members };
        let Ok(committed) = self.client.commit(CONFIGURATION_SHARD, encode(&command).to_vec()).await else {
            return false;
        };
        let shards = self.client.shards();
        shards.wait_for(CONFIGURATION_SHARD, committed.index).await;
        shards.with_configuration(|shard| shard.directory().node(identity).is_none())
    }

    /// Returns whether this process is still a voter of a group; `true` also if no process could report the voters.
    async fn has_vote(&self, shard: Shard) -> bool {
        let identity = self.client.identity();
        for peer in self.client.peers() {
            let answer = self.client.call(peer, &ControlCall::Voters { shard }, VOTERS_TIMEOUT).await;
            if let Some(ControlAnswer::Voters(voters)) = answer {
                return voters.contains(&identity);
            }
        }
        self.client.host().committed_voters(shard).is_none_or(|voters| voters.contains(&identity))
    }
}
