//! The state of all shards as received from control, without parsing the configuration.

use opalrun_wire::{
    feed::{Change, ControlNode, FeedUpdate, Position, StoreMap, Worker},
    ids::{Epoch, FeedOffset, Generation, Shard},
};
use std::collections::BTreeMap;

/// The state of all shards that have been received.
#[derive(Debug, Default)]
pub struct ControlState {
    shards: BTreeMap<Shard, ShardState>,
}

/// The state of one shard.
#[derive(Debug, Default)]
struct ShardState {
    offset: FeedOffset,
    configuration: Option<EncodedConfiguration>,
    control_nodes: Option<Vec<ControlNode>>,
    store_map: Option<StoreMap>,
    workers: BTreeMap<WorkerKey, Worker>,
}

/// A configuration as control sent it, not parsed.
#[derive(Debug)]
struct EncodedConfiguration {
    generation: Generation,
    body: Vec<u8>,
}

/// Identifies a worker, whose id is unique only within its service. Ordered by service, then id.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerKey {
    service: String,
    id: String,
}

impl ControlState {
    /// Applies an update from the feed client.
    pub fn apply(&mut self, update: &FeedUpdate) {
        match update {
            FeedUpdate::Snapshot { shard, offset, changes } => {
                let state = self.shards.entry(*shard).or_default();
                state.workers.clear();
                state.apply(*offset, changes);
            }
            FeedUpdate::Changes { shard, offset, changes } => {
                self.shards.entry(*shard).or_default().apply(*offset, changes);
            }
            FeedUpdate::Fresh { .. }
            | FeedUpdate::Suspects(_)
            | FeedUpdate::Unavailable
            | FeedUpdate::ShutdownDecision { .. } => {}
        }
    }

    /// Offset up to which each shard has been received.
    #[must_use]
    pub fn positions(&self) -> Vec<Position> {
        let position =
            |(shard, state): (&Shard, &ShardState)| Position { shard: *shard, offset: state.offset };
        self.shards.iter().map(position).collect()
    }

    /// The state of a shard, as the changes that build it from an empty one.
    #[must_use]
    pub fn snapshot(&self, shard: Shard) -> Vec<Change> {
        self.shards.get(&shard).map(ShardState::changes).unwrap_or_default()
    }

    /// Generation of the newest configuration; 0 without one.
    #[must_use]
    pub fn generation(&self) -> Generation {
        let generations = self.shards.values().filter_map(|shard| shard.configuration.as_ref());
        generations.map(|configuration| configuration.generation).max().unwrap_or(Generation(0))
    }
}

impl ShardState {
    fn apply(&mut self, offset: FeedOffset, changes: &[Change]) {
        self.offset = offset;
        for change in changes {
            self.apply_change(change);
        }
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Configuration { generation, body } => {
                let known_generation =
                    self.configuration.as_ref().map_or(Generation::default(), |known| known.generation);
                if *generation > known_generation {
                    self.configuration =
                        Some(EncodedConfiguration { generation: *generation, body: body.clone() });
                }
            }
            Change::ControlNodes(nodes) => self.control_nodes = Some(nodes.clone()),
            Change::StoreMap(map) => {
                let known_epoch = self.store_map.as_ref().map_or(Epoch::default(), |map| map.epoch);
                if map.epoch >= known_epoch {
                    self.store_map = Some(map.clone());
                }
            }
            Change::Worker(worker) => {
                let key = WorkerKey { service: worker.service.clone(), id: worker.id.clone() };
                self.workers.insert(key, worker.clone());
            }
            Change::WorkerGone { service, id } => {
                self.workers.remove(&WorkerKey { service: service.clone(), id: id.clone() });
            }
        }
    }

    fn changes(&self) -> Vec<Change> {
        let configuration = self
            .configuration
            .iter()
            .map(|known| Change::Configuration { generation: known.generation, body: known.body.clone() });
        let control_nodes = self.control_nodes.iter().cloned().map(Change::ControlNodes);
        let store_map = self.store_map.iter().cloned().map(Change::StoreMap);
        let workers = self.workers.values().cloned().map(Change::Worker);
        configuration.chain(control_nodes).chain(store_map).chain(workers).collect()
    }
}
