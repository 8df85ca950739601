//! The file format of log segments.
//!
//! A segment is a header followed by batches. Each batch is written by a single write that is followed by a sync, so only
//! the last batch of a log can be torn. Integers are little-endian; sizes of fields are in bytes where they are plain
//! numbers.
//!
//! ```text
//! header: magic (8) | format version (u32) | segment number (u64) | sequence number of the first batch (u64)
//!         | next record number when the segment was created (u64) | CRC-32 of the preceding fields (u32)
//! batch:  body length (u32) | CRC-32 of the body (u32) | body
//! body:   batch sequence number (u64) | number of the first record (u64) | records, each a length (u32) and its bytes
//! ```

/// Magic bytes at the start of a segment.
const MAGIC: &[u8; 8] = b"OPALRLOG";
/// Format version that is written, and the newest that can be read.
pub(crate) const FORMAT: u32 = 1;
/// Size of a segment header, in bytes.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 40;
/// Size of a batch header in bytes: body length and checksum.
const BATCH_HEADER_BYTES: usize = 8;
/// Size in bytes of the part of a batch body before the records: sequence number and number of the first record.
const BODY_PREFIX_BYTES: usize = 16;

/// Maximum buffer capacity, in bytes, that a batch builder retains between batches.
const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;
/// Maximum distance of a later batch's sequence number from the expected one. Limits false matches in damaged bytes.
const MAX_SEQUENCE_GAP: u64 = 1 << 24;

/// The header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// Number of the segment.
    pub number: u64,
    /// Sequence number of the first batch in the segment.
    pub first_sequence: u64,
    /// Number of the next record when the segment was created.
    pub next_record: u64,
}

/// The result of parsing a segment header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ParsedHeader {
    /// The header is undamaged and its format is supported.
    Valid(SegmentHeader),
    /// The header is undamaged, with this unsupported format version.
    Newer(u32),
    /// The header is incomplete, or its magic bytes or checksum are wrong.
    Damaged,
}

impl SegmentHeader {
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&FORMAT.to_le_bytes());
        bytes[12..20].copy_from_slice(&self.number.to_le_bytes());
        bytes[20..28].copy_from_slice(&self.first_sequence.to_le_bytes());
        bytes[28..36].copy_from_slice(&self.next_record.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..36]);
        bytes[36..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    pub fn parse(bytes: &[u8]) -> ParsedHeader {
        let Some(header) = bytes.first_chunk::<SEGMENT_HEADER_BYTES>() else {
            return ParsedHeader::Damaged;
        };
        if &header[..8] != MAGIC || crc32fast::hash(&header[..36]) != read_u32(&header[36..]) {
            return ParsedHeader::Damaged;
        }
        let format = read_u32(&header[8..]);
        if format > FORMAT {
            return ParsedHeader::Newer(format);
        }
        ParsedHeader::Valid(Self {
            number: read_u64(&header[12..]),
            first_sequence: read_u64(&header[20..]),
            next_record: read_u64(&header[28..]),
        })
    }
}

/// Encodes a batch of records.
#[derive(Debug, Default)]
pub(crate) struct BatchBuilder {
    /// Encoded batch; the header is filled in by [`finish`](Self::finish).
    bytes: Vec<u8>,
    /// Number of the first record of the batch.
    first_record: u64,
    /// Number of records in the batch.
    records: u64,
    /// Whether a batch was begun and not cleared since.
    open: bool,
}

impl BatchBuilder {
    pub fn is_open(&self) -> bool {
        self.open
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Begins a batch whose first record gets the number `first_record`.
    pub fn begin(&mut self, first_record: u64) {
        self.bytes.clear();
        self.bytes.resize(BATCH_HEADER_BYTES + BODY_PREFIX_BYTES, 0);
        self.first_record = first_record;
        self.records = 0;
        self.open = true;
    }

    pub fn push(&mut self, record: &[u8]) {
        self.bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        self.bytes.extend_from_slice(record);
        self.records += 1;
    }

    /// Fills in the batch header and the sequence number, and returns the encoded batch.
    pub fn finish(&mut self, sequence: u64) -> &[u8] {
        let body_length = self.bytes.len() - BATCH_HEADER_BYTES;
        self.bytes[8..16].copy_from_slice(&sequence.to_le_bytes());
        self.bytes[16..24].copy_from_slice(&self.first_record.to_le_bytes());
        let checksum = crc32fast::hash(&self.bytes[BATCH_HEADER_BYTES..]);
        self.bytes[..4].copy_from_slice(&(body_length as u32).to_le_bytes());
        self.bytes[4..8].copy_from_slice(&checksum.to_le_bytes());
        &self.bytes
    }

    pub fn first_record(&self) -> u64 {
        self.first_record
    }

    pub fn next_record(&self) -> u64 {
        self.first_record + self.records
    }

    /// Discards the batch and frees buffer capacity above [`MAX_IDLE_BUFFER_BYTES`].
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.open = false;
    }
}

/// A decoded batch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Batch<'a> {
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Number of the first record.
    pub first_record: u64,
    /// Size of the encoded batch in bytes, header included.
    pub bytes: usize,
    /// Encoded records, each with its length.
    records: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Returns the batch at the start of `bytes` if it is complete, undamaged and has a sequence number in `sequences`.
    pub fn parse(bytes: &'a [u8], sequences: std::ops::RangeInclusive<u64>) -> Option<Self> {
        let prefix = bytes.get(..BATCH_HEADER_BYTES + BODY_PREFIX_BYTES)?;
        let length = read_u32(prefix) as usize;
        let sequence = read_u64(&prefix[8..]);
        if length < BODY_PREFIX_BYTES || !sequences.contains(&sequence) {
            return None;
        }
        let body = bytes.get(BATCH_HEADER_BYTES..BATCH_HEADER_BYTES + length)?;
        if crc32fast::hash(body) != read_u32(&prefix[4..]) {
            return None;
        }
        Some(Self {
            sequence,
            first_record: read_u64(&prefix[16..]),
            bytes: BATCH_HEADER_BYTES + length,
            records: &body[BODY_PREFIX_BYTES..],
        })
    }

    /// Returns the records in order. An item is `None` if a record exceeds the batch, which a valid checksum rules out.
    pub fn records(&self) -> impl Iterator<Item = Option<&'a [u8]>> + use<'a> {
        let mut rest = self.records;
        std::iter::from_fn(move || {
            if rest.is_empty() {
                return None;
            }
            let Some((record, tail)) = split_record(rest) else {
                rest = &[];
                return Some(None);
            };
            rest = tail;
            Some(Some(record))
        })
    }
}

fn split_record(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let length = read_u32(bytes.get(..4)?) as usize;
    bytes[4..].split_at_checked(length)
}

/// Returns whether `bytes` contains a valid batch with a later sequence number, which shows that all preceding bytes had
/// been synced.
pub(crate) fn contains_later_batch(bytes: &[u8], sequence: u64) -> bool {
    let later = sequence + 1..=sequence + MAX_SEQUENCE_GAP;
    (1..bytes.len()).any(|start| Batch::parse(&bytes[start..], later.clone()).is_some())
}

/// Returns the little-endian integer in the first 4 bytes of `bytes`, which must have at least 4.
fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Returns the little-endian integer in the first 8 bytes of `bytes`, which must have at least 8.
fn read_u64(bytes: &[u8]) -> u64 {
    u64::from(read_u32(bytes)) | u64::from(read_u32(&bytes[4..])) << 32
}
