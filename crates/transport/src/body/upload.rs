//! A request body that a client is still sending.

use super::{BodyBuffer, DiscardedBody, FramePoll, MAX_BODY_BYTES, UPLOAD_IDLE_TIMEOUT, time_at_min_rate};
use bytes::Bytes;
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
    time::{Sleep, sleep},
};

/// A request body that a client is still sending: the buffered beginning, and the rest as it is received. If it is
/// dropped before its end, the rest is read and discarded.
pub struct Upload {
    pub(super) buffer: BodyBuffer,
    /// Bytes received so far.
    pub(super) received: u64,
    /// Bytes still to be received, if the length is known.
    pub(super) remaining: Option<u64>,
    /// The part that has not been received; `None` at the body's end or after a failure.
    pub(super) rest: Option<Incoming>,
    /// Called once the last byte has been received.
    pub(super) on_end: Option<Box<dyn FnOnce()>>,
    pub(super) discards: mpsc::UnboundedSender<DiscardedBody>,
    pub(super) guard: Rc<dyn Any>,
    /// How long the reader may wait for the client in all, in addition to the time that the received bytes take at the
    /// minimum rate.
    pub(super) grace: Duration,
    /// Duration of all finished waits for the client.
    pub(super) total_wait: Duration,
    /// The current wait for the client.
    pub(super) wait: Option<Wait>,
}

/// A reader's wait for the client.
pub(super) struct Wait {
    since: Instant,
    timeout: Pin<Box<Sleep>>,
}

impl Upload {
    /// Sets a function that is called once the last byte has been received.
    pub fn on_end(&mut self, callback: impl FnOnce() + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    fn end(&mut self) {
        self.rest = None;
        if let Some(callback) = self.on_end.take() {
            callback();
        }
    }

    /// Waits for the client, until its time-out. Only the time in which the reader waits counts, so that a slow worker
    /// does not use up the client's time.
    fn poll_wait(&mut self, cx: &mut Context<'_>) -> FramePoll {
        let allowed = self.grace + time_at_min_rate(self.received);
        let limit = allowed.saturating_sub(self.total_wait).min(UPLOAD_IDLE_TIMEOUT);
        let wait =
            self.wait.get_or_insert_with(|| Wait { since: Instant::now(), timeout: Box::pin(sleep(limit)) });
        match wait.timeout.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(ErrorKind::TimedOut.into()))),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Counts received data. Fails if the body is longer than [`MAX_BODY_BYTES`].
    fn count(&mut self, data: &Bytes) -> io::Result<()> {
        self.received += data.len() as u64;
        if self.received > MAX_BODY_BYTES {
            return Err(ErrorKind::FileTooLarge.into());
        }
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(data.len() as u64);
            if *remaining == 0 {
                self.end();
            }
        }
        Ok(())
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(chunk) = self.buffer.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        loop {
            let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
            let Poll::Ready(frame) = Pin::new(rest).poll_frame(cx) else {
                return self.poll_wait(cx);
            };
            if let Some(wait) = self.wait.take() {
                self.total_wait += wait.since.elapsed();
            }
            match frame {
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.rest = None;
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Some(Ok(frame)) => {
                    // Trailers are not part of the body.
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(self.count(&data).map(|()| Frame::data(data))));
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        let exact = self.remaining.map(|remaining| remaining + self.buffer.len());
        exact.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if let Some(body) = self.rest.take() {
            // The receiver is dropped only when the process ends.
            let _ = self.discards.send(DiscardedBody { body, guard: self.guard.clone() });
        }
    }
}
