//! Opening a log: replays its segments and truncates a torn tail.

use super::{
    RecordLog, Segment,
    segment::{Batch, FORMAT, ParsedHeader, SEGMENT_HEADER_BYTES, SegmentHeader, contains_later_batch},
};
use crate::{StorageError, error::from_io};
use std::path::{Path, PathBuf};

impl RecordLog {
    /// Returns the segment numbers found in the file names of the directory, in ascending order.
    pub(super) fn segment_numbers(&self) -> Result<Vec<u64>, StorageError> {
        let mut numbers = Vec::new();
        for name in self.directory.list()? {
            let number = name
                .strip_prefix(&self.name)
                .and_then(|rest| rest.strip_prefix('-'))
                .and_then(|rest| rest.strip_suffix(".log"));
            if let Some(number) = number.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
                numbers.push(number);
            }
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Replays the batches of a segment. A torn tail of the last segment is truncated.
    pub(super) fn replay_segment(
        &mut self,
        number: u64,
        is_last: bool,
        replay: &mut impl FnMut(u64, &[u8]),
    ) -> Result<(), StorageError> {
        let path = self.path(number);
        let bytes = self.directory.disk().read(&path).map_err(from_io("read", &path))?.unwrap_or_default();
        let header = match SegmentHeader::parse(&bytes) {
            ParsedHeader::Valid(header) if header.number == number => header,
            ParsedHeader::Newer(format) => return Err(StorageError::Newer { path, format, known: FORMAT }),
            _ => return self.drop_torn_segment(number, is_last, &bytes),
        };
        self.check_follows(&header, path.clone())?;
        let mut offset = SEGMENT_HEADER_BYTES;
        let mut segment =
            Segment { number, bytes: 0, start_record: header.next_record, end_record: header.next_record };
        while offset < bytes.len() {
            let Some(batch) = Batch::parse(&bytes[offset..], self.next_sequence..=self.next_sequence) else {
                let damage = "a batch before the end of the log is damaged";
                if !is_last || contains_later_batch(&bytes[offset..], self.next_sequence) {
                    return Err(StorageError::Corrupt { path, offset: offset as u64, damage });
                }
                self.truncate_segment(&path, offset as u64)?;
                break;
            };
            self.replay_batch(&batch, &path, offset as u64, replay)?;
            segment.start_record = segment.start_record.min(batch.first_record);
            segment.end_record = segment.end_record.max(self.synced_next);
            offset += batch.bytes;
        }
        segment.bytes = offset as u64;
        self.segments.push_back(segment);
        Ok(())
    }

    fn replay_batch(
        &mut self,
        batch: &Batch<'_>,
        path: &Path,
        offset: u64,
        replay: &mut impl FnMut(u64, &[u8]),
    ) -> Result<(), StorageError> {
        let mut next = batch.first_record;
        for record in batch.records() {
            let damage = "a record exceeds its batch";
            let Some(record) = record else {
                return Err(StorageError::Corrupt { path: path.to_path_buf(), offset, damage });
            };
            replay(next, record);
            next += 1;
        }
        self.apply_batch(batch.sequence, batch.first_record, next);
        Ok(())
    }

    /// Checks that a segment continues the previous one. The first segment sets the numbers at which the log begins.
    fn check_follows(&mut self, header: &SegmentHeader, path: PathBuf) -> Result<(), StorageError> {
        let Some(last) = self.segments.back() else {
            self.first_record = header.next_record;
            self.synced_next = header.next_record;
            self.next_sequence = header.first_sequence;
            return Ok(());
        };
        if last.number + 1 != header.number || header.first_sequence != self.next_sequence {
            return Err(StorageError::Corrupt {
                path,
                offset: 0,
                damage: "the segment does not continue the previous segment",
            });
        }
        Ok(())
    }

    /// Removes a last segment without a valid header, which was never synced.
    fn drop_torn_segment(&mut self, number: u64, is_last: bool, bytes: &[u8]) -> Result<(), StorageError> {
        let damage = "the segment header is damaged";
        if !is_last || contains_later_batch(bytes, self.next_sequence) {
            return Err(StorageError::Corrupt { path: self.path(number), offset: 0, damage });
        }
        self.directory.remove(&self.segment_name(number))
    }

    fn truncate_segment(&self, path: &Path, length: u64) -> Result<(), StorageError> {
        let mut file = self.directory.disk().open_at(path, length).map_err(from_io("open", path))?;
        file.truncate(length).map_err(from_io("truncate", path))?;
        file.sync().map_err(from_io("sync", path))
    }

    /// Opens the last segment for appending.
    pub(super) fn reopen_last(&mut self) -> Result<(), StorageError> {
        let Some(last) = self.segments.back() else {
            return Ok(());
        };
        let path = self.path(last.number);
        self.file = Some(self.directory.disk().open_at(&path, last.bytes).map_err(from_io("open", path))?);
        Ok(())
    }
}
