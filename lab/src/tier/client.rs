//! A stand-in client: sends tries, reads answers piece by piece, and notes what it saw.

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

/// How long a new connection may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// The shortest silence after which a stream is given up.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest pause between events that the stand-in configurations name.
const EVENT_GAP_TARGET: Duration = Duration::from_millis(400);
/// Pause before a try is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Counts the tries of all clients, so that no two share an id.
static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// What a client asks for.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    pub route: Route,
    /// What follows the route's prefix.
    pub path: String,
    /// The body; none makes it a GET.
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// Tries after the first.
    pub retries: usize,
    pub turn: Option<TurnHeaders>,
}

/// What a request of a program carries besides.
#[derive(Debug, Clone)]
pub struct TurnHeaders {
    pub program: ProgramDescription,
    pub session: String,
    pub finish: Duration,
    pub previous: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// ID:TOKENS, separated by commas.
    pub prompt_prefix: String,
}

/// How a request ended, after all its tries.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The id of the last try.
    pub request: String,
    pub outcome: Outcome,
    /// The events of the last try.
    pub events: Vec<StreamEvent>,
}

impl Reply {
    /// The status; 0: there was no whole answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        if let Outcome::Answered { status, .. } = self.outcome { status } else { 0 }
    }
}

/// Clients of one zone. Each keeps its connections.
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
    /// A client; `hash` decides which gatekeeper it meets first.
    #[must_use]
    pub fn new(log: Log, platform: Platform, zone: &str, hash: u64) -> Self {
        let (sent_count, idle_connections) = (Arc::new(AtomicU64::new(0)), Arc::default());
        Self { log, platform, zone: zone.to_owned(), hash, sent_count, idle_connections }
    }

    /// Asks, and tries again as far as the protocol lets it.
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

    /// Sends one try to a gatekeeper of the platform's choice.
    pub async fn attempt(&self, ask: &RequestSpec, until: Instant, may_reuse: bool) -> Reply {
        let number = self.sent_count.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:04x}{:06x}", self.hash, NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed));
        let Some(entry) = self.platform.choose(&self.zone, self.hash.wrapping_add(number)) else {
            let outcome = Outcome::Closed { request_written: false };
            return Reply { request: id, outcome, events: Vec::new() };
        };
        let sent = Self::describe(ask, &id, &entry.machine);
        self.log.record(Observation::RequestSent(Arc::new(sent.clone())));
        let mut exchange =
            Exchange { log: &self.log, sent: &sent, events: Vec::new(), written: false, status: None };
        let run = exchange.run(self, entry.frontend, ask, until, may_reuse);
        let outcome = match timeout_at(until, run).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => exchange.failed(&error),
            Err(_) => Outcome::TimedOut,
        };
        let events = exchange.events;
        self.log.record(Observation::RequestEnded { request: id.clone(), outcome: outcome.clone() });
        Reply { request: id, outcome, events }
    }

    fn describe(ask: &RequestSpec, id: &str, machine: &str) -> ClientRequest {
        ClientRequest {
            request: id.to_owned(),
            machine: machine.to_owned(),
            method: if ask.body.is_empty() { "GET" } else { "POST" }.to_owned(),
            host: ask.route.host.clone(),
            path: format!("{}{}", ask.route.path_prefix, ask.path),
            body: ask.body.clone(),
            kind: ask.route.kind,
            max_attempts: ask.route.max_attempts,
            previous: ask.turn.as_ref().and_then(|t| t.previous.clone()),
            program: ask.turn.as_ref().map(|t| t.program.clone()),
        }
    }

    fn take_idle_connection(&self, address: SocketAddr) -> Option<Peer> {
        let mut idle_connections = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        // Bytes that came while nothing was asked belong to no request; one that has ended serves no other.
        idle_connections.remove(&address).filter(Peer::is_reusable)
    }

    fn put_idle_connection(&self, address: SocketAddr, peer: Peer) {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner).insert(address, peer);
    }
}

/// The pause before another try; `None`: there may be none.
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

/// One try under way.
struct Exchange<'a> {
    log: &'a Log,
    sent: &'a ClientRequest,
    events: Vec<StreamEvent>,
    /// The whole request has been written.
    written: bool,
    /// Status and signature, once the head is there.
    status: Option<(u16, Option<String>)>,
}

impl Exchange<'_> {
    async fn run(
        &mut self,
        client: &Client,
        address: SocketAddr,
        ask: &RequestSpec,
        until: Instant,
        may_reuse: bool,
    ) -> io::Result<Outcome> {
        let idle = if may_reuse { client.take_idle_connection(address) } else { None };
        let mut peer = match idle {
            Some(peer) => peer,
            None => Peer::connect(address, CONNECT_LIMIT).await?,
        };
        peer.write(&self.bytes(ask, until)).await?;
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

    fn bytes(&self, ask: &RequestSpec, until: Instant) -> Vec<u8> {
        let remaining = until.saturating_duration_since(Instant::now()).as_millis();
        let mut headers = vec![
            ("Host", self.sent.host.clone()),
            ("Request-Id", self.sent.request.clone()),
            ("Deadline-Ms", remaining.to_string()),
        ];
        if let Some(turn) = &ask.turn {
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

/// An event's id and data; `None`: it has no id.
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
