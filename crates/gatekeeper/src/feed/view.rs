//! The control state in typed form, as the proxy reads it for each request.

use opalrun_configuration::Configuration;
use opalrun_wire::{
    feed::{Change, ControlNode, FeedUpdate, StoreMap, Worker, WorkerState, shard_of_service},
    ids::Generation,
};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};
use tokio::time::Instant;

/// The workers of a service by id.
pub type Workers = BTreeMap<String, Rc<Worker>>;

/// The newest configuration received from control.
#[derive(Debug, Clone)]
pub struct NewestConfiguration {
    /// Generation as sent by control.
    pub generation: Generation,
    /// Parsed configuration.
    pub configuration: Rc<Configuration>,
}

/// The control state known to the proxy. Generations and epochs never decrease.
#[derive(Debug, Default)]
pub struct ControlView {
    /// Newest configuration; a request reads it at its start and uses it until its end.
    pub configuration: Option<NewestConfiguration>,
    /// Workers by service, including draining ones.
    pub workers: HashMap<String, Workers>,
    /// Placement of the partitions on the stores.
    pub store_map: Rc<StoreMap>,
    /// The control processes.
    pub control_nodes: Vec<ControlNode>,
    /// Number of gatekeepers with a session in the whole tier, including this one; 0 while unknown.
    pub gatekeepers: u32,
    /// Ids of workers at which requests of several gatekeepers have failed recently.
    pub suspects: Vec<String>,
    /// Time of the last message from a control process that had a quorum.
    pub fresh_at: Option<Instant>,
}

impl ControlView {
    /// Generation of the configuration in force; 0 without one.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |newest| newest.generation)
    }

    /// The workers of a service that accept new requests.
    pub fn ready_workers(&self, service: &str) -> impl Iterator<Item = &Rc<Worker>> {
        let workers = self.workers.get(service).into_iter().flat_map(BTreeMap::values);
        workers.filter(|worker| worker.state == WorkerState::Ready)
    }

    /// A worker in any state; `None` once it has been removed.
    #[must_use]
    pub fn worker(&self, service: &str, id: &str) -> Option<&Rc<Worker>> {
        self.workers.get(service)?.get(id)
    }

    /// Applies an update; returns whether anything other than the freshness may have changed.
    pub(crate) fn apply(&mut self, update: FeedUpdate) -> bool {
        match update {
            FeedUpdate::Snapshot { shard, changes, .. } => {
                self.workers.retain(|service, _| shard_of_service(service) != shard);
                self.apply_changes(changes);
            }
            FeedUpdate::Changes { changes, .. } => self.apply_changes(changes),
            FeedUpdate::Fresh { gatekeepers } => {
                self.fresh_at = Some(Instant::now());
                return std::mem::replace(&mut self.gatekeepers, gatekeepers) != gatekeepers;
            }
            FeedUpdate::Suspects(workers) => self.suspects = workers,
            FeedUpdate::Unavailable | FeedUpdate::ShutdownDecision { .. } => return false,
        }
        true
    }

    fn apply_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Configuration { generation, body } => self.configure(generation, &body),
                Change::ControlNodes(nodes) => self.control_nodes = nodes,
                Change::StoreMap(map) if map.epoch >= self.store_map.epoch => self.store_map = Rc::new(map),
                Change::StoreMap(_) => {}
                Change::Worker(worker) => {
                    let workers = self.workers.entry(worker.service.clone()).or_default();
                    workers.insert(worker.id.clone(), Rc::new(worker));
                }
                Change::WorkerGone { service, id } => {
                    if let Some(workers) = self.workers.get_mut(&service) {
                        workers.remove(&id);
                    }
                }
            }
        }
    }

    fn configure(&mut self, generation: Generation, body: &[u8]) {
        if generation <= self.generation() {
            return;
        }
        match Configuration::parse(body) {
            Ok(configuration) => {
                let configuration = Rc::new(configuration);
                self.configuration = Some(NewestConfiguration { generation, configuration });
            }
            Err(problems) => {
                let problem = problems.first().map(ToString::to_string);
                tracing::error!(
                    generation = generation.0,
                    problem,
                    "configuration from control is invalid; keeping the previous one"
                );
            }
        }
    }
}
