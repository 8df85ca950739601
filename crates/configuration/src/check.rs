//! Validates a parsed body and builds the typed configuration.

use crate::document::{
    DestinationDocument, Document, EngineDocument, LimitsDocument, RouteDocument, ServiceDocument,
};
use crate::index::RouteIndex;
use crate::{Configuration, Destination, Engine, Limits, Problem, Route, RouteType, Service};
use opalrun_wire::ResultCode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of problems reported for one body.
const MAX_PROBLEMS: usize = 100;
/// Maximum duration in milliseconds; longer durations are clamped to it.
const MAX_DURATION_MS: f64 = 30.0 * 24.0 * 3_600_000.0;
/// Maximum count or size; larger values are clamped to it.
const MAX_NUMBER: f64 = 1e15;
// Defaults of optional fields, from the operators' documentation.
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;
const DEFAULT_TARGET_LATENCY_MS: f64 = 1_000.0;
const DEFAULT_RETENTION_S: f64 = 60.0;
const DEFAULT_PRIORITY: f64 = 5.0;
const DEFAULT_HEALTH_PATH: &str = "/healthz";
const DEFAULT_MAX_CONNECTIONS: f64 = 64.0;
const DEFAULT_CAPACITY: f64 = 1.0;
const MILLISECONDS_PER_SECOND: f64 = 1_000.0;

/// Validates a document.
///
/// # Errors
/// All problems found: at least one and at most [`MAX_PROBLEMS`].
pub(crate) fn check(document: Document) -> Result<Configuration, Vec<Problem>> {
    let mut checker = Checker::default();
    let generation = checker.generation(document.generation);
    let services = checker.services(document.services);
    let (routes, index) = checker.routes(document.routes, &services);
    let limits = checker.limits(document.limits);
    if !checker.problems.is_empty() {
        return Err(checker.problems);
    }
    Ok(Configuration { generation, routes, services, limits, index })
}

/// Converts a document to typed values and collects its problems.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn report(&mut self, location: String, code: ResultCode, message: impl Into<String>) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(Problem::new(location, code, message));
        }
    }

    fn generation(&mut self, generation: i64) -> u64 {
        u64::try_from(generation).unwrap_or_else(|_| {
            self.report(
                "generation".to_owned(),
                ResultCode::CONFIGURATION_NUMBER,
                "is negative or too large",
            );
            0
        })
    }

    fn services(&mut self, documents: Vec<ServiceDocument>) -> HashMap<String, Arc<Service>> {
        let mut services = HashMap::with_capacity(documents.len());
        for (index, document) in documents.into_iter().enumerate() {
            let location = format!("services[{index}]");
            let service = self.service(&location, document);
            let name = service.name.clone();
            if services.insert(name.clone(), Arc::new(service)).is_some() {
                let message = format!("another service is named `{name}`");
                self.report(format!("{location}.name"), ResultCode::CONFIGURATION_DUPLICATE, message);
            }
        }
        services
    }

    fn service(&mut self, location: &str, document: ServiceDocument) -> Service {
        self.name(location, "name", &document.name);
        let engine = document.engine.map(|engine| self.engine(&format!("{location}.engine"), engine));
        Service {
            name: document.name,
            health_path: document.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
            max_connections: self.count(
                location,
                "max_connections",
                document.max_connections,
                DEFAULT_MAX_CONNECTIONS,
            ),
            engine,
        }
    }

    fn engine(&mut self, location: &str, document: EngineDocument) -> Engine {
        let models = document.models.unwrap_or_default();
        Engine {
            capacity: self.count(location, "capacity", document.capacity, DEFAULT_CAPACITY),
            kv_capacity: self.number(location, "kv_capacity", document.kv_capacity, MAX_NUMBER) as u64,
            chunk_tokens: (self.number(location, "chunk_tokens", document.chunk_tokens, 1.0).ceil() as u64)
                .max(1),
            models: models.into_iter().map(|model| model.name).collect(),
        }
    }

    fn routes(
        &mut self,
        documents: Vec<RouteDocument>,
        services: &HashMap<String, Arc<Service>>,
    ) -> (Vec<Arc<Route>>, RouteIndex) {
        let mut routes = Vec::with_capacity(documents.len());
        let mut by_host = RouteIndex::default();
        for (index, document) in documents.into_iter().enumerate() {
            let location = format!("routes[{index}]");
            let route = Arc::new(self.route(&location, document, services));
            if let Err(other) = by_host.insert(&route) {
                let message = format!("route `{}` has the same host and prefix", other.name);
                self.report(format!("{location}.path_prefix"), ResultCode::CONFIGURATION_DUPLICATE, message);
            }
            routes.push(route);
        }
        (routes, by_host)
    }

    fn route(
        &mut self,
        location: &str,
        document: RouteDocument,
        services: &HashMap<String, Arc<Service>>,
    ) -> Route {
        self.name(location, "name", &document.name);
        self.name(location, "host", &document.host);
        self.prefix(location, &document.path_prefix);
        let timeout = self.timeout(location, document.timeout_ms);
        let destinations = self.destinations(location, document.backend, document.traffic_split, services);
        Route {
            name: document.name,
            host: document.host,
            path_prefix: document.path_prefix,
            route_type: route_type(document.route_type.as_deref()),
            timeout,
            target_latency: self.milliseconds(
                location,
                "target_latency_ms",
                document.target_latency_ms,
                DEFAULT_TARGET_LATENCY_MS,
            ),
            priority: self.number(location, "priority", document.priority, DEFAULT_PRIORITY).min(255.0) as u8,
            destinations,
            max_attempts: self.count(location, "max_attempts", document.max_attempts, 1.0),
            retained: document.retained.unwrap_or(false),
            retention: self.retention(location, document.retention_s),
            session_affinity: document.session_affinity.unwrap_or(false),
            resumable: document.resumable.unwrap_or(false),
            event_gap_target: document
                .gap_aim_ms
                .map(|value| self.milliseconds(location, "gap_aim_ms", Some(value), value)),
        }
    }

    /// Checks that a name is not empty.
    fn name(&mut self, location: &str, field: &str, name: &str) {
        if name.is_empty() {
            self.report(format!("{location}.{field}"), ResultCode::CONFIGURATION_EMPTY_NAME, "is empty");
        }
    }

    /// Checks that a prefix begins and ends with a slash.
    fn prefix(&mut self, location: &str, prefix: &str) {
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            let message = format!("`{prefix}` does not begin and end with a slash");
            self.report(format!("{location}.path_prefix"), ResultCode::CONFIGURATION_PREFIX, message);
        }
    }

    /// Checks that the time-out of a route is not 0, and returns it.
    fn timeout(&mut self, location: &str, value: Option<f64>) -> Duration {
        if value == Some(0.0) {
            self.report(format!("{location}.timeout_ms"), ResultCode::CONFIGURATION_TIMEOUT, "is 0");
        }
        self.milliseconds(location, "timeout_ms", value, DEFAULT_TIMEOUT_MS)
    }

    fn retention(&mut self, location: &str, value: Option<f64>) -> Duration {
        let seconds = self.number(location, "retention_s", value, DEFAULT_RETENTION_S);
        duration_of_ms(seconds * MILLISECONDS_PER_SECOND)
    }

    /// Returns the destinations of a route, from `traffic_split` if it is not empty, otherwise from `backend`.
    fn destinations(
        &mut self,
        location: &str,
        backend: Option<String>,
        split: Option<Vec<DestinationDocument>>,
        services: &HashMap<String, Arc<Service>>,
    ) -> Vec<Destination> {
        let split = split.unwrap_or_default();
        if let Some(service) = &backend {
            self.check_service_exists(format!("{location}.backend"), service, services);
        }
        if !split.is_empty() {
            return self.split(location, split, services);
        }
        let Some(service) = backend else {
            let location = format!("{location}.backend");
            self.report(location, ResultCode::CONFIGURATION_UNKNOWN_SERVICE, "is missing");
            return Vec::new();
        };
        vec![Destination { service, weight: 1.0 }]
    }

    /// Returns the destinations of a `traffic_split`, and checks that its weights have a positive sum.
    fn split(
        &mut self,
        location: &str,
        documents: Vec<DestinationDocument>,
        services: &HashMap<String, Arc<Service>>,
    ) -> Vec<Destination> {
        let location = format!("{location}.traffic_split");
        let mut total = 0.0;
        let mut destinations = Vec::with_capacity(documents.len());
        for (index, document) in documents.into_iter().enumerate() {
            self.check_service_exists(format!("{location}[{index}].backend"), &document.backend, services);
            self.weight(format!("{location}[{index}].weight"), document.weight);
            total += document.weight;
            destinations.push(Destination { service: document.backend, weight: document.weight });
        }
        if total <= 0.0 {
            self.report(location, ResultCode::CONFIGURATION_WEIGHTS, "the weights sum to 0");
        }
        destinations
    }

    fn check_service_exists(
        &mut self,
        location: String,
        service: &str,
        services: &HashMap<String, Arc<Service>>,
    ) {
        if !services.contains_key(service) {
            let message = format!("there is no service `{service}`");
            self.report(location, ResultCode::CONFIGURATION_UNKNOWN_SERVICE, message);
        }
    }

    fn weight(&mut self, location: String, weight: f64) {
        if !(0.0..=MAX_NUMBER).contains(&weight) {
            self.report(location, ResultCode::CONFIGURATION_WEIGHTS, "is negative or too large");
        }
    }

    fn limits(&mut self, document: Option<LimitsDocument>) -> Limits {
        let defaults = Limits::default();
        let Some(document) = document else {
            return defaults;
        };
        Limits {
            max_header_bytes: self.size(
                "max_header_bytes",
                document.max_header_bytes,
                defaults.max_header_bytes,
            ),
            max_body_bytes: self.size("max_body_bytes", document.max_body_bytes, defaults.max_body_bytes),
            header_timeout: self.limit_time(
                "header_timeout_ms",
                document.header_timeout_ms,
                defaults.header_timeout,
            ),
            idle_timeout: self.limit_time("idle_timeout_ms", document.idle_timeout_ms, defaults.idle_timeout),
        }
    }

    fn size(&mut self, field: &str, value: Option<f64>, default: usize) -> usize {
        self.number("limits", field, value, default as f64) as usize
    }

    fn limit_time(&mut self, field: &str, value: Option<f64>, default: Duration) -> Duration {
        self.milliseconds("limits", field, value, default.as_secs_f64() * MILLISECONDS_PER_SECOND)
    }

    fn milliseconds(&mut self, location: &str, field: &str, value: Option<f64>, default: f64) -> Duration {
        duration_of_ms(self.number(location, field, value, default))
    }

    /// Returns a count, clamped to at least 1.
    fn count(&mut self, location: &str, field: &str, value: Option<f64>, default: f64) -> u32 {
        let number = self.number(location, field, value, default);
        number.clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// Returns a number, clamped to at most [`MAX_NUMBER`]. A negative number is a problem.
    fn number(&mut self, location: &str, field: &str, value: Option<f64>, default: f64) -> f64 {
        let value = value.unwrap_or(default);
        if value.is_nan() || value < 0.0 {
            self.report(format!("{location}.{field}"), ResultCode::CONFIGURATION_NUMBER, "is negative");
            return default.max(0.0);
        }
        value.min(MAX_NUMBER)
    }
}

fn duration_of_ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.min(MAX_DURATION_MS) / MILLISECONDS_PER_SECOND)
}

fn route_type(name: Option<&str>) -> RouteType {
    match name {
        Some("safe") => RouteType::Safe,
        Some("streaming") => RouteType::Streaming,
        _ => RouteType::Unsafe,
    }
}
