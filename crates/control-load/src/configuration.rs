//! A configuration of the size of a large deployment.

use fleetlab::tier::{
    configuration::{Configuration, EngineDescription, Route, Service},
    observation::RouteKind,
};
use std::time::Duration;

/// Services that the routes and the workers are spread over; one for each model.
pub const SERVICES: usize = 25;
/// Connections that a worker takes.
const MAX_CONNECTIONS: u32 = 630;
/// How long what was said is kept on every second route.
const RETENTION: Duration = Duration::from_mins(1);
/// The engine of all services.
const ENGINE: EngineDescription = EngineDescription { capacity: 32, kv_capacity: 231_379, chunk_tokens: 3 };

/// The name of a service.
#[must_use]
pub fn service_name(number: usize) -> String {
    format!("models-{:02}", number % SERVICES)
}

/// A configuration with so many routes.
#[must_use]
pub fn configuration(routes: usize, generation: u64) -> Configuration {
    let services = (0..SERVICES).map(|number| Service {
        name: service_name(number),
        max_connections: MAX_CONNECTIONS,
        engine: Some(ENGINE),
    });
    let routes = (0..routes).map(|number| {
        let kind = RouteKind::Streaming { resumable: false };
        let prefix = format!("/route-{number}/");
        let route = Route::new(&format!("route-{number}"), &prefix, kind, &service_name(number));
        if number % 2 == 0 { route.retained(RETENTION) } else { route }
    });
    Configuration { generation, routes: routes.collect(), services: services.collect() }
}
