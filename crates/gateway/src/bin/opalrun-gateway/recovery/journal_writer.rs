//! The thread that writes: a sync takes as long as the disk likes, and nobody else may wait for it.

use super::{
    disk::Folder,
    journal::Journal,
    record::{Image, Record},
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

const LOCK: &str = "lock";

/// What the thread is to write.
struct Job {
    /// In the place of all that the journal says.
    image: Option<Image>,
    records: Vec<Record>,
    /// The file's bytes once all is on disk.
    done: oneshot::Sender<io::Result<u64>>,
}

/// A line to the thread; it ends, and gives the folder back, when this is dropped.
pub struct JournalWriter {
    jobs: mpsc::Sender<Job>,
}

/// Takes the folder for this process alone; `None`: another one has it.
pub fn lock(folder: &Path) -> io::Result<Option<File>> {
    let file =
        OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(folder.join(LOCK))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl JournalWriter {
    /// Starts the thread on a folder that is locked by `lock`.
    pub fn start(mut journal: Journal<Folder>, lock: File) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel::<Job>();
        thread::Builder::new().name("journal".into()).spawn(move || {
            for Job { image, records, done } in queue {
                image.into_iter().for_each(|image| journal.replace(image));
                let written = journal.write(records).map(|()| journal.bytes());
                // Whoever has stopped waiting has no use for it.
                let _ = done.send(written);
            }
            drop(lock);
        })?;
        Ok(Self { jobs })
    }

    /// Writes `records`, behind `image` where the journal is to begin anew, and returns the file's length once all
    /// of it is on disk.
    pub async fn write(&self, image: Option<Image>, records: Vec<Record>) -> io::Result<u64> {
        let (done, written) = oneshot::channel();
        let ended = || io::Error::other("the thread that writes has ended");
        self.jobs.send(Job { image, records, done }).map_err(|_| ended())?;
        written.await.map_err(|_| ended())?
    }
}
