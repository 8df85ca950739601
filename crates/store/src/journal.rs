//! The thread that writes the log, as its disk operations block: all records that wait are written with one sync.

use opalrun_storage::{RecordLog, StorageError};
use opalrun_wire::ResultCode;
use rkyv::util::AlignedVec;
use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};
use tokio::sync::watch;

/// Backoff before records are written again to a disk that was full.
const FULL_DISK_BACKOFF: Duration = Duration::from_millis(100);

/// The progress of the log's thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalStatus {
    /// All records with lower numbers are on disk.
    pub synced: u64,
    /// Size of the log in bytes.
    pub bytes: u64,
    /// The disk is full; records that were handed over are written once it has room.
    pub is_full: bool,
    /// The disk has failed with this result code: nothing more is written.
    pub failed: Option<ResultCode>,
}

/// A handle to the log's thread. The thread ends, and closes the log, once this is dropped.
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
    /// Starts the thread, which writes to `log`.
    #[must_use]
    pub fn start(log: RecordLog) -> Self {
        let (commands, received) = channel();
        let status =
            JournalStatus { synced: log.next_record(), bytes: log.bytes(), is_full: false, failed: None };
        let (status_sender, status) = watch::channel(status);
        thread::spawn(move || Writer { log, received, status: status_sender }.run());
        Self { commands, status }
    }

    /// Hands over records. They are durable once [`wait_synced`](Self::wait_synced) returns for the last of them.
    pub fn write(&self, records: Vec<AlignedVec>) {
        // A thread that has ended has said why in its status.
        let _ = self.commands.send(Command::Write(records));
    }

    /// Drops the log's oldest segments, as far as they contain only records before the number `record`, once everything
    /// that was handed over earlier is written.
    pub fn drop_before(&self, record: u64) {
        let _ = self.commands.send(Command::DropBefore(record));
    }

    /// The thread's progress by now.
    #[must_use]
    pub fn status(&self) -> JournalStatus {
        *self.status.borrow()
    }

    /// Waits until a record is on disk.
    ///
    /// # Errors
    /// The result code with which the disk failed.
    pub async fn wait_synced(&self, record: u64) -> Result<(), ResultCode> {
        let mut status = self.status.clone();
        let status = status.wait_for(|status| status.synced > record || status.failed.is_some()).await;
        match status.map(|status| status.failed) {
            Ok(None) => Ok(()),
            Ok(Some(code)) => Err(code),
            Err(_) => Err(ResultCode::DISK_FAILED),
        }
    }

    /// Follows the thread's progress. The channel is closed once the thread has ended and closed the log.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<JournalStatus> {
        self.status.clone()
    }

    /// Waits until the disk has failed; returns the result code.
    pub async fn wait_failed(&self) -> ResultCode {
        let mut status = self.status.clone();
        let status = status.wait_for(|status| status.failed.is_some()).await;
        status.ok().and_then(|status| status.failed).unwrap_or(ResultCode::DISK_FAILED)
    }
}

/// The state of the thread.
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

    /// Runs all commands that wait: writes their records with one sync, then drops the oldest segments as far as the last
    /// command allows.
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

    /// Writes records; on a full disk again until it has room for them.
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
