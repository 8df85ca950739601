//! An HTTP/1.1 connection of a simulated client or worker, read by whole messages or incrementally.

use crate::http::{Message, invalid_message};
use std::{fmt::Write as _, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Bytes reserved in the buffer for one read.
const READ_BYTES: usize = 16 << 10;
/// Maximum length of a chunk's size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// How the end of a body is determined, and how much of it remains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The whole body has been read.
    Ended,
}

impl Framing {
    /// Determines the framing of the body that follows a head.
    ///
    /// # Errors
    /// `Content-Length` is not a number.
    pub fn of(head: &Message) -> io::Result<Self> {
        if head.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            return Ok(Self::Chunked);
        }
        match head.header("content-length").map(str::parse) {
            None | Some(Ok(0)) => Ok(Self::Ended),
            Some(Ok(length)) => Ok(Self::Length(length)),
            Some(Err(_)) => Err(invalid_message()),
        }
    }
}

/// A connection and the bytes read from it that were not yet consumed.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    /// Wraps an established connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Avoids Nagle's delay of small writes; if it can't be set, they are only slower.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The connection was refused or not established within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream =
            timeout(limit, TcpStream::connect(address)).await.map_err(|_| io::ErrorKind::TimedOut)?;
        Ok(Self::new(stream?))
    }

    /// Reads a whole message; `None`: the connection ended at a message boundary.
    ///
    /// # Errors
    /// The connection failed, ended within a message, or the bytes are not a valid message.
    pub async fn read_message(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = Message::parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(Some(message));
            }
            let between = self.buffer.is_empty();
            if self.fill().await? == 0 {
                return if between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the head of a message; `None`: the connection ended before it.
    ///
    /// # Errors
    /// As for [`Peer::read_message`].
    pub async fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((head, used)) = Message::parse_head(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(Some(head));
            }
            let between = self.buffer.is_empty();
            if self.fill().await? == 0 {
                return if between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the next part of a body; `None`: the body is complete.
    ///
    /// # Errors
    /// The connection ended within the body, or the framing is invalid.
    pub async fn read_body_part(&mut self, framing: &mut Framing) -> io::Result<Option<Vec<u8>>> {
        match *framing {
            Framing::Ended => Ok(None),
            Framing::Length(left) => {
                self.read_at_least(1).await?;
                let chunk: Vec<u8> = self.buffer.drain(..left.min(self.buffer.len())).collect();
                let left = left - chunk.len();
                *framing = if left == 0 { Framing::Ended } else { Framing::Length(left) };
                Ok(Some(chunk))
            }
            Framing::Chunked => self.read_chunk(framing).await,
        }
    }

    async fn read_chunk(&mut self, framing: &mut Framing) -> io::Result<Option<Vec<u8>>> {
        let line = loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break self.buffer.drain(..end + 2).collect::<Vec<u8>>();
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(invalid_message());
            }
            self.read_at_least(self.buffer.len() + 1).await?;
        };
        let size = std::str::from_utf8(&line).map_err(|_| invalid_message())?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid_message())?;
        self.read_at_least(size + 2).await?;
        let chunk: Vec<u8> = self.buffer.drain(..size).collect();
        let end: Vec<u8> = self.buffer.drain(..2).collect();
        if end != b"\r\n" {
            return Err(invalid_message());
        }
        if size == 0 {
            *framing = Framing::Ended;
            return Ok(None);
        }
        Ok(Some(chunk))
    }

    /// Reads until the buffer contains at least `bytes` bytes.
    async fn read_at_least(&mut self, bytes: usize) -> io::Result<()> {
        while self.buffer.len() < bytes {
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Whether the connection is open and no unsolicited bytes have arrived.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let nothing = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut [0]).is_err_and(|e| nothing(&e))
    }

    /// Waits until the other side closes the connection. Bytes received before that stay in the buffer.
    pub async fn closed(&mut self) {
        while let Ok(1..) = self.fill().await {}
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        // If the option can't be set, the connection is closed normally.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Encodes a request. The body is framed by `Content-Length`.
#[must_use]
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request with a JSON body on a new connection and reads the whole response.
///
/// # Errors
/// No complete response arrived within `limit`.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let exchange = async {
        let mut peer = Peer::connect(address, limit).await?;
        let mut all = vec![("Host", address.to_string()), ("Connection", "close".to_owned())];
        if !body.is_empty() {
            all.push(("Content-Type", "application/json".to_owned()));
        }
        all.extend(headers.iter().cloned());
        peer.write(&request(method, path, &all, body)).await?;
        peer.read_message().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(limit, exchange).await.map_err(|_| io::ErrorKind::TimedOut)?
}
