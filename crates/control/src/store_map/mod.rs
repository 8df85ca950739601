//! The table of stores and the placement of partitions on them, as a deterministic state machine.
//!
//! [`StoreTable::apply`] takes the commands in the order of the replicated log and reads no clock. Decisions that
//! depend on time, such as that a store is unavailable or a new one established, are made by the owner of the shard and
//! arrive as commands.
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

/// Reachability of a store, decided by the shard's owner from the time since its last contact.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Contacted recently.
    Live,
    /// Without contact for so long that a store without replicas, or one that has already taken over for it, may
    /// replace it.
    Unavailable,
    /// Without contact for so long that any other store may replace it.
    Dead,
}

/// A registered store.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// Identity, address and state.
    pub node: StoreNode,
    /// Reachability.
    pub liveness: Liveness,
    /// The store has been a member for long enough to take over replicas from live stores.
    pub is_established: bool,
    /// The store is about to shut down: its replicas are moved to other stores first.
    pub is_shutting_down: bool,
}

/// A former replica of a partition that still has its data.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
struct DisplacedReplica {
    /// Slot in the list of replicas. The store serves as a catch-up source until the replica in that slot is complete
    /// again.
    slot: u16,
    /// Identity of the store.
    store: NodeIdentity,
}

impl DisplacedReplica {
    fn was_in_slot(&self, slot: usize) -> bool {
        usize::from(self.slot) == slot
    }
}

/// The placement of a partition, with the state needed to validate reports about it.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct PartitionEntry {
    /// The published placement.
    pub partition: PartitionReplicas,
    /// Epoch in which the set of replicas last changed. A catch-up that started in an earlier epoch may lack writes.
    pub changed_epoch: Epoch,
    /// Former replicas from which incomplete replicas may catch up.
    displaced: Vec<DisplacedReplica>,
}

/// A command to the table of stores.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
pub enum StoreCommand {
    /// A store joins for the first time or after a restart.
    Join {
        /// The store; its `state` is ignored.
        node: StoreNode,
    },
    /// Creates the first map from the registered stores.
    FormMap {
        /// Number of replicas of each partition.
        replicas: u16,
        /// Constraint on the distribution over failure domains.
        spread: Spread,
    },
    /// A store has been a member for long enough to take over replicas from live stores.
    MarkEstablished {
        /// Identity of the store.
        identity: NodeIdentity,
    },
    /// The reachability of a store has changed.
    SetLiveness {
        /// Identity of the store.
        identity: NodeIdentity,
        /// New reachability.
        liveness: Liveness,
    },
    /// A store has caught up with partitions.
    ReplicasComplete {
        /// Identity of the store.
        store: NodeIdentity,
        /// Epoch of the map under which the store caught up.
        epoch: Epoch,
        /// The partitions.
        partitions: Vec<Partition>,
    },
    /// The operator retires a machine, whose replicas are moved to others.
    Retire {
        /// Name of the machine.
        node_name: String,
    },
    /// A store that is about to shut down asks whether its replicas are moved to other stores first.
    RequestShutdown {
        /// Identity of the store.
        identity: NodeIdentity,
    },
}

/// Outcome of a command.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Applied now or earlier.
    Done,
    /// No machine of that name is registered.
    UnknownNode,
    /// Rejected, because the remaining stores could not hold all replicas.
    TooFewStores,
    /// Rejected, because the first map does not exist yet.
    NotFormed,
    /// Not enough other stores can take over the replicas: the store may shut down at once.
    NoSuccessor,
}

/// Progress of the retirement of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireState {
    /// The machine still has replicas or serves as a source.
    Active,
    /// No partition refers to the machine any more.
    Completed,
}

/// All stores and the placement of the partitions.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreTable {
    stores: Vec<StoreEntry>,
    partitions: Vec<PartitionEntry>,
    /// Replication factor of the partitions.
    replicas_wanted: u16,
    spread: Spread,
    /// Number of stores the tier should have: those of the first map without the retired ones, but at least one per
    /// replica.
    expected: u16,
    published: StoreMap,
    /// Names of the machines that the operator has retired.
    retired_nodes: Vec<String>,
    replaced_identities: ReplacedIdentities,
}

impl StoreTable {
    /// Applies a command and updates [`Self::map`].
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
            self.remove_dead_stores();
            self.publish();
        }
        outcome
    }

    /// The published map; its epoch is 0 before the first map is created.
    #[must_use]
    pub fn map(&self) -> &StoreMap {
        &self.published
    }

    /// All registered stores.
    #[must_use]
    pub fn stores(&self) -> &[StoreEntry] {
        &self.stores
    }

    /// Returns a store by its identity.
    #[must_use]
    pub fn store(&self, identity: NodeIdentity) -> Option<&StoreEntry> {
        self.stores.iter().find(|entry| entry.node.identity == identity)
    }

    /// Whether the first map has been created.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        !self.partitions.is_empty()
    }

    /// Progress of the retirement of a machine; `None` if the machine is unknown and was never retired.
    #[must_use]
    pub fn retire_state(&self, node_name: &str) -> Option<RetireState> {
        let is_retired = self.retired_nodes.iter().any(|name| name == node_name);
        match self.stores.iter().find(|entry| entry.node.node_name == node_name) {
            Some(entry) if entry.node.state == StoreState::Retired => Some(RetireState::Completed),
            Some(_) => Some(RetireState::Active),
            None => is_retired.then_some(RetireState::Completed),
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
        let replaced_store = self
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
            is_established: replaced_store.is_some(),
            is_shutting_down: false,
        };
        match replaced_store {
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
                    placement::select_stores(Partition(number), &candidates, usize::from(replicas), &spread);
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
            entry.displaced.retain(|displaced| !displaced.was_in_slot(slot));
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
        let remaining: Vec<&StoreNode> = self
            .stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Active && entry.node.node_name != node_name)
            .filter(|entry| entry.liveness != Liveness::Dead && !entry.is_shutting_down)
            .filter(|entry| entry.liveness == Liveness::Live || self.is_referenced(entry.node.identity))
            .map(|entry| &entry.node)
            .collect();
        let replicas = usize::from(self.replicas_wanted);
        if !self.effective_spread().has_capacity(remaining.into_iter(), replicas) {
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

    /// Whether as many stores as the tier should have are live without this one, so that a successor has already
    /// joined.
    fn has_successor_of(&self, identity: NodeIdentity) -> bool {
        let live = self.stores.iter().filter(|entry| {
            let is_candidate = entry.node.state == StoreState::Active && !entry.is_shutting_down;
            is_candidate && entry.liveness == Liveness::Live && entry.node.identity != identity
        });
        let others: Vec<&StoreNode> = live.map(|entry| &entry.node).collect();
        others.len() >= usize::from(self.expected)
            && self.effective_spread().has_capacity(others.into_iter(), usize::from(self.replicas_wanted))
    }

    /// The configured spread if the active stores have the capacity for it; otherwise only the separation of machines.
    fn effective_spread(&self) -> Spread {
        let is_active = |entry: &&StoreEntry| entry.node.state == StoreState::Active;
        let known = self.stores.iter().filter(is_active).map(|entry| &entry.node);
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
        let finished: Vec<NodeIdentity> = self
            .stores
            .iter()
            .filter(|entry| entry.node.state == StoreState::Retiring)
            .map(|entry| entry.node.identity)
            .filter(|identity| all_complete && !self.is_referenced(*identity))
            .collect();
        for entry in &mut self.stores {
            if finished.contains(&entry.node.identity) {
                entry.node.state = StoreState::Retired;
            }
        }
    }

    /// Removes dead stores to which no partition refers any more.
    fn remove_dead_stores(&mut self) {
        let dead: Vec<NodeIdentity> = self
            .stores
            .iter()
            .filter(|entry| entry.liveness == Liveness::Dead && entry.node.state != StoreState::Retiring)
            .map(|entry| entry.node.identity)
            .filter(|identity| !self.is_referenced(*identity))
            .collect();
        self.stores.retain(|entry| !dead.contains(&entry.node.identity));
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
