//! Index of the observations by request, configuration, worker and machine.

use super::super::observation::{
    ClientRequest, Departure, MachineEvent, Observation, Outcome, RouteKind, StreamEvent, TimedObservation,
};
use std::{collections::BTreeMap, sync::Arc};

/// A run of a request at a worker.
#[derive(Debug)]
pub struct Run<'a> {
    pub at_ms: u64,
    pub worker: &'a str,
    pub service: &'a str,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub events: Vec<&'a StreamEvent>,
    /// Status, signature and body of the response, and whether it was complete.
    pub answer: Option<(u16, &'a str, &'a [u8], bool)>,
}

/// All observations of one request.
#[derive(Debug, Default)]
pub struct Request<'a> {
    /// Time at which a client sent it, and its content; `None`: no client sent it.
    pub sent: Option<(u64, &'a Arc<ClientRequest>)>,
    pub reached: Vec<(u64, &'a str)>,
    pub runs: Vec<Run<'a>>,
    /// Statuses and signatures of the response heads that workers sent.
    pub heads: Vec<(u16, &'a str)>,
    pub received: Vec<&'a StreamEvent>,
    pub ended: Option<(u64, &'a Outcome)>,
}

impl Request<'_> {
    /// Returns how the request may be retried; one that no client sent may not run more than once.
    pub fn kind(&self) -> RouteKind {
        self.sent.map_or(RouteKind::Unsafe, |(_, t)| t.kind)
    }
}

/// A configuration that was sent, and its responses.
#[derive(Debug)]
pub struct Version<'a> {
    pub generation: u64,
    pub body: &'a Arc<Vec<u8>>,
    pub json: serde_json::Value,
    pub valid: bool,
    pub sent_ms: u64,
    /// Time of its first acknowledgement.
    pub acknowledged_ms: Option<u64>,
    /// Status of the last definite response; 0: none.
    pub status: u16,
}

/// All observations, indexed.
#[derive(Debug, Default)]
pub struct Index<'a> {
    pub requests: BTreeMap<&'a str, Request<'a>>,
    pub versions: Vec<Version<'a>>,
    pub departures: Vec<(u64, &'a str, Departure)>,
    pub crashes: Vec<(u64, &'a str)>,
    pub machines: Vec<(u64, &'a str, MachineEvent)>,
    pub reads: Vec<(u64, Option<&'a [u8]>)>,
}

impl<'a> Index<'a> {
    pub fn new(observations: &'a [TimedObservation]) -> Self {
        let mut index = Self::default();
        for TimedObservation { at_ms, observation } in observations {
            index.add(*at_ms, observation);
        }
        index
    }

    fn request(&mut self, id: &'a str) -> &mut Request<'a> {
        self.requests.entry(id).or_default()
    }

    fn add(&mut self, at_ms: u64, observation: &'a Observation) {
        match observation {
            Observation::RequestSent(sent) => self.request(&sent.request).sent = Some((at_ms, sent)),
            Observation::EventReceived { request, event } => self.request(request).received.push(event),
            Observation::RequestEnded { request, outcome } => {
                self.request(request).ended = Some((at_ms, outcome));
            }
            Observation::Reached { request, worker } => self.request(request).reached.push((at_ms, worker)),
            Observation::Ran { request, worker, service, method, host, path, body } => {
                let (events, answer) = (Vec::new(), None);
                self.request(request).runs.push(Run {
                    at_ms,
                    worker,
                    service,
                    method,
                    host,
                    path,
                    body,
                    events,
                    answer,
                });
            }
            Observation::EventMade { request, worker, event } => {
                if let Some(run) = self.last_run(request, worker) {
                    run.events.push(event);
                }
            }
            Observation::WorkerAnswered { request, worker, status, signature, body, is_complete } => {
                if let Some(run) = self.last_run(request, worker) {
                    run.answer = Some((*status, signature, body, *is_complete));
                }
            }
            Observation::AnswerBegun { request, status, signature } => {
                self.request(request).heads.push((*status, signature));
            }
            Observation::WorkerCrashed { worker } => self.crashes.push((at_ms, worker)),
            Observation::DepartureAcknowledged { worker, departure } => {
                self.departures.push((at_ms, worker, *departure));
            }
            Observation::ConfigurationSent { generation, body, valid } => {
                self.configuration_sent(at_ms, *generation, body, *valid);
            }
            Observation::ConfigurationAnswered { body, status, .. } => {
                self.configuration_answered(at_ms, body, *status);
            }
            Observation::ConfigurationRead { body } => self.reads.push((at_ms, body.as_deref())),
            Observation::Machine { machine, event } => self.machines.push((at_ms, machine, *event)),
        }
    }

    fn last_run(&mut self, request: &'a str, worker: &str) -> Option<&mut Run<'a>> {
        self.request(request).runs.iter_mut().rev().find(|r| r.worker == worker)
    }

    fn configuration_sent(&mut self, at_ms: u64, generation: u64, body: &'a Arc<Vec<u8>>, valid: bool) {
        if self.versions.iter().any(|v| v.body == body) {
            return;
        }
        let json = serde_json::from_slice(body).unwrap_or_default();
        let (sent_ms, acknowledged_ms, status) = (at_ms, None, 0);
        self.versions.push(Version { generation, body, json, valid, sent_ms, acknowledged_ms, status });
    }

    fn configuration_answered(&mut self, at_ms: u64, body: &Arc<Vec<u8>>, status: u16) {
        let Some(version) = self.versions.iter_mut().find(|v| v.body == body) else { return };
        if status != 0 {
            version.status = status;
        }
        if status == 200 {
            version.acknowledged_ms.get_or_insert(at_ms);
        }
    }

    /// Whether a machine had no event in the `contact_ms` before a time and was not suspended.
    pub fn is_undisturbed(&self, machine: &str, at_ms: u64, contact_ms: u64) -> bool {
        let from = at_ms.saturating_sub(contact_ms);
        let mut frozen = false;
        for (when, name, event) in self.machines.iter().filter(|m| m.1 == machine && m.0 <= at_ms) {
            debug_assert_eq!(*name, machine);
            match event {
                MachineEvent::Paused => frozen = true,
                MachineEvent::Resumed => frozen = false,
                _ => {}
            }
            if *when >= from {
                return false;
            }
        }
        !frozen
    }

    /// Whether a worker crashed in a period, limits included.
    pub fn crashed(&self, worker: &str, from_ms: u64, to_ms: u64) -> bool {
        self.crashes.iter().any(|(at, name)| *name == worker && (from_ms..=to_ms).contains(at))
    }
}
