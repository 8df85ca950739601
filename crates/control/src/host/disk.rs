//! The thread that writes and syncs.

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

/// Pause before writing again to a full disk.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// What became of a job.
pub(super) enum JobResult {
    /// Everything in it lasts. The journal has this many bytes now.
    Synced { journal_bytes: u64 },
    /// The disk has failed and nothing more is written.
    Failed { error: StorageError },
}

/// Hands jobs to the thread. When this is dropped, the thread ends its job and then itself.
pub(super) struct DiskThread {
    jobs: Option<mpsc::Sender<Vec<Step>>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DiskThread {
    /// Starts the thread. The receiver gets a result for each job.
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

    /// Hands over a job; false after a failure, which was told already.
    pub fn submit(&self, steps: Vec<Step>) -> bool {
        self.jobs.as_ref().is_some_and(|jobs| jobs.send(steps).is_ok())
    }
}

impl Drop for DiskThread {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            // The files must be free when this process opens them again.
            let _ = thread.join();
        }
    }
}

/// Carries a job out; on a full disk again and again. Until then nothing in it is acknowledged.
fn carry_out(journal: &mut Journal, steps: &[Step], stopping: &AtomicBool) -> JobResult {
    let mut is_told = false;
    loop {
        match journal.carry_out(steps) {
            Ok(()) => return JobResult::Synced { journal_bytes: journal.bytes() },
            Err(error) if error.is_full() && !stopping.load(Ordering::Relaxed) => {
                if !is_told {
                    tracing::warn!(%error, "waiting for space");
                }
                is_told = true;
                thread::sleep(FULL_PAUSE);
            }
            Err(error) => return JobResult::Failed { error },
        }
    }
}
