//! The state machine of shard 0: the operator's configuration, the directory of control processes and the table of
//! stores.
#![expect(missing_docs, reason = "the derived resolvers have no docs; every item written here has")]

mod directory;
#[cfg(test)]
mod tests;

pub use directory::Directory;
use opalrun_wire::{
    feed::{Change, ControlNode},
    ids::{Generation, NodeIdentity},
};

use crate::store_map::{StoreCommand, StoreOutcome, StoreTable};
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of accepted configurations whose hashes are kept, so that a retried change is recognised.
const MAX_ACCEPTED_CONFIGURATIONS: usize = 10_000;

/// A command to shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationCommand {
    /// Replaces the configuration by compare-and-set on the current generation.
    PutConfiguration {
        /// Generation that the change is based on; 0 for the first configuration.
        if_match: Generation,
        /// Generation of the new configuration.
        generation: Generation,
        /// Configuration as sent by the operator, already validated.
        body: Vec<u8>,
        /// SHA-256 hash of the body.
        sha256: [u8; 32],
    },
    /// Admits a control process to the tier.
    AdmitControl {
        /// The control process.
        node: ControlNode,
    },
    /// Removes a control process from the tier if enough others remain.
    DropControl {
        /// Identity of the control process.
        identity: NodeIdentity,
        /// Minimum number of members that must remain.
        min_members: u16,
    },
    /// A command to the table of stores.
    Store(StoreCommand),
}

/// Outcome of a command to shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationOutcome {
    /// The configuration is in force.
    Accepted,
    /// The same configuration was accepted earlier.
    AlreadyAccepted,
    /// Rejected, because the change is based on a generation that is not the current one.
    Conflict {
        /// Current generation.
        current: Generation,
    },
    /// Rejected, because the generation is not higher than the current one.
    NotAbove {
        /// Current generation.
        current: Generation,
    },
    /// The command for the directory was applied; it may have changed nothing.
    Directory,
    /// Outcome of a command to the table of stores.
    Store(StoreOutcome),
}

/// The configuration in force.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Body as sent by the operator.
    pub body: Vec<u8>,
}

/// Identifies an accepted configuration.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct AcceptedConfiguration {
    generation: Generation,
    /// SHA-256 hash of the operator's body.
    sha256: [u8; 32],
}

/// The state of shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigurationShard {
    configuration: Option<StoredConfiguration>,
    /// Accepted configurations, oldest first.
    accepted: VecDeque<AcceptedConfiguration>,
    directory: Directory,
    stores: StoreTable,
}

impl ConfigurationShard {
    /// Applies a command and returns its outcome with the changes for the feed's subscribers.
    pub fn apply(&mut self, command: ConfigurationCommand) -> (ConfigurationOutcome, Vec<Change>) {
        match command {
            ConfigurationCommand::PutConfiguration { if_match, generation, body, sha256 } => {
                self.put_configuration(if_match, generation, body, sha256)
            }
            ConfigurationCommand::AdmitControl { node } => {
                let changed = self.directory.admit(node);
                (ConfigurationOutcome::Directory, self.directory_change(changed))
            }
            ConfigurationCommand::DropControl { identity, min_members } => {
                let may_drop = self.directory.nodes().len() > usize::from(min_members);
                let changed = may_drop && self.directory.drop_node(identity);
                (ConfigurationOutcome::Directory, self.directory_change(changed))
            }
            ConfigurationCommand::Store(command) => self.store_command(&command),
        }
    }

    /// The complete state, as the changes that build it from an empty shard.
    #[must_use]
    pub fn changes(&self) -> Vec<Change> {
        let mut changes = self.directory_change(!self.directory.nodes().is_empty());
        if self.stores.is_formed() {
            changes.push(Change::StoreMap(self.stores.map().clone()));
        }
        if let Some(configuration) = &self.configuration {
            changes.push(configuration_change(configuration));
        }
        changes
    }

    /// The configuration in force; `None` before the first one.
    #[must_use]
    pub fn configuration(&self) -> Option<&StoredConfiguration> {
        self.configuration.as_ref()
    }

    /// Generation in force; 0 before the first configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |configuration| configuration.generation)
    }

    /// Whether exactly this configuration was accepted earlier.
    #[must_use]
    pub fn was_accepted(&self, generation: Generation, sha256: &[u8; 32]) -> bool {
        let wanted = AcceptedConfiguration { generation, sha256: *sha256 };
        self.accepted.iter().rev().any(|accepted| *accepted == wanted)
    }

    /// The directory of control processes.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The table of stores.
    #[must_use]
    pub fn stores(&self) -> &StoreTable {
        &self.stores
    }

    fn put_configuration(
        &mut self,
        if_match: Generation,
        generation: Generation,
        body: Vec<u8>,
        sha256: [u8; 32],
    ) -> (ConfigurationOutcome, Vec<Change>) {
        if self.was_accepted(generation, &sha256) {
            return (ConfigurationOutcome::AlreadyAccepted, Vec::new());
        }
        let current = self.generation();
        if if_match != current {
            return (ConfigurationOutcome::Conflict { current }, Vec::new());
        }
        if generation <= current {
            return (ConfigurationOutcome::NotAbove { current }, Vec::new());
        }
        self.record_accepted(generation, sha256);
        let configuration = StoredConfiguration { generation, body };
        let change = configuration_change(&configuration);
        self.configuration = Some(configuration);
        (ConfigurationOutcome::Accepted, vec![change])
    }

    fn record_accepted(&mut self, generation: Generation, sha256: [u8; 32]) {
        if self.accepted.len() == MAX_ACCEPTED_CONFIGURATIONS {
            self.accepted.pop_front();
        }
        self.accepted.push_back(AcceptedConfiguration { generation, sha256 });
    }

    fn store_command(&mut self, command: &StoreCommand) -> (ConfigurationOutcome, Vec<Change>) {
        let epoch_before = self.stores.map().epoch;
        let outcome = self.stores.apply(command);
        let map = self.stores.map();
        let changes =
            if map.epoch == epoch_before { Vec::new() } else { vec![Change::StoreMap(map.clone())] };
        (ConfigurationOutcome::Store(outcome), changes)
    }

    fn directory_change(&self, changed: bool) -> Vec<Change> {
        if changed { vec![Change::ControlNodes(self.directory.nodes().to_vec())] } else { Vec::new() }
    }
}

fn configuration_change(configuration: &StoredConfiguration) -> Change {
    Change::Configuration { generation: configuration.generation, body: configuration.body.clone() }
}
