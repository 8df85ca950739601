//! A client's request, read completely and checked.

use crate::proxy::{body::MemoryReservation, request_parameters::RequestParameters, turn::Turn};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use opalrun_configuration::Route;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Subtracted from the client's time for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// The longest that a request may take, whatever the client and the operator say.
const MAX_REQUEST_TIME: Duration = Duration::from_mins(10);

/// A request on its way to a worker.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body, with the turns before it where these are retained.
    pub body: Bytes,
    /// What the headers say.
    pub parameters: RequestParameters,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that is to answer it.
    pub service: String,
    /// When it came.
    pub arrived: Instant,
    /// When it is to have been answered, by the client's `Deadline-Ms` and the route's time limit.
    pub deadline: Instant,
    /// What it is as a turn of a program.
    pub turn: Turn,
    /// The body's share of the memory budget.
    pub reservation: MemoryReservation,
}

impl ForwardedRequest {
    /// Time left until the deadline; zero after it.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// When a request that came at `arrived` is to have been answered.
#[must_use]
pub fn request_deadline(arrived: Instant, parameters: &RequestParameters, route: &Route) -> Instant {
    let client = parameters.client_timeout.unwrap_or(MAX_REQUEST_TIME);
    let client = client.saturating_sub(ANSWER_MARGIN.min(client / 10));
    arrived + client.min(route.timeout).min(MAX_REQUEST_TIME)
}
