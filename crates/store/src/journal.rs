//! The log writer: a thread of its own, because disk operations block. It writes all queued records with one sync.

use opalrun_storage::{RecordLog, StorageError};
use opalrun_wire::ResultCode;
use rkyv::util::AlignedVec;
use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};
use tokio::sync::watch;

/// Backoff before a write that failed on a full disk is retried.
const FULL_DISK_BACKOFF: Duration = Duration::from_millis(100);

/// Progress of the log writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalStatus {
    /// Number of the first record that is not synced yet: all records with lower numbers are on disk.
    pub synced: u64,
    /// Size of the log in bytes.
    pub bytes: u64,
    /// Whether the disk is full. Queued records are written once it has free space.
    pub is_full: bool,
    /// Result code of the write that failed; nothing is written after it.
    pub failed: Option<ResultCode>,
}

/// Handle of the log writer. When it is dropped, the thread closes the log and ends.
#[derive(Debug)]
pub struct Journal {
    commands: Sender<Command>,
    status: watch::Receiver<JournalStatus>,
}

#[derive(Debug)]
enum Command {
    Write(Vec<AlignedVec>),
    DropBefore(u64),
}

impl Journal {
    /// Starts the writer thread on `log`.
    #[must_use]
    pub fn start(log: RecordLog) -> Self {
        let (commands, received) = channel();
        let status =
            JournalStatus { synced: log.next_record(), bytes: log.bytes(), is_full: false, failed: None };
        let (status_sender, status) = watch::channel(status);
        thread::spawn(move || Writer { log, received, status: status_sender }.run());
        Self { commands, status }
    }

    /// Queues records for writing. They are durable once [`wait_synced`](Self::wait_synced) returns for the last of them.
    pub fn write(&self, records: Vec<AlignedVec>) {
        // Fails only if the thread has ended, and then `JournalStatus::failed` holds the reason.
        let _ = self.commands.send(Command::Write(records));
    }

    /// Deletes the oldest segments of the log that contain only records with numbers below `record`, after all records
    /// queued so far are written.
    pub fn drop_before(&self, record: u64) {
        let _ = self.commands.send(Command::DropBefore(record));
    }

    /// Returns the current progress of the writer.
    #[must_use]
    pub fn status(&self) -> JournalStatus {
        *self.status.borrow()
    }

    /// Waits until the record with the number `record` is synced to disk.
    ///
    /// # Errors
    /// The result code of the write that failed.
    pub async fn wait_synced(&self, record: u64) -> Result<(), ResultCode> {
        let mut status = self.status.clone();
        let status = status.wait_for(|status| status.synced > record || status.failed.is_some()).await;
        match status.map(|status| status.failed) {
            Ok(None) => Ok(()),
            Ok(Some(code)) => Err(code),
            Err(_) => Err(ResultCode::DISK_FAILED),
        }
    }

    /// Subscribes to the progress of the writer. The channel closes once the thread has closed the log and ended.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<JournalStatus> {
        self.status.clone()
    }

    /// Waits until a write to the disk fails; returns its result code.
    pub async fn wait_failed(&self) -> ResultCode {
        let mut status = self.status.clone();
        let status = status.wait_for(|status| status.failed.is_some()).await;
        status.ok().and_then(|status| status.failed).unwrap_or(ResultCode::DISK_FAILED)
    }
}

/// State of the writer thread.
struct Writer {
    log: RecordLog,
    received: Receiver<Command>,
    status: watch::Sender<JournalStatus>,
}

impl Writer {
    fn run(mut self) {
        while let Ok(first) = self.received.recv() {
            if let Err(error) = self.run_batch(first) {
                tracing::error!(result_code = %error.code(), %error, "log write failed");
                self.status.send_modify(|status| status.failed = Some(error.code()));
                return;
            }
        }
    }

    /// Runs all queued commands: writes their records with one sync, then deletes the segments that the last
    /// [`Command::DropBefore`] releases.
    fn run_batch(&mut self, first: Command) -> Result<(), StorageError> {
        let mut records = Vec::new();
        let mut drop_before = None;
        let mut next = Some(first);
        while let Some(command) = next {
            match command {
                Command::Write(more) => records.extend(more),
                Command::DropBefore(record) => drop_before = Some(record),
            }
            next = self.received.try_recv().ok();
        }
        self.write(&records)?;
        if let Some(record) = drop_before {
            self.log.drop_before(record)?;
        }
        let (synced, bytes) = (self.log.next_record(), self.log.bytes());
        self.status.send_modify(|status| {
            status.synced = synced;
            status.bytes = bytes;
            status.is_full = false;
        });
        Ok(())
    }

    /// Appends records and syncs the log. Retries after [`FULL_DISK_BACKOFF`] for as long as the disk is full.
    fn write(&mut self, records: &[AlignedVec]) -> Result<(), StorageError> {
        loop {
            for record in records {
                self.log.append(record);
            }
            match self.log.sync() {
                Err(error) if error.is_full() => {
                    self.status.send_if_modified(|status| !std::mem::replace(&mut status.is_full, true));
                    thread::sleep(FULL_DISK_BACKOFF);
                }
                written => return written,
            }
        }
    }
}
