//! Recording of a run: the list of events that the simulated clients, workers and services observed, which can be saved,
//! loaded and evaluated.

pub use crate::micros::Micros;

use crate::{run_delay::RunDelays, scenario::Scenario};
use serde::{Deserialize, Serialize};
use std::{
    io::{self, BufRead, Write},
    path::Path,
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::Instant,
};

/// Outcome of a client's try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Status 200; `genuine` if the body is the one that a worker produced for this request.
    Served { genuine: bool },
    /// Status 429 or 503, with the `Retry-After` time in seconds.
    Refused { after: f64 },
    /// Any other status.
    Failed { status: u16 },
    /// The gateway closed the connection without any part of a successful answer.
    Broken,
    /// The gateway closed the connection within a successful answer; the client detects the truncation.
    CutOff,
    /// The client disconnected.
    Left,
    /// No answer until the client's time-out, which is later than the try's time limit.
    Never,
    /// No gateway received it: none was available, or the connection failed.
    Nobody,
}

/// How an attempt ended at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Served,
    Error,
    /// Rejected by the worker without being executed.
    TurnedAway,
    /// The gateway closed the connection; `begun` if execution had started.
    Cancelled {
        begun: bool,
    },
    /// The worker died before the answer.
    Died,
    /// Accepted and never answered.
    Silent,
    /// The answer stalled or was truncated half way.
    HalfWay,
}

/// An observed event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client sent a try with the number `txn`: `first` is the number of the request's first try, `again` counts the
    /// tries before it, and `remaining` is its time limit in seconds.
    Try {
        txn: u64,
        first: u64,
        again: u32,
        gate: usize,
        customer: usize,
        plan: usize,
        class: usize,
        remaining: f64,
    },
    /// A try ended at its client.
    Answer { txn: u64, outcome: Outcome },
    /// The last byte of an attempt reached a worker; `intact` if it is what the client sent.
    Attempt {
        txn: u64,
        gate: usize,
        worker: usize,
        intact: bool,
        /// Delay on the link, by which it left its gateway earlier. 0 in recordings of earlier builds, which lack it.
        #[serde(default)]
        link_delay: Micros,
    },
    /// An attempt ended at its worker, after `queued` seconds in the queue and `worked` seconds on a core.
    Ended { txn: u64, worker: usize, how: Ending, queued: f64, worked: f64 },
    /// A request that no client sent reached a worker.
    Stranger { gate: usize, worker: usize },
    /// A health check reached a worker.
    Probe { gate: usize, worker: usize },
    /// A worker accepted a connection.
    Handshake { gate: usize, worker: usize },
    /// A worker started or ended.
    Worker { worker: usize, state: WorkerState },
    /// Discovery reported to a gateway that a worker is serving (`wanted`), or that it is draining or removed.
    Told { gate: usize, worker: usize, wanted: bool },
    /// The state of a gateway's process changed.
    Gate { gate: usize, state: GateState },
    /// A call of the shared counter, with the total after the addition; `None` if it was answered `busy`.
    Call { gate: usize, name: String, amount: f64, total: Option<f64> },
    /// A fault began or ended.
    Fault { index: usize, on: bool, gates: Vec<usize>, workers: Vec<usize> },
    /// A gateway logged the decision `what` on a request, with the cause `why`.
    Reason { gate: usize, txn: u64, what: String, why: String },
}

/// State of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It started and is warming up.
    Started,
    /// It was ended by a fault.
    Died,
    /// It crashed by overload during its warm-up.
    Fell,
}

/// State of a gateway's process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GateState {
    /// It answered `/up`.
    Ready,
    /// The lab killed it.
    Killed,
    /// The lab sent SIGTERM.
    Terminated,
    /// The lab stopped it with SIGSTOP.
    Paused,
    /// The lab continued it with SIGCONT.
    Continued,
    /// It exited; `wanted` if the lab caused that.
    Exited { wanted: bool, status: String },
}

/// One event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub at: Micros,
    pub event: Event,
}

/// Inputs of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Header {
    /// Version of the recording's format.
    pub form: u32,
    pub scenario: Scenario,
    pub seed: u64,
    /// Path of the gateway's executable, or the policy of a modelled run.
    pub build: String,
    /// By gateway, the index of its zone.
    pub gate_zones: Vec<usize>,
    /// By worker, the index of its zone.
    pub worker_zones: Vec<usize>,
    /// By worker, the speed of its cores relative to a nominal core.
    pub speeds: Vec<f64>,
    /// First tries per second at the base load.
    pub rate: f64,
    /// Mean work of a request on a nominal core, in milliseconds.
    pub work_ms: f64,
}

/// Measurements of the lab itself and of the gateways' resource usage.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Meter {
    /// Delay of first tries after their planned times, in milliseconds: median, 99th percentile and maximum.
    pub late_ms: [f64; 3],
    /// Processor time of all gateways together, in seconds.
    pub cpu_s: f64,
    /// Greatest resident memory of any gateway, in MB.
    pub rss_mb: f64,
    /// Reason why the run is invalid, if it is.
    pub void: Option<String>,
    /// Time that processes waited for processors. Empty in recordings of earlier builds, which lack it.
    #[serde(default)]
    pub run_delays: RunDelays,
}

/// Recording of a complete run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Recording {
    pub header: Header,
    pub meter: Meter,
    pub seen: Vec<Seen>,
}

/// Version of the recording format that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

impl Recording {
    /// Writes the recording as lines of JSON: header, measurements, then one event per line.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = io::BufWriter::new(std::fs::File::create(path)?);
        let mut line = |value: String| writeln!(file, "{value}");
        line(serde_json::to_string(&self.header)?)?;
        line(serde_json::to_string(&self.meter)?)?;
        for seen in &self.seen {
            line(serde_json::to_string(seen)?)?;
        }
        file.flush()
    }

    /// Reads a recording written by [`Recording::save`].
    ///
    /// # Errors
    /// The file can't be read; `InvalidData` with the line number if a line can't be parsed.
    pub fn load(path: &Path) -> io::Result<Self> {
        let file = io::BufReader::new(std::fs::File::open(path)?);
        let mut lines = file.lines().enumerate();
        let header: Header = read(lines.next())?;
        if header.form != FORMAT_VERSION {
            let why =
                format!("recording has format version {}, this build reads {FORMAT_VERSION}", header.form);
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        }
        let meter = read(lines.next())?;
        let seen = lines.map(|line| read(Some(line))).collect::<io::Result<_>>()?;
        Ok(Self { header, meter, seen })
    }
}

/// Parses one line of a recording.
fn read<T: for<'a> Deserialize<'a>>(line: Option<(usize, io::Result<String>)>) -> io::Result<T> {
    let bad = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
    let (number, line) =
        line.ok_or_else(|| bad("recording is truncated: header or measurements are missing".into()))?;
    serde_json::from_str(&line?).map_err(|e| bad(format!("line {}: {e}", number + 1)))
}

/// Collects the events of a run while it is in progress.
pub struct Log {
    /// Time at which the load began, once it has.
    start: OnceLock<Instant>,
    seen: Mutex<Vec<Seen>>,
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

impl Log {
    /// Returns an empty log of a run whose load has not begun.
    #[must_use]
    pub fn new() -> Self {
        Self { start: OnceLock::new(), seen: Mutex::default() }
    }

    fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the load began; 0 before.
    pub fn now(&self) -> Micros {
        self.start.get().map_or(0, |start| start.elapsed().as_micros() as u64)
    }

    /// Marks the begin of the load, unless that was done before, and returns its time.
    pub fn start(&self) -> Instant {
        *self.start.get_or_init(Instant::now)
    }

    /// Adds an event at the present time.
    pub fn record(&self, event: Event) {
        let mut seen = self.seen();
        // Reads the clock under the lock, so that the list is in order of time.
        let at = self.now();
        seen.push(Seen { at, event });
    }

    /// Removes and returns all events.
    pub fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut *self.seen())
    }
}
