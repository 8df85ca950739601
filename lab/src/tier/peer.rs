//! One TCP connection of a stand-in, read as HTTP/1.1, whole or piece by piece.

use crate::http::{Message, invalid_message};
use std::{fmt::Write as _, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Bytes read at a time.
const READ_BYTES: usize = 16 << 10;
/// Longest line that begins a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// How the end of a body is known, and how much of it is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// All has been read.
    Ended,
}

impl Framing {
    /// That of the body after a head.
    ///
    /// # Errors
    /// The head states a length that is no number.
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

/// A connection and what has been read of it.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    /// Takes a connection that is up.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Without it small writes wait for each other; where it can't be set they are only slower.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// It was refused, or is not up in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream =
            timeout(limit, TcpStream::connect(address)).await.map_err(|_| io::ErrorKind::TimedOut)?;
        Ok(Self::new(stream?))
    }

    /// Reads a whole message; `None`: the connection ended between two.
    ///
    /// # Errors
    /// It broke, ended within a message, or what came is none.
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

    /// Reads a head; `None`: the connection ended before it.
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

    /// Reads the next piece of a body; `None`: it ended as it should.
    ///
    /// # Errors
    /// The connection ended before that, or the framing is wrong.
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

    /// Reads until the buffer holds so many bytes.
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

    /// Whether the connection is up and nothing has come that nobody asked for.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let nothing = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut [0]).is_err_and(|e| nothing(&e))
    }

    /// Waits until the other side ends the connection. What it sends before that stays in the buffer.
    pub async fn closed(&mut self) {
        while let Ok(1..) = self.fill().await {}
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        // Where it can't be set the connection is closed instead of reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A request's bytes. A body is sent with its length.
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

/// Sends one request with a JSON body on a connection of its own, and reads the answer whole.
///
/// # Errors
/// No whole answer came in time.
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
