//! Dispatches the remote calls of other control processes to the services that carry them out.

use super::{
    client::{ControlClient, NotOwner, ProposalResult},
    configuration::ConfigurationService,
    gatekeeper_count::GatekeeperCount,
    membership::ControlMembership,
    store_liveness::StoreLiveness,
    subscriber_reports::SubscriberReports,
    worker_health::WorkerHealth,
    worker_sessions::WorkerSessions,
};
use crate::{
    calls::{ControlAnswer, ControlCall},
    shards,
};
use opalrun_wire::{
    frame::{decode, encode},
    ids::Shard,
};
use std::{rc::Rc, time::Duration};

/// Answers the remote calls of other control processes.
pub(super) struct CallHandler {
    pub(super) client: Rc<ControlClient>,
    pub(super) worker_sessions: Rc<WorkerSessions>,
    pub(super) configuration: Rc<ConfigurationService>,
    pub(super) membership: Rc<ControlMembership>,
    pub(super) store_liveness: Rc<StoreLiveness>,
    pub(super) gatekeeper_count: Rc<GatekeeperCount>,
    pub(super) worker_health: Rc<WorkerHealth>,
    pub(super) subscriber_reports: Rc<SubscriberReports>,
}

impl CallHandler {
    /// Decodes a call, carries it out and returns the encoded answer.
    pub(super) async fn answer_bytes(&self, bytes: &[u8]) -> Vec<u8> {
        let answer = match decode::<ControlCall>(bytes) {
            Ok(call) => self.answer(call).await,
            Err(_) => ControlAnswer::Unavailable,
        };
        encode(&answer).to_vec()
    }

    async fn answer(&self, call: ControlCall) -> ControlAnswer {
        match call {
            ControlCall::Propose { shard, .. }
            | ControlCall::ReadIndex { shard }
            | ControlCall::Voters { shard }
                if !shards::exists(shard) =>
            {
                ControlAnswer::Unavailable
            }
            ControlCall::Propose { shard, command } => self.answer_proposal(shard, command).await,
            ControlCall::ReadIndex { shard } => self.answer_read_index(shard).await,
            ControlCall::Voters { shard } => self.answer_voters(shard),
            ControlCall::AwaitApplied { shard, index, limit_ms } => {
                if shards::exists(shard) {
                    self.client.wait_until_applied(shard, index, Duration::from_millis(limit_ms)).await;
                }
                ControlAnswer::Done
            }
            ControlCall::AwaitGeneration { generation, limit_ms } => {
                let limit = Duration::from_millis(limit_ms);
                self.configuration.wait_until_in_force_here(generation, limit).await;
                ControlAnswer::Done
            }
            ControlCall::RenewSessions { shard, ids } => {
                done_or_not_owner(self.worker_sessions.renew(shard, &ids))
            }
            ControlCall::StoreContacts { contacts } => {
                done_or_not_owner(self.store_liveness.record_contacts(&contacts))
            }
            ControlCall::Gatekeepers { from, count } => {
                self.gatekeeper_count.record(from, count).map_or_else(not_owner, ControlAnswer::Gatekeepers)
            }
            ControlCall::WorkerFailures(reports) => {
                self.worker_health.record_reports(reports).map_or_else(not_owner, ControlAnswer::Suspects)
            }
            ControlCall::Subscribers => {
                ControlAnswer::Subscribers(self.subscriber_reports.gatekeepers_here())
            }
            ControlCall::Join(node) => match self.membership.admit(node).await {
                Ok(()) => ControlAnswer::Done,
                Err(_) => ControlAnswer::Unavailable,
            },
        }
    }

    async fn answer_proposal(&self, shard: Shard, command: Vec<u8>) -> ControlAnswer {
        if self.client.require_ownership(shard).is_err() {
            return ControlAnswer::NotOwner;
        }
        match self.client.propose_here(shard, command).await {
            ProposalResult::Committed(committed) => {
                ControlAnswer::Proposed { index: committed.index, outcome: committed.outcome }
            }
            ProposalResult::NotOwner => ControlAnswer::NotOwner,
            ProposalResult::Unknown => ControlAnswer::Unavailable,
        }
    }

    async fn answer_read_index(&self, shard: Shard) -> ControlAnswer {
        match self.client.read_index_here(shard).await {
            Ok(offset) => ControlAnswer::Offset(offset),
            Err(_) => ControlAnswer::Unavailable,
        }
    }

    fn answer_voters(&self, shard: Shard) -> ControlAnswer {
        match self.client.host().committed_voters(shard) {
            Some(voters) => ControlAnswer::Voters(voters),
            None => ControlAnswer::NotOwner,
        }
    }
}

fn done_or_not_owner(result: Result<(), NotOwner>) -> ControlAnswer {
    result.map_or_else(not_owner, |()| ControlAnswer::Done)
}

fn not_owner(_: NotOwner) -> ControlAnswer {
    ControlAnswer::NotOwner
}
