//! The body of a response that is sent to a client.

use super::{BodyBuffer, FramePoll};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// A part of a response that follows its buffered beginning.
pub enum Chunk {
    /// The next bytes of the body.
    Data(Bytes),
    /// The end of the body. If the sender is dropped before this, the response is truncated.
    End,
}

/// The body of a response that is sent to a client.
pub struct ResponseBody {
    buffer: Option<BodyBuffer>,
    rest: Option<mpsc::Receiver<Chunk>>,
    /// Bytes still to be sent, if the length is known.
    remaining: Option<u64>,
    /// The worker's response ended before its end.
    is_truncated: bool,
}

impl ResponseBody {
    /// Creates a body that is completely buffered.
    #[must_use]
    pub fn complete(buffer: BodyBuffer) -> Self {
        let remaining = Some(buffer.len());
        Self { buffer: Some(buffer), rest: None, remaining, is_truncated: false }
    }

    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self { buffer: None, rest: None, remaining: Some(0), is_truncated: false }
    }

    /// Creates a body that consists of `buffer` and the chunks of `rest`, with `length` bytes in all, if that is known.
    #[must_use]
    pub fn streaming(buffer: BodyBuffer, rest: mpsc::Receiver<Chunk>, length: Option<u64>) -> Self {
        Self { buffer: Some(buffer), rest: Some(rest), remaining: length, is_truncated: false }
    }

    /// Polls for the next data; `None` at the body's end.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(chunk) = self.buffer.as_mut().and_then(|buffer| buffer.chunks.pop_front()) {
            return Poll::Ready(Some(Ok(chunk)));
        }
        self.buffer = None;
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        match std::task::ready!(rest.poll_recv(cx)) {
            Some(Chunk::Data(data)) => Poll::Ready(Some(Ok(data))),
            Some(Chunk::End) => {
                self.rest = None;
                Poll::Ready(None)
            }
            // Lets the head and the data so far be written first. Otherwise the connection would close without any
            // response to the client.
            None if !self.is_truncated => {
                self.is_truncated = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            // The client recognises by the framing that the response is incomplete.
            None => Poll::Ready(Some(Err(ErrorKind::UnexpectedEof.into()))),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let data = match std::task::ready!(self.poll_data(cx)) {
            None => return Poll::Ready(None),
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            Some(Ok(data)) => data,
        };
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(data.len() as u64);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_none() && self.buffer.as_ref().is_none_or(|buffer| buffer.chunks.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
