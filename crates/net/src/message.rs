//! Encoding and decoding of messages. All types with rkyv's derives can be sent and received.

use opalrun_wire::frame::{self, FrameError, HEADER_BYTES};
use rkyv::{
    Archive, Deserialize, Serialize,
    api::high::{HighDeserializer, HighSerializer, HighValidator},
    bytecheck::CheckBytes,
    rancor,
    ser::allocator::ArenaHandle,
    util::AlignedVec,
};

/// Length in bytes of a call's number, which precedes the message in a frame's body.
const CALL_NUMBER_BYTES: usize = 8;

/// A message that can be sent.
pub trait Encode {
    /// Returns the encoded message, without a frame header.
    fn encode(&self) -> AlignedVec;
}

impl<T> Encode for T
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    fn encode(&self) -> AlignedVec {
        frame::encode(self)
    }
}

/// A message that can be received.
pub trait Decode: Sized {
    /// Decodes a message from the body of a frame.
    ///
    /// # Errors
    /// The bytes are not a valid message of this type.
    fn decode(body: &[u8]) -> Result<Self, FrameError>;
}

impl<T> Decode for T
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    fn decode(body: &[u8]) -> Result<Self, FrameError> {
        frame::decode(body)
    }
}

/// Appends a frame whose body is `prefix` followed by `body`.
pub(crate) fn append_frame(buffer: &mut Vec<u8>, prefix: &[u8], body: &[u8]) {
    let start = buffer.len();
    buffer.reserve(HEADER_BYTES + prefix.len() + body.len());
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    buffer.extend_from_slice(prefix);
    buffer.extend_from_slice(body);
    let (header, frame_body) = buffer[start..].split_at_mut(HEADER_BYTES);
    let checksum = frame::checksum(frame_body);
    header[..4].copy_from_slice(&(frame_body.len() as u32).to_le_bytes());
    header[4..].copy_from_slice(&checksum.to_le_bytes());
}

/// Splits the body of a call's frame into the call's number and the message.
pub(crate) fn split_call(body: &[u8]) -> Result<(u64, &[u8]), FrameError> {
    let (call_number, message) =
        body.split_first_chunk::<CALL_NUMBER_BYTES>().ok_or(FrameError::Unreadable)?;
    Ok((u64::from_le_bytes(*call_number), message))
}
