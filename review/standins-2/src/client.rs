//! A client: sends one request on a connection of its own and waits for the answer until its deadline.

use crate::http;
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Status of the answer; `None` if no head came.
    pub status: Option<u16>,
    /// Head of the answer.
    pub head: http::Head,
    /// Body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer was complete.
    pub is_complete: bool,
    /// Time from the sending to the end of the answer, of the connection, or of the client's patience.
    pub took: Duration,
    /// The client gave up at its deadline.
    pub gave_up: bool,
}

/// Sends a request and reads its answer until `deadline` has passed.
#[must_use]
pub fn send(gatekeeper: SocketAddr, request: &[u8], deadline: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome {
        status: None,
        head: http::Head::default(),
        body: Vec::new(),
        is_complete: false,
        took: Duration::ZERO,
        gave_up: false,
    };
    let read = read_answer(gatekeeper, request, started + deadline, &mut outcome);
    outcome.is_complete = read.is_ok();
    outcome.took = started.elapsed();
    outcome.gave_up = !outcome.is_complete && outcome.took >= deadline;
    outcome
}

fn read_answer(
    gatekeeper: SocketAddr,
    request: &[u8],
    end: Instant,
    outcome: &mut Outcome,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&gatekeeper, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(Until { stream, end });
    let head = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    outcome.status = Some(head.status());
    outcome.head = head.clone();
    http::read_body(&mut reader, &head, |data| outcome.body.extend_from_slice(data))
}

/// A stream whose reads end at a time.
struct Until {
    stream: TcpStream,
    end: Instant,
}

impl std::io::Read for Until {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
