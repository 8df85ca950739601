//! The thread that writes the journal. A sync may block for as long as the disk takes, so it doesn't run on the event loop.

use super::{
    disk::Folder,
    journal::Journal,
    record::{JournalState, Record},
};
use std::{
    fs::{File, OpenOptions, TryLockError},
    io,
    os::unix::fs::OpenOptionsExt,
    path::Path,
    sync::mpsc,
    thread,
};
use tokio::sync::oneshot;

const LOCK_FILE: &str = "lock";

/// One write request to the thread.
struct WriteJob {
    /// If set, replaces the whole content of the journal before `records` are appended.
    new_state: Option<JournalState>,
    records: Vec<Record>,
    /// Receives the journal's length in bytes once everything is synced.
    done: oneshot::Sender<io::Result<u64>>,
}

/// Handle to the writer thread. Dropping it ends the thread, which releases the folder's lock.
pub struct JournalWriter {
    jobs: mpsc::Sender<WriteJob>,
}

/// Locks the folder exclusively for this process; `None` if another process holds the lock.
pub fn lock(folder: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .mode(0o600)
        .open(folder.join(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl JournalWriter {
    /// Starts the thread on a folder whose lock is `lock`.
    pub fn start(mut journal: Journal<Folder>, lock: File) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel::<WriteJob>();
        thread::Builder::new().name("journal".into()).spawn(move || {
            for WriteJob { new_state, records, done } in queue {
                new_state.into_iter().for_each(|state| journal.replace_state(state));
                let written = journal.write(records).map(|()| journal.bytes());
                // The caller may have stopped waiting, for example after a time-out.
                let _ = done.send(written);
            }
            drop(lock);
        })?;
        Ok(Self { jobs })
    }

    /// Writes `records`, after `new_state` if the journal is to be replaced, and returns the journal's length in bytes once
    /// all of it is synced.
    pub async fn write(&self, new_state: Option<JournalState>, records: Vec<Record>) -> io::Result<u64> {
        let (done, written) = oneshot::channel();
        let ended = || io::Error::other("the journal's writer thread has ended");
        self.jobs.send(WriteJob { new_state, records, done }).map_err(|_| ended())?;
        written.await.map_err(|_| ended())?
    }
}
