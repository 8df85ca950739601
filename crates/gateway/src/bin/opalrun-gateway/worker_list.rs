//! Workers as discovery lists them, in the terms of the decisions.

use crate::config::WorkerEntry;
use opalrun_gateway::{Lifecycle, Server};

/// An entry in the terms of the decisions; `None` where its state is unknown.
pub fn server(entry: &WorkerEntry, zones: &[String]) -> Option<Server> {
    let lifecycle = match entry.state.as_str() {
        "SERVING" => Lifecycle::Running,
        "DRAINING" => Lifecycle::Draining,
        "DELETED" => Lifecycle::Gone,
        _ => return None,
    };
    let zone = zones.iter().position(|z| *z == entry.zone);
    Some(Server {
        id: entry.id.as_str().into(),
        zone: zone.map_or(u32::MAX, |z| z as u32),
        cell: entry.cell,
        started: entry.started_ms / 1000.0,
        lifecycle,
    })
}
