//! A client's socket, and the detection that the client has closed it.

use super::peer::Peer;
use socket2::SockRef;
use std::{
    cell::RefCell,
    future::{Future, poll_fn},
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// Interval at which a socket with unread bytes is checked for whether the client has closed it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client's socket that records reads and writes in the state of its connection.
pub struct WatchedSocket {
    pub socket: Rc<RefCell<TcpStream>>,
    pub peer: Rc<Peer>,
}

/// Whether the client has closed the connection or its sending direction, and all bytes before that have been read. To
/// be called by the task that serves the connection.
pub async fn is_closed_by_client(socket: &RefCell<TcpStream>) -> bool {
    let is_read_closed = poll_fn(|cx| {
        let socket = socket.borrow();
        let ready = pin!(socket.ready(Interest::READABLE)).poll(cx);
        Poll::Ready(matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed()))
    });
    // A new socket may be read before the runtime has received its readiness events, so the socket itself is checked
    // too.
    is_read_closed.await || is_at_eof(&socket.borrow())
}

/// Whether the next read would return the end of the stream.
fn is_at_eof(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(socket).peek(&mut byte).is_ok_and(|read| read == 0)
}

impl AsyncRead for WatchedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.peer.record_read();
        }
        result
    }
}

impl AsyncWrite for WatchedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, data);
        self.peer.record_write(&result);
        result
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, data);
        self.peer.record_write(&result);
        result
    }
    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

/// Waits until the client closes the connection or its sending direction while a request is active. The HTTP server
/// would notice that only after reading all bytes before, and it does not read beyond the active request. To be polled
/// by the task that serves the connection, after the connection itself.
pub async fn client_closed(socket: &RefCell<TcpStream>, peer: &Peer) {
    loop {
        let closed = poll_fn(|cx| {
            // Requests become active in this task only, which then polls this future again.
            if !peer.busy() || socket.borrow().poll_read_ready(cx).is_pending() {
                return Poll::Pending;
            }
            let socket = socket.borrow();
            let ready = pin!(socket.ready(Interest::READABLE)).poll(cx);
            Poll::Ready(!matches!(ready, Poll::Ready(Ok(ready)) if !ready.is_read_closed()))
        });
        if closed.await {
            return;
        }
        // Unread bytes keep the socket readable, so no event announces that the client closes it after them.
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}
