//! A minimal HTTP/1.1 client and request reader over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response that was read completely.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }
}

/// Reads the head of a message; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return if message.start.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to `head`. `until_end`: without a length it ends with the connection.
pub fn read_body(reader: &mut impl BufRead, head: &Message, until_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.content_length() {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Formats a request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let left = limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    stream.write_all(&request(method, path, headers, body))?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    answer.body = read_body(&mut reader, &answer, true)?;
    Ok(answer)
}
