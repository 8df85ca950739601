//! Splits a `text/event-stream` into complete events as its bytes come.

use bytes::{Bytes, BytesMut};
use hyper::{StatusCode, header, http::response::Parts};
use snafu::Snafu;

#[cfg(test)]
mod tests;

/// Longest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream can't be read on.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Whether an answer is a stream of events.
#[must_use]
pub fn is_event_stream(parts: &Parts) -> bool {
    let kind = parts.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    parts.status == StatusCode::OK && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// One event, as its worker sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line after it included.
    pub raw: Bytes,
    /// Its id, where it has a whole number as id.
    pub id: Option<u64>,
}

impl Event {
    fn new(raw: Bytes) -> Self {
        let id = fields(&raw)
            .filter(|(name, _)| *name == b"id")
            .last()
            .and_then(|(_, value)| std::str::from_utf8(value).ok()?.parse().ok());
        Self { raw, id }
    }

    /// Appends the event's data and a line feed; an event without data adds nothing.
    pub fn append_data(&self, to: &mut Vec<u8>) {
        let mut lines = fields(&self.raw).filter(|(name, _)| *name == b"data");
        let Some((_, first)) = lines.next() else { return };
        to.extend_from_slice(first);
        for (_, line) in lines {
            to.push(b'\n');
            to.extend_from_slice(line);
        }
        to.push(b'\n');
    }

    /// Whether the event carries data.
    #[must_use]
    pub fn has_data(&self) -> bool {
        fields(&self.raw).any(|(name, _)| name == b"data")
    }
}

/// The fields of an event, by name and value.
fn fields(raw: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    raw.split(|byte| *byte == b'\n').filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|byte| *byte == b':')?;
        let (name, value) = line.split_at(colon);
        let value = &value[1..];
        Some((name, value.strip_prefix(b" ").unwrap_or(value)))
    })
}

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub struct EventReader {
    bytes: BytesMut,
    /// Bytes that were searched already without an end of an event being found.
    searched: usize,
}

impl EventReader {
    /// Takes in what has come.
    ///
    /// # Errors
    /// Where an event that has not ended is too long already.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        if self.bytes.len() + bytes.len() > MAX_EVENT_BYTES && self.end_of_event().is_none() {
            return TooLongSnafu.fail();
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event, if it is there.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event();
        let Some(end) = end else {
            // The end may begin with the last two bytes.
            self.searched = self.bytes.len().saturating_sub(2);
            return None;
        };
        self.searched = 0;
        Some(Event::new(self.bytes.split_to(end).freeze()))
    }

    /// Whether a whole event is there.
    #[must_use]
    pub fn has_event(&self) -> bool {
        self.end_of_event().is_some()
    }

    /// Whether bytes of an event that has not ended are held.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// What is held of an event that has not ended.
    pub fn take_incomplete_event(&mut self) -> Bytes {
        self.searched = 0;
        self.bytes.split().freeze()
    }

    /// Where the first event ends: after a blank line.
    fn end_of_event(&self) -> Option<usize> {
        let bytes = &self.bytes[..];
        let mut at = self.searched;
        while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
            let after = at + found + 1;
            match bytes.get(after..) {
                Some([b'\n', ..]) => return Some(after + 1),
                Some([b'\r', b'\n', ..]) => return Some(after + 2),
                _ => at = after,
            }
        }
        None
    }
}
