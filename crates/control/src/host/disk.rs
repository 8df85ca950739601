//! The thread that writes and syncs the journal. Its system calls block, so they run outside of the asynchronous
//! tasks.

use super::journal::{Journal, Step};
use opalrun_storage::StorageError;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::sync::mpsc as async_mpsc;

/// Delay before a write that failed because the disk was full is retried.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The result of a job of the disk thread.
pub(super) enum JobResult {
    /// All steps are durable. Has the size of the journal in bytes.
    Synced { journal_bytes: u64 },
    /// A write has failed; the thread ends and writes nothing more.
    Failed { error: StorageError },
}

/// Handle of the disk thread. Dropping it ends the thread after its current job, and waits for that.
pub(super) struct DiskThread {
    jobs: Option<mpsc::Sender<Vec<Step>>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DiskThread {
    /// Starts the thread. The receiver yields one result for each job, in order.
    pub fn start(mut journal: Journal) -> io::Result<(Self, async_mpsc::UnboundedReceiver<JobResult>)> {
        let (jobs, incoming) = mpsc::channel::<Vec<Step>>();
        let (outgoing, results) = async_mpsc::unbounded_channel();
        let stopping = Arc::new(AtomicBool::new(false));
        let is_stopping = Arc::clone(&stopping);
        let run = move || {
            for steps in incoming {
                let result = carry_out(&mut journal, &steps, &is_stopping);
                let failed = matches!(result, JobResult::Failed { .. });
                if outgoing.send(result).is_err() || failed {
                    return;
                }
            }
        };
        let thread = thread::Builder::new().name("disk".to_owned()).spawn(run)?;
        Ok((Self { jobs: Some(jobs), stopping, thread: Some(thread) }, results))
    }

    /// Submits a job. Returns `false` after a failure, which has already been reported as a result.
    pub fn submit(&self, steps: Vec<Step>) -> bool {
        self.jobs.as_ref().is_some_and(|jobs| jobs.send(steps).is_ok())
    }
}

impl Drop for DiskThread {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            // The files must be closed before this process opens them again.
            let _ = thread.join();
        }
    }
}

/// Carries out a job. While the disk is full the job is retried, and nothing of it is acknowledged.
fn carry_out(journal: &mut Journal, steps: &[Step], stopping: &AtomicBool) -> JobResult {
    let mut is_logged = false;
    loop {
        match journal.carry_out(steps) {
            Ok(()) => return JobResult::Synced { journal_bytes: journal.bytes() },
            Err(error) if error.is_full() && !stopping.load(Ordering::Relaxed) => {
                if !is_logged {
                    tracing::warn!(%error, "disk full; retrying the write until there is space");
                }
                is_logged = true;
                thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            Err(error) => return JobResult::Failed { error },
        }
    }
}
