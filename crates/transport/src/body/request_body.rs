//! The body of a request on its way to a worker.

use super::{FramePoll, Upload};
use crate::connection::Progress;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// A request's body as a worker gets it.
pub enum RequestBody {
    /// All of it, until it has been given.
    Complete(Option<Bytes>),
    /// A body that a client is still sending; the progress is marked at its end.
    Streaming(Box<Upload>, Rc<Progress>),
}

impl RequestBody {
    /// No body.
    #[must_use]
    pub fn empty() -> Self {
        Self::Complete(None)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        match &mut *self {
            Self::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streaming(upload, progress) => {
                let frame = Pin::new(upload).poll_frame(cx);
                if matches!(frame, Poll::Ready(None)) {
                    progress.mark_body_ended();
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streaming(upload, _) => upload.size_hint(),
        }
    }
}
