//! The journal's file format: a fixed header, then records, each with its length and a checksum.

use super::record::Record;
use std::fmt;

/// First bytes of the file; the format version follows.
const MAGIC: &[u8; 8] = b"opalrun\n";
pub const FORMAT_VERSION: u32 = 1;
const HEADER_BYTES: usize = MAGIC.len() + 4;
/// Maximum encoded length of a record, in bytes: enough for a list of thousands of workers.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Bytes before each record: its length and its checksum, four bytes each.
const FRAME_BYTES: usize = 8;

/// Whether a journal could be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Integrity {
    /// The file ends with a complete record.
    Complete,
    /// The record at byte `offset` is damaged; it and all after it, `unread_bytes` in total, were not read.
    Damaged { offset: usize, unread_bytes: usize, cause: DamageCause },
}

/// Why a record is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DamageCause {
    /// The file ends within the record.
    Truncated,
    /// The record's length exceeds the maximum, or the file is longer than what is read of it.
    Length,
    Checksum,
    /// The checksum is right, but the payload is no record of this format version.
    Undecodable,
}

impl fmt::Display for Integrity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Complete => f.write_str("complete"),
            Self::Damaged { offset, unread_bytes, cause } => {
                let cause = match cause {
                    DamageCause::Truncated => "it is cut off",
                    DamageCause::Length => "its length exceeds the limit",
                    DamageCause::Checksum => "its checksum does not match",
                    DamageCause::Undecodable => "it can't be decoded",
                };
                write!(
                    f,
                    "the record at byte {offset} is damaged: {cause}; {unread_bytes} bytes were not read"
                )
            }
        }
    }
}

/// Result of checking a file's header.
#[derive(Debug, PartialEq, Eq)]
pub enum HeaderCheck {
    Valid,
    /// A journal of another format version.
    OtherVersion(u32),
    /// Not a journal, or cut off within the header.
    NotAJournal,
}

/// Returns the header that a file begins with.
pub fn header() -> Vec<u8> {
    [&MAGIC[..], &FORMAT_VERSION.to_le_bytes()].concat()
}

/// Checks the header, and returns the bytes that follow it: the records.
pub fn check_header(bytes: &[u8]) -> (HeaderCheck, &[u8]) {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return (HeaderCheck::NotAJournal, &[]);
    };
    let (magic, version) = header.split_at(MAGIC.len());
    let version = version.try_into().map_or(0, u32::from_le_bytes);
    match (magic == MAGIC, version) {
        (true, FORMAT_VERSION) => (HeaderCheck::Valid, rest),
        (true, version) => (HeaderCheck::OtherVersion(version), rest),
        _ => (HeaderCheck::NotAJournal, rest),
    }
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}

/// Appends the encoded record to `to`. A record longer than the maximum is left out; no caller makes one.
pub fn write(record: &Record, to: &mut Vec<u8>) {
    let Ok(payload) = postcard::to_allocvec(record) else { return };
    let Some(length) = u32::try_from(payload.len()).ok().filter(|n| *n as usize <= MAX_RECORD_BYTES) else {
        return;
    };
    let length = length.to_le_bytes();
    to.extend_from_slice(&length);
    to.extend_from_slice(&checksum(length, &payload).to_le_bytes());
    to.extend_from_slice(&payload);
}

/// Decodes the records that follow the header and passes each to `on_record`, up to the first that is damaged.
pub fn read(records: &[u8], mut on_record: impl FnMut(Record)) -> Integrity {
    let mut rest = records;
    loop {
        if rest.is_empty() {
            return Integrity::Complete;
        }
        match read_one(rest) {
            Ok((record, length)) => {
                on_record(record);
                rest = &rest[length..];
            }
            Err(cause) => {
                return Integrity::Damaged {
                    offset: HEADER_BYTES + records.len() - rest.len(),
                    unread_bytes: rest.len(),
                    cause,
                };
            }
        }
    }
}

/// Decodes the first record of `bytes`, and returns it with its encoded length including the frame.
fn read_one(bytes: &[u8]) -> Result<(Record, usize), DamageCause> {
    let (frame, rest) = bytes.split_at_checked(FRAME_BYTES).ok_or(DamageCause::Truncated)?;
    let (length, crc) = frame.split_at(4);
    let (Ok(length), Ok(crc)) = (<[u8; 4]>::try_from(length), crc.try_into()) else {
        return Err(DamageCause::Truncated);
    };
    let size = u32::from_le_bytes(length) as usize;
    if size > MAX_RECORD_BYTES {
        return Err(DamageCause::Length);
    }
    let payload = rest.get(..size).ok_or(DamageCause::Truncated)?;
    if checksum(length, payload) != u32::from_le_bytes(crc) {
        return Err(DamageCause::Checksum);
    }
    // Trailing bytes are an error: a record of another format could otherwise decode as one of this format by chance.
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Ok((record, FRAME_BYTES + size)),
        _ => Err(DamageCause::Undecodable),
    }
}
