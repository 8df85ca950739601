//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head of a request or of an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, or an empty string.
    #[must_use]
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of an answer; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    #[must_use]
    pub fn method_and_path(&self) -> (&str, &str) {
        let mut parts = self.first_line.split(' ');
        (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
    }
}

/// Reads a head; `None` at the end of the connection.
///
/// # Errors
/// The connection broke or timed out.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    if reader.read_line(&mut head.first_line)? == 0 {
        return Ok(None);
    }
    head.first_line.truncate(head.first_line.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to a head, by its length or its chunks. `on_data` is called for each piece.
///
/// # Errors
/// The connection broke or timed out before the end of the body.
pub fn read_body(reader: &mut impl BufRead, head: &Head, mut on_data: impl FnMut(&[u8])) -> io::Result<()> {
    if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            let mut data = vec![0; length + 2];
            reader.read_exact(&mut data)?;
            if length == 0 {
                return Ok(());
            }
            on_data(&data[..length]);
        }
    }
    let length: usize = head.get("content-length").parse().unwrap_or(0);
    let mut data = vec![0; length];
    reader.read_exact(&mut data)?;
    if length > 0 {
        on_data(&data);
    }
    Ok(())
}

/// Builds a request with a body of known length.
#[must_use]
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A short call on a connection of its own: status and body of the answer.
///
/// # Errors
/// No complete answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(
        end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
    ))?;
    let host = address.to_string();
    let mut all = vec![("Host", host.as_str()), ("Connection", "close")];
    all.extend_from_slice(headers);
    stream.write_all(&request(method, path, &all, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let mut data = Vec::new();
    read_body(&mut reader, &head, |piece| data.extend_from_slice(piece))?;
    Ok((head.status(), data))
}
