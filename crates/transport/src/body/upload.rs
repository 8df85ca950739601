//! The bodies of requests as clients send them.

use super::{Gathered, LONGEST, MemoryBudget, SILENT, SLOWEST};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::{
    any::Any,
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

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
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
    pool: &MemoryBudget,
    grace: Duration,
    drains: &mpsc::UnboundedSender<Unwanted>,
    held: Rc<dyn Any>,
) -> Result<Request, BodyError> {
    if body.size_hint().lower() > LONGEST {
        return Err(BodyError::TooLong);
    }
    let declared = body.size_hint().exact();
    let (start, mut seen, mut gathered) = (Instant::now(), 0, Gathered::new(pool));
    // One that is known not to fit need not be waited for.
    while declared.is_none_or(|n| gathered.fits((n - seen) as usize)) && gathered.fits(1) {
        let until = start + grace + at_slowest(seen);
        let frame = timeout_at(until.into(), body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else {
            gathered.join();
            return Ok(Request::Whole(gathered));
        };
        // Trailers are no part of the body.
        if let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() {
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
