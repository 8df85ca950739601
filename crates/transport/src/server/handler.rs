//! The interface of request handlers.

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
    /// The body of a response. If it fails, the connection is closed before the response's end.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static;

    /// Answers one request. The future is dropped early if the client closes its connection.
    fn handle(
        &self,
        request: Request<Incoming>,
        client: Client,
    ) -> impl Future<Output = Response<Self::Body>>;
}

/// The client that sent a request.
pub struct Client {
    /// The client's connection.
    pub peer: Rc<Peer>,
    /// Keeps the connection counted as busy until all clones are dropped, for example by a body that is still being
    /// received.
    pub busy_guard: Rc<dyn Any>,
    /// Whether the load balancer may send new clients to this server.
    pub is_in_service: bool,
}

/// The body of a response. Its connection counts as busy until the body is dropped.
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
