//! The configuration as the other parts use it.

use crate::index::RouteIndex;
use crate::{Problem, check, document};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A valid configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Its number, higher than that of every configuration before it.
    pub generation: u64,
    /// The routes, in the operator's order.
    pub routes: Vec<Arc<Route>>,
    /// The services, by name.
    pub services: HashMap<String, Arc<Service>>,
    /// What clients may send, and how long they may take.
    pub limits: Limits,
    pub(crate) index: RouteIndex,
}

impl Configuration {
    /// Reads and checks a body as the operator sent it.
    ///
    /// # Errors
    /// All problems that make it invalid, at least one.
    pub fn parse(body: &[u8]) -> Result<Self, Vec<Problem>> {
        let document = document::read(body).map_err(|problem| vec![problem])?;
        check::check(document)
    }

    /// The route of a request: of the host's routes the one with the longest prefix of the path. The host may come with
    /// a port and in any case, the path with a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.index.find(host, path)
    }

    /// A service, by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// A request may run more than once.
    Safe,
    /// A request may run once at most. A type that this version does not know is treated so, too.
    Unsafe,
    /// The answer is a stream of events; it may be repeated only if the route is `resumable`.
    Streaming,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host, as the operator wrote it.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub target_latency: Duration,
    /// Its rank, 0 being the highest.
    pub priority: u8,
    /// Where its requests go: one service at least, with a sum of weights above 0.
    pub destinations: Vec<Destination>,
    /// The greatest number of workers that one try may be sent to, 1 at least.
    pub max_attempts: u32,
    /// What its turns say is kept, and a turn carries only its new input.
    pub retained: bool,
    /// How long turns are kept.
    pub retention: Duration,
    /// Requests of one session are best sent to the same worker.
    pub session_affinity: bool,
    /// A stream may be taken up at another worker.
    pub resumable: bool,
    /// The longest pause between events with which an answer stays in time.
    pub gap_aim: Option<Duration>,
}

impl Route {
    /// Whether a request that may have run may be sent to another worker.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::Unsafe => false,
            RouteType::Streaming => self.resumable,
        }
    }

    /// The service for a request, drawn by weight: `draw` is evenly distributed from 0 up to, but not including, 1.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> &str {
        let total: f64 = self.destinations.iter().map(|destination| destination.weight).sum();
        let mut left = draw * total;
        for destination in &self.destinations {
            left -= destination.weight;
            if left < 0.0 {
                return &destination.service;
            }
        }
        self.last_weighted_service()
    }

    /// For draws that rounding has carried past the end.
    fn last_weighted_service(&self) -> &str {
        let last = self.destinations.iter().rfind(|destination| destination.weight > 0.0);
        last.map_or("", |destination| &destination.service)
    }
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: String,
    /// Its share, relative to the others of the route.
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which workers give as `backend`.
    pub name: String,
    /// The path of its workers' health checks.
    pub health_path: String,
    /// Connections that one worker takes from all gatekeepers together.
    pub max_connections: u32,
    /// Set for model workers.
    pub engine: Option<Engine>,
}

impl Service {
    /// Tokens in one event of its streams.
    #[must_use]
    pub fn chunk_tokens(&self) -> u64 {
        self.engine.as_ref().map_or(1, |engine| engine.chunk_tokens)
    }
}

/// What the model workers of a service are like.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Requests that run at a time.
    pub capacity: u32,
    /// Tokens that a worker's memory holds.
    pub kv_capacity: u64,
    /// Tokens in one event, 1 at least.
    pub chunk_tokens: u64,
    /// The names of the models.
    pub models: Vec<String>,
}

/// Bounds on what clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request.
    pub max_header_bytes: usize,
    /// The longest body of a request.
    pub max_body_bytes: usize,
    /// The longest time for a head to arrive.
    pub header_timeout: Duration,
    /// The longest time for which a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
