//! What the stand-ins saw, as one list that can be kept, read again and judged.

pub use crate::micros::Micros;

use crate::{run_delay::RunDelays, scenario::Scenario};
use serde::{Deserialize, Serialize};
use std::{
    io::{self, BufRead, Write},
    path::Path,
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::Instant,
};

/// What became of a client's try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// 200; `genuine`: with what a worker made for this request.
    Served { genuine: bool },
    /// 429 or 503, with the time to come back in seconds.
    Refused { after: f64 },
    /// Any other status.
    Failed { status: u16 },
    /// The gateway ended the connection without a whole answer.
    Broken,
    /// The same, after the beginning of one: its client can tell that it is not whole.
    CutOff,
    /// The client left.
    Left,
    /// No answer, long after its time.
    Never,
    /// The front had nobody to send it to, or nobody took the connection: no gateway had it.
    Nobody,
}

/// How a worker's part in an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Served,
    Error,
    /// Never run.
    TurnedAway,
    /// The gateway ended the connection: before it began, or under way.
    Cancelled {
        begun: bool,
    },
    /// The worker died with it.
    Died,
    /// Taken and never answered.
    Silent,
    /// It stopped, or broke off, in the middle of its answer.
    HalfWay,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A client's try went out: `first` is its first try's number.
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
    Answer {
        txn: u64,
        outcome: Outcome,
    },
    /// An attempt's last byte reached a worker; `intact`: it is what the client sent.
    Attempt {
        txn: u64,
        gate: usize,
        worker: usize,
        intact: bool,
        /// How long the link held it up: it left its gateway so much earlier. Recordings of earlier builds have none.
        #[serde(default)]
        link_delay: Micros,
    },
    /// Its end there, after so many seconds in the queue and at work.
    Ended {
        txn: u64,
        worker: usize,
        how: Ending,
        queued: f64,
        worked: f64,
    },
    /// A request that no client sent reached a worker.
    Stranger {
        gate: usize,
        worker: usize,
    },
    Probe {
        gate: usize,
        worker: usize,
    },
    /// A connection came up at a worker.
    Handshake {
        gate: usize,
        worker: usize,
    },
    Worker {
        worker: usize,
        state: WorkerState,
    },
    /// A gateway was told that a worker is draining or gone (`wanted`: false), or to be used.
    Told {
        gate: usize,
        worker: usize,
        wanted: bool,
    },
    Gate {
        gate: usize,
        state: GateState,
    },
    /// A call of the counter: `None`: not added.
    Call {
        gate: usize,
        name: String,
        amount: f64,
        total: Option<f64>,
    },
    /// A fault began or ended.
    Fault {
        index: usize,
        on: bool,
        gates: Vec<usize>,
        workers: Vec<usize>,
    },
    /// What a gateway says about a request of its own.
    Reason {
        gate: usize,
        txn: u64,
        what: String,
        why: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Took up work, cold.
    Started,
    Died,
    /// Was sent too much while it was cold.
    Fell,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GateState {
    /// Answered `/up`.
    Ready,
    /// Killed by the lab.
    Killed,
    /// Got SIGTERM.
    Terminated,
    Paused,
    Continued,
    /// Ended: as the lab wanted, or not.
    Exited {
        wanted: bool,
        status: String,
    },
}

/// One event and when it was.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub at: Micros,
    pub event: Event,
}

/// What a play was.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Header {
    /// The form of what follows.
    pub form: u32,
    pub scenario: Scenario,
    pub seed: u64,
    pub build: String,
    /// Zones of the gateways and of the workers, and the workers' speeds.
    pub gate_zones: Vec<usize>,
    pub worker_zones: Vec<usize>,
    pub speeds: Vec<f64>,
    /// First tries planned a second, and the mean work of one in milliseconds.
    pub rate: f64,
    pub work_ms: f64,
}

/// The lab's own lateness, and what the gateways used.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Meter {
    /// How late requests went out, in milliseconds: median, 99th percentile and most.
    pub late_ms: [f64; 3],
    /// Seconds of processor time of all gateways together.
    pub cpu_s: f64,
    /// The most resident memory that a gateway had, in MB.
    pub rss_mb: f64,
    /// Why the play counts for nothing, if so.
    pub void: Option<String>,
    /// How long processes waited for processors. Recordings of earlier builds have none.
    #[serde(default)]
    pub run_delays: RunDelays,
}

/// A whole play.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Recording {
    pub header: Header,
    pub meter: Meter,
    pub seen: Vec<Seen>,
}

/// The form of a recording that this build writes and reads.
pub const FORMAT_VERSION: u32 = 1;

impl Recording {
    /// Writes it as lines of JSON.
    ///
    /// # Errors
    /// Those of the file system.
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

    /// Reads what [`Recording::save`] wrote.
    ///
    /// # Errors
    /// Those of the file system, and `InvalidData` with the line that can't be read.
    pub fn load(path: &Path) -> io::Result<Self> {
        let file = io::BufReader::new(std::fs::File::open(path)?);
        let mut lines = file.lines().enumerate();
        let header: Header = read(lines.next())?;
        if header.form != FORMAT_VERSION {
            let why = format!("its form is {}, this build reads {FORMAT_VERSION}", header.form);
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        }
        let meter = read(lines.next())?;
        let seen = lines.map(|line| read(Some(line))).collect::<io::Result<_>>()?;
        Ok(Self { header, meter, seen })
    }
}

/// Reads one line of a recording.
fn read<T: for<'a> Deserialize<'a>>(line: Option<(usize, io::Result<String>)>) -> io::Result<T> {
    let bad = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
    let (number, line) = line.ok_or_else(|| bad("it ends too soon".into()))?;
    serde_json::from_str(&line?).map_err(|e| bad(format!("line {}: {e}", number + 1)))
}

/// Where stand-ins write down what they see.
pub struct Log {
    start: OnceLock<Instant>,
    seen: Mutex<Vec<Seen>>,
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

impl Log {
    /// Begins; the load has not started yet.
    #[must_use]
    pub fn new() -> Self {
        Self { start: OnceLock::new(), seen: Mutex::default() }
    }

    fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Micros {
        self.start.get().map_or(0, |start| start.elapsed().as_micros() as u64)
    }

    /// The load starts now, or did before.
    pub fn start(&self) -> Instant {
        *self.start.get_or_init(Instant::now)
    }

    pub fn record(&self, event: Event) {
        let mut seen = self.seen();
        // Within the lock, so that the list is in order.
        let at = self.now();
        seen.push(Seen { at, event });
    }

    pub fn take(&self) -> Vec<Seen> {
        std::mem::take(&mut *self.seen())
    }
}
