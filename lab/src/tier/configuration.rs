//! The tier's configuration: how the simulated operator writes it and how the judge interprets it.

use super::observation::RouteKind;
use serde_json::{Value, json};
use std::time::Duration;

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Path prefix of matching requests; starts and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Services and their weights in the traffic split; at least one.
    pub services: Vec<(String, u32)>,
    pub timeout: Duration,
    pub target_latency: Duration,
    pub priority: u8,
    pub max_attempts: usize,
    /// How long the tier stores the turns of conversations on this route; `None`: they are not stored.
    pub retention: Option<Duration>,
}

impl Route {
    /// Creates a route to one service with default limits.
    #[must_use]
    pub fn new(name: &str, path_prefix: &str, kind: RouteKind, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: "tier.example".to_owned(),
            path_prefix: path_prefix.to_owned(),
            kind,
            services: vec![(service.to_owned(), 100)],
            timeout: Duration::from_secs(5),
            target_latency: Duration::from_millis(250),
            priority: 0,
            max_attempts: 2,
            retention: None,
        }
    }

    /// Returns the route with storage of its conversations for `retention`.
    #[must_use]
    pub fn retained(mut self, retention: Duration) -> Self {
        self.retention = Some(retention);
        self
    }

    fn to_json(&self) -> Value {
        let (route_type, resumable) = match self.kind {
            RouteKind::Safe => ("safe", false),
            RouteKind::Unsafe => ("unsafe", false),
            RouteKind::Streaming { resumable } => ("streaming", resumable),
        };
        let mut route = json!({
            "name": self.name, "host": self.host, "path_prefix": self.path_prefix, "route_type": route_type,
            "timeout_ms": self.timeout.as_millis() as u64,
            "target_latency_ms": self.target_latency.as_millis() as u64,
            "priority": self.priority, "max_attempts": self.max_attempts,
        });
        if let [(service, _)] = &self.services[..] {
            route["backend"] = json!(service);
        } else {
            let split = self.services.iter().map(|(s, w)| json!({"backend": s, "weight": w}));
            route["traffic_split"] = Value::Array(split.collect());
        }
        if route_type == "streaming" {
            route["resumable"] = json!(resumable);
            route["session_affinity"] = json!(true);
            route["gap_aim_ms"] = json!(400);
            route["retained"] = json!(self.retention.is_some());
            route["retention_s"] = json!(self.retention.unwrap_or_default().as_secs_f64());
        }
        route
    }
}

/// A service of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    pub max_connections: u32,
    /// Limits of the engine of model workers; `None` for plain workers.
    pub engine: Option<EngineDescription>,
}

/// Engine limits of model workers, as a configuration states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineDescription {
    /// Requests that run concurrently.
    pub capacity: usize,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens per stream event.
    pub chunk_tokens: u64,
}

impl Service {
    fn to_json(&self) -> Value {
        let mut service = json!({
            "name": self.name, "health_path": "/healthz", "max_connections": self.max_connections,
            "protocol": "h1", "tls": false,
        });
        if let Some(engine) = &self.engine {
            service["engine"] = json!({
                "capacity": engine.capacity, "kv_capacity": engine.kv_capacity, "kv_bytes": 131_072,
                "bandwidth_mbps": 260_000.0, "chunk_tokens": engine.chunk_tokens, "models": [{"name": "m"}],
            });
        }
        service
    }
}

/// A configuration document.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    pub generation: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
}

impl Configuration {
    /// Returns the JSON body that an operator sends.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let routes: Vec<Value> = self.routes.iter().map(Route::to_json).collect();
        let services: Vec<Value> = self.services.iter().map(Service::to_json).collect();
        let document = json!({
            "generation": self.generation, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        });
        document.to_string().into_bytes()
    }

    /// Returns a copy with another generation.
    #[must_use]
    pub fn at(&self, generation: u64) -> Self {
        Self { generation, ..self.clone() }
    }

    /// Returns the route with the given name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|r| r.name == name)
    }
}

/// Returns the services to which a configuration's body allows a request to be routed; `None`: no route matches.
#[must_use]
pub fn services_for(body: &Value, host: &str, path: &str) -> Option<Vec<String>> {
    let routes = body["routes"].as_array()?;
    let of_host = routes.iter().filter(|r| r["host"].as_str() == Some(host));
    let fits = of_host.filter(|r| r["path_prefix"].as_str().is_some_and(|p| path.starts_with(p)));
    let route = fits.max_by_key(|r| r["path_prefix"].as_str().map_or(0, str::len))?;
    if let Some(service) = route["backend"].as_str() {
        return Some(vec![service.to_owned()]);
    }
    let split = route["traffic_split"].as_array()?;
    let used = split.iter().filter(|s| s["weight"].as_u64().unwrap_or(0) > 0);
    Some(used.filter_map(|s| s["backend"].as_str().map(str::to_owned)).collect())
}
