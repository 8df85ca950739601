//! Client of the counter service. Calls are pipelined on a connection, and answers are matched to calls in order.
//!
//! There are a few connections. A call uses the first one on which no answer is overdue, so that a stuck connection
//! does not delay the rest. Pending calls for the same count share a connection, as their answers must arrive in order.

use opalrun_gateway::{Event, Status};
use opalrun_transport::connection::connect;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io::{self, ErrorKind},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::AsyncReadExt,
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::{Notify, watch},
};
use tracing::warn;

/// Largest number of connections; the counter accepts 32 of each gateway.
pub const MAX_CONNECTIONS: usize = 4;
/// Interval between pings, well below the shortest idle time after which the counter closes a connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// A connection is given up when an answer on it is missing for this many call time-outs. The number is small, as the
/// other connections may get stuck too and the calls on it have timed out long before.
const STUCK_CALL_TIMEOUTS: u32 = 4;
/// First and longest delay before a connection is opened again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Longest answer, in bytes, without its line feed.
const MAX_ANSWER_BYTES: usize = 256;

/// A call or ping that is to be written or waits for its answer.
struct Call {
    /// The count's name; `None` for a ping.
    name: Option<u64>,
    /// Number by which the caller expires the call; 0 for a ping.
    number: u64,
    since: Instant,
    /// The call as it is sent.
    text: Vec<u8>,
    /// Bytes of `text` that are written.
    written: usize,
    /// Whether the caller knows the result and ignores a later answer; always so for a ping.
    reported: bool,
}

/// One connection, kept open across reconnects, and its calls in order.
#[derive(Default)]
struct CounterConnection {
    /// Write half of the socket while the connection is up.
    socket: Option<Rc<OwnedWriteHalf>>,
    calls: VecDeque<Call>,
    /// Whether the task that maintains the connection runs.
    started: bool,
    /// The counter's address has changed: the connection only completes the calls that are partly written or waiting.
    is_retiring: bool,
    /// Wakes the task that maintains the connection, to write or to close.
    wake: Rc<Notify>,
}

impl CounterConnection {
    /// Whether the oldest call has waited for its answer longer than `limit`.
    fn is_overdue(&self, limit: Duration) -> bool {
        self.calls.front().is_some_and(|c| c.since.elapsed() > limit)
    }

    /// Writes as much as the socket accepts. Returns `false` if the connection is broken.
    fn flush(&mut self) -> bool {
        let Some(socket) = &self.socket else { return true };
        let is_retiring = self.is_retiring;
        let due = |c: &&mut Call| c.written < c.text.len() && (c.written > 0 || !is_retiring);
        for call in self.calls.iter_mut().filter(due) {
            while call.written < call.text.len() {
                match socket.try_write(&call.text[call.written..]) {
                    Ok(n) => call.written += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return false,
                }
            }
        }
        true
    }

    /// Whether calls remain to be written on this connection.
    fn has_unwritten(&self) -> bool {
        let due = |c: &Call| c.written < c.text.len() && (c.written > 0 || !self.is_retiring);
        self.calls.iter().rev().any(due)
    }

    /// Whether a call written on this connection still waits for its answer.
    fn awaits_answer(&self) -> bool {
        self.calls.iter().any(|c| c.written > 0 && !c.reported)
    }
}

/// The client of the counter service.
pub struct Counter {
    addr: watch::Sender<SocketAddr>,
    /// Time-out of a call.
    call_timeout: Cell<Duration>,
    connections: RefCell<Vec<CounterConnection>>,
    /// Number of the next call.
    next_number: Cell<u64>,
    /// Whether any call has been answered since the start.
    has_answered: Cell<bool>,
}

/// An answer of the counter.
enum Answer {
    /// The amount was added; the count's new total.
    Total(f64),
    /// The counter is busy or refused the call, and added nothing.
    NothingAdded,
    Pong,
}

/// Parses an answer; `None`: it is none of the known ones.
fn parse_answer(line: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(line).ok()?.trim_end_matches('\r');
    match text.split_once(' ') {
        Some(("ok", total)) => total.parse().ok().filter(|t: &f64| t.is_finite()).map(Answer::Total),
        Some(("error", _)) => Some(Answer::NothingAdded),
        None if text == "busy" || text == "error" => Some(Answer::NothingAdded),
        None if text == "pong" => Some(Answer::Pong),
        _ => None,
    }
}

/// Owner of the counter's client, which receives the results of calls.
pub trait CounterCaller: 'static {
    /// The client; `None` if no counter is configured.
    fn counter(&self) -> Option<&Counter>;

    /// Receives the result of a call.
    fn call_ended(self: &Rc<Self>, event: Event);
}

impl Counter {
    pub fn new(addr: SocketAddr, call_timeout: Duration) -> Self {
        let connections = RefCell::new((0..MAX_CONNECTIONS).map(|_| CounterConnection::default()).collect());
        let (addr, call_timeout) = (watch::Sender::new(addr), Cell::new(call_timeout));
        Self { addr, call_timeout, connections, next_number: Cell::default(), has_answered: Cell::default() }
    }

    /// Whether the counter has answered any call since the start.
    pub fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Changes the counter's address. Each connection moves there once the answers that it waits for have arrived.
    pub fn set_address(&self, addr: SocketAddr) {
        self.addr.send_if_modified(|now| std::mem::replace(now, addr) != addr);
    }

    /// Changes the time-out of calls.
    pub fn set_call_timeout(&self, call_timeout: Duration) {
        self.call_timeout.set(call_timeout);
    }

    /// Opens the first connection.
    pub fn start(&self, caller: &Rc<impl CounterCaller>) {
        self.connections.borrow_mut()[0].started = true;
        tokio::task::spawn_local(maintain(0, caller.clone()));
    }

    /// Starts a call that adds `amount` to the count `name`, which the counter keeps for `ttl` seconds. The result goes to
    /// `caller`. Returns the call's number, to be passed to [`Counter::expire`] at the call's time-out.
    pub fn call(&self, caller: &Rc<impl CounterCaller>, name: u64, amount: f64, ttl: f64) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let ttl_ms = (ttl * 1000.0).round().clamp(1.0, 60_000.0) as u64;
        let text = format!("bump {name} {amount} {ttl_ms}\r\n").into_bytes();
        let call =
            Call { name: Some(name), number, since: Instant::now(), text, written: 0, reported: false };
        let mut connections = self.connections.borrow_mut();
        let waits = |l: &CounterConnection| l.calls.iter().any(|c| c.name == Some(name) && !c.reported);
        let free = |l: &CounterConnection| !l.is_overdue(self.call_timeout.get());
        let chosen = connections
            .iter()
            .position(waits)
            .or_else(|| connections.iter().position(|l| l.socket.is_some() && free(l)))
            .or_else(|| connections.iter().position(free))
            .or_else(|| (0..connections.len()).min_by_key(|i| connections[*i].calls.len()))
            .unwrap_or(0);
        let connection = &mut connections[chosen];
        connection.calls.push_back(call);
        if !connection.started {
            connection.started = true;
            tokio::task::spawn_local(maintain(chosen, caller.clone()));
        } else if !connection.flush() || connection.has_unwritten() {
            connection.wake.notify_one();
        }
        number
    }

    /// Whether the call has no result yet.
    pub fn is_waiting(&self, number: u64) -> bool {
        let calls = |l: &CounterConnection| l.calls.iter().any(|c| c.number == number && !c.reported);
        self.connections.borrow().iter().any(calls)
    }

    /// Reports a call as timed out. If any of it is written, its answer still arrives later and is ignored.
    pub fn expire(&self, caller: &Rc<impl CounterCaller>, number: u64) {
        let mut connections = self.connections.borrow_mut();
        for connection in connections.iter_mut() {
            let Some(at) = connection.calls.iter().position(|c| c.number == number && c.name.is_some())
            else {
                continue;
            };
            let call = &mut connection.calls[at];
            if call.reported {
                return;
            }
            call.reported = true;
            if connection.is_retiring {
                connection.wake.notify_one();
            }
            let call = &connection.calls[at];
            let (name, elapsed) = (call.name, call.since.elapsed());
            let status = if call.written == 0 {
                // Nothing of the call was sent, and nothing will be, so the counter can't have added the amount.
                connection.calls.remove(at);
                Status::ConnectFailed
            } else {
                Status::Timeout
            };
            drop(connections);
            report(caller, name, status, 0.0, elapsed);
            return;
        }
    }

    /// Matches an answer to the oldest call of its connection. Returns `false` if it does not fit that call.
    fn handle_answer(&self, index: usize, answer: &Answer, caller: &Rc<impl CounterCaller>) -> bool {
        let Some(call) = self.connections.borrow_mut()[index].calls.pop_front() else { return false };
        let (status, total) = match (answer, call.name) {
            (Answer::Pong, None) => return true,
            (Answer::Total(total), Some(_)) => (Status::Ok, *total),
            (Answer::NothingAdded, Some(_)) => (Status::Rejected, 0.0),
            _ => {
                self.connections.borrow_mut()[index].calls.push_front(call);
                return false;
            }
        };
        self.has_answered.set(true);
        if !call.reported {
            report(caller, call.name, status, total, call.since.elapsed());
        }
        true
    }

    /// Ends the calls of a connection that was lost or could not be opened. A call that was written completely may have
    /// been counted, so it ends as a time-out; the others end as not sent.
    fn connection_lost(&self, index: usize, caller: &Rc<impl CounterCaller>) {
        let calls: VecDeque<Call> = {
            let connection = &mut self.connections.borrow_mut()[index];
            connection.socket = None;
            // After a change of address, calls of which nothing is written are sent on the next connection.
            let is_retiring = std::mem::take(&mut connection.is_retiring);
            let kept = |c: &Call| is_retiring && c.written == 0 && !c.reported;
            let (kept, ended) = std::mem::take(&mut connection.calls).into_iter().partition(kept);
            connection.calls = kept;
            ended
        };
        for call in calls.into_iter().filter(|c| !c.reported) {
            let is_complete = call.written == call.text.len();
            let status = if is_complete { Status::Timeout } else { Status::ConnectFailed };
            report(caller, call.name, status, 0.0, call.since.elapsed());
        }
    }

    fn ping(&self, index: usize) {
        let connection = &mut self.connections.borrow_mut()[index];
        let text = b"ping\r\n".to_vec();
        let since = Instant::now();
        connection.calls.push_back(Call { name: None, number: 0, since, text, written: 0, reported: true });
    }
}

fn report(caller: &Rc<impl CounterCaller>, name: Option<u64>, status: Status, total: f64, elapsed: Duration) {
    if let Some(counter) = name {
        caller.call_ended(Event::CounterAnswered { counter, status, total, elapsed: elapsed.as_secs_f64() });
    }
}

/// Maintains one connection, opening it again whenever it ends; never returns while a counter is configured.
async fn maintain(index: usize, caller: Rc<impl CounterCaller>) {
    let Some(counter) = caller.counter() else { return };
    let mut addr = counter.addr.subscribe();
    let (mut wait, mut warns) = (BACKOFF.0, true);
    loop {
        let now = *addr.borrow_and_update();
        let end = match tokio::time::timeout(counter.call_timeout.get() * 5, connect(now)).await {
            Ok(Ok(socket)) => run(counter, index, socket, &caller, &mut wait, &mut addr).await,
            Ok(Err(e)) => e,
            Err(_) => ErrorKind::TimedOut.into(),
        };
        let moved = *addr.borrow() != now;
        counter.connection_lost(index, &caller);
        if moved {
            (wait, warns) = (BACKOFF.0, true);
            continue;
        }
        if warns {
            warn!("counter connection failed: {end}");
        }
        // Only the first of several failures in a row is logged: the delay is reset by an answer.
        warns = wait == BACKOFF.0;
        tokio::select! { () = tokio::time::sleep(wait) => {}, _ = addr.changed() => {} }
        wait = (wait * 2).min(BACKOFF.1);
        // Calls made meanwhile are unwritten; they are sent on the new connection or expire.
    }
}

/// Writes calls and reads answers on one connection until it ends. Returns why it ended.
async fn run(
    counter: &Counter,
    index: usize,
    socket: TcpStream,
    caller: &Rc<impl CounterCaller>,
    wait: &mut Duration,
    addr: &mut watch::Receiver<SocketAddr>,
) -> io::Error {
    let (mut reader, writer) = socket.into_split();
    let writer = Rc::new(writer);
    let wake = {
        let connection = &mut counter.connections.borrow_mut()[index];
        connection.socket = Some(writer.clone());
        connection.wake.clone()
    };
    let (mut read, mut buffer) = (Vec::new(), [0; 4096]);
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let answer_timeout = counter.call_timeout.get() * STUCK_CALL_TIMEOUTS;
    loop {
        let (unwritten, given_up) = {
            let connection = &mut counter.connections.borrow_mut()[index];
            if !connection.flush() {
                return ErrorKind::BrokenPipe.into();
            }
            if connection.is_overdue(answer_timeout) {
                return ErrorKind::TimedOut.into();
            }
            if connection.is_retiring && !connection.awaits_answer() {
                return ErrorKind::NotConnected.into();
            }
            (connection.has_unwritten(), connection.calls.front().map(|c| c.since + answer_timeout))
        };
        let received = tokio::select! {
            received = reader.read(&mut buffer) => received,
            ready = writer.writable(), if unwritten => match ready {
                Ok(()) => continue,
                Err(e) => return e,
            },
            () = wake.notified() => continue,
            () = tokio::time::sleep_until(given_up.unwrap_or_else(Instant::now).into()), if given_up.is_some() => continue,
            // A connection that waits for an answer is not idle and needs no ping.
            _ = ping.tick(), if given_up.is_none() => { counter.ping(index); continue }
            Ok(()) = addr.changed() => { counter.connections.borrow_mut()[index].is_retiring = true; continue }
        };
        match received {
            Ok(0) => return ErrorKind::UnexpectedEof.into(),
            Ok(n) => read.extend_from_slice(&buffer[..n]),
            Err(e) => return e,
        }
        let mut from = 0;
        while let Some(len) = read[from..].iter().position(|b| *b == b'\n') {
            let parsed = parse_answer(&read[from..from + len]);
            // After an invalid answer the later ones can't be matched to calls, so the connection is closed.
            if !parsed.is_some_and(|parsed| counter.handle_answer(index, &parsed, caller)) {
                return ErrorKind::InvalidData.into();
            }
            from += len + 1;
            *wait = BACKOFF.0;
        }
        read.drain(..from);
        if read.len() > MAX_ANSWER_BYTES {
            return ErrorKind::InvalidData.into();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_known_answers_with_finite_totals_are_accepted() {
        assert!(matches!(parse_answer(b"ok 41.5\r"), Some(Answer::Total(t)) if t == 41.5));
        assert!(matches!(parse_answer(b"ok -2"), Some(Answer::Total(t)) if t == -2.0));
        assert!(matches!(parse_answer(b"busy\r"), Some(Answer::NothingAdded)));
        assert!(matches!(parse_answer(b"error no such call\r"), Some(Answer::NothingAdded)));
        assert!(matches!(parse_answer(b"pong\r"), Some(Answer::Pong)));
        // A total that is not a finite number would corrupt the quotas.
        for garbage in ["ok", "ok ", "ok NaN", "ok inf", "ok 1 2", "okay 1", "", "\u{fffd}"] {
            assert!(parse_answer(garbage.as_bytes()).is_none(), "{garbage}");
        }
        assert!(parse_answer(&[0xff, 0xfe]).is_none());
    }
}
