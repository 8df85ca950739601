//! The body of a request that is sent to a worker.

use super::{FramePoll, Segments, Upload};
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
    /// What is left to send of a complete body.
    Complete(Segments),
    /// A body that the client is still sending, and the write progress in which its end is recorded.
    Streaming(Box<Upload>, Rc<Progress>),
}

impl RequestBody {
    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::Complete(Segments::default())
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        match &mut *self {
            Self::Complete(segments) => {
                let frame = segments.next_frame();
                Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))))
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
        matches!(self, Self::Complete(segments) if segments.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(segments) => SizeHint::with_exact(segments.len() as u64),
            Self::Streaming(upload, _) => upload.size_hint(),
        }
    }
}
