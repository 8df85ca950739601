//! Driver of the store's state machine: passes requests, store maps and pages to it, and its records to the log.

use crate::{
    error::{RecordSnafu, StorageSnafu, StoreError},
    journal::Journal,
    state::{PartitionPage, RequestOutcome, StoreLimits, StoreState},
};
use opalrun_storage::{DataDirectory, RecordLog, RecordLogOptions};
use opalrun_wire::{
    feed::{STORE_PARTITIONS, StoreMap},
    frame::FrameError,
    ids::{NodeIdentity, Partition},
    store::{StoreReply, StoreRequest},
};
use snafu::ResultExt;
use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, futures::Notified},
    time::{Instant, timeout_at},
};

/// Time-out for a newer store map to arrive, after a request from an epoch that this store has not learned yet.
const MAP_TIMEOUT: Duration = Duration::from_millis(300);
/// Name of the log in the data directory.
const LOG_NAME: &str = "store";
/// Size of a log segment.
const SEGMENT_BYTES: u64 = 4 << 20;
/// The log is compacted while it is larger than twice the live data plus this size.
const COMPACTION_SLACK_BYTES: u64 = 12 << 20;
/// Approximate size of the records that one compaction step rewrites.
const COMPACTION_STEP_BYTES: usize = 256 << 10;
/// Number of partitions from which one maintenance step removes expired items.
const EXPIRY_STEP_PARTITIONS: u16 = STORE_PARTITIONS / 8;

/// State of a store together with its log.
///
/// Shared by the request tasks, the replicator, the change feed and the metrics, which all run on one thread, so the state
/// is in a `RefCell`. A borrow ends within the method that takes it, or with the expression that calls [`Self::state`];
/// no borrow is held across an await.
pub struct StoreServer {
    identity: NodeIdentity,
    state: RefCell<StoreState>,
    journal: Journal,
    started: Instant,
    map_changed: Notify,
    /// First partition from which the next maintenance step removes expired items.
    expire_next: Cell<u16>,
}

impl StoreServer {
    /// Opens the log, replays its records, and starts the thread that writes it.
    ///
    /// # Errors
    /// [`StoreError::Storage`] if the log can't be read, [`StoreError::Record`] if one of its records can't be decoded.
    pub fn open(
        directory: &DataDirectory,
        identity: NodeIdentity,
        limits: StoreLimits,
    ) -> Result<Rc<Self>, StoreError> {
        let (state, log) = replay_log(directory, identity, limits)?;
        Ok(Rc::new(Self {
            identity,
            state: RefCell::new(state),
            journal: Journal::start(log),
            started: Instant::now(),
            map_changed: Notify::new(),
            expire_next: Cell::new(0),
        }))
    }

    /// Returns the identity of this store.
    #[must_use]
    pub fn identity(&self) -> NodeIdentity {
        self.identity
    }

    /// Borrows the state. The borrow must end before the caller awaits anything.
    #[must_use]
    pub fn state(&self) -> Ref<'_, StoreState> {
        self.state.borrow()
    }

    /// Returns the handle of the log writer.
    #[must_use]
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Applies a store map if it is newer than the current one; returns whether it was.
    pub fn set_map(&self, map: Rc<StoreMap>) -> bool {
        let is_newer = self.state.borrow_mut().set_map(map);
        self.submit();
        if is_newer {
            self.map_changed.notify_waiters();
        }
        is_newer
    }

    /// Waits for the next change of the store map after this call.
    pub fn map_changed(&self) -> Notified<'_> {
        self.map_changed.notified()
    }

    /// Serves a request. Returns the reply once the records that it depends on are synced to disk.
    pub async fn serve(&self, request: StoreRequest) -> StoreReply {
        let deadline = Instant::now() + MAP_TIMEOUT;
        loop {
            let changed = self.map_changed.notified();
            let handled = self.handle(&request);
            match handled {
                RequestOutcome::Reply(reply) => return reply,
                RequestOutcome::AfterSync { record, reply } => return self.after_sync(record, reply).await,
                RequestOutcome::NewerEpoch if timeout_at(deadline, changed).await.is_ok() => {}
                RequestOutcome::NewerEpoch => return self.state.borrow().stale_epoch_reply(),
            }
        }
    }

    /// Merges a page of another store and waits until it is synced to disk; returns false if the disk failed.
    pub async fn merge_page(&self, page: PartitionPage) -> bool {
        let record = self.state.borrow_mut().merge_page(page, self.started.elapsed());
        self.submit();
        self.journal.wait_synced(record).await.is_ok()
    }

    /// Runs one maintenance step: removes expired items from the next eighth of the partitions, and compacts the log by
    /// a small step if it has grown too large. To be called every second.
    pub fn maintain(&self) {
        let now = self.started.elapsed();
        let mut state = self.state.borrow_mut();
        let first = self.expire_next.get();
        for partition in first..first + EXPIRY_STEP_PARTITIONS {
            state.expire(Partition(partition), now);
        }
        self.expire_next.set((first + EXPIRY_STEP_PARTITIONS) % STORE_PARTITIONS);
        let status = self.journal.status();
        if status.bytes > 2 * state.live_bytes() as u64 + COMPACTION_SLACK_BYTES && !status.is_full {
            state.rewrite_oldest(COMPACTION_STEP_BYTES, now);
        }
        let oldest = state.oldest_record();
        drop(state);
        self.submit();
        self.journal.drop_before(oldest);
    }

    fn handle(&self, request: &StoreRequest) -> RequestOutcome {
        let status = self.journal.status();
        let mut state = self.state.borrow_mut();
        state.set_disk_status(status.bytes, status.is_full);
        let handled = state.handle(request, self.started.elapsed());
        drop(state);
        self.submit();
        handled
    }

    async fn after_sync(&self, record: u64, reply: StoreReply) -> StoreReply {
        match self.journal.wait_synced(record).await {
            Ok(()) => reply,
            Err(code) => StoreReply::Failed { code: code.0 },
        }
    }

    /// Passes pending records to the log writer.
    fn submit(&self) {
        let mut state = self.state.borrow_mut();
        if state.has_pending_records() {
            self.journal.write(state.take_pending_records());
        }
    }
}

/// Opens the log in `directory` and replays its records.
///
/// # Errors
/// [`StoreError::Storage`] if the log can't be read, [`StoreError::Record`] if one of its records can't be decoded.
pub(crate) fn replay_log(
    directory: &DataDirectory,
    identity: NodeIdentity,
    limits: StoreLimits,
) -> Result<(StoreState, RecordLog), StoreError> {
    let mut state = StoreState::new(identity, limits);
    let mut unreadable: Option<(u64, FrameError)> = None;
    let options = RecordLogOptions { segment_bytes: SEGMENT_BYTES };
    let log = RecordLog::open(directory, LOG_NAME, options, |number, record| {
        if let Err(error) = state.replay(number, record, Duration::ZERO) {
            unreadable.get_or_insert((number, error));
        }
    })
    .context(StorageSnafu)?;
    if let Some((number, source)) = unreadable {
        return Err(source).context(RecordSnafu { number });
    }
    state.set_next_record(log.next_record());
    state.set_disk_status(log.bytes(), false);
    Ok((state, log))
}
