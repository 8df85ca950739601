//! Opening and accepting connections.

use crate::{
    error::{BindSnafu, ConnectSnafu, IoSnafu, NetError},
    reader::FrameReader,
    socket,
    writer::FrameWriter,
};
use snafu::ResultExt;
use socket2::SockRef;
use std::{net::SocketAddr, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections from other processes.
pub struct Listener {
    inner: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Listens on an address; with port 0 the system chooses a free one.
    ///
    /// # Errors
    /// [`NetError::Bind`] if the address can't be listened on.
    #[allow(clippy::unused_async)]
    pub async fn bind(address: SocketAddr) -> Result<Self, NetError> {
        let inner = socket::listen(address).context(BindSnafu { address })?;
        let address = inner.local_addr().context(BindSnafu { address })?;
        Ok(Self { inner, address })
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    /// [`NetError::Io`] if accepting fails, for example for lack of file descriptors. The caller should back off before
    /// the next attempt.
    pub async fn accept(&self) -> Result<Connection, NetError> {
        let (stream, peer) = self.inner.accept().await.context(IoSnafu)?;
        socket::set_options(&SockRef::from(&stream)).context(IoSnafu)?;
        Ok(Connection { stream, peer })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }
}

/// Connects to another process.
///
/// # Errors
/// [`NetError::Connect`] if connecting fails, [`NetError::ConnectTimedOut`] if it takes longer than `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, NetError> {
    let connecting = tokio::time::timeout(timeout, socket::connect(address));
    let stream = connecting.await.map_err(|_| NetError::ConnectTimedOut { address })?;
    let stream = stream.context(ConnectSnafu { address })?;
    Ok(Connection { stream, peer: address })
}

/// A connection that carries frames. Each side first sends its protocol version, without waiting for the other's.
pub struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
}

impl Connection {
    /// Returns the address of the other side.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Splits the connection into its two directions. It ends once the writer and all its clones are dropped, or when
    /// [`FrameWriter::close`] is called.
    #[must_use]
    pub fn split(self) -> (FrameReader, FrameWriter) {
        let (read_half, write_half) = self.stream.into_split();
        let writer = FrameWriter::start(write_half);
        (FrameReader::new(read_half, writer.state()), writer)
    }
}
