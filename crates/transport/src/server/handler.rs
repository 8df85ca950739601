//! What answers the requests that the server reads.

use super::Peer;
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
};
use std::{
    any::Any,
    error::Error,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// Answers requests.
pub trait Handler: 'static {
    /// The body of an answer. One that fails closes the connection before the answer's end.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static;

    /// Answers one request. Dropped before it is done, its client has gone.
    fn handle(
        &self,
        request: Request<Incoming>,
        client: Client,
    ) -> impl Future<Output = Response<Self::Body>>;
}

/// Where a request comes from.
pub struct Client {
    /// Its connection.
    pub peer: Rc<Peer>,
    /// The connection counts as busy as long as anybody holds this, such as a body that still comes.
    pub busy_guard: Rc<dyn Any>,
    /// New clients are welcome, by this server.
    pub is_in_service: bool,
}

/// The body of an answer, whose connection counts as busy until it has been written.
pub struct BusyBody<B> {
    pub(super) body: B,
    pub(super) _busy_guard: Rc<dyn Any>,
}

impl<B: Body<Data = Bytes> + Unpin> Body for BusyBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
