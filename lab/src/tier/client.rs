//! A simulated client: sends requests, reads responses incrementally, and records what it observed.

use super::{
    configuration::Route,
    observation::{ClientRequest, Log, Observation, Outcome, ProgramDescription, RouteKind, StreamEvent},
    peer::{Framing, Peer, request},
    platform::Platform,
};
use crate::http::Message;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, timeout, timeout_at};

/// Time-out for establishing a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Minimum time without response bytes after which a client abandons a request.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Target for the gap between events that the configurations of this lab set.
const EVENT_GAP_TARGET: Duration = Duration::from_millis(400);
/// Delay before a retry if the response does not state one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counter for request ids, shared by all clients so that ids are unique.
static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A request to be sent, with its retry limit.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    pub route: Route,
    /// Path after the route's prefix.
    pub path: String,
    /// Body; if empty the request is a GET, otherwise a POST.
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// Maximum number of retries.
    pub retries: usize,
    pub turn: Option<TurnHeaders>,
}

/// Additional headers of a request that belongs to an agent program.
#[derive(Debug, Clone)]
pub struct TurnHeaders {
    pub program: ProgramDescription,
    pub session: String,
    pub finish: Duration,
    pub previous: Option<String>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Parts of the prompt as `ID:TOKENS`, separated by commas.
    pub prompt_prefix: String,
}

/// Result of a request after its last retry.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Request id of the last attempt.
    pub request: String,
    pub outcome: Outcome,
    /// Stream events of the last attempt.
    pub events: Vec<StreamEvent>,
}

impl Reply {
    /// Returns the HTTP status, or 0 if there was no complete response.
    #[must_use]
    pub fn status(&self) -> u16 {
        if let Outcome::Answered { status, .. } = self.outcome { status } else { 0 }
    }
}

/// A client in one zone, with its idle connections.
#[derive(Clone)]
pub struct Client {
    log: Log,
    platform: Platform,
    zone: String,
    hash: u64,
    sent_count: Arc<AtomicU64>,
    idle_connections: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

impl Client {
    /// Creates a client; `hash` determines the gatekeeper of its first request.
    #[must_use]
    pub fn new(log: Log, platform: Platform, zone: &str, hash: u64) -> Self {
        let (sent_count, idle_connections) = (Arc::new(AtomicU64::new(0)), Arc::default());
        Self { log, platform, zone: zone.to_owned(), hash, sent_count, idle_connections }
    }

    /// Sends a request, and retries it within its deadline where the protocol permits a retry.
    pub async fn send(&self, spec: &RequestSpec) -> Reply {
        let until = Instant::now() + spec.deadline;
        let mut attempts = 0;
        loop {
            let reply = self.attempt(spec, until, attempts == 0).await;
            attempts += 1;
            let Some(pause) = may_retry(spec.route.kind, &reply.outcome, until) else { return reply };
            if attempts > spec.retries || Instant::now() + pause >= until {
                return reply;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends a request once, to the gatekeeper that the platform selects.
    pub async fn attempt(&self, spec: &RequestSpec, until: Instant, may_reuse: bool) -> Reply {
        let number = self.sent_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:04x}{:06x}", self.hash, NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed));
        let Some(entry) = self.platform.choose(&self.zone, self.hash.wrapping_add(number)) else {
            let outcome = Outcome::Closed { request_written: false };
            return Reply { request: id, outcome, events: Vec::new() };
        };
        let sent = Self::describe(spec, &id, &entry.machine);
        self.log.record(Observation::RequestSent(Arc::new(sent.clone())));
        let mut exchange =
            Exchange { log: &self.log, sent: &sent, events: Vec::new(), written: false, status: None };
        let run = exchange.run(self, entry.frontend, spec, until, may_reuse);
        let outcome = match timeout_at(until, run).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => exchange.failed(&error),
            Err(_) => Outcome::TimedOut,
        };
        let events = exchange.events;
        self.log.record(Observation::RequestEnded { request: id.clone(), outcome: outcome.clone() });
        Reply { request: id, outcome, events }
    }

    fn describe(spec: &RequestSpec, id: &str, machine: &str) -> ClientRequest {
        ClientRequest {
            request: id.to_owned(),
            machine: machine.to_owned(),
            method: if spec.body.is_empty() { "GET" } else { "POST" }.to_owned(),
            host: spec.route.host.clone(),
            path: format!("{}{}", spec.route.path_prefix, spec.path),
            body: spec.body.clone(),
            kind: spec.route.kind,
            max_attempts: spec.route.max_attempts,
            previous: spec.turn.as_ref().and_then(|t| t.previous.clone()),
            program: spec.turn.as_ref().map(|t| t.program.clone()),
        }
    }

    fn take_idle_connection(&self, address: SocketAddr) -> Option<Peer> {
        let mut idle_connections = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        // A connection that was closed or has received unsolicited bytes is not reused.
        idle_connections.remove(&address).filter(Peer::is_reusable)
    }

    fn put_idle_connection(&self, address: SocketAddr, peer: Peer) {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner).insert(address, peer);
    }
}

/// Returns the delay before a retry; `None`: the protocol permits no retry.
fn may_retry(kind: RouteKind, outcome: &Outcome, until: Instant) -> Option<Duration> {
    let remaining = until.saturating_duration_since(Instant::now());
    match outcome {
        Outcome::Answered { status: 408 | 421 | 429 | 503, retry_after, .. } => {
            Some(retry_after.unwrap_or(RETRY_DELAY).min(remaining / 3))
        }
        Outcome::Answered { status: 200..=299 | 400..=499, .. } => None,
        Outcome::Closed { request_written: false } => Some(RETRY_DELAY),
        _ if kind == RouteKind::Safe => Some(RETRY_DELAY),
        _ => None,
    }
}

/// One request in flight.
struct Exchange<'a> {
    log: &'a Log,
    sent: &'a ClientRequest,
    events: Vec<StreamEvent>,
    /// Whether the whole request has been written.
    written: bool,
    /// Status and signature, once the response head was received.
    status: Option<(u16, Option<String>)>,
}

impl Exchange<'_> {
    async fn run(
        &mut self,
        client: &Client,
        address: SocketAddr,
        spec: &RequestSpec,
        until: Instant,
        may_reuse: bool,
    ) -> io::Result<Outcome> {
        let idle = if may_reuse { client.take_idle_connection(address) } else { None };
        let mut peer = match idle {
            Some(peer) => peer,
            None => Peer::connect(address, CONNECT_LIMIT).await?,
        };
        peer.write(&self.bytes(spec, until)).await?;
        self.written = true;
        let Some(head) = peer.read_head().await? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
        let signature = head.header("server-signature").map(str::to_owned);
        self.status = Some((head.status(), signature.clone()));
        let body = self.read_body(&mut peer, &head).await?;
        if !head.closes() {
            client.put_idle_connection(address, peer);
        }
        let retry_after = head.header("retry-after").and_then(|s| s.parse::<f64>().ok());
        let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
        Ok(Outcome::Answered { status: head.status(), signature, body, retry_after })
    }

    fn bytes(&self, spec: &RequestSpec, until: Instant) -> Vec<u8> {
        let remaining = until.saturating_duration_since(Instant::now()).as_millis();
        let mut headers = vec![
            ("Host", self.sent.host.clone()),
            ("Request-Id", self.sent.request.clone()),
            ("Deadline-Ms", remaining.to_string()),
        ];
        if let Some(turn) = &spec.turn {
            headers.push(("Program", turn.program.name.clone()));
            headers.push(("Session", turn.session.clone()));
            headers.push(("Finish-Ms", turn.finish.as_millis().to_string()));
            if let Some(budget) = turn.program.budget {
                headers.push(("Model", "m".to_owned()));
                headers.push(("Budget", budget.to_string()));
                headers.push((
                    "Token-Usage",
                    format!("{},{}", turn.prompt_tokens, turn.program.max_output_tokens),
                ));
                headers.push(("Prompt-Prefix", turn.prompt_prefix.clone()));
            }
            if let Some(previous) = &turn.previous {
                headers.push(("Previous", previous.clone()));
            }
        }
        request(&self.sent.method, &self.sent.path, &headers, &self.sent.body)
    }

    async fn read_body(&mut self, peer: &mut Peer, head: &Message) -> io::Result<Vec<u8>> {
        let mut framing = Framing::of(head)?;
        let streams = head.header("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        let (mut body, mut pending) = (Vec::new(), Vec::new());
        loop {
            let chunk =
                timeout(MIN_EVENT_TIMEOUT.max(8 * EVENT_GAP_TARGET), peer.read_body_part(&mut framing));
            let Some(chunk) = chunk.await.map_err(|_| io::ErrorKind::TimedOut)?? else { break };
            if streams {
                pending.extend_from_slice(&chunk);
                self.take_events(&mut pending);
            } else {
                body.extend_from_slice(&chunk);
            }
        }
        Ok(body)
    }

    fn take_events(&mut self, pending: &mut Vec<u8>) {
        while let Some(end) = pending.windows(2).position(|w| w == b"\n\n") {
            let text: Vec<u8> = pending.drain(..end + 2).collect();
            let Some(event) = parse_event(&text) else { continue };
            let request = self.sent.request.clone();
            self.log.record(Observation::EventReceived { request, event: event.clone() });
            self.events.push(event);
        }
    }

    fn failed(&self, error: &io::Error) -> Outcome {
        match (&self.status, error.kind()) {
            (_, io::ErrorKind::TimedOut) if self.written => Outcome::TimedOut,
            (_, io::ErrorKind::InvalidData) => Outcome::Malformed,
            (Some((status, signature)), _) => {
                Outcome::Interrupted { status: *status, signature: signature.clone() }
            }
            (None, _) => Outcome::Closed { request_written: self.written },
        }
    }
}

/// Parses an event's id and data; `None`: it has no valid id.
fn parse_event(text: &[u8]) -> Option<StreamEvent> {
    let (mut id, mut data) = (None, Vec::new());
    for line in text.split(|byte| *byte == b'\n') {
        if let Some(value) = line.strip_prefix(b"id: ") {
            id = std::str::from_utf8(value).ok()?.trim().parse().ok();
        } else if let Some(value) = line.strip_prefix(b"data: ") {
            data.extend_from_slice(value);
        }
    }
    Some(StreamEvent { id: id?, data })
}
