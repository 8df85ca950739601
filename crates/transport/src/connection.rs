//! One HTTP connection to a server, which knows how much of a request has been written to it.
//!
//! The connection has no task of its own: whoever holds it drives it, so dropping it closes the socket at
//! once, and nothing can be sent again behind the holder's back.

use crate::body::RequestBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection as Driver, SendRequest};
use hyper::{Request, Response, http::response::Parts};
use hyper_util::rt::TokioIo;
use std::{
    cell::Cell,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
};

/// Most bytes of a body that is read whole.
const MAX_BODY: usize = 4 << 20;
/// Most bytes that a connection buffers either way, and longest head.
const BUFFER: usize = 16 * 1024;

/// Connects a socket that holds no small writes back. That is set before it connects: bytes that are still held back when
/// a connection is reset go with it.
///
/// # Errors
/// The system's, as it gives them.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_nodelay(true)?;
    socket.connect(addr).await
}

/// How much of the present request has been written to the socket.
#[derive(Debug, Default)]
pub struct Progress {
    /// Bytes of its body; `None`: it goes in chunks.
    body: Cell<Option<u64>>,
    written: Cell<u64>,
    /// Bytes of the head, known from the first write on, which begins with the whole of it.
    head: Cell<Option<u64>>,
    /// The body's last chunk has been made.
    ended: Cell<bool>,
    /// All has been written that there was to write since then.
    flushed: Cell<bool>,
}

impl Progress {
    fn begin(&self, body: Option<u64>) {
        self.body.set(body);
        self.written.set(0);
        self.head.set(None);
        self.ended.set(false);
        self.flushed.set(false);
    }

    /// Whether the last byte has been handed to the socket: the server may have begun.
    #[must_use]
    pub fn is_fully_sent(&self) -> bool {
        match (self.head.get(), self.body.get()) {
            (Some(head), Some(body)) => self.written.get() >= head + body,
            (Some(_), None) => self.flushed.get(),
            (None, _) => false,
        }
    }

    /// Bytes of the request that have been handed to the socket.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// A body in chunks has come to its end: what is written from now on ends with the last chunk.
    pub fn mark_body_ended(&self) {
        self.ended.set(true);
    }

    fn offered(&self, bytes: &[u8]) {
        if self.head.get().is_none() {
            let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
            self.head.set(Some(head as u64));
        }
    }

    fn took(&self, n: usize, offered: usize) {
        self.written.set(self.written.get() + n as u64);
        self.flushed.set(self.ended.get() && n == offered);
    }
}

/// A socket that counts what it takes. It offers no vectored writes, so that hyper hands over the head, and
/// what it has of the body, as one piece.
struct Counted {
    socket: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, to)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        self.progress.offered(from);
        let done = Pin::new(&mut self.socket).poll_write(cx, from);
        if let Poll::Ready(Ok(n)) = done {
            self.progress.took(n, from.len());
        }
        done
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// How an exchange failed, as far as it matters whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written: the connection was dead already.
    Unsent,
    /// The connection broke before the last byte was written; it can't have run.
    Partial,
    /// It broke, or sent what is no answer, after the last byte; it may have run.
    Reset,
}

/// One HTTP/1.1 connection to a server.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    driver: Pin<Box<Driver<TokioIo<Counted>, RequestBody>>>,
    over: bool,
    progress: Rc<Progress>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// The system's, `TimedOut` after the limit, and those of the protocol.
    pub async fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = tokio::time::timeout(limit, connect(addr)).await??;
        let progress = Rc::new(Progress::default());
        let io = TokioIo::new(Counted { socket, progress: progress.clone() });
        let (sender, driver) = Builder::new()
            .max_buf_size(BUFFER)
            .allow_obsolete_multiline_headers_in_responses(true)
            .allow_spaces_after_header_name_in_responses(true)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Self { sender, driver: Box::pin(driver), over: false, progress })
    }

    /// What is known of the request now under way, also once this connection is gone.
    #[must_use]
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Takes in what has happened on the idle connection; whether it can carry a request. `waker` is woken when
    /// more happens while it is idle.
    pub fn ready(&mut self, waker: &Waker) -> bool {
        let mut cx = Context::from_waker(waker);
        !self.over && self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready()
    }

    /// Sends one request and reads its answer's head.
    ///
    /// # Errors
    /// How the exchange failed.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, Failure> {
        self.progress.begin(request.body().size_hint().exact());
        let mut sending = pin!(self.sender.try_send_request(request));
        let (driver, over) = (&mut self.driver, &mut self.over);
        let result = poll_fn(|cx| {
            *over = *over || driver.as_mut().poll(cx).is_ready();
            match sending.as_mut().poll(cx) {
                Poll::Ready(result) => Poll::Ready(result.map_err(|mut e| e.take_message().is_some())),
                Poll::Pending if *over => Poll::Ready(Err(false)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        result.map_err(|handed_back| {
            if self.progress.is_fully_sent() {
                Failure::Reset
            } else if handed_back || self.progress.written.get() == 0 {
                Failure::Unsent
            } else {
                Failure::Partial
            }
        })
    }

    /// The next piece of an answer's body; `None` at its end.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
        loop {
            let mut frame = body.frame();
            let (driver, over) = (&mut self.driver, &mut self.over);
            let frame = poll_fn(|cx| {
                *over = *over || driver.as_mut().poll(cx).is_ready();
                match Pin::new(&mut frame).poll(cx) {
                    Poll::Pending if *over => Poll::Ready(Some(Err(Failure::Reset))),
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(frame) => Poll::Ready(frame.map(|f| f.map_err(|_| Failure::Reset))),
                }
            })
            .await;
            match frame.transpose()?.map(hyper::body::Frame::into_data) {
                None => return Ok(None),
                Some(Ok(data)) => return Ok(Some(data)),
                Some(Err(_trailers)) => {}
            }
        }
    }

    /// Sends one request without a body and reads the complete answer.
    ///
    /// # Errors
    /// How the exchange failed; an answer of over 4 MiB counts as a reset.
    pub async fn exchange(&mut self, request: Request<RequestBody>) -> Result<(Parts, Bytes), Failure> {
        let (parts, mut body) = self.send(request).await?.into_parts();
        Ok((parts, self.read_to_end(&mut body).await?))
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// The connection broke, or the body is longer than 4 MiB.
    pub async fn read_to_end(&mut self, body: &mut Incoming) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.next_chunk(body).await? {
            if whole.len() + data.len() > MAX_BODY {
                return Err(Failure::Reset);
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}
