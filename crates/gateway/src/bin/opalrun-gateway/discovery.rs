//! Follows the list of workers: one watch after another, the whole list after any doubt.

use crate::config::WorkerList;
use hyper::{Request, StatusCode, Uri, header};
use opalrun_transport::{body::RequestBody, connection::Connection};
use std::{fmt, net::SocketAddr, task::Waker, time::Duration};
use tokio::sync::watch;
use tracing::{info, warn};

/// How long discovery may hold a watch: short, as what it could not tell counts as told soon after.
const HOLD: Duration = Duration::from_secs(4);
/// How long past that an answer is waited for: a silent agent is asked again on a new connection.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest time for a connection to come up: the agent is on this machine.
const CONNECT: Duration = Duration::from_millis(250);
/// First and longest wait after a failed call, on average: each is drawn anew, as all gateways meet the same fault. What
/// the agent has learned counts from its return on, so with the connection the longest is within the time to obey it.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(150));
/// The longest after an answer that is no list.
const REFUSED: Duration = Duration::from_secs(1);
/// The longest after an error answer: discovery is overbooked, and asking as often as ever keeps it so.
const OVERBOOKED: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Connect,
    Silent,
    Broken,
    Status(StatusCode),
    Unreadable,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Silent => f.write_str("no answer"),
            Self::Broken => f.write_str("the connection broke"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Unreadable => f.write_str("the list is unreadable"),
        }
    }
}

/// Follows discovery for good, wherever it is at the time, and delivers its lists; `known` is the version of the list that is held.
pub async fn follow(
    mut addr: watch::Receiver<SocketAddr>,
    deliver: impl Fn(WorkerList),
    mut known: Option<u64>,
    mut rng: fastrand::Rng,
) {
    loop {
        let now = *addr.borrow_and_update();
        tokio::select! {
            () = follow_at(now, &deliver, known.take(), &mut rng) => {}
            // Another agent's versions need not be the old one's: what follows begins with the whole list.
            moved = addr.changed() => if moved.is_err() { return },
        }
    }
}

async fn follow_at(
    addr: SocketAddr,
    deliver: &impl Fn(WorkerList),
    mut version: Option<u64>,
    rng: &mut fastrand::Rng,
) {
    let (mut link, mut wait, mut trouble) = (None, BACKOFF.0, None);
    loop {
        match call(addr, &mut link, version).await {
            Ok(list) => {
                if trouble.take().is_some() {
                    info!("discovery answers again");
                }
                wait = BACKOFF.0;
                // Changes to a list that is not ours, or a version that went back: ask for the whole.
                let fits = list.full || version.is_some_and(|v| list.version >= v);
                version = fits.then_some(list.version);
                if fits && (list.full || !list.servers.is_empty()) {
                    deliver(list);
                }
                if !fits {
                    tokio::time::sleep(BACKOFF.0).await;
                }
            }
            Err(fault) => {
                // One line for each kind of fault in a row, not one a call.
                if trouble.replace(fault) != Some(fault) {
                    warn!("discovery: {fault}");
                }
                link = None;
                // An error of the service says nothing of the list that is held; a refusal of the call may.
                let longest = match fault {
                    Fault::Status(status) if status.is_server_error() => OVERBOOKED,
                    Fault::Status(_) | Fault::Unreadable => {
                        version = None;
                        REFUSED
                    }
                    Fault::Connect | Fault::Silent | Fault::Broken => BACKOFF.1,
                };
                tokio::time::sleep(wait.mul_f64(0.5 + rng.f64())).await;
                wait = (wait * 2).min(longest);
            }
        }
    }
}

async fn call(
    addr: SocketAddr,
    kept: &mut Option<Connection>,
    version: Option<u64>,
) -> Result<WorkerList, Fault> {
    let mut link = match kept.take().and_then(|mut link| link.ready(Waker::noop()).then_some(link)) {
        Some(link) => link,
        None => Connection::open(addr, CONNECT).await.map_err(|_| Fault::Connect)?,
    };
    let (path, hold) = match version {
        Some(v) => (format!("/discovery/hosts?from={v}&hold_ms={}", HOLD.as_millis()), HOLD),
        None => ("/discovery/hosts".to_owned(), Duration::ZERO),
    };
    let mut request = Request::new(RequestBody::empty());
    *request.uri_mut() = Uri::try_from(path).map_err(|_| Fault::Unreadable)?;
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
    let answer = tokio::time::timeout(hold + PATIENCE, link.exchange(request)).await;
    let (parts, body) = answer.map_err(|_| Fault::Silent)?.map_err(|_| Fault::Broken)?;
    if parts.status != StatusCode::OK {
        return Err(Fault::Status(parts.status));
    }
    let list = serde_json::from_slice(&body).map_err(|_| Fault::Unreadable)?;
    *kept = Some(link);
    Ok(list)
}
