//! Incremental parser that splits a `text/event-stream` body into complete events.

use bytes::{Bytes, BytesMut};
use hyper::{StatusCode, header, http::response::Parts};
use snafu::Snafu;

#[cfg(test)]
mod tests;

/// Maximum length of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream can't be read any further.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// Whether an answer is an event stream with status 200.
#[must_use]
pub fn is_event_stream(parts: &Parts) -> bool {
    let content_type = parts.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    parts.status == StatusCode::OK
        && content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

/// One event of a worker's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received, including the blank line that ends it.
    pub raw: Bytes,
    /// Value of the event's last `id` field when that is an unsigned integer.
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

    /// Appends the event's data lines, joined by line feeds, and a final line feed. Appends nothing for an event without
    /// data.
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

    /// Whether the event has an id that is not above `last_id`.
    #[must_use]
    pub fn is_at_or_before(&self, last_id: Option<u64>) -> bool {
        self.id.zip(last_id).is_some_and(|(id, last_id)| id <= last_id)
    }

    /// Whether the event has a `data` field.
    #[must_use]
    pub fn has_data(&self) -> bool {
        fields(&self.raw).any(|(name, _)| name == b"data")
    }
}

/// Iterates over the names and values of an event's fields.
fn fields(raw: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    raw.split(|byte| *byte == b'\n').filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|byte| *byte == b':')?;
        let (name, value) = line.split_at(colon);
        let value = &value[1..];
        Some((name, value.strip_prefix(b" ").unwrap_or(value)))
    })
}

/// Buffers received bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventReader {
    bytes: BytesMut,
    /// Number of leading bytes that are known not to contain the end of an event.
    searched: usize,
}

impl EventReader {
    /// Adds received bytes to the buffer.
    ///
    /// # Errors
    /// The incomplete event in the buffer would exceed [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        if self.bytes.len() + bytes.len() > MAX_EVENT_BYTES && self.end_of_event().is_none() {
            return TooLongSnafu.fail();
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the next complete event; `None` when the buffer contains none.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end_of_event();
        let Some(end) = end else {
            // The last two bytes may be the beginning of the blank line that ends the event.
            self.searched = self.bytes.len().saturating_sub(2);
            return None;
        };
        self.searched = 0;
        Some(Event::new(self.bytes.split_to(end).freeze()))
    }

    /// Whether the buffer contains a complete event.
    #[must_use]
    pub fn has_event(&self) -> bool {
        self.end_of_event().is_some()
    }

    /// Whether the buffer contains the beginning of an event, once all complete events are taken. Line ends alone, which may
    /// follow the last event, begin none.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        self.bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// Removes and returns all buffered bytes, which are those of an incomplete event once all complete ones are taken.
    pub fn take_incomplete_event(&mut self) -> Bytes {
        self.searched = 0;
        self.bytes.split().freeze()
    }

    /// Returns the length of the first event, including the blank line that ends it.
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
