//! Observations of the simulated clients, workers and operator: a log in chronological order that the judge reads.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// How requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// Each request that a client sends may run at most once.
    Unsafe,
    /// The response is a stream of events.
    Streaming {
        /// Whether another worker may continue an interrupted stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request of this kind may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Streaming { resumable: true })
    }
}

/// A request as a client sent it; every retry is a request of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// Value of the `Request-Id` header.
    pub request: String,
    /// Machine of the gatekeeper to which it was sent.
    pub machine: String,
    pub method: String,
    pub host: String,
    pub path: String,
    /// Body as the client sent it; on routes with stored conversations only the new input.
    pub body: Vec<u8>,
    pub kind: RouteKind,
    pub max_attempts: usize,
    /// Request id of the turn that it continues.
    pub previous: Option<String>,
    pub program: Option<ProgramDescription>,
}

/// What a request states about its agent program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramDescription {
    pub name: String,
    /// Maximum tokens that all turns of the program may emit together; `None` for tool calls.
    pub budget: Option<u64>,
    /// Maximum tokens that this turn emits.
    pub max_output_tokens: u64,
    /// Tokens per stream event.
    pub chunk_tokens: u64,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    pub id: u64,
    pub data: Vec<u8>,
}

/// How a request ended at its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response. The body of a stream is empty, as its events are recorded one by one.
    Answered { status: u16, signature: Option<String>, body: Vec<u8>, retry_after: Option<Duration> },
    /// The connection ended within a response.
    Interrupted { status: u16, signature: Option<String> },
    /// The connection ended, or could not be established, before a response.
    Closed { request_written: bool },
    /// The client abandoned the request after a time-out.
    TimedOut,
    /// The received bytes are not a valid response.
    Malformed,
}

impl Outcome {
    /// Whether this is a complete response with a 2xx status.
    #[must_use]
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered { status: 200..=299, .. })
    }
}

/// Departure of a worker that the tier has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    Draining,
    Deregistered,
}

/// An event of a machine of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    Started,
    Killed,
    /// Stopped with SIGTERM.
    Terminated,
    /// Told to reload its settings with SIGHUP.
    Reloaded,
    Paused,
    Resumed,
    DiskLost,
    Removed,
}

/// One event observed by a simulated participant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    RequestSent(Arc<ClientRequest>),
    /// A stream event reached the client.
    EventReceived {
        request: String,
        event: StreamEvent,
    },
    RequestEnded {
        request: String,
        outcome: Outcome,
    },
    /// A complete request reached a worker, which did not necessarily run it.
    Reached {
        request: String,
        worker: String,
    },
    /// A worker start to run a request.
    Ran {
        request: String,
        worker: String,
        service: String,
        method: String,
        host: String,
        path: String,
        body: Vec<u8>,
    },
    /// A worker produced a stream event.
    EventMade {
        request: String,
        worker: String,
        event: StreamEvent,
    },
    /// A worker sent the head of a response.
    AnswerBegun {
        request: String,
        status: u16,
        signature: String,
    },
    /// A worker ended its response; `is_complete`: it was not cut short by an injected fault.
    WorkerAnswered {
        request: String,
        worker: String,
        status: u16,
        signature: String,
        body: Vec<u8>,
        is_complete: bool,
    },
    /// A worker crashed, which interrupts all its requests.
    WorkerCrashed {
        worker: String,
    },
    DepartureAcknowledged {
        worker: String,
        departure: Departure,
    },
    ConfigurationSent {
        generation: u64,
        body: Arc<Vec<u8>>,
        valid: bool,
    },
    /// A configuration was answered; `status` 0: there was no definite response.
    ConfigurationAnswered {
        generation: u64,
        body: Arc<Vec<u8>>,
        status: u16,
    },
    /// The configuration was read back; `None`: no success within the time limit.
    ConfigurationRead {
        body: Option<Vec<u8>>,
    },
    Machine {
        machine: String,
        event: MachineEvent,
    },
}

/// An observation and its time, in milliseconds since the log was created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedObservation {
    pub at_ms: u64,
    pub observation: Observation,
}

/// Log of observations, shared by all simulated participants of one tier.
#[derive(Debug, Clone)]
pub struct Log {
    start: Instant,
    entries: Arc<Mutex<Vec<TimedObservation>>>,
}

impl Default for Log {
    fn default() -> Self {
        Self { start: Instant::now(), entries: Arc::default() }
    }
}

impl Log {
    /// Returns the milliseconds since the log was created.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Appends an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that the list is in chronological order.
        let at_ms = self.now_ms();
        entries.push(TimedObservation { at_ms, observation });
    }

    /// Returns all observations so far.
    #[must_use]
    pub fn observations(&self) -> Vec<TimedObservation> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
