//! Routes of the HTTP interface, and the reading of requests.

use super::answer::ApiAnswer;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::time::Duration;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

/// Longest body of a worker's call, in bytes.
const INSTANCE_BODY_BYTES: usize = 64 << 10;
/// Longest configuration, in bytes.
const CONFIGURATION_BODY_BYTES: usize = 4 << 20;
/// How long a body may take to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// What a worker or the operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiRequest {
    /// `PUT /opalrun/instances/ID`.
    Heartbeat {
        /// The id in the path.
        id: String,
        /// The JSON body.
        body: Bytes,
    },
    /// `DELETE /opalrun/instances/ID`.
    RemoveWorker {
        /// The id in the path.
        id: String,
    },
    /// `PUT /opalrun/config`.
    PutConfiguration {
        /// The header `If-Match` as a number, if it is there and is one.
        if_match: Option<u64>,
        /// The JSON body.
        body: Bytes,
    },
    /// `GET /opalrun/config`.
    ReadConfiguration,
    /// `GET /opalrun/tier`.
    Tier,
    /// `POST /opalrun/retire/NODE`.
    Retire {
        /// The machine's name.
        node_name: String,
    },
    /// `GET /opalrun/retire/NODE`.
    RetireState {
        /// The machine's name.
        node_name: String,
    },
}

/// A request on its way to the process, and where its answer goes.
pub type Handover = (ApiRequest, oneshot::Sender<ApiAnswer>);

/// The routes. Requests go to `process`.
#[must_use]
pub fn router(process: &mpsc::Sender<Handover>) -> Router {
    let heartbeat = with(process, |process, mut request: Request| async move {
        let id: String = request.param("id")?;
        match read_body(&mut request, INSTANCE_BODY_BYTES).await {
            Ok(body) => hand_over(&process, ApiRequest::Heartbeat { id, body }).await,
            Err(status) => Ok(status.into_response()),
        }
    });
    let remove_worker = with(process, |process, request: Request| async move {
        let id: String = request.param("id")?;
        hand_over(&process, ApiRequest::RemoveWorker { id }).await
    });
    let put_configuration = with(process, |process, mut request: Request| async move {
        let if_match = if_match(&request);
        match read_body(&mut request, CONFIGURATION_BODY_BYTES).await {
            Ok(body) => hand_over(&process, ApiRequest::PutConfiguration { if_match, body }).await,
            Err(status) => Ok(status.into_response()),
        }
    });
    let read_configuration = with(process, |process, _: Request| async move {
        hand_over(&process, ApiRequest::ReadConfiguration).await
    });
    let tier =
        with(process, |process, _: Request| async move { hand_over(&process, ApiRequest::Tier).await });
    let retire = with(process, |process, request: Request| async move {
        let node_name: String = request.param("node")?;
        hand_over(&process, ApiRequest::Retire { node_name }).await
    });
    let retire_state = with(process, |process, request: Request| async move {
        let node_name: String = request.param("node")?;
        hand_over(&process, ApiRequest::RetireState { node_name }).await
    });
    Router::new()
        .put("/opalrun/instances/:id", heartbeat)
        .delete("/opalrun/instances/:id", remove_worker)
        .put("/opalrun/config", put_configuration)
        .get("/opalrun/config", read_configuration)
        .get("/opalrun/tier", tier)
        .post("/opalrun/retire/:node", retire)
        .get("/opalrun/retire/:node", retire_state)
}

/// A handler that has the way to the process at hand.
fn with<H, F>(
    process: &mpsc::Sender<Handover>,
    handler: H,
) -> impl Fn(Request) -> F + Clone + Send + Sync + 'static
where
    H: Fn(mpsc::Sender<Handover>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response>> + Send + 'static,
{
    let process = process.clone();
    move |request| handler(process.clone(), request)
}

fn if_match(request: &Request) -> Option<u64> {
    let value = request.headers().get("if-match")?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}

async fn read_body(request: &mut Request, most_bytes: usize) -> std::result::Result<Bytes, StatusCode> {
    let body = std::mem::replace(request.body_mut(), viz::Body::Empty);
    let reading = Limited::new(body, most_bytes).collect();
    match timeout(BODY_LIMIT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

async fn hand_over(process: &mpsc::Sender<Handover>, request: ApiRequest) -> Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let handed = process.send((request, sender)).await;
    match receiver.await {
        Ok(answer) if handed.is_ok() => Ok(answer.into_response()),
        _ => Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
    }
}
