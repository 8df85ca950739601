//! Membership of control: how a process joins the replica groups, is dropped from them after a failure, and leaves them
//! before it ends.
//!
//! A member that just ends counts in every majority until the others drop it after a time-out. If another one loses its
//! disk in that time, too few are left to agree on anything, for good. So a process that is asked to end, while there are
//! more members than the tier needs, has itself dropped and stays until every group goes on without it. If it was only to
//! be restarted, it joins again then, with its disk.

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

/// How often a process that is no member, or out of contact with its quorum, sends a join request.
const JOIN_PERIOD: Duration = Duration::from_millis(400);
/// A process that has been out of contact with its quorum for longer may have been dropped as a member.
const MAX_CONTACT_GAP: Duration = Duration::from_secs(2);
/// How long another control process may take to answer a join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long another control process may take to report the voters of a group.
const VOTERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a leaving process checks whether the groups go on without it.
const VOTERS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a leaving process asks again to be dropped.
const DROP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The part of this process in the membership of control. The background tasks and the shutdown share it; both run on one
/// thread.
pub(crate) struct ControlMembership {
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    /// This process, as the directory should name it.
    node: ControlNode,
    /// Number of control processes that the tier began with.
    seed_count: usize,
    /// Used while this process owns shard 0.
    failure_detector: RefCell<MemberFailureDetector>,
    /// This process is about to end and is no member any more.
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

    /// Lets the replica groups follow the directory, once it names all processes that the tier began with.
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

    /// Sends join requests until the directory names this process, and whenever it may have been dropped.
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

    /// Asks the processes that this one has a link to, until one has carried out the request.
    async fn request_join(&self) {
        for identity in self.client.host().linked_peers() {
            let call = ControlCall::Join(self.node.clone());
            if self.client.call(identity, &call, JOIN_TIMEOUT).await == Some(ControlAnswer::Done) {
                return;
            }
        }
    }

    /// Has a control process taken into the directory.
    ///
    /// # Errors
    /// Where that could not be committed in time.
    pub(super) async fn admit(&self, node: ControlNode) -> Result<(), Unavailable> {
        let command = ConfigurationCommand::AdmitControl { node };
        self.client.commit_configuration(&command).await.map(|_| ())
    }

    /// The command that drops a failed member, if there is one. For the owner of shard 0.
    pub(super) fn drop_failed_member(&self, now: Duration) -> Option<ConfigurationCommand> {
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

    /// This process does not own shard 0, or is out of contact with its quorum.
    pub(super) fn reset_failure_detector(&self) {
        self.failure_detector.borrow_mut().reset();
    }

    /// Leaves the groups, if there are more members than the tier needs. Returns when that is done, or after `limit`.
    pub(crate) async fn leave(&self, limit: Duration) {
        if timeout(limit, self.leave_groups()).await.is_err() {
            tracing::warn!(?limit, "leaving the groups timed out");
        }
    }

    async fn leave_groups(&self) {
        let min_members = self.failure_detector.borrow().min_members();
        self.set_leaving(true);
        while !self.drop_itself(min_members).await {
            // The outcome may have been unknown, or another one may just have left.
            if self.client.members().len() <= usize::from(min_members) {
                return self.set_leaving(false);
            }
            sleep(DROP_RETRY_DELAY).await;
        }
        tracing::info!("dropped from the membership, waiting until all groups go on without this process");
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

    /// Returns whether the directory no longer names this process.
    async fn drop_itself(&self, min_members: u16) -> bool {
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

    /// Whether a group still counts this process; also where no process can report it.
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
