//! The state machine of shard 0: the operator's configuration, the directory of control processes and the store map.
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

/// Accepted configurations that are remembered by their hash, so that a retried change is recognised.
const MAX_REMEMBERED_CONFIGURATIONS: usize = 10_000;

/// A command to shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationCommand {
    /// A change of the configuration, decided as a compare-and-set on the current generation.
    PutConfiguration {
        /// The generation that it builds on; 0 for the first.
        if_match: Generation,
        /// Its own generation.
        generation: Generation,
        /// The operator's body, already checked.
        body: Vec<u8>,
        /// The hash of the body.
        sha256: [u8; 32],
    },
    /// A control process is admitted to the tier.
    AdmitControl {
        /// The process.
        node: ControlNode,
    },
    /// A control process is no member any more, if enough others are left.
    DropControl {
        /// Its identity.
        identity: NodeIdentity,
        /// The fewest members that have to be left.
        min_members: u16,
    },
    /// For the table of stores.
    Store(StoreCommand),
}

/// The outcome of a command to shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationOutcome {
    /// The configuration is in force.
    Accepted,
    /// The same configuration had been accepted before.
    AlreadyAccepted,
    /// Another generation is current than the one that the change builds on.
    Conflict {
        /// The current generation.
        current: Generation,
    },
    /// The change's generation is not above the current one.
    NotAbove {
        /// The current generation.
        current: Generation,
    },
    /// The directory was brought up to date.
    Directory,
    /// The outcome of the table of stores.
    Store(StoreOutcome),
}

/// The configuration in force.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Its generation.
    pub generation: Generation,
    /// The operator's body as it was sent.
    pub body: Vec<u8>,
}

/// A configuration that was accepted.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct AcceptedConfiguration {
    generation: Generation,
    /// The hash of the operator's body.
    sha256: [u8; 32],
}

/// The state of shard 0.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigurationShard {
    configuration: Option<StoredConfiguration>,
    /// Accepted configurations, the oldest first.
    accepted: VecDeque<AcceptedConfiguration>,
    directory: Directory,
    stores: StoreTable,
}

impl ConfigurationShard {
    /// Applies a command and returns the changes for subscribers of the feed.
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

    /// The complete state as the changes that make it from nothing.
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

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&StoredConfiguration> {
        self.configuration.as_ref()
    }

    /// The generation in force; 0 before the first.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |configuration| configuration.generation)
    }

    /// Whether exactly this configuration was accepted before.
    #[must_use]
    pub fn was_accepted(&self, generation: Generation, sha256: &[u8; 32]) -> bool {
        let wanted = AcceptedConfiguration { generation, sha256: *sha256 };
        self.accepted.iter().rev().any(|accepted| *accepted == wanted)
    }

    /// The control processes.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The stores.
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
        self.remember(generation, sha256);
        let configuration = StoredConfiguration { generation, body };
        let change = configuration_change(&configuration);
        self.configuration = Some(configuration);
        (ConfigurationOutcome::Accepted, vec![change])
    }

    fn remember(&mut self, generation: Generation, sha256: [u8; 32]) {
        if self.accepted.len() == MAX_REMEMBERED_CONFIGURATIONS {
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
