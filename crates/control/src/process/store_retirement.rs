//! Retirement of store machines by the operator: all replicas are moved off a machine before it is switched off.

use super::client::{ControlClient, Unavailable};
use crate::{
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    store_map::{RetireState, StoreCommand, StoreOutcome},
};
use opalrun_wire::feed::CONFIGURATION_SHARD;
use std::rc::Rc;

/// The answer to a request to retire a store machine, or to a request for the progress of a retirement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireAnswer {
    /// Progress of the retirement.
    State(RetireState),
    /// No store machine with this name is known.
    UnknownNode,
    /// Too few stores would remain for the number of replicas.
    TooFewStores,
}

/// Starts retirements and reports their progress. The store map in shard 0 records them.
pub(crate) struct StoreRetirement {
    client: Rc<ControlClient>,
}

impl StoreRetirement {
    pub(super) fn new(client: Rc<ControlClient>) -> Self {
        Self { client }
    }

    /// Starts the retirement of a store machine.
    ///
    /// # Errors
    /// [`Unavailable`] if the command is not committed in time.
    pub(crate) async fn order(&self, node_name: &str) -> Result<RetireAnswer, Unavailable> {
        let command = StoreCommand::Retire { node_name: node_name.to_owned() };
        match self.client.commit_configuration(&ConfigurationCommand::Store(command)).await? {
            ConfigurationOutcome::Store(StoreOutcome::Done) => {
                Ok(RetireAnswer::State(self.state(node_name).unwrap_or(RetireState::Active)))
            }
            ConfigurationOutcome::Store(StoreOutcome::UnknownNode) => Ok(RetireAnswer::UnknownNode),
            ConfigurationOutcome::Store(StoreOutcome::TooFewStores) => Ok(RetireAnswer::TooFewStores),
            _ => Err(Unavailable),
        }
    }

    /// Returns the progress of a retirement.
    ///
    /// # Errors
    /// [`Unavailable`] if no majority confirms the read in time.
    pub(crate) async fn progress(&self, node_name: &str) -> Result<RetireAnswer, Unavailable> {
        self.client.synchronize(CONFIGURATION_SHARD).await?;
        Ok(self.state(node_name).map_or(RetireAnswer::UnknownNode, RetireAnswer::State))
    }

    fn state(&self, node_name: &str) -> Option<RetireState> {
        self.client.shards().with_configuration(|shard| shard.stores().retire_state(node_name))
    }
}
