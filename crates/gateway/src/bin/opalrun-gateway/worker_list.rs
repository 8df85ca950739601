//! Converts workers from discovery's list to the decisions' form.

use crate::config::WorkerEntry;
use opalrun_gateway::{Lifecycle, Server};

/// Converts an entry of discovery's list; `None` if its state is unknown. `zones` are the zone names of the settings.
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
