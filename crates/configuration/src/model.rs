//! The typed configuration.

use crate::index::RouteIndex;
use crate::{Problem, check, document};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A valid configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Generation of the configuration, higher than that of every earlier one.
    pub generation: u64,
    /// Routes, in the order of the body.
    pub routes: Vec<Arc<Route>>,
    /// Services, by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Limits on the size and duration of client requests.
    pub limits: Limits,
    /// Routes by host and path prefix.
    pub(crate) index: RouteIndex,
}

impl Configuration {
    /// Parses and validates a JSON body, as sent by the operator.
    ///
    /// # Errors
    /// All problems found: at least one and at most 100.
    pub fn parse(body: &[u8]) -> Result<Self, Vec<Problem>> {
        let document = document::read(body).map_err(|problem| vec![problem])?;
        check::check(document)
    }

    /// Returns the route of a request: the route of the host with the longest prefix that matches the path. The host may
    /// include a port and is compared without regard to case; the path may include a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.index.find(host, path)
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// Which requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// Requests are idempotent and may be executed more than once.
    Safe,
    /// Requests may be executed at most once. Also used for route types that this version does not know.
    Unsafe,
    /// The response is a stream of events. Requests may be retried only if the route is `resumable`.
    Streaming,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host, as written by the operator.
    pub host: String,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Which requests may be retried.
    pub route_type: RouteType,
    /// Time-out of a request.
    pub timeout: Duration,
    /// Latency target. A response within this time has its full value.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that requests are distributed to: at least one, with a sum of weights greater than 0.
    pub destinations: Vec<Destination>,
    /// Maximum number of attempts of one request, each at a different worker; at least 1.
    pub max_attempts: u32,
    /// Whether turns are retained, so that a request carries only the new input of its turn.
    pub retained: bool,
    /// Time for which turns are retained.
    pub retention: Duration,
    /// Whether requests of one session prefer the same worker.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another worker.
    pub resumable: bool,
    /// Target for the time between two events of a stream: `gap_aim_ms`.
    pub event_gap_target: Option<Duration>,
}

impl Route {
    /// Returns whether a request that may have been executed may be retried at another worker.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Safe => true,
            RouteType::Unsafe => false,
            RouteType::Streaming => self.resumable,
        }
    }

    /// Chooses the service of a request by weight; `draw` is a uniform random number in `[0, 1)`.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> &str {
        let total: f64 = self.destinations.iter().map(|destination| destination.weight).sum();
        let mut remaining = draw * total;
        for destination in &self.destinations {
            remaining -= destination.weight;
            if remaining < 0.0 {
                return &destination.service;
            }
        }
        self.last_weighted_service()
    }

    /// Returns the service for a draw that a rounding error moved past the last destination.
    fn last_weighted_service(&self) -> &str {
        let last = self.destinations.iter().rfind(|destination| destination.weight > 0.0);
        last.map_or("", |destination| &destination.service)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the other destinations of the route.
    pub weight: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, which workers send as `backend`.
    pub name: String,
    /// Path of the health checks of its workers.
    pub health_path: String,
    /// Maximum number of connections to one worker, over all gatekeepers.
    pub max_connections: u32,
    /// Properties of model workers; `None` for other services.
    pub engine: Option<Engine>,
}

impl Service {
    /// Returns the number of tokens in one event of a stream.
    #[must_use]
    pub fn chunk_tokens(&self) -> u64 {
        self.engine.as_ref().map_or(1, |engine| engine.chunk_tokens)
    }
}

/// Properties of the model workers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Maximum number of requests that a worker processes concurrently.
    pub capacity: u32,
    /// Capacity of a worker's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Number of tokens in one event of a stream, at least 1.
    pub chunk_tokens: u64,
    /// Names of the models that the workers serve.
    pub models: Vec<String>,
}

/// Limits on client requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time-out for receiving a request head.
    pub header_timeout: Duration,
    /// Time-out for idle connections.
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
