//! Framing and encoding of messages: `[body length: u32][CRC-32 of the body: u32][body]`, both integers little-endian.

use crate::ResultCode;
use rkyv::{
    Archive, Deserialize, Serialize,
    api::high::{HighDeserializer, HighSerializer, HighValidator},
    bytecheck::CheckBytes,
    rancor,
    ser::allocator::ArenaHandle,
    util::AlignedVec,
};
use snafu::Snafu;

/// Version of the protocol between processes. It is sent at the start of each connection.
pub const PROTOCOL_VERSION: u32 = 2;
/// Size of a frame header, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum size of a frame body, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a frame or its message can't be decoded.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The body is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("{}: frame body of {bytes} bytes exceeds the limit", ResultCode::FRAME_TOO_LONG))]
    TooLong {
        /// Body length from the frame header, in bytes.
        bytes: usize,
    },
    /// The checksum does not match the body.
    #[snafu(display("{}: frame checksum mismatch", ResultCode::FRAME_CORRUPT))]
    Corrupt,
    /// The body is not a valid message of the expected type.
    #[snafu(display("{}: frame body can't be decoded", ResultCode::FRAME_UNREADABLE))]
    Unreadable,
}

/// Returns the body length in bytes and the checksum from a frame header.
#[must_use]
pub fn parse_header(header: [u8; HEADER_BYTES]) -> (usize, u32) {
    let [l0, l1, l2, l3, checksum @ ..] = header;
    (u32::from_le_bytes([l0, l1, l2, l3]) as usize, u32::from_le_bytes(checksum))
}

/// Encodes a message as a frame body, without a header.
///
/// # Panics
/// Never: encoding into memory can't fail.
pub fn encode<T>(message: &T) -> AlignedVec
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    rkyv::to_bytes::<rancor::Error>(message).expect("encoding into memory can't fail")
}

/// Encodes a message as a frame: header and body.
pub fn encode_frame<T>(message: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    let body = encode(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Decodes a frame body whose checksum was verified. The bytes need not be aligned.
///
/// # Errors
/// [`FrameError::Unreadable`] if the bytes are not a valid message of type `T`.
pub fn decode<T>(body: &[u8]) -> Result<T, FrameError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(body.len());
    aligned.extend_from_slice(body);
    rkyv::from_bytes::<T, rancor::Error>(&aligned).map_err(|_| FrameError::Unreadable)
}

/// Returns the CRC-32 checksum of a frame body.
#[must_use]
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}

/// Verifies a frame body against the checksum from its header.
///
/// # Errors
/// [`FrameError::Corrupt`] if the checksum differs.
pub fn check(body: &[u8], checksum: u32) -> Result<(), FrameError> {
    if self::checksum(body) == checksum { Ok(()) } else { Err(FrameError::Corrupt) }
}
