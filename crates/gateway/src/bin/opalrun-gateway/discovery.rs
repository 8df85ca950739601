//! Follows discovery's list of workers by long polling. After any inconsistency it requests the full list again.

use crate::config::WorkerList;
use hyper::{Request, StatusCode, Uri, header};
use opalrun_transport::{body::RequestBody, connection::Connection};
use std::{fmt, net::SocketAddr, task::Waker, time::Duration};
use tokio::sync::watch;
use tracing::{info, warn};

/// How long discovery may delay its answer until the list changes. Short, because a gateway must act on a change soon
/// after discovery knows of it, even if the answer with the change was lost.
const POLL_TIME: Duration = Duration::from_secs(4);
/// Time-out for an answer beyond the poll time; after it the poll is repeated on a new connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Connect time-out; short, as the discovery agent is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// First and longest mean delay after a failed poll. Delays are randomised, as all gateways fail at the same time. Once
/// the agent is back, gateways have to act on its list within a given time: the longest delay and the connection fit in.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(150));
/// Longest mean delay after an answer that is not a list.
const MAX_INVALID_ANSWER_BACKOFF: Duration = Duration::from_secs(1);
/// Longest mean delay after a server error: discovery is overloaded, and polling at the usual rate would keep it so.
const MAX_SERVER_ERROR_BACKOFF: Duration = Duration::from_secs(3);

/// Why a poll failed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PollError {
    /// No connection could be opened.
    Connect,
    /// No answer arrived in time.
    Timeout,
    /// The connection ended before the answer was complete.
    ConnectionLost,
    /// The answer has a status other than 200.
    Status(StatusCode),
    /// The answer is not a list.
    Unreadable,
}

impl fmt::Display for PollError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Timeout => f.write_str("no answer"),
            Self::ConnectionLost => f.write_str("connection lost"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Unreadable => f.write_str("the list is unreadable"),
        }
    }
}

/// Polls discovery at its current address and passes each list to `deliver`; returns only when the address channel is
/// closed. `known_version` is the version of the full list that the gateway starts with, if any.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    deliver: impl Fn(WorkerList),
    mut known_version: Option<u64>,
    mut rng: fastrand::Rng,
) {
    loop {
        let now = *addr.borrow_and_update();
        tokio::select! {
            () = follow_at(now, &deliver, known_version.take(), &mut rng) => {}
            // Another agent may count versions differently, so polling starts anew with the full list.
            moved = addr.changed() => if moved.is_err() { return },
        }
    }
}

/// Polls the agent at one address; never returns.
async fn follow_at(
    addr: SocketAddr,
    deliver: &impl Fn(WorkerList),
    mut version: Option<u64>,
    rng: &mut fastrand::Rng,
) {
    let (mut connection, mut wait, mut last_error) = (None, BACKOFF.0, None);
    loop {
        match poll(addr, &mut connection, version).await {
            Ok(list) => {
                if last_error.take().is_some() {
                    info!("discovery answers again");
                }
                wait = BACKOFF.0;
                // Changes without a list that they apply to, or an older version: request the full list.
                let fits = list.full || version.is_some_and(|v| list.version >= v);
                version = fits.then_some(list.version);
                if fits && (list.full || !list.servers.is_empty()) {
                    deliver(list);
                }
                if !fits {
                    tokio::time::sleep(BACKOFF.0).await;
                }
            }
            Err(error) => {
                // Logged once for consecutive errors of the same kind.
                if last_error.replace(error) != Some(error) {
                    warn!("discovery: {error}");
                }
                connection = None;
                // A server error does not affect the list that is known. Any other answer may mean that discovery does
                // not know the version, so the full list is requested.
                let longest = match error {
                    PollError::Status(status) if status.is_server_error() => MAX_SERVER_ERROR_BACKOFF,
                    PollError::Status(_) | PollError::Unreadable => {
                        version = None;
                        MAX_INVALID_ANSWER_BACKOFF
                    }
                    PollError::Connect | PollError::Timeout | PollError::ConnectionLost => BACKOFF.1,
                };
                tokio::time::sleep(wait.mul_f64(0.5 + rng.f64())).await;
                wait = (wait * 2).min(longest);
            }
        }
    }
}

/// Requests changes since `version`, or the full list without one. Uses the connection in `kept_connection` if it is
/// still open, and leaves the connection there after a valid answer.
async fn poll(
    addr: SocketAddr,
    kept_connection: &mut Option<Connection>,
    version: Option<u64>,
) -> Result<WorkerList, PollError> {
    let mut connection = match kept_connection
        .take()
        .and_then(|mut connection| connection.ready(Waker::noop()).then_some(connection))
    {
        Some(connection) => connection,
        None => Connection::open(addr, CONNECT_TIMEOUT).await.map_err(|_| PollError::Connect)?,
    };
    let (path, poll_time) = match version {
        Some(v) => (format!("/discovery/hosts?from={v}&hold_ms={}", POLL_TIME.as_millis()), POLL_TIME),
        None => ("/discovery/hosts".to_owned(), Duration::ZERO),
    };
    let mut request = Request::new(RequestBody::empty());
    *request.uri_mut() = Uri::try_from(path).map_err(|_| PollError::Unreadable)?;
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
    let answer = tokio::time::timeout(poll_time + ANSWER_TIMEOUT, connection.exchange(request)).await;
    let (parts, body) = answer.map_err(|_| PollError::Timeout)?.map_err(|_| PollError::ConnectionLost)?;
    if parts.status != StatusCode::OK {
        return Err(PollError::Status(parts.status));
    }
    let list = serde_json::from_slice(&body).map_err(|_| PollError::Unreadable)?;
    *kept_connection = Some(connection);
    Ok(list)
}
