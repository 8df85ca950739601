//! Bodies on their way through: gathered whole while they are short, passed on in pieces when they are not.

use crate::link::Progress;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    any::Any,
    cell::Cell,
    collections::VecDeque,
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use tokio::{
    sync::mpsc,
    time::{Sleep, sleep, timeout_at},
};

/// Most bytes of a body that are gathered, either way: a longer one streams.
pub const GATHERED: usize = 64 * 1024;
/// Most bytes of a request's body.
pub const LONGEST: u64 = 32 << 20;
/// A client that sends a body sends so many bytes a second at least ...
const SLOWEST: f64 = 24.0 * 1024.0;
/// ... and never keeps a reader waiting for longer than this.
const SILENT: Duration = Duration::from_secs(2);

/// What the process may gather of all bodies together, in bytes.
#[derive(Clone)]
pub struct Pool(Rc<Cell<usize>>);

impl Pool {
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }
}

/// Bytes gathered, on the pool's account.
pub struct Gathered {
    pool: Pool,
    taken: usize,
    parts: VecDeque<Bytes>,
}

impl Gathered {
    pub fn new(pool: &Pool) -> Self {
        Self { pool: pool.clone(), taken: 0, parts: VecDeque::new() }
    }

    /// Whether so many more bytes may be gathered.
    pub fn fits(&self, more: usize) -> bool {
        self.taken + more <= GATHERED && more <= self.pool.0.get()
    }

    /// Takes a piece in, also one that does not fit: that is the last, and what follows streams.
    pub fn push(&mut self, part: Bytes) {
        let taken = part.len().min(self.pool.0.get());
        self.pool.0.set(self.pool.0.get() - taken);
        self.taken += taken;
        self.parts.push_back(part);
    }

    pub fn len(&self) -> u64 {
        self.parts.iter().map(|p| p.len() as u64).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    /// All of it as one piece from now on, which is cheap to send more than once.
    fn join(&mut self) {
        if self.parts.len() > 1 {
            let mut whole = BytesMut::with_capacity(self.len() as usize);
            self.parts.drain(..).for_each(|p| whole.extend_from_slice(&p));
            self.parts.push_back(whole.freeze());
        }
    }

    /// What has been joined.
    pub fn whole(&self) -> Bytes {
        self.parts.front().cloned().unwrap_or_default()
    }
}

impl Drop for Gathered {
    fn drop(&mut self) {
        self.pool.0.set(self.pool.0.get() + self.taken);
    }
}

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    TooLong,
    TooSlow,
    Broken,
}

/// A request's body, gathered as far as it may be.
pub enum Request {
    Whole(Gathered),
    Streams(Upload),
}

/// A body that nobody wants any more, and what is held until it has come to its end.
pub type Unwanted = (Incoming, Rc<dyn Any>);

/// Reads a request's body, for `grace` and as long as its bytes may take at the slowest.
pub async fn gather(
    mut body: Incoming,
    pool: &Pool,
    grace: Duration,
    drains: &mpsc::UnboundedSender<Unwanted>,
    held: Rc<dyn Any>,
) -> Result<Request, Unread> {
    if body.size_hint().lower() > LONGEST {
        return Err(Unread::TooLong);
    }
    let declared = body.size_hint().exact();
    let (start, mut seen, mut gathered) = (Instant::now(), 0, Gathered::new(pool));
    // One that is known not to fit need not be waited for.
    while declared.is_none_or(|n| gathered.fits((n - seen) as usize)) && gathered.fits(1) {
        let until = start + grace + at_slowest(seen);
        let frame = timeout_at(until.into(), body.frame()).await.map_err(|_| Unread::TooSlow)?;
        let Some(frame) = frame else {
            gathered.join();
            return Ok(Request::Whole(gathered));
        };
        // Trailers are no part of the body.
        if let Ok(data) = frame.map_err(|_| Unread::Broken)?.into_data() {
            seen += data.len() as u64;
            gathered.push(data);
        }
    }
    let left = declared.map(|n| n - seen);
    if left == Some(0) {
        // It fills the gathering to the byte: nothing is left that could tell its end.
        gathered.join();
        return Ok(Request::Whole(gathered));
    }
    let (rest, ended, drains, waited) = (Some(body), None, drains.clone(), start.elapsed());
    Ok(Request::Streams(Upload {
        gathered,
        seen,
        left,
        rest,
        ended,
        drains,
        held,
        grace,
        waited,
        wait: None,
    }))
}

/// How long so many bytes may take.
fn at_slowest(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / SLOWEST)
}

/// A body that a client is still sending: what was gathered of it, and the rest as it comes.
pub struct Upload {
    gathered: Gathered,
    seen: u64,
    /// Bytes still to come, where that is known.
    left: Option<u64>,
    rest: Option<Incoming>,
    /// Told once the last byte has come.
    ended: Option<Box<dyn FnOnce()>>,
    drains: mpsc::UnboundedSender<Unwanted>,
    held: Rc<dyn Any>,
    /// How long the reader may wait for the client, beside the time of its bytes, and has waited.
    grace: Duration,
    waited: Duration,
    /// Since when it waits now, and until when it may.
    wait: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Upload {
    pub fn on_end(&mut self, told: impl FnOnce() + 'static) {
        self.ended = Some(Box::new(told));
    }

    fn end(&mut self) {
        self.rest = None;
        if let Some(told) = self.ended.take() {
            told();
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(part) = self.gathered.parts.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        loop {
            let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
            let Poll::Ready(frame) = Pin::new(rest).poll_frame(cx) else {
                // Only while the reader waits: a slow worker is not the client's fault.
                let most = (self.grace + at_slowest(self.seen)).saturating_sub(self.waited).min(SILENT);
                let (_, end) = self.wait.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(most))));
                let silent = end.as_mut().poll(cx).is_ready();
                return if silent {
                    Poll::Ready(Some(Err(ErrorKind::TimedOut.into())))
                } else {
                    Poll::Pending
                };
            };
            if let Some((since, _)) = self.wait.take() {
                self.waited += since.elapsed();
            }
            let frame = match frame {
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.rest = None;
                    return Poll::Ready(Some(Err(io::Error::other(e))));
                }
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.seen += data.len() as u64;
            if self.seen > LONGEST {
                return Poll::Ready(Some(Err(ErrorKind::FileTooLarge.into())));
            }
            if let Some(left) = &mut self.left {
                *left = left.saturating_sub(data.len() as u64);
                if *left == 0 {
                    self.end();
                }
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, |left| SizeHint::with_exact(left + self.gathered.len()))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        // What its client still sends is read and passed over, so that it gets to read its answer.
        if let Some(rest) = self.rest.take() {
            let _ = self.drains.send((rest, self.held.clone()));
        }
    }
}

/// Reads to their ends, for good, bodies that nobody wants any more.
pub async fn drain(mut bodies: mpsc::UnboundedReceiver<Unwanted>) {
    while let Some((mut body, held)) = bodies.recv().await {
        tokio::task::spawn_local(async move {
            let (start, mut seen) = (Instant::now(), 0);
            loop {
                let until = start + SILENT + at_slowest(seen);
                let Ok(Some(Ok(frame))) = timeout_at(until.into(), body.frame()).await else { break };
                seen += frame.data_ref().map_or(0, |d| d.len() as u64);
                if seen > LONGEST {
                    break;
                }
            }
            drop(held);
        });
    }
}

/// A request's body as a worker gets it.
pub enum Sent {
    Whole(Option<Bytes>),
    Streams(Box<Upload>, Rc<Progress>),
}

impl Sent {
    pub fn empty() -> Self {
        Self::Whole(None)
    }
}

impl Body for Sent {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            Self::Streams(upload, progress) => {
                let frame = Pin::new(upload).poll_frame(cx);
                if matches!(frame, Poll::Ready(None)) {
                    progress.end();
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Streams(upload, _) => upload.size_hint(),
        }
    }
}

/// How an answer goes on that is given to its client in pieces.
#[derive(Debug)]
pub struct Passing {
    /// Bytes that it may bring yet and still be a short one, which is due whole; `None`: it is a long one.
    short: Cell<Option<usize>>,
    /// Since when its worker is waited for; `None`: its client is.
    waits: Cell<Option<Instant>>,
}

impl Passing {
    /// `length` bytes in all, where that is known, of which `seen` have come, the last at `last`.
    pub fn new(length: Option<u64>, seen: usize, last: Instant) -> Self {
        let short = length.is_none_or(|n| n <= GATHERED as u64);
        let short = short.then_some(GATHERED).and_then(|most| most.checked_sub(seen));
        Self { short: Cell::new(short), waits: Cell::new(Some(last)) }
    }

    /// The client has taken what came: the worker is waited for from now on.
    pub fn taken(&self) {
        self.waits.set(Some(Instant::now()));
    }

    /// The worker has given so many bytes more.
    pub fn gave(&self, bytes: usize) {
        self.waits.set(None);
        self.short.set(self.short.get().and_then(|most| most.checked_sub(bytes)));
    }

    /// How long a short answer has been waiting for its worker by now; `None`: it is a long one.
    pub fn stalled(&self) -> Option<Duration> {
        self.short.get()?;
        Some(self.waits.get().map_or(Duration::ZERO, |since| since.elapsed()))
    }
}

/// What comes after the beginning of a long answer.
pub enum Piece {
    Data(Bytes),
    /// That was all: without this the answer has broken off.
    End,
}

/// An answer's body as a client gets it.
pub struct Answer {
    gathered: Option<Gathered>,
    rest: Option<mpsc::Receiver<Piece>>,
    left: Option<u64>,
    /// It has broken off.
    broken: bool,
    /// Dropped once all has been given, or the client has gone.
    _held: Option<Rc<dyn Any>>,
}

impl Answer {
    pub fn whole(gathered: Gathered) -> Self {
        let left = Some(gathered.len());
        Self { gathered: Some(gathered), rest: None, left, broken: false, _held: None }
    }

    pub fn empty() -> Self {
        Self { gathered: None, rest: None, left: Some(0), broken: false, _held: None }
    }

    /// `gathered` and then the pieces; `length` bytes in all, where that is known.
    pub fn streams(gathered: Gathered, rest: mpsc::Receiver<Piece>, length: Option<u64>) -> Self {
        Self { gathered: Some(gathered), rest: Some(rest), left: length, broken: false, _held: None }
    }

    pub fn hold(&mut self, held: Rc<dyn Any>) {
        self._held = Some(held);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let data = match self.gathered.as_mut().and_then(|g| g.parts.pop_front()) {
            Some(data) => data,
            None => {
                self.gathered = None;
                let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
                match std::task::ready!(rest.poll_recv(cx)) {
                    Some(Piece::Data(data)) => data,
                    Some(Piece::End) => {
                        self.rest = None;
                        return Poll::Ready(None);
                    }
                    // What has come of it goes out first, head and all: else its client would see a connection that
                    // closes on its request without a word.
                    None if !self.broken => {
                        self.broken = true;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    // The client can tell by the framing that it is not whole.
                    None => return Poll::Ready(Some(Err(ErrorKind::UnexpectedEof.into()))),
                }
            }
        };
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(data.len() as u64);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.gathered.as_ref().is_none_or(|g| g.parts.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_short_answer_has_waited_for_its_worker_since_its_last_byte_and_a_long_one_may() {
        let before = |ms| Instant::now() - Duration::from_millis(ms);
        let short = Passing::new(None, 4, before(120));
        assert!(short.stalled() >= Some(Duration::from_millis(120)), "also before it was passed on");
        short.gave(GATHERED - 4);
        assert_eq!(short.stalled(), Some(Duration::ZERO), "its client is waited for");
        short.taken();
        assert!(short.stalled().is_some(), "64 KiB may be all of it");
        short.gave(1);
        assert_eq!(short.stalled(), None, "it is a long one");
        assert_eq!(Passing::new(Some(GATHERED as u64 + 1), 4, before(120)).stalled(), None);
    }
}
