//! Parsing of the JSON body of a worker's heartbeat.

use facet::Facet;
use opalrun_wire::feed::{Worker, WorkerState};
use snafu::{ResultExt, Snafu, ensure};
use std::net::SocketAddr;

/// Maximum length of a worker's id, service, zone or generation, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Reason why a heartbeat is invalid.
#[derive(Debug, Snafu)]
pub(super) enum HeartbeatError {
    /// The body is not a JSON object with the keys of a heartbeat.
    #[snafu(display("{source}"))]
    Malformed {
        /// Error of the JSON parser.
        #[snafu(source(from(facet_json::DeserializeError, Box::new)))]
        source: Box<facet_json::DeserializeError>,
    },
    /// The state is neither `ready` nor `draining`.
    #[snafu(display("state: {state:?} is neither ready nor draining"))]
    UnknownState {
        /// State in the heartbeat.
        state: String,
    },
    /// The address is not an IP address with a port.
    #[snafu(display("address: {address:?} is not an IP address with a port"))]
    InvalidAddress {
        /// Address in the heartbeat.
        address: String,
    },
    /// A value is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("{key}: longer than {MAX_NAME_BYTES} bytes"))]
    NameTooLong {
        /// Key of the value.
        key: &'static str,
    },
    /// The id or the service is empty.
    #[snafu(display("id and backend must not be empty"))]
    EmptyName,
}

/// The heartbeat body; the field names are the JSON keys of the workers' protocol.
#[derive(Facet, Debug)]
struct HeartbeatBody {
    /// Name of the worker's service.
    backend: String,
    address: String,
    #[facet(default)]
    zone: String,
    #[facet(default)]
    generation: String,
    capacity: u32,
    state: String,
    /// Remaining warm-up time in milliseconds.
    #[facet(default)]
    cold_remaining_ms: f64,
    sequence: u64,
}

/// Parses the heartbeat of the worker `id`.
///
/// # Errors
/// If the body is malformed or holds an invalid value.
pub(super) fn read_heartbeat(id: &str, body: &[u8]) -> Result<Worker, HeartbeatError> {
    let heartbeat: HeartbeatBody = facet_json::from_slice(body).context(MalformedSnafu)?;
    let state = worker_state(&heartbeat.state)?;
    check_names(id, &heartbeat)?;
    Ok(Worker {
        id: id.to_owned(),
        service: heartbeat.backend,
        address: heartbeat.address,
        zone: heartbeat.zone,
        generation: heartbeat.generation,
        capacity: heartbeat.capacity,
        state,
        warmup_remaining_ms: heartbeat.cold_remaining_ms.max(0.0) as u64,
        sequence: heartbeat.sequence,
    })
}

fn worker_state(state: &str) -> Result<WorkerState, HeartbeatError> {
    match state {
        "ready" => Ok(WorkerState::Ready),
        "draining" => Ok(WorkerState::Draining),
        _ => UnknownStateSnafu { state }.fail(),
    }
}

fn check_names(id: &str, heartbeat: &HeartbeatBody) -> Result<(), HeartbeatError> {
    let address = &heartbeat.address;
    ensure!(address.parse::<SocketAddr>().is_ok(), InvalidAddressSnafu { address });
    let names = [
        ("id", id),
        ("backend", &heartbeat.backend),
        ("zone", &heartbeat.zone),
        ("generation", &heartbeat.generation),
    ];
    for (key, value) in names {
        ensure!(value.len() <= MAX_NAME_BYTES, NameTooLongSnafu { key });
    }
    ensure!(!id.is_empty() && !heartbeat.backend.is_empty(), EmptyNameSnafu);
    Ok(())
}
