//! A client's request after it was read completely and validated.

use crate::{
    memory::MemoryReservation,
    proxy::{request_parameters::RequestParameters, turn::Turn},
};
use hyper::{HeaderMap, Method, Uri};
use opalrun_configuration::Route;
use opalrun_transport::body::Segments;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Subtracted from the client's time-out to allow for the transmission of the answer to the client.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Maximum duration of a request, whatever the client and the configuration allow.
const MAX_REQUEST_TIME: Duration = Duration::from_mins(10);

/// A request that is forwarded to workers.
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without the connection headers of the client.
    pub headers: HeaderMap,
    /// Body, preceded by the earlier turns of the conversation when the route retains turns.
    pub body: Segments,
    /// Parameters parsed from the headers.
    pub parameters: RequestParameters,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Service whose workers answer the request.
    pub service: String,
    /// Tokens in each event of the answer. They are those of the configuration in which the route was found: the service may
    /// be missing from newer ones.
    pub event_tokens: u64,
    /// When the head of the request was received.
    pub received_at: Instant,
    /// When the answer must be complete, according to the client's `Deadline-Ms` and the route's time-out.
    pub deadline: Instant,
    /// State of the request as a turn of a program.
    pub turn: Turn,
    /// Memory reserved for the body as the client sent it.
    pub reservation: MemoryReservation,
}

impl ForwardedRequest {
    /// Returns the time left until the deadline; zero after it.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the id of the event after which the first worker is to begin its stream; `None` for a stream from its first
    /// event. A retained turn is always received from its first event, since its output is stored completely, although its
    /// client may have taken the stream up after a later one.
    #[must_use]
    pub fn first_worker_last_event_id(&self) -> Option<u64> {
        if self.turn.retained.is_some() { None } else { self.parameters.last_event_id }
    }
}

/// Returns the deadline of a request that was received at `received_at`.
#[must_use]
pub fn request_deadline(received_at: Instant, parameters: &RequestParameters, route: &Route) -> Instant {
    let client = parameters.client_timeout.unwrap_or(MAX_REQUEST_TIME);
    let client = client.saturating_sub(ANSWER_MARGIN.min(client / 10));
    received_at + client.min(route.timeout).min(MAX_REQUEST_TIME)
}
