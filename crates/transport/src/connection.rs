//! A client connection over HTTP/1.1 that tracks how much of the current request has been written to the socket.
//!
//! The connection has no task of its own: its owner polls it. Dropping it therefore closes the socket at once, and
//! nothing is sent or retried unless the owner asks for it.

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

/// Longest body that [`Connection::read_to_end`] accepts, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest read or write buffer of a connection, and thereby the longest response head, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Connects a TCP socket with `TCP_NODELAY`. The option is set before connecting, since bytes that Nagle's algorithm
/// still delays are lost when the connection is reset.
///
/// # Errors
/// The error of the system call that failed.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_nodelay(true)?;
    socket.connect(addr).await
}

/// How much of the current request has been written to the socket.
#[derive(Debug, Default)]
pub struct Progress {
    /// Length of the request's body in bytes; `None` with chunked transfer encoding.
    body_length: Cell<Option<u64>>,
    /// Bytes of head and body that the socket has accepted.
    written: Cell<u64>,
    /// Length of the request's head in bytes; `None` before the first write, which contains the complete head.
    head_length: Cell<Option<u64>>,
    /// Whether the body has produced its last frame.
    body_ended: Cell<bool>,
    /// Whether the socket accepted all offered bytes in a write after the body's end.
    flushed: Cell<bool>,
}

impl Progress {
    fn reset(&self, body_length: Option<u64>) {
        self.body_length.set(body_length);
        self.written.set(0);
        self.head_length.set(None);
        self.body_ended.set(false);
        self.flushed.set(false);
    }

    /// Whether the socket has accepted the last byte of the request, so that the server may have executed it.
    #[must_use]
    pub fn is_fully_sent(&self) -> bool {
        match (self.head_length.get(), self.body_length.get()) {
            (Some(head), Some(body)) => self.written.get() >= head + body,
            (Some(_), None) => self.flushed.get(),
            (None, _) => false,
        }
    }

    /// Returns the bytes of head and body that the socket has accepted.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Records that a chunked body has ended: the next complete write contains the last chunk.
    pub fn mark_body_ended(&self) {
        self.body_ended.set(true);
    }

    fn record_offered(&self, bytes: &[u8]) {
        if self.head_length.get().is_none() {
            let head = bytes
                .windows(4)
                .position(|window| window == b"\r\n\r\n")
                .map_or(bytes.len(), |position| position + 4);
            self.head_length.set(Some(head as u64));
        }
    }

    fn record_written(&self, n: usize, offered: usize) {
        self.written.set(self.written.get() + n as u64);
        self.flushed.set(self.body_ended.get() && n == offered);
    }
}

/// A socket that counts the bytes it accepts. It does not support vectored writes, so that hyper passes the head and
/// the available part of the body in one buffer.
struct CountingStream {
    socket: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.progress.record_offered(data);
        let result = Pin::new(&mut self.socket).poll_write(cx, data);
        if let Poll::Ready(Ok(n)) = result {
            self.progress.record_written(n, data.len());
        }
        result
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// How an exchange failed. The variants tell whether the server may have executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte was written, since the connection was already closed. The server has not executed the request.
    Unsent,
    /// The connection failed before the last byte was written. The server cannot have executed the request.
    Partial,
    /// The connection failed, or the server sent an invalid response, after the last byte was written. The server may
    /// have executed the request.
    Reset,
}

/// An HTTP/1.1 connection to a server.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    driver: Pin<Box<Driver<TokioIo<CountingStream>, RequestBody>>>,
    driver_finished: bool,
    progress: Rc<Progress>,
}

impl Connection {
    /// Connects within `timeout`.
    ///
    /// # Errors
    /// The error of the system, `TimedOut` after `timeout`, or an error of the HTTP handshake.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let socket = tokio::time::timeout(timeout, connect(addr)).await??;
        let progress = Rc::new(Progress::default());
        let io = TokioIo::new(CountingStream { socket, progress: progress.clone() });
        let (sender, driver) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .allow_obsolete_multiline_headers_in_responses(true)
            .allow_spaces_after_header_name_in_responses(true)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        Ok(Self { sender, driver: Box::pin(driver), driver_finished: false, progress })
    }

    /// Returns the write progress of the current request. It stays readable after the connection is dropped.
    #[must_use]
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Polls an idle connection and returns whether it can carry a request. Wakes `waker` on later events of the
    /// socket, until the connection is used.
    pub fn ready(&mut self, waker: &Waker) -> bool {
        let mut cx = Context::from_waker(waker);
        !self.driver_finished && self.driver.as_mut().poll(&mut cx).is_pending() && self.sender.is_ready()
    }

    /// Sends a request and reads the head of its response.
    ///
    /// # Errors
    /// The [`Failure`], which tells whether the server may have executed the request.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, Failure> {
        self.progress.reset(request.body().size_hint().exact());
        let mut response = pin!(self.sender.try_send_request(request));
        let (driver, driver_finished) = (&mut self.driver, &mut self.driver_finished);
        let result = poll_fn(|cx| {
            *driver_finished = *driver_finished || driver.as_mut().poll(cx).is_ready();
            match response.as_mut().poll(cx) {
                Poll::Ready(result) => Poll::Ready(result.map_err(|mut e| e.take_message().is_some())),
                Poll::Pending if *driver_finished => Poll::Ready(Err(false)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await;
        result.map_err(|returned_unsent| {
            if self.progress.is_fully_sent() {
                Failure::Reset
            } else if returned_unsent || self.progress.written.get() == 0 {
                Failure::Unsent
            } else {
                Failure::Partial
            }
        })
    }

    /// Reads the next chunk of a response's body; `None` at its end. Trailers are skipped.
    ///
    /// # Errors
    /// [`Failure::Reset`] if the connection fails.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
        loop {
            let mut frame = body.frame();
            let (driver, driver_finished) = (&mut self.driver, &mut self.driver_finished);
            let frame = poll_fn(|cx| {
                *driver_finished = *driver_finished || driver.as_mut().poll(cx).is_ready();
                match Pin::new(&mut frame).poll(cx) {
                    Poll::Pending if *driver_finished => Poll::Ready(Some(Err(Failure::Reset))),
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(|_| Failure::Reset))),
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

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// The [`Failure`], which tells whether the server may have executed the request. A response body of more than 4
    /// MiB gives [`Failure::Reset`].
    pub async fn exchange(&mut self, request: Request<RequestBody>) -> Result<(Parts, Bytes), Failure> {
        let (parts, mut body) = self.send(request).await?.into_parts();
        Ok((parts, self.read_to_end(&mut body).await?))
    }

    /// Reads a response's body to its end.
    ///
    /// # Errors
    /// [`Failure::Reset`] if the connection fails or the body is longer than 4 MiB.
    pub async fn read_to_end(&mut self, body: &mut Incoming) -> Result<Bytes, Failure> {
        let mut bytes = BytesMut::new();
        while let Some(data) = self.next_chunk(body).await? {
            if bytes.len() + data.len() > MAX_BODY_BYTES {
                return Err(Failure::Reset);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
