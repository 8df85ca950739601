//! The control state, typed, as the proxy reads it at each request.

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

/// The workers of a service, by id.
pub type Workers = BTreeMap<String, Rc<Worker>>;

/// The newest configuration that control has sent.
#[derive(Debug, Clone)]
pub struct NewestConfiguration {
    /// The generation that control gave it.
    pub generation: Generation,
    /// Its parsed body.
    pub configuration: Rc<Configuration>,
}

/// What is known of the tier. Generations and epochs never go back.
#[derive(Debug, Default)]
pub struct ControlView {
    /// The newest configuration; requests read it at their start and keep it.
    pub configuration: Option<NewestConfiguration>,
    /// The workers of each service: draining ones are there still, those that have gone are not.
    pub workers: HashMap<String, Workers>,
    /// Which store holds what.
    pub store_map: Rc<StoreMap>,
    /// The control processes.
    pub control_nodes: Vec<ControlNode>,
    /// Gatekeepers with a session, over the whole tier, this one included; 0 while unknown.
    pub gatekeepers: u32,
    /// Workers at which requests of several gatekeepers failed recently.
    pub suspects: Vec<String>,
    /// When a control process with a quorum was last heard from.
    pub fresh_at: Option<Instant>,
}

impl ControlView {
    /// The generation of the configuration in force; 0 while there is none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.configuration.as_ref().map_or(Generation(0), |newest| newest.generation)
    }

    /// The workers of a service that take new requests.
    pub fn ready_workers(&self, service: &str) -> impl Iterator<Item = &Rc<Worker>> {
        let workers = self.workers.get(service).into_iter().flat_map(BTreeMap::values);
        workers.filter(|worker| worker.state == WorkerState::Ready)
    }

    /// A worker, draining or not; `None` once it has gone.
    #[must_use]
    pub fn worker(&self, service: &str, id: &str) -> Option<&Rc<Worker>> {
        self.workers.get(service)?.get(id)
    }

    /// Applies an update; returns whether anything but the freshness may have changed.
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
                    "a configuration from control can't be read: the former stays"
                );
            }
        }
    }
}
