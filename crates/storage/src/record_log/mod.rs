//! A log of numbered records in segment files. Records are appended in batches, with one sync per batch.
//!
//! Truncating the end of the log is written as a batch that begins at a lower record number, and a reset as one that
//! begins at a higher number. Segments are therefore append-only, and both operations are as crash-safe as any batch.

mod replay;
mod segment;

use crate::{DataDirectory, DiskFile, StorageError, error::from_io};
use segment::{BatchBuilder, SEGMENT_HEADER_BYTES, SegmentHeader};
use std::{
    collections::VecDeque,
    path::{Path, PathBuf},
};

/// Options of a [`RecordLog`].
#[derive(Debug, Clone, Copy)]
pub struct RecordLogOptions {
    /// Size in bytes at which a segment is closed and the next batch begins a new one.
    pub segment_bytes: u64,
}

impl Default for RecordLogOptions {
    fn default() -> Self {
        Self { segment_bytes: 1 << 20 }
    }
}

/// A crash-safe log of numbered records.
#[derive(Debug)]
pub struct RecordLog {
    directory: DataDirectory,
    /// Prefix of the names of the segment files.
    name: String,
    options: RecordLogOptions,
    /// Segments on disk, oldest first.
    segments: VecDeque<Segment>,
    /// The last segment, open for appending; `None` if the next batch begins a new segment.
    file: Option<Box<dyn DiskFile>>,
    /// Appended records that are not synced yet.
    batch: BatchBuilder,
    /// Number of the oldest record in the log.
    first_record: u64,
    /// Number of the next record, counting only synced records.
    synced_next: u64,
    /// Sequence number of the next batch.
    next_sequence: u64,
    /// Set after a write that failed and could not be undone; the log must then be opened again.
    failed: bool,
}

/// A segment file of a log.
#[derive(Debug, Clone, Copy)]
struct Segment {
    /// Number of the segment, which is part of its file name.
    number: u64,
    /// Size in bytes, header included.
    bytes: u64,
    /// Lowest record number in the segment; for a segment without records the next record number when it was created.
    start_record: u64,
    /// Highest record number in the segment, plus one.
    end_record: u64,
}

impl RecordLog {
    /// Opens the log `name` in a directory and passes each record with its number to `replay`, in the order written.
    /// A record with a number that was passed before replaces that record and all later ones. When this returns, the log
    /// contains only records from [`first_record`](Self::first_record) up to, but not including,
    /// [`next_record`](Self::next_record).
    ///
    /// A torn tail, which was never synced, is truncated.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] if anything but the tail is damaged, [`StorageError::Newer`], or [`StorageError::Io`].
    pub fn open(
        directory: &DataDirectory,
        name: &str,
        options: RecordLogOptions,
        mut replay: impl FnMut(u64, &[u8]),
    ) -> Result<Self, StorageError> {
        let mut log = Self {
            directory: directory.clone(),
            name: name.to_owned(),
            options,
            segments: VecDeque::new(),
            file: None,
            batch: BatchBuilder::default(),
            first_record: 0,
            synced_next: 0,
            next_sequence: 0,
            failed: false,
        };
        let numbers = log.segment_numbers()?;
        for (position, number) in numbers.iter().enumerate() {
            let is_last = position + 1 == numbers.len();
            log.replay_segment(*number, is_last, &mut replay)?;
        }
        log.reopen_last()?;
        Ok(log)
    }

    /// Returns the number of the oldest record.
    #[must_use]
    pub fn first_record(&self) -> u64 {
        self.first_record
    }

    /// Returns the number that the next appended record gets.
    #[must_use]
    pub fn next_record(&self) -> u64 {
        if self.batch.is_open() { self.batch.next_record() } else { self.synced_next }
    }

    /// Returns the total size of the segment files, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Appends a record and returns its number. The record is durable after the next successful [`sync`](Self::sync).
    pub fn append(&mut self, record: &[u8]) -> u64 {
        if !self.batch.is_open() {
            self.batch.begin(self.synced_next);
        }
        self.batch.push(record);
        self.batch.next_record() - 1
    }

    /// Writes all records appended since the last sync and makes them durable, with a single disk sync.
    ///
    /// # Errors
    /// On any error, the records appended since the last sync are discarded. After [`StorageError::Full`] the space is
    /// freed and the log remains usable; after other errors it rejects writes until it is opened again.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if self.failed {
            self.batch.clear();
            return Err(StorageError::Failed { path: self.last_path() });
        }
        if !self.batch.is_open() {
            return Ok(());
        }
        let written = self.write_batch();
        if written.is_ok() {
            self.finish_batch();
        }
        self.batch.clear();
        written
    }

    /// Removes all records with number `record` or higher, durably. Unsynced records are synced first.
    ///
    /// # Errors
    /// Same as [`sync`](Self::sync).
    pub fn truncate_from(&mut self, record: u64) -> Result<(), StorageError> {
        self.sync()?;
        if record >= self.synced_next {
            return Ok(());
        }
        self.batch.begin(record);
        self.sync()
    }

    /// Removes all records, durably; the next record gets number `record`.
    ///
    /// # Errors
    /// Same as [`sync`](Self::sync).
    pub fn reset(&mut self, record: u64) -> Result<(), StorageError> {
        self.truncate_from(self.first_record)?;
        if record != self.synced_next {
            self.batch.begin(record);
            self.sync()?;
        }
        self.drop_before(record)
    }

    /// Starts a new segment with the next batch, so that [`drop_before`](Self::drop_before) can remove all earlier records.
    pub fn roll(&mut self) {
        self.file = None;
    }

    /// Removes the oldest segments that contain only records with numbers below `record`.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    pub fn drop_before(&mut self, record: u64) -> Result<(), StorageError> {
        // The newest segment is kept, because it determines the next sequence number.
        while self.segments.len() > 1 && self.segments[0].end_record <= record {
            // Each removal is made durable before the next one, so that a power loss leaves no gap between segments.
            self.directory.remove(&self.segment_name(self.segments[0].number))?;
            self.segments.pop_front();
            self.advance_first_record();
        }
        Ok(())
    }

    fn advance_first_record(&mut self) {
        let lowest = self.segments.iter().map(|segment| segment.start_record).min();
        self.first_record = self.first_record.max(lowest.unwrap_or_default());
    }

    fn segment_name(&self, number: u64) -> String {
        format!("{}-{number:016x}.log", self.name)
    }

    fn path(&self, number: u64) -> PathBuf {
        self.directory.file(&self.segment_name(number))
    }

    fn last_path(&self) -> PathBuf {
        self.path(self.segments.back().map_or(0, |segment| segment.number))
    }

    /// Updates the record and sequence numbers for a batch that is durable.
    fn apply_batch(&mut self, sequence: u64, first_record: u64, next_record: u64) {
        if first_record > self.synced_next || first_record < self.first_record {
            self.first_record = first_record;
        }
        self.synced_next = next_record;
        self.next_sequence = sequence + 1;
    }

    fn write_batch(&mut self) -> Result<(), StorageError> {
        let is_full = self.segments.back().is_some_and(|segment| segment.bytes >= self.options.segment_bytes);
        if self.file.is_none() || is_full {
            return self.write_in_new_segment();
        }
        let path = self.last_path();
        let length = self.segments.back().map_or(0, |segment| segment.bytes);
        let batch = self.batch.finish(self.next_sequence);
        let Some(file) = self.file.as_mut() else {
            return Ok(());
        };
        let written =
            file.write_all(batch).map_err(from_io("write", &path)).and_then(|()| sync(&mut **file, &path));
        let Err(error) = written else {
            return Ok(());
        };
        // A partial write must be removed before another batch is written at the same position.
        let undone = file.truncate(length).and_then(|()| file.sync());
        self.failed = !error.is_full() || undone.is_err();
        Err(error)
    }

    fn write_in_new_segment(&mut self) -> Result<(), StorageError> {
        let number = self.segments.back().map_or(0, |segment| segment.number + 1);
        let header =
            SegmentHeader { number, first_sequence: self.next_sequence, next_record: self.synced_next };
        let path = self.path(number);
        let mut content = header.encode().to_vec();
        content.extend_from_slice(self.batch.finish(self.next_sequence));
        let written = self.create_synced(&path, &content);
        match written {
            Ok(file) => {
                self.file = Some(file);
                let bytes = SEGMENT_HEADER_BYTES as u64;
                let next = self.synced_next;
                self.segments.push_back(Segment { number, bytes, start_record: next, end_record: next });
                Ok(())
            }
            Err(error) => {
                let undone = self.directory.disk().read(&path).is_ok_and(|file| file.is_none())
                    || self.directory.remove(&self.segment_name(number)).is_ok();
                self.failed = !error.is_full() || !undone;
                Err(error)
            }
        }
    }

    fn create_synced(&self, path: &Path, content: &[u8]) -> Result<Box<dyn DiskFile>, StorageError> {
        let mut file = self.directory.disk().create(path).map_err(from_io("create", path))?;
        file.write_all(content).map_err(from_io("write", path))?;
        sync(&mut *file, path)?;
        Ok(file)
    }

    /// Updates the segment and the record numbers for the batch that was just written.
    fn finish_batch(&mut self) {
        let next_record = self.batch.next_record();
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += self.batch.len() as u64;
            segment.start_record = segment.start_record.min(self.batch.first_record());
            segment.end_record = segment.end_record.max(next_record);
        }
        self.apply_batch(self.next_sequence, self.batch.first_record(), next_record);
    }
}

fn sync(file: &mut dyn DiskFile, path: &Path) -> Result<(), StorageError> {
    file.sync().map_err(from_io("sync", path))
}
