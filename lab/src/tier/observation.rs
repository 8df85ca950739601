//! What the stand-ins saw: a list in the order of time that the judge reads.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// How requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// At most once a try.
    Unsafe,
    /// An answer of events.
    Streaming {
        /// May be taken up at another worker.
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

/// One try of a client, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientRequest {
    /// Its `Request-Id`.
    pub request: String,
    /// The machine of the gatekeeper that got it.
    pub machine: String,
    pub method: String,
    pub host: String,
    pub path: String,
    /// The body that the client sent; on retained routes the new input only.
    pub body: Vec<u8>,
    pub kind: RouteKind,
    pub max_attempts: usize,
    /// The turn that it continues.
    pub previous: Option<String>,
    pub program: Option<ProgramDescription>,
}

/// What a try tells of its program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramDescription {
    pub name: String,
    /// Units that all its turns may emit; `None` for calls of tools.
    pub budget: Option<u64>,
    /// The most that this turn emits.
    pub max_output_tokens: u64,
    /// Units in each event.
    pub chunk_tokens: u64,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    pub id: u64,
    pub data: Vec<u8>,
}

/// What became of a try at its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer. The body of a stream is empty: its events were noted one by one.
    Answered { status: u16, signature: Option<String>, body: Vec<u8>, retry_after: Option<Duration> },
    /// The connection ended within an answer.
    Interrupted { status: u16, signature: Option<String> },
    /// The connection ended, or never came up, before an answer.
    Closed { request_written: bool },
    /// The client gave it up.
    TimedOut,
    /// Bytes that are no answer.
    Malformed,
}

impl Outcome {
    /// Whether this is a success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answered { status: 200..=299, .. })
    }
}

/// What a worker told the tier about itself, and was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    Draining,
    Deregistered,
}

/// What befell a machine of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineEvent {
    Started,
    Killed,
    /// SIGTERM.
    Terminated,
    /// SIGHUP.
    Reloaded,
    Paused,
    Resumed,
    DiskLost,
    Removed,
}

/// One thing that a stand-in saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    RequestSent(Arc<ClientRequest>),
    /// An event reached the client.
    EventReceived {
        request: String,
        event: StreamEvent,
    },
    RequestEnded {
        request: String,
        outcome: Outcome,
    },
    /// A whole request reached a worker, which did not necessarily run it.
    Reached {
        request: String,
        worker: String,
    },
    /// A worker began to work on a request.
    Ran {
        request: String,
        worker: String,
        service: String,
        method: String,
        host: String,
        path: String,
        body: Vec<u8>,
    },
    /// A worker made an event.
    EventMade {
        request: String,
        worker: String,
        event: StreamEvent,
    },
    /// A worker sent the head of an answer.
    AnswerBegun {
        request: String,
        status: u16,
        signature: String,
    },
    /// A worker ended its answer; `is_complete`: it did not break it off.
    WorkerAnswered {
        request: String,
        worker: String,
        status: u16,
        signature: String,
        body: Vec<u8>,
        is_complete: bool,
    },
    /// A worker crashed or was reset: what it had is broken off.
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
    /// `status` 0: no clear answer.
    ConfigurationAnswered {
        generation: u64,
        body: Arc<Vec<u8>>,
        status: u16,
    },
    /// Read back; `None`: no answer within the time allowed.
    ConfigurationRead {
        body: Option<Vec<u8>>,
    },
    Machine {
        machine: String,
        event: MachineEvent,
    },
}

/// An observation and when it was made, in milliseconds since the log began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedObservation {
    pub at_ms: u64,
    pub observation: Observation,
}

/// The list that all stand-ins of one tier write to.
#[derive(Debug, Clone)]
pub struct Log {
    began: Instant,
    seen: Arc<Mutex<Vec<TimedObservation>>>,
}

impl Default for Log {
    fn default() -> Self {
        Self { began: Instant::now(), seen: Arc::default() }
    }
}

impl Log {
    /// Milliseconds since the log began.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes an observation as of now.
    pub fn record(&self, observation: Observation) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that the list is in the order of time.
        let at_ms = self.now_ms();
        seen.push(TimedObservation { at_ms, observation });
    }

    /// All that was seen so far.
    #[must_use]
    pub fn observations(&self) -> Vec<TimedObservation> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
