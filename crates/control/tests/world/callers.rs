//! Simulated clients of control: operators, workers, and gatekeepers subscribed to the feed, with the responses and updates
//! that they received.

use opalrun_control::{
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    sessions::SessionCommand,
};
use opalrun_model_check::{Operation, SequentialSpec};
use opalrun_wire::{
    feed::{Change, FeedUpdate, Worker, WorkerState},
    frame::encode,
    ids::{FeedOffset, Generation, Shard},
};
use std::collections::{BTreeMap, BTreeSet};

/// A request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRequest {
    Put { if_match: u64, generation: u64, body: u64 },
    Read,
}

/// The response to an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorAnswer {
    Accepted,
    Conflict {
        current: u64,
    },
    NotAbove {
        current: u64,
    },
    /// The current generation and body; zeros before the first configuration.
    Configuration {
        generation: u64,
        body: u64,
    },
}

impl OperatorRequest {
    pub fn command(&self) -> Option<Vec<u8>> {
        let OperatorRequest::Put { if_match, generation, body } = self else { return None };
        let mut sha256 = [0; 32];
        sha256[..8].copy_from_slice(&body.to_le_bytes());
        let command = ConfigurationCommand::PutConfiguration {
            if_match: Generation(*if_match),
            generation: Generation(*generation),
            body: body.to_le_bytes().to_vec(),
            sha256,
        };
        Some(encode(&command).to_vec())
    }
}

/// Returns the operator's response for the outcome of a command; `None` if the outcome is not that of a configuration change.
pub fn operator_answer(outcome: &ConfigurationOutcome) -> Option<OperatorAnswer> {
    match outcome {
        ConfigurationOutcome::Accepted | ConfigurationOutcome::AlreadyAccepted => {
            Some(OperatorAnswer::Accepted)
        }
        ConfigurationOutcome::Conflict { current } => Some(OperatorAnswer::Conflict { current: current.0 }),
        ConfigurationOutcome::NotAbove { current } => Some(OperatorAnswer::NotAbove { current: current.0 }),
        _ => None,
    }
}

/// Sequential specification of the configuration, against which the responses to operators are checked.
pub struct ConfigurationSpec;

/// Current generation, current body, and the generation and body of every accepted configuration.
pub type ConfigurationState = (u64, u64, BTreeSet<(u64, u64)>);

impl SequentialSpec for ConfigurationSpec {
    type Call = OperatorRequest;
    type Reply = OperatorAnswer;
    type State = ConfigurationState;

    fn apply(
        &self,
        state: &ConfigurationState,
        request: &OperatorRequest,
    ) -> (ConfigurationState, OperatorAnswer) {
        let (current, current_body, accepted) = state;
        match request {
            OperatorRequest::Read => {
                (state.clone(), OperatorAnswer::Configuration { generation: *current, body: *current_body })
            }
            OperatorRequest::Put { generation, body, .. } if accepted.contains(&(*generation, *body)) => {
                (state.clone(), OperatorAnswer::Accepted)
            }
            OperatorRequest::Put { if_match, .. } if if_match != current => {
                (state.clone(), OperatorAnswer::Conflict { current: *current })
            }
            OperatorRequest::Put { generation, .. } if generation <= current => {
                (state.clone(), OperatorAnswer::NotAbove { current: *current })
            }
            OperatorRequest::Put { generation, body, .. } => {
                let mut accepted = accepted.clone();
                accepted.insert((*generation, *body));
                ((*generation, *body, accepted), OperatorAnswer::Accepted)
            }
        }
    }
}

/// An operation in the history that is checked for linearizability.
pub type Recorded = Operation<OperatorRequest, OperatorAnswer>;

/// An operator: repeats a request at any process until it receives a definite response.
#[derive(Debug, Default)]
pub struct Operator {
    /// The request without a definite response so far.
    pub request: Option<OperatorRequest>,
    /// The pending attempt: its position in the history, and the time at which the operator gives up.
    pub pending: Option<(usize, u64)>,
    pub next_request_at: u64,
    /// The latest generation known to the operator.
    pub known_generation: u64,
    pub accepted: Vec<OperatorRequest>,
    pub acknowledged: usize,
}

impl Operator {
    /// Returns the next request: the pending one, or a new one at random.
    pub fn next_request(&mut self, random: &mut fastrand::Rng, next_body: &mut u64) -> OperatorRequest {
        if let Some(request) = &self.request {
            return request.clone();
        }
        let request = match random.u8(0..10) {
            0..=2 => OperatorRequest::Read,
            3 if !self.accepted.is_empty() => self.accepted[random.usize(0..self.accepted.len())].clone(),
            _ => {
                *next_body += 1;
                let generation = self.known_generation + random.u64(1..3);
                OperatorRequest::Put { if_match: self.known_generation, generation, body: *next_body }
            }
        };
        self.request = Some(request.clone());
        request
    }

    /// Handles a definite response.
    pub fn handle_answer(&mut self, answer: OperatorAnswer) {
        let request = self.request.take();
        match (answer, request) {
            (OperatorAnswer::Accepted, Some(request)) => {
                self.acknowledged += 1;
                if let OperatorRequest::Put { generation, .. } = request {
                    self.known_generation = self.known_generation.max(generation);
                }
                self.accepted.push(request);
            }
            (OperatorAnswer::Conflict { current } | OperatorAnswer::NotAbove { current }, _) => {
                self.known_generation = current;
            }
            (OperatorAnswer::Configuration { generation, .. }, _) => self.known_generation = generation,
            (OperatorAnswer::Accepted, None) => {}
        }
    }
}

/// The lifecycle stage that a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Ready,
    Draining,
    Removed,
}

/// A worker: sends its state to one process after another until one acknowledges it.
#[derive(Debug)]
pub struct SimulatedWorker {
    pub id: String,
    pub sequence: u64,
    pub stage: Stage,
    /// The last acknowledged stage, and when it was acknowledged.
    pub acknowledged: Option<(Stage, u64)>,
    pub response_deadline: Option<u64>,
    pub next_request_at: u64,
    pub shuts_down_at: u64,
    /// Whether the worker removes itself without draining first.
    pub skips_draining: bool,
}

impl SimulatedWorker {
    pub fn command(&self) -> SessionCommand {
        if self.stage == Stage::Removed {
            return SessionCommand::Remove { id: self.id.clone() };
        }
        SessionCommand::Put(Worker {
            id: self.id.clone(),
            service: "service".to_owned(),
            address: "10.0.0.1:80".to_owned(),
            zone: "zone".to_owned(),
            generation: "v1".to_owned(),
            capacity: 1,
            state: if self.stage == Stage::Ready { WorkerState::Ready } else { WorkerState::Draining },
            warmup_remaining_ms: 0,
            sequence: self.sequence,
        })
    }
}

/// A gatekeeper's view of the feed.
#[derive(Debug, Default)]
pub struct Subscriber {
    pub slot: usize,
    pub offsets: BTreeMap<Shard, FeedOffset>,
    pub generation: u64,
    pub ready: BTreeSet<String>,
    /// When the state was last known to be fresh, in milliseconds of the simulation's clock.
    pub fresh_at: u64,
    /// When the state was last known to be fresh, or the gatekeeper last switched to another process.
    pub last_fresh_or_switched_at: u64,
}

impl Subscriber {
    pub fn apply(&mut self, update: FeedUpdate) {
        let (shard, offset, changes, is_snapshot) = match update {
            FeedUpdate::Snapshot { shard, offset, changes } => (shard, offset, changes, true),
            FeedUpdate::Changes { shard, offset, changes } => (shard, offset, changes, false),
            _ => return,
        };
        let current_offset = self.offsets.entry(shard).or_default();
        if offset <= *current_offset {
            return;
        }
        *current_offset = offset;
        if is_snapshot && shard > Shard(0) {
            self.ready.clear();
        }
        for change in changes {
            match change {
                Change::Configuration { generation, .. } => {
                    assert!(
                        generation >= Generation(self.generation),
                        "a gatekeeper got an older configuration"
                    );
                    self.generation = generation.0;
                }
                Change::Worker(worker) if worker.state == WorkerState::Ready => {
                    self.ready.insert(worker.id);
                }
                Change::Worker(worker) => {
                    self.ready.remove(&worker.id);
                }
                Change::WorkerGone { id, .. } => {
                    self.ready.remove(&id);
                }
                _ => {}
            }
        }
    }
}
