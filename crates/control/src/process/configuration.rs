//! Changes and reads of the operator's configuration.

use super::{
    answer_deadline::AnswerDeadline,
    client::{ControlClient, Unavailable},
    clock::SteadyClock,
};
use crate::{
    calls::ControlCall,
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    feed::subscribers::Subscribers,
};
use opalrun_configuration::{Configuration, Problem};
use opalrun_wire::{feed::CONFIGURATION_SHARD, ids::Generation};
use sha2::{Digest, Sha256};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::timeout;

/// How long the acknowledgement of a configuration waits for the gatekeepers to have it in force.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(400);

/// The result of a change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationAnswer {
    /// It is, or was, in force.
    Accepted,
    /// Another generation is current.
    Conflict {
        /// The current generation.
        current: Generation,
    },
    /// Its generation is not above the current one.
    NotAbove {
        /// Its generation.
        generation: Generation,
        /// The current generation.
        current: Generation,
    },
    /// It is invalid.
    Invalid {
        /// Why; at least one problem.
        problems: Vec<Problem>,
    },
}

/// The operator's configuration, which shard 0 holds.
pub(crate) struct ConfigurationService {
    client: Rc<ControlClient>,
    /// The connections of the feed write it, this service reads it; both run on one thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: SteadyClock,
}

impl ConfigurationService {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: SteadyClock,
    ) -> Rc<Self> {
        Rc::new(Self { client, subscribers, clock })
    }

    /// Puts a configuration in force, as a compare-and-set on the generation `if_match`.
    ///
    /// # Errors
    /// Where it is not clear in time whether it is in force.
    pub(crate) async fn put(
        self: &Rc<Self>,
        if_match: Generation,
        body: Vec<u8>,
    ) -> Result<ConfigurationAnswer, Unavailable> {
        let deadline = AnswerDeadline::of_new_call();
        let generation = match Configuration::parse(&body) {
            Ok(configuration) => configuration.generation,
            Err(problems) => return Ok(ConfigurationAnswer::Invalid { problems }),
        };
        let sha256: [u8; 32] = Sha256::digest(&body).into();
        let command = ConfigurationCommand::PutConfiguration {
            if_match,
            generation: Generation(generation),
            body,
            sha256,
        };
        match self.client.commit_configuration(&command).await? {
            ConfigurationOutcome::Accepted | ConfigurationOutcome::AlreadyAccepted => {
                self.await_in_force(Generation(generation), deadline).await;
                Ok(ConfigurationAnswer::Accepted)
            }
            ConfigurationOutcome::Conflict { current } => Ok(ConfigurationAnswer::Conflict { current }),
            ConfigurationOutcome::NotAbove { current } => {
                Ok(ConfigurationAnswer::NotAbove { generation: Generation(generation), current })
            }
            ConfigurationOutcome::Directory | ConfigurationOutcome::Store(_) => Err(Unavailable),
        }
    }

    /// The newest configuration's body, which is at least as new as any that was acknowledged before the call; `None` where
    /// there is no configuration yet.
    ///
    /// # Errors
    /// Where no majority confirms it in time.
    pub(crate) async fn read(&self) -> Result<Option<Vec<u8>>, Unavailable> {
        self.client.synchronize(CONFIGURATION_SHARD).await?;
        let shards = self.client.shards();
        Ok(shards.with_configuration(|shard| {
            shard.configuration().map(|configuration| configuration.body.clone())
        }))
    }

    /// Waits a while until the gatekeepers of all control processes have a configuration in force.
    async fn await_in_force(self: &Rc<Self>, generation: Generation, deadline: AnswerDeadline) {
        let limit = deadline.time_left(IN_FORCE_LIMIT);
        let limit_ms = limit.as_millis() as u64;
        let call = ControlCall::AwaitGeneration { generation, limit_ms };
        let local = Rc::clone(self);
        self.client
            .broadcast(call, limit, async move {
                local.wait_until_in_force_here(generation, Duration::from_millis(limit_ms)).await;
            })
            .await;
    }

    /// Waits until the gatekeepers that subscribe here have a configuration in force, but not longer than `limit`.
    pub(super) async fn wait_until_in_force_here(&self, generation: Generation, limit: Duration) {
        let mut changed = self.subscribers.borrow().changed();
        let wait = async {
            while !self.subscribers.borrow().all_gatekeepers_have(generation, self.clock.now()) {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(limit, wait).await;
    }
}
