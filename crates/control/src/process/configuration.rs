//! Writes and reads of the operator's configuration.

use super::{
    answer_deadline::AnswerDeadline,
    client::{ControlClient, Unavailable},
    clock::MonotonicClock,
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

/// Maximum time for which the acknowledgement of a configuration waits for the gatekeepers to put it in force.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(400);

/// The result of a write of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationAnswer {
    /// The configuration is committed, by this write or by an earlier one with the same content.
    Accepted,
    /// The current generation is not the one that the write was conditional on.
    Conflict {
        /// Current generation.
        current: Generation,
    },
    /// The generation of the new configuration is not higher than the current one.
    NotAbove {
        /// Generation of the rejected configuration.
        generation: Generation,
        /// Current generation.
        current: Generation,
    },
    /// The configuration is invalid.
    Invalid {
        /// Problems found; at least one.
        problems: Vec<Problem>,
    },
}

/// Writes and reads the operator's configuration, which is stored in shard 0.
pub(crate) struct ConfigurationService {
    client: Rc<ControlClient>,
    /// Written by the connections of the change feed and read by this service, on the same thread.
    subscribers: Rc<RefCell<Subscribers>>,
    clock: MonotonicClock,
}

impl ConfigurationService {
    pub(super) fn new(
        client: Rc<ControlClient>,
        subscribers: Rc<RefCell<Subscribers>>,
        clock: MonotonicClock,
    ) -> Rc<Self> {
        Rc::new(Self { client, subscribers, clock })
    }

    /// Replaces the configuration if `if_match` is the current generation (compare-and-set).
    ///
    /// # Errors
    /// [`Unavailable`] if the outcome is not known in time.
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

    /// Returns the body of the newest configuration, at least as new as any that was acknowledged before the call;
    /// `None` if there is no configuration yet.
    ///
    /// # Errors
    /// [`Unavailable`] if no majority confirms the read in time.
    pub(crate) async fn read(&self) -> Result<Option<Vec<u8>>, Unavailable> {
        self.client.synchronize(CONFIGURATION_SHARD).await?;
        let shards = self.client.shards();
        Ok(shards.with_configuration(|shard| {
            shard.configuration().map(|configuration| configuration.body.clone())
        }))
    }

    /// Waits until the gatekeepers that subscribe at any control process have a configuration in force, but at most
    /// for [`IN_FORCE_LIMIT`] or until the deadline.
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

    /// Waits until the gatekeepers that subscribe at this process have a configuration in force, but at most for
    /// `limit`.
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
