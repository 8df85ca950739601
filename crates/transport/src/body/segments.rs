//! A complete body in segments, which are sent one after the other without being joined.

use bytes::Bytes;
use std::collections::VecDeque;

/// Maximum length in bytes of the frames in which a body is sent. A connection copies each frame into its write buffer and
/// keeps the buffer's capacity afterwards.
pub const MAX_FRAME_BYTES: usize = 64 << 10;

/// A complete body in segments. Clones share the bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Segments(VecDeque<Bytes>);

impl Segments {
    /// Appends a segment.
    pub fn push(&mut self, segment: Bytes) {
        if !segment.is_empty() {
            self.0.push_back(segment);
        }
    }

    /// Appends the segments of another body.
    pub fn append(&mut self, other: &Self) {
        self.0.extend(other.0.iter().cloned());
    }

    /// Returns the length of the body in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns a copy of the body in one piece.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        let mut joined = Vec::with_capacity(self.len());
        self.0.iter().for_each(|segment| joined.extend_from_slice(segment));
        joined
    }

    /// Removes and returns the next at most [`MAX_FRAME_BYTES`] bytes; `None` at the end of the body.
    pub fn next_frame(&mut self) -> Option<Bytes> {
        let segment = self.0.front_mut()?;
        if segment.len() > MAX_FRAME_BYTES {
            return Some(segment.split_to(MAX_FRAME_BYTES));
        }
        self.0.pop_front()
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        let mut segments = Self::default();
        segments.push(bytes);
        segments
    }
}
