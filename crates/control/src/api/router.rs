//! Routes of the HTTP interface and parsing of requests.

use super::message::{ApiRequest, PendingRequest};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use opalrun_wire::ids::Generation;
use std::time::Duration;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode};

/// Maximum size of the body of a worker's request, in bytes.
const MAX_INSTANCE_BODY_BYTES: usize = 64 << 10;
/// Maximum size of a configuration, in bytes.
const MAX_CONFIGURATION_BODY_BYTES: usize = 4 << 20;
/// Time-out for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the routes; their handlers forward requests over `process`.
#[must_use]
pub(super) fn router(process: &mpsc::Sender<PendingRequest>) -> Router {
    Router::new()
        .put("/opalrun/instances/:id", with_process(process, heartbeat))
        .delete("/opalrun/instances/:id", with_process(process, remove_worker))
        .put("/opalrun/config", with_process(process, put_configuration))
        .get("/opalrun/config", with_process(process, read_configuration))
        .get("/opalrun/tier", with_process(process, tier))
        .post("/opalrun/retire/:node", with_process(process, retire))
        .get("/opalrun/retire/:node", with_process(process, retire_state))
}

async fn heartbeat(process: mpsc::Sender<PendingRequest>, mut request: Request) -> Result<Response> {
    let id: String = request.param("id")?;
    match read_body(&mut request, MAX_INSTANCE_BODY_BYTES).await {
        Ok(body) => forward_to_process(&process, ApiRequest::Heartbeat { id, body }).await,
        Err(status) => Ok(status.into_response()),
    }
}

async fn remove_worker(process: mpsc::Sender<PendingRequest>, request: Request) -> Result<Response> {
    let id: String = request.param("id")?;
    forward_to_process(&process, ApiRequest::RemoveWorker { id }).await
}

async fn put_configuration(process: mpsc::Sender<PendingRequest>, mut request: Request) -> Result<Response> {
    let if_match = if_match(&request);
    match read_body(&mut request, MAX_CONFIGURATION_BODY_BYTES).await {
        Ok(body) => forward_to_process(&process, ApiRequest::PutConfiguration { if_match, body }).await,
        Err(status) => Ok(status.into_response()),
    }
}

async fn read_configuration(process: mpsc::Sender<PendingRequest>, _: Request) -> Result<Response> {
    forward_to_process(&process, ApiRequest::ReadConfiguration).await
}

async fn tier(process: mpsc::Sender<PendingRequest>, _: Request) -> Result<Response> {
    forward_to_process(&process, ApiRequest::Tier).await
}

async fn retire(process: mpsc::Sender<PendingRequest>, request: Request) -> Result<Response> {
    let node_name: String = request.param("node")?;
    forward_to_process(&process, ApiRequest::Retire { node_name }).await
}

async fn retire_state(process: mpsc::Sender<PendingRequest>, request: Request) -> Result<Response> {
    let node_name: String = request.param("node")?;
    forward_to_process(&process, ApiRequest::RetireState { node_name }).await
}

/// Binds the channel to the control process to a handler.
fn with_process<H, F>(
    process: &mpsc::Sender<PendingRequest>,
    handler: H,
) -> impl Fn(Request) -> F + Clone + Send + Sync + 'static
where
    H: Fn(mpsc::Sender<PendingRequest>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response>> + Send + 'static,
{
    let process = process.clone();
    move |request| handler(process.clone(), request)
}

fn if_match(request: &Request) -> Option<Generation> {
    let value = request.headers().get("if-match")?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok().map(Generation)
}

async fn read_body(request: &mut Request, max_bytes: usize) -> std::result::Result<Bytes, StatusCode> {
    let body = std::mem::replace(request.body_mut(), viz::Body::Empty);
    let reading = Limited::new(body, max_bytes).collect();
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Forwards a request to the control process and waits for the answer.
async fn forward_to_process(process: &mpsc::Sender<PendingRequest>, request: ApiRequest) -> Result<Response> {
    let (answer_sender, answer) = oneshot::channel();
    let sent = process.send(PendingRequest { request, answer_sender }).await;
    match answer.await {
        Ok(answer) if sent.is_ok() => Ok(answer.into_response()),
        _ => Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
    }
}
