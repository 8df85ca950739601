//! HTTP calls to control processes.

use super::{
    attempts::{Attempts, BuildRequestSnafu, CallError, ConnectSnafu, ExchangeSnafu, TimedOutSnafu},
    error::{LastAttempt, OperatorError},
    retry::{AttemptOutcome, NextStep, RetryPolicy},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Bytes, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time-out of an attempt, after which another control process is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size in bytes of the part of a request body that prolongs the time-out by another [`ATTEMPT_TIMEOUT`].
const BODY_BYTES_PER_TIMEOUT: usize = 1 << 20;
/// Maximum number of redirections followed in one attempt.
const MAX_REDIRECTIONS: usize = 2;

/// A call to a control process.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: String,
    /// Value of the `If-Match` header: the generation that the change replaces.
    pub if_match: Option<u64>,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET call.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: "GET", path: path.into(), if_match: None, body: Bytes::new() }
    }
}

/// A conclusive response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response body.
    pub body: Bytes,
    /// Number of times that the call was sent.
    pub attempts: Attempts,
}

/// The response to one attempt.
#[derive(Debug)]
struct Reply {
    status: StatusCode,
    body: Bytes,
    /// Target of a redirection response that names a usable address.
    redirection: Option<Redirection>,
}

/// The target of a redirection.
#[derive(Debug)]
struct Redirection {
    address: SocketAddr,
    path: String,
}

/// Sends a call to the control processes in turn until one gives a conclusive response.
///
/// # Errors
/// [`OperatorError::Unreachable`] if there is no conclusive response within `limit`.
pub async fn send(addresses: &[SocketAddr], call: &Call, limit: Duration) -> Result<Answer, OperatorError> {
    let began = Instant::now();
    let mut policy = RetryPolicy::new(limit);
    let mut last = LastAttempt::None;
    for (address, attempts) in addresses.iter().cycle().zip(1..) {
        let reply = follow(*address, call).await;
        let outcome = match &reply {
            Ok(reply) => AttemptOutcome::Answered(reply.status.as_u16()),
            Err(_) => AttemptOutcome::NoAnswer,
        };
        match (policy.after(outcome, began.elapsed()), reply) {
            (NextStep::Done, Ok(Reply { status, body, .. })) => {
                return Ok(Answer { status, body, attempts: Attempts(attempts) });
            }
            (NextStep::RetryAfter(backoff), reply) => {
                last = last_attempt(*address, reply);
                sleep(backoff).await;
            }
            (_, reply) => {
                last = last_attempt(*address, reply);
                break;
            }
        }
    }
    Err(OperatorError::Unreachable { limit, last })
}

fn last_attempt(address: SocketAddr, reply: Result<Reply, CallError>) -> LastAttempt {
    match reply {
        Ok(reply) => LastAttempt::Answered {
            address,
            status: reply.status.as_u16(),
            body: String::from_utf8_lossy(&reply.body).into_owned(),
        },
        Err(error) => LastAttempt::Failed { address, error },
    }
}

/// Makes one attempt and follows redirections.
async fn follow(address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
    let (mut address, mut call) = (address, call.clone());
    for _ in 0..MAX_REDIRECTIONS {
        let reply = exchange_in_time(address, &call).await?;
        let Some(redirection) = reply.redirection else { return Ok(reply) };
        (address, call.path) = (redirection.address, redirection.path);
    }
    exchange_in_time(address, &call).await
}

async fn exchange_in_time(address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
    let further_timeouts = u32::try_from(call.body.len() / BODY_BYTES_PER_TIMEOUT).unwrap_or(u32::MAX);
    let limit = ATTEMPT_TIMEOUT * further_timeouts.saturating_add(1);
    match timeout(limit, exchange(address, call)).await {
        Ok(reply) => reply,
        Err(_) => TimedOutSnafu { limit }.fail(),
    }
}

/// Sends a request over a new connection and reads the response.
async fn exchange(address: SocketAddr, call: &Call) -> Result<Reply, CallError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    // The task ends when the connection is closed, as requested by the `Connection: close` header.
    tokio::task::spawn_local(connection);
    let request = request(address, call)?;
    let response = sender.send_request(request).await.context(ExchangeSnafu)?;
    read_reply(response).await
}

fn request(address: SocketAddr, call: &Call) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(generation) = call.if_match {
        request = request.header(header::IF_MATCH, generation);
    }
    request.body(Full::new(call.body.clone())).context(BuildRequestSnafu)
}

async fn read_reply(response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let is_redirection = status == StatusCode::TEMPORARY_REDIRECT;
    let redirection = is_redirection.then(|| redirection(response.headers())).flatten();
    let body = response.into_body().collect().await.context(ExchangeSnafu)?.to_bytes();
    Ok(Reply { status, body, redirection })
}

/// Returns the target in the `Location` header, if it is an HTTP URL with an IP address and a port.
fn redirection(headers: &header::HeaderMap) -> Option<Redirection> {
    let location = headers.get(header::LOCATION)?.to_str().ok()?;
    let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some(Redirection { address: address.parse().ok()?, path: format!("/{path}") })
}
