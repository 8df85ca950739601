//! Periodic tasks of the owner of a shard: detects failed members and stores, and expires the sessions of workers
//! without heartbeats.

use super::{
    client::ControlClient, clock::MonotonicClock, membership::ControlMembership,
    quorum_contact::QuorumContact, store_liveness::StoreLiveness, worker_sessions::WorkerSessions,
};
use crate::{configuration_shard::ConfigurationCommand, shards::session_shards};
use opalrun_wire::{feed::CONFIGURATION_SHARD, frame::encode};
use std::{rc::Rc, time::Duration};
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which the owner of a shard evaluates its failure detectors.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);

/// Message of the log line that the owner of shard 0 writes when it proposes a change of the membership or of the
/// store map. The field `command` has the command.
pub const OWNER_DECISION_MESSAGE: &str = "proposing a command as the owner of shard 0";

/// The periodic task that runs the owner's evaluations.
pub(super) struct OwnerTasks {
    pub(super) client: Rc<ControlClient>,
    pub(super) clock: MonotonicClock,
    pub(super) quorum_contact: Rc<QuorumContact>,
    pub(super) membership: Rc<ControlMembership>,
    pub(super) store_liveness: Rc<StoreLiveness>,
    pub(super) worker_sessions: Rc<WorkerSessions>,
}

impl OwnerTasks {
    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        let mut ticks = interval(EVALUATION_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.quorum_contact.record();
            self.evaluate_configuration_shard();
            for shard in session_shards() {
                self.worker_sessions.expire(shard);
            }
        }
    }

    fn evaluate_configuration_shard(&self) {
        if !self.client.is_confirmed_owner(CONFIGURATION_SHARD) {
            self.store_liveness.reset_failure_detector();
            self.membership.reset_failure_detector();
            return;
        }
        let now = self.clock.now();
        let mut commands: Vec<ConfigurationCommand> =
            self.membership.remove_failed_member(now).into_iter().collect();
        commands.extend(self.store_liveness.evaluate(now));
        if !commands.is_empty() {
            tokio::task::spawn_local(propose_all(Rc::clone(&self.client), commands));
        }
    }
}

async fn propose_all(client: Rc<ControlClient>, commands: Vec<ConfigurationCommand>) {
    for command in commands {
        tracing::info!(?command, "{OWNER_DECISION_MESSAGE}");
        client.propose_here(CONFIGURATION_SHARD, encode(&command).to_vec()).await;
    }
}
