//! The body of a request on its way to a worker.

use super::Upload;
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
    Whole(Option<Bytes>),
    Streams(Box<Upload>, Rc<Progress>),
}

impl RequestBody {
    pub fn empty() -> Self {
        Self::Whole(None)
    }
}

impl Body for RequestBody {
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
