//! The body of a request that is sent to a worker.

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

/// The body of a request that is sent to a worker.
pub enum RequestBody {
    /// The complete body; `None` if it is empty or has been sent.
    Complete(Option<Bytes>),
    /// A body that the client is still sending, and the write progress in which its end is recorded.
    Streaming(Box<Upload>, Rc<Progress>),
}

impl RequestBody {
    /// Creates an empty body.
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
