//! The table of stores and the map of partitions to stores, as a deterministic state machine.
//!
//! [`StoreTable::apply`] takes commands in the order of the replicated log; nothing here reads a clock. Decisions that
//! need time (a store is unavailable, a new one is established) are made by the owner of the shard and arrive as
//! commands.
#![expect(missing_docs, reason = "the derived resolvers have no docs; every item written here has")]

#[cfg(test)]
mod durability_tests;
mod placement;
mod plan;
mod spread;
#[cfg(test)]
mod tests;

pub use spread::Spread;

use crate::replaced_identities::ReplacedIdentities;
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};
use rkyv::{Archive, Deserialize, Serialize};

/// Whether a store is reached, as the shard's owner decides by the time since it was last heard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It was heard recently.
    Live,
    /// It was not heard for so long that a store without replicas may replace it.
    Unavailable,
    /// It was not heard for so long that any other store may replace it.
    Dead,
}

/// A store that is known.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The store.
    pub node: StoreNode,
    /// Whether it is reached.
    pub liveness: Liveness,
    /// It has been a member for long enough to get replicas of live stores.
    pub is_established: bool,
    /// It is to shut down while others can take over: its replicas are moved away before it ends.
    pub is_shutting_down: bool,
}

/// A former replica of a partition that still has its data.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct DisplacedReplica {
    /// Its slot among the replicas. It is a source until the replica in that slot is complete again.
    slot: u16,
    /// The identity of its store.
    store: NodeIdentity,
}

impl DisplacedReplica {
    fn is_of_slot(&self, slot: usize) -> bool {
        usize::from(self.slot) == slot
    }
}

/// The placement of a partition, with what is needed to check reports about it.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct PartitionEntry {
    /// What is published.
    pub partition: PartitionReplicas,
    /// The epoch in which its set of replicas last changed. A catch-up that began earlier may lack writes.
    pub changed_epoch: Epoch,
    /// The sources that a replica which is not complete may read from.
    displaced: Vec<DisplacedReplica>,
}

/// A command to the table.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreCommand {
    /// A store joins, or joins again after a restart.
    Join {
        /// The store; its `state` is ignored.
        node: StoreNode,
    },
    /// Forms the first map of the stores that are known.
    FormMap {
        /// Replicas of each partition.
        replicas: u16,
        /// How they are spread over failure domains.
        spread: Spread,
    },
    /// A store has been a member for long enough.
    MarkEstablished {
        /// The store's identity.
        identity: NodeIdentity,
    },
    /// The liveness of a store has changed.
    SetLiveness {
        /// The store's identity.
        identity: NodeIdentity,
        /// The new liveness.
        liveness: Liveness,
    },
    /// A store has caught up with partitions.
    ReplicasComplete {
        /// The store's identity.
        store: NodeIdentity,
        /// The epoch of the map under which it caught up.
        epoch: Epoch,
        /// The partitions.
        partitions: Vec<Partition>,
    },
    /// The operator retires a machine: its replicas are to be moved away.
    Retire {
        /// The machine's name.
        node_name: String,
    },
    /// A store is to shut down and asks whether its replicas are moved away before.
    RequestShutdown {
        /// The store's identity.
        identity: NodeIdentity,
    },
}

/// The outcome of a command.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It was done, or had been done before.
    Done,
    /// No such machine is known.
    UnknownNode,
    /// Too few stores would be left.
    TooFewStores,
    /// The first map is not formed yet.
    NotFormed,
    /// Too few other stores can take over its replicas: it may shut down at once.
    NoSuccessor,
}

/// How far the retirement of a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireState {
    /// It has replicas, or is a source of others.
    Active,
    /// No partition refers to it any more.
    Completed,
}

/// All stores and the map.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreTable {
    stores: Vec<StoreEntry>,
    partitions: Vec<PartitionEntry>,
    replicas_wanted: u16,
    spread: Spread,
    /// Number of stores that the tier should have: those of its start, less those that were retired.
    expected: u16,
    published: StoreMap,
    /// Names of the machines that the operator has retired.
    retired_nodes: Vec<String>,
    replaced_identities: ReplacedIdentities,
}

impl StoreTable {
    /// Applies a command; afterwards [`Self::map`] is up to date.
    pub fn apply(&mut self, command: &StoreCommand) -> StoreOutcome {
        let outcome = match command {
            StoreCommand::Join { node } => self.join(node),
            StoreCommand::FormMap { replicas, spread } => self.form_map(*replicas, spread),
            StoreCommand::MarkEstablished { identity } => self.mark_established(*identity),
            StoreCommand::SetLiveness { identity, liveness } => self.set_liveness(*identity, *liveness),
            StoreCommand::ReplicasComplete { store, epoch, partitions } => {
                self.mark_complete(*store, *epoch, partitions)
            }
            StoreCommand::RequestShutdown { identity } => self.request_shutdown(*identity),
            StoreCommand::Retire { node_name } => self.retire(node_name),
        };
        if self.is_formed() {
            self.replan();
            self.finish_retirements();
            self.forget_lost_stores();
            self.publish();
        }
        outcome
    }

    /// The map as it is published; its epoch is 0 until it is formed.
    #[must_use]
    pub fn map(&self) -> &StoreMap {
        &self.published
    }

    /// All stores that are known.
    #[must_use]
    pub fn stores(&self) -> &[StoreEntry] {
        &self.stores
    }

    /// A store by its identity.
    #[must_use]
    pub fn store(&self, identity: NodeIdentity) -> Option<&StoreEntry> {
        self.stores.iter().find(|entry| entry.node.identity == identity)
    }

    /// Whether the first map is formed.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        !self.partitions.is_empty()
    }

    /// How far the retirement of a machine is; `None` where the machine is unknown.
    #[must_use]
    pub fn retire_state(&self, node_name: &str) -> Option<RetireState> {
        let ordered = self.retired_nodes.iter().any(|name| name == node_name);
        match self.stores.iter().find(|entry| entry.node.node_name == node_name) {
            Some(entry) if entry.node.state == StoreState::Retired => Some(RetireState::Completed),
            Some(_) => Some(RetireState::Active),
            None => ordered.then_some(RetireState::Completed),
        }
    }

    fn join(&mut self, node: &StoreNode) -> StoreOutcome {
        if self.replaced_identities.rejects_join(node.identity) {
            return StoreOutcome::Done;
        }
        if let Some(known) = self.stores.iter_mut().find(|entry| entry.node.identity == node.identity) {
            known.node.address.clone_from(&node.address);
            known.node.node_name.clone_from(&node.node_name);
            known.node.zone.clone_from(&node.zone);
            known.liveness = Liveness::Live;
            known.is_shutting_down = false;
            return StoreOutcome::Done;
        }
        let lost_store = self
            .stores
            .iter()
            .position(|entry| entry.node.node_name == node.node_name || entry.node.address == node.address);
        let state = if self.retired_nodes.contains(&node.node_name) {
            StoreState::Retiring
        } else {
            StoreState::Active
        };
        let entry = StoreEntry {
            node: StoreNode { state, ..node.clone() },
            liveness: Liveness::Live,
            is_established: lost_store.is_some(),
            is_shutting_down: false,
        };
        match lost_store {
            Some(position) => {
                let lost = self.stores[position].node.identity;
                self.stores[position] = entry;
                self.replaced_identities.remember(lost);
                self.substitute_replaced_store(lost, node.identity, state);
            }
            None => self.stores.push(entry),
        }
        StoreOutcome::Done
    }

    fn form_map(&mut self, replicas: u16, spread: &Spread) -> StoreOutcome {
        if self.is_formed() || self.stores.is_empty() || replicas == 0 {
            return StoreOutcome::Done;
        }
        self.replicas_wanted = replicas;
        self.spread = spread.clone();
        self.expected = replicas.max(self.stores.len() as u16);
        for entry in &mut self.stores {
            entry.is_established = true;
        }
        let candidates: Vec<&StoreNode> = self.stores.iter().map(|entry| &entry.node).collect();
        let spread = self.effective_spread();
        self.partitions = (0..STORE_PARTITIONS)
            .map(|number| {
                let chosen =
                    placement::choose(Partition(number), &candidates, usize::from(replicas), &spread);
                let replicas = chosen.into_iter().map(|store| Replica { store, is_complete: true }).collect();
                let partition = PartitionReplicas { replicas, sources: Vec::new() };
                PartitionEntry { partition, changed_epoch: Epoch(1), displaced: Vec::new() }
            })
            .collect();
        StoreOutcome::Done
    }

    fn mark_established(&mut self, identity: NodeIdentity) -> StoreOutcome {
        if let Some(entry) = self.stores.iter_mut().find(|entry| entry.node.identity == identity) {
            entry.is_established = true;
        }
        StoreOutcome::Done
    }

    fn set_liveness(&mut self, identity: NodeIdentity, liveness: Liveness) -> StoreOutcome {
        if let Some(entry) = self.stores.iter_mut().find(|entry| entry.node.identity == identity) {
            entry.liveness = liveness;
        }
        StoreOutcome::Done
    }

    fn mark_complete(&mut self, store: NodeIdentity, epoch: Epoch, partitions: &[Partition]) -> StoreOutcome {
        for number in partitions {
            let Some(entry) = self.partitions.get_mut(number.position()) else { continue };
            if epoch < entry.changed_epoch {
                continue;
            }
            let Some(slot) = entry.partition.replicas.iter().position(|replica| replica.store == store)
            else {
                continue;
            };
            entry.partition.replicas[slot].is_complete = true;
            entry.displaced.retain(|displaced| !displaced.is_of_slot(slot));
        }
        StoreOutcome::Done
    }

    fn retire(&mut self, node_name: &str) -> StoreOutcome {
        if self.retired_nodes.iter().any(|name| name == node_name) {
            return StoreOutcome::Done;
        }
        if !self.stores.iter().any(|entry| entry.node.node_name == node_name) {
            return StoreOutcome::UnknownNode;
        }
        if !self.is_formed() {
            return StoreOutcome::NotFormed;
        }
        let left: Vec<&StoreNode> = self
            .stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Active && entry.node.node_name != node_name)
            .filter(|entry| entry.liveness != Liveness::Dead && !entry.is_shutting_down)
            .filter(|entry| entry.liveness == Liveness::Live || self.is_referenced(entry.node.identity))
            .map(|entry| &entry.node)
            .collect();
        let replicas = usize::from(self.replicas_wanted);
        if !self.effective_spread().has_capacity(left.into_iter(), replicas) {
            return StoreOutcome::TooFewStores;
        }
        self.expected = self.expected.saturating_sub(1).max(self.replicas_wanted);
        self.retired_nodes.push(node_name.to_owned());
        for entry in self.stores.iter_mut().filter(|entry| entry.node.node_name == node_name) {
            entry.node.state = StoreState::Retiring;
        }
        StoreOutcome::Done
    }

    fn request_shutdown(&mut self, identity: NodeIdentity) -> StoreOutcome {
        if !self.is_formed() || !self.has_successor_of(identity) {
            return StoreOutcome::NoSuccessor;
        }
        match self.stores.iter_mut().find(|entry| entry.node.identity == identity) {
            Some(entry) => {
                entry.is_shutting_down = true;
                StoreOutcome::Done
            }
            None => StoreOutcome::NoSuccessor,
        }
    }

    /// Whether as many stores as the tier should have are live without this one: another one has replaced it.
    fn has_successor_of(&self, identity: NodeIdentity) -> bool {
        let live = self.stores.iter().filter(|entry| {
            let takes_part = entry.node.state == StoreState::Active && !entry.is_shutting_down;
            takes_part && entry.liveness == Liveness::Live && entry.node.identity != identity
        });
        let others: Vec<&StoreNode> = live.map(|entry| &entry.node).collect();
        others.len() >= usize::from(self.expected)
            && self.effective_spread().has_capacity(others.into_iter(), usize::from(self.replicas_wanted))
    }

    /// The spread, where the known stores have the capacity for it; else only machines are kept apart.
    fn effective_spread(&self) -> Spread {
        let stays = |entry: &&StoreEntry| entry.node.state == StoreState::Active;
        let known = self.stores.iter().filter(stays).map(|entry| &entry.node);
        if self.spread.has_capacity(known, usize::from(self.replicas_wanted)) {
            self.spread.clone()
        } else {
            Spread::over_machines()
        }
    }

    /// Whether a partition refers to the store as a replica or a source.
    fn is_referenced(&self, identity: NodeIdentity) -> bool {
        self.partitions.iter().any(|entry| {
            entry.partition.replicas.iter().any(|replica| replica.store == identity)
                || entry.partition.sources.contains(&identity)
        })
    }

    fn finish_retirements(&mut self) {
        let all_complete = self.partitions.iter().all(|entry| plan::all_complete(&entry.partition));
        let done: Vec<NodeIdentity> = self
            .stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Retiring)
            .map(|entry| entry.node.identity)
            .filter(|identity| all_complete && !self.is_referenced(*identity))
            .collect();
        for entry in &mut self.stores {
            if done.contains(&entry.node.identity) {
                entry.node.state = StoreState::Retired;
            }
        }
    }

    /// Drops dead stores that no partition refers to any more.
    fn forget_lost_stores(&mut self) {
        let lost: Vec<NodeIdentity> = self
            .stores
            .iter()
            .filter(|entry| entry.liveness == Liveness::Dead && entry.node.state != StoreState::Retiring)
            .map(|entry| entry.node.identity)
            .filter(|identity| !self.is_referenced(*identity))
            .collect();
        self.stores.retain(|entry| !lost.contains(&entry.node.identity));
    }

    fn publish(&mut self) {
        let stores: Vec<StoreNode> = self
            .stores
            .iter()
            .filter(|entry| self.is_referenced(entry.node.identity))
            .map(|entry| entry.node.clone())
            .collect();
        let partitions: Vec<PartitionReplicas> =
            self.partitions.iter().map(|entry| entry.partition.clone()).collect();
        if stores != self.published.stores || partitions != self.published.partitions {
            let epoch = self.published.epoch.next();
            self.published = StoreMap { epoch, stores, partitions };
        }
    }
}
