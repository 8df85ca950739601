//! The body of an answer on its way to a client.

use super::Gathered;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    any::Any,
    io::{self, ErrorKind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// What comes after the beginning of a long answer.
pub enum Piece {
    Data(Bytes),
    /// That was all: without this the answer has broken off.
    End,
}

/// An answer's body as a client gets it.
pub struct ResponseBody {
    gathered: Option<Gathered>,
    rest: Option<mpsc::Receiver<Piece>>,
    left: Option<u64>,
    /// It has broken off.
    broken: bool,
    /// Dropped once all has been given, or the client has gone.
    _held: Option<Rc<dyn Any>>,
}

impl ResponseBody {
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

impl Body for ResponseBody {
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
