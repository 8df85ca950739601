//! The subset of HTTP/1.1 that the gateways' protocol uses: a head, then a body with `Content-Length` or in chunks.

use crate::link::Connection;
use std::io;

/// Greatest length of a head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Greatest length of a body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A request or a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Start line.
    pub line: String,
    /// Header fields, with names in lower case.
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header field with the name, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and path of a request.
    #[must_use]
    pub fn target(&self) -> (&str, &str) {
        let mut fields = self.line.split(' ');
        (fields.next().unwrap_or(""), fields.next().unwrap_or(""))
    }

    /// Whether its sender closes the connection after it.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    /// Parses the head alone and returns it with its length in bytes; `None` if it is incomplete.
    pub(crate) fn parse_head(bytes: &[u8]) -> Result<Option<(Self, usize)>, io::Error> {
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if bytes.len() > MAX_HEAD_BYTES { Err(invalid_message()) } else { Ok(None) };
        };
        let head = std::str::from_utf8(&bytes[..end]).map_err(|_| invalid_message())?;
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let header = |l: &str| {
            let (name, value) = l.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers = lines.map(header).collect::<Option<Vec<_>>>().ok_or_else(invalid_message)?;
        Ok(Some((Self { line, headers, body: Vec::new() }, end + 4)))
    }

    /// Parses a whole message and returns it with its length in bytes; `None` if it is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, io::Error> {
        let Some((mut message, head)) = Self::parse_head(bytes)? else { return Ok(None) };
        if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let Some((body, used)) = parse_chunks(&bytes[head..])? else { return Ok(None) };
            message.body = body;
            return Ok(Some((message, head + used)));
        }
        let length = match message.header("content-length") {
            Some(text) => text.parse::<usize>().map_err(|_| invalid_message())?,
            None => 0,
        };
        if length > MAX_BODY_BYTES {
            return Err(invalid_message());
        }
        let total = head + length;
        if bytes.len() < total {
            return Ok(None);
        }
        message.body = bytes[head..total].to_vec();
        Ok(Some((message, total)))
    }
}

/// Parses a body in chunks and returns it with its encoded length in bytes; `None` if it is incomplete.
fn parse_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, io::Error> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(line) = bytes[at..].windows(2).position(|w| w == b"\r\n") else {
            return if bytes.len() - at > MAX_HEAD_BYTES { Err(invalid_message()) } else { Ok(None) };
        };
        let size = std::str::from_utf8(&bytes[at..at + line]).map_err(|_| invalid_message())?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid_message())?;
        if size > MAX_BODY_BYTES || body.len() + size > MAX_BODY_BYTES {
            return Err(invalid_message());
        }
        let (from, to) = (at + line + 2, at + line + 2 + size);
        match bytes.get(to..to + 2) {
            None => return Ok(None),
            Some(b"\r\n") => body.extend_from_slice(&bytes[from..to]),
            Some(_) => return Err(invalid_message()),
        }
        at = to + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Encodes the head of a successful response in chunks, and its first chunk.
#[must_use]
pub fn first_chunk(part: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(part);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes the head of a successful response with `Content-Length`, and the first half of its body.
#[must_use]
pub fn first_half(body: &str) -> Vec<u8> {
    let mut bytes = answer(200, "", body.as_bytes());
    bytes.truncate(bytes.len() - body.len().div_ceil(2));
    bytes
}

/// Returns the error for a malformed message.
pub(crate) fn invalid_message() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Reads one message; `None` if the connection ended before its first byte.
///
/// # Errors
/// The connection failed or ended within the message, or the message is malformed.
pub async fn read(conn: &mut Connection) -> io::Result<Option<Message>> {
    loop {
        if let Some((message, used)) = Message::parse(conn.buffer())? {
            conn.buffer().drain(..used);
            return Ok(Some(message));
        }
        let empty = conn.buffer().is_empty();
        if conn.fill().await? == 0 {
            return if empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// Encodes a response; `headers` are complete lines.
#[must_use]
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_parsed_once_it_is_complete() {
        let bytes = answer(200, "X-A: b\r\n", b"body");
        for cut in 0..bytes.len() {
            assert!(Message::parse(&bytes[..cut]).is_ok_and(|m| m.is_none()), "{cut} bytes are incomplete");
        }
        let (message, used) = Message::parse(&bytes).expect("readable").expect("complete");
        assert_eq!((message.status(), message.header("x-a"), used), (200, Some("b"), bytes.len()));
        assert_eq!(message.body, b"body");
        let mut bytes = first_chunk(b"bo");
        assert!(Message::parse(&bytes).is_ok_and(|m| m.is_none()), "the last chunk is missing");
        bytes.extend_from_slice(b"2\r\ndy\r\n0\r\n\r\nHTTP");
        let (message, used) = Message::parse(&bytes).expect("readable").expect("complete");
        assert_eq!((message.body.as_slice(), &bytes[used..]), (b"body".as_slice(), b"HTTP".as_slice()));
        assert!(first_half("body").ends_with(b"\r\n\r\nbo"));
        let bad: [&[u8]; 5] = [
            b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
            b"HTTP/1.1 200 -\r\nno header\r\n\r\n",
            b"HTTP/1.1 200 -\r\nContent-Length: x\r\n\r\n",
            b"\xff\xfe\r\n\r\n",
        ];
        for bytes in bad {
            assert!(Message::parse(bytes).is_err());
        }
    }
}
