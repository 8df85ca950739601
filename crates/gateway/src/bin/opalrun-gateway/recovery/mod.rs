//! Recovery after a crash or a power loss: writes a journal of quotas and workers while the gateway serves, restores state
//! from it at a start, and tracks how far service is restored. Off unless the configuration names a folder. See
//! `docs/recovery.md`.
//!
//! [`record`] and [`frame`] define the journal's format, [`journal`] handles its files, and [`journal_writer`] is the thread
//! that writes. How the restored state is used is decided in the gateway's decisions, not here.

mod disk;
mod downtime;
mod frame;
#[cfg(test)]
mod golden_tests;
mod journal;
mod journal_writer;
mod record;
#[cfg(test)]
mod tests;
pub mod tool;

use crate::config::{WorkerEntry, WorkerList};
use disk::Folder;
use downtime::BootTime;
use fnv::FnvHashSet;
use journal::{FoundJournal, Journal};
use journal_writer::JournalWriter;
use opalrun_gateway::{CustomerId, Ledger, RecoveredState, Time};
use opalrun_transport::clock::Clock;
use record::{CUSTOMERS_PER_RECORD, CustomerEntry, JournalState, Record};
use serde::Serialize;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt,
    io::{self, ErrorKind},
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use tracing::{info, warn};

/// Changes are batched for this long before a write: a sync per request would wear out the disk.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two attempts to write after the disk has failed.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to lock the folder while another process holds it.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum seconds between two writes of the list of workers.
const WORKER_LIST_INTERVAL_S: Time = 1.0;
/// Time-out for the last write before the process exits.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two checks of the start's progress.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Seconds after the start at which it goes on without a list of workers from discovery.
const WORKER_LIST_TIMEOUT_S: Time = 1.0;
/// Seconds after the start at which it goes on without an answer of the counter.
const COUNTER_TIMEOUT_S: Time = 3.0;
/// Seconds after the start at which it goes on without other gateways.
const FLEET_TIMEOUT_S: Time = 2.0;
/// Seconds after the start at which tracking ends even if service is not full.
const FULL_SERVICE_TIMEOUT_S: Time = 120.0;

/// Another process has locked the folder that the configuration names.
#[derive(Debug)]
pub struct FolderInUse(PathBuf);

impl fmt::Display for FolderInUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the state folder {} is in use by another process; each gateway needs its own folder",
            self.0.display()
        )
    }
}

impl std::error::Error for FolderInUse {}

/// Progress of a start.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartupProgress {
    /// Whether discovery has sent a full list of workers.
    pub has_worker_list: bool,
    /// Whether the counter has answered a call; `None` if no counter is configured.
    pub counter_answered: Option<bool>,
    /// Number of other gateways that are alive; `None` if no fleet is configured.
    pub other_members: Option<usize>,
    /// Number of workers that may get requests.
    pub usable_workers: usize,
    /// Number of the usable workers that are warming up.
    pub warming_up_workers: usize,
}

/// Access to the gateway whose state is written and restored.
pub trait GatewayHandle {
    /// Returns the names of the plans, in the order of their indexes.
    fn plan_names(&self) -> Vec<String>;
    /// Returns the customers whose state the gateway holds.
    fn customers(&self) -> Vec<CustomerId>;
    /// Returns a customer's plan index and quota state. Unless `exact` is set, the even share is reduced by one block, which
    /// covers what is sent before the next write.
    fn ledger(&self, customer: &str, exact: bool) -> Option<(usize, Ledger)>;
    fn startup_progress(&self) -> StartupProgress;
    /// Adds workers of an earlier list because discovery does not answer; they may have restarted since.
    fn use_workers(&self, workers: Vec<WorkerEntry>);
}

/// A completed step of the start.
#[derive(Debug, Clone, Serialize)]
struct Step {
    name: &'static str,
    /// Seconds from the start to the step's completion.
    at_s: f64,
    outcome: String,
}

/// Status and statistics of writing, as the report shows them.
#[derive(Debug, Clone, Default, Serialize)]
struct WriterStatus {
    /// Whether this process holds the folder's lock.
    #[serde(rename = "holds")]
    holds_folder: bool,
    /// Length of the journal.
    bytes: u64,
    /// Number of successful writes.
    batches: u64,
    /// Number of customer entries taken for status.
    customers: u64,
    /// Milliseconds from the oldest change of the latest batch until it was synced.
    lag_ms: f64,
    /// Maximum of `lag_ms` since the start.
    worst_lag_ms: f64,
    /// Error of the latest write, if it failed.
    #[serde(rename = "failing")]
    last_failure: Option<String>,
}

/// Changes that are not written yet.
#[derive(Default)]
struct PendingChanges {
    customers: FnvHashSet<CustomerId>,
    /// Workers that an operator took offline (`true`) or back online.
    offline_changes: Vec<(String, bool)>,
    /// Time of the oldest change that is not taken for writing yet.
    oldest: Option<Time>,
    /// Time of the oldest change in the batch that is being written.
    oldest_in_flight: Option<Time>,
    /// Whether the list of workers has changed since it was last written.
    worker_list_changed: bool,
    /// When the list of workers was last written.
    worker_list_written_at: Time,
}

/// Writes one gateway's journal, and reports how its start went.
pub struct Recovery {
    folder: PathBuf,
    name: String,
    clock: Clock,
    start: Time,
    pending: RefCell<PendingChanges>,
    /// Version and entries of discovery's list, by worker id.
    workers: RefCell<(u64, BTreeMap<String, WorkerEntry>)>,
    /// Wakes the task that writes the journal.
    wake: Notify,
    /// Whether this process, and not one that took over from it, is to write the journal.
    should_write: Cell<bool>,
    /// The writer thread; present while this process holds the folder.
    writer: RefCell<Option<Rc<JournalWriter>>>,
    /// Workers that an operator has taken offline.
    offline_workers: RefCell<BTreeSet<String>>,
    /// The earlier process's list of workers, for a start without discovery.
    earlier_workers: RefCell<Vec<WorkerEntry>>,
    /// What was restored at the start, as JSON for the report.
    restored: serde_json::Value,
    steps: RefCell<Vec<Step>>,
    status: RefCell<WriterStatus>,
}

impl Recovery {
    /// Locks the folder, and returns the state to start from, as an earlier process left it there. If this process takes
    /// over from one that is still running (`is_successor`), the state comes from that process instead, and the folder is
    /// locked once that process releases it.
    ///
    /// # Errors
    /// Another process holds the folder's lock.
    pub fn start(
        folder: &Path,
        name: &str,
        plans: &[String],
        clock: Clock,
        is_successor: bool,
    ) -> Result<(Rc<Self>, Option<RecoveredState>), FolderInUse> {
        let mut recovery = Self {
            folder: folder.to_owned(),
            name: name.to_owned(),
            clock,
            start: clock.now(),
            pending: RefCell::default(),
            workers: RefCell::default(),
            wake: Notify::new(),
            should_write: Cell::new(true),
            writer: RefCell::default(),
            offline_workers: RefCell::default(),
            earlier_workers: RefCell::default(),
            restored: json!({"from": "the process before"}),
            steps: RefCell::default(),
            status: RefCell::default(),
        };
        if is_successor {
            return Ok((Rc::new(recovery), None));
        }
        match recovery.open_at_start(plans) {
            Ok(Some(recovered)) => Ok((Rc::new(recovery), Some(recovered))),
            Ok(None) => Err(FolderInUse(folder.to_owned())),
            // The gateway serves all the same. If there is a folder, any customer may have spent its quota.
            Err(e) => {
                warn!("cannot use the state folder {}: {e}", folder.display());
                let others_spent = (e.kind() != ErrorKind::NotFound).then_some(0.0);
                recovery.status.get_mut().last_failure = Some(e.to_string());
                recovery.restored =
                    json!({"from": "nothing", "others_count_as_spent": others_spent.is_some()});
                recovery.step("own state", format!("not available: {e}"));
                Ok((Rc::new(recovery), Some(RecoveredState { others_spent, ..RecoveredState::default() })))
            }
        }
    }

    /// Opens the folder's journal and returns the state to start from; `None` if another process holds the lock.
    fn open_at_start(&mut self, plans: &[String]) -> io::Result<Option<RecoveredState>> {
        let Some(lock) = journal_writer::lock(&self.folder)? else { return Ok(None) };
        let now = BootTime::now(Path::new("/proc"));
        let (mut journal, found) = Journal::open(Folder::new(&self.folder), &self.name, &now)?;
        let mut recovered = found.state.to_recovered(found.downtime, plans);
        recovered.customers.retain(|(.., ledger)| ledger.is_plausible());
        // The leases are removed from the file before any is used: if this process dies right after, the next start must
        // not find them again.
        if let Err(e) = journal.rewrite() {
            warn!("cannot write to the state folder {}: {e}", self.folder.display());
            recovered.customers.iter_mut().for_each(|(.., ledger)| ledger.lease = 0.0);
            self.status.get_mut().last_failure = Some(e.to_string());
        }
        self.report_restored(&found, &recovered);
        *self.offline_workers.get_mut() = found.state.offline_workers.clone();
        *self.earlier_workers.get_mut() = found.state.workers.map(|(_, workers)| workers).unwrap_or_default();
        *self.writer.get_mut() = Some(Rc::new(JournalWriter::start(journal, lock)?));
        self.status.get_mut().holds_folder = true;
        Ok(Some(recovered))
    }

    /// Logs and records what was restored from the journal.
    fn report_restored(&mut self, found: &FoundJournal, recovered: &RecoveredState) {
        let (outcome, integrity) = match (&found.rejected, &found.integrity) {
            (Some((reason, preserved_as)), _) => {
                (format!("rejected, preserved as {preserved_as}: {reason}"), None)
            }
            (None, Some(integrity)) => {
                (format!("{} customers", recovered.customers.len()), Some(integrity.to_string()))
            }
            (None, None) => ("none".to_owned(), None),
        };
        let leases = recovered.customers.iter().filter(|(.., l)| l.lease > 0.0).count();
        self.restored = json!({
            "from": "disk", "file": integrity, "in_good_order": found.state.shut_down_cleanly, "customers": recovered.customers.len(),
            "with_leases": leases, "others_count_as_spent": recovered.others_spent.is_some(), "out_by_hand": recovered.offline_servers,
            "away_s": found.downtime, "refused": found.rejected.as_ref().map(|(reason, _)| reason.to_string()),
        });
        let damaged = found.integrity.as_ref().filter(|i| **i != frame::Integrity::Complete);
        if found.rejected.is_some() || damaged.is_some() {
            warn!(
                "state: {outcome}{}",
                damaged.map(|integrity| format!("; {integrity}")).unwrap_or_default()
            );
        }
        self.step("own state", outcome);
    }

    /// Logs and records a completed step of the start.
    fn step(&self, name: &'static str, outcome: String) {
        let at_s = self.clock.now() - self.start;
        info!("recovery: {name}: {outcome}, {at_s:.3} s after the start");
        self.steps.borrow_mut().push(Step { name, at_s, outcome });
    }

    // ---- Changes to write ----

    /// Marks that there is a change to write, and wakes the writing task.
    fn mark_pending(&self) {
        self.pending.borrow_mut().oldest.get_or_insert(self.clock.now());
        self.wake.notify_one();
    }

    /// Records that units of a customer's quota were spent on a request sent to a worker.
    pub fn record_send(&self, customer: &CustomerId) {
        if self.should_write.get() && self.pending.borrow_mut().customers.insert(customer.clone()) {
            self.mark_pending();
        }
    }

    /// Records that an operator took a worker offline, or back online.
    pub fn record_worker_offline(&self, id: &str, is_offline: bool) {
        let mut offline = self.offline_workers.borrow_mut();
        let changed = if is_offline { offline.insert(id.to_owned()) } else { offline.remove(id) };
        if !changed {
            return;
        }
        self.pending.borrow_mut().offline_changes.push((id.to_owned(), is_offline));
        self.mark_pending();
    }

    /// Records a list of workers from discovery: a full list, or changes.
    pub fn record_worker_list(&self, list: &WorkerList) {
        let (version, workers) = &mut *self.workers.borrow_mut();
        *version = list.version;
        if list.full {
            workers.clear();
        }
        for entry in &list.servers {
            if entry.state == "DELETED" {
                workers.remove(&entry.id);
            } else {
                workers.insert(entry.id.clone(), entry.clone());
            }
        }
        self.pending.borrow_mut().worker_list_changed = true;
        self.mark_pending();
    }

    /// Stops writing and releases the folder to the process that takes over.
    pub fn release_folder(&self) {
        self.should_write.set(false);
        self.wake.notify_one();
    }

    /// Locks the folder again, after the process that took over has ended.
    pub fn reclaim_folder(&self) {
        self.should_write.set(true);
        self.wake.notify_one();
    }

    // ---- Writing the journal ----

    /// Writes the journal for as long as the process runs, whenever this process is to write it.
    pub async fn run_journal(self: Rc<Self>, gateway: impl GatewayHandle) {
        loop {
            let current = self.writer.borrow().clone();
            let writer = match current {
                Some(writer) => writer,
                None => self.acquire_folder(&gateway).await,
            };
            self.write_changes(&gateway, &writer).await;
            // Ends the writer thread, which releases the folder's lock.
            self.writer.take();
            self.status.borrow_mut().holds_folder = false;
        }
    }

    /// Waits until this process is to write and the folder's lock is free, and writes a journal of this process's state.
    async fn acquire_folder(&self, gateway: &impl GatewayHandle) -> Rc<JournalWriter> {
        let mut has_warned = false;
        loop {
            if !self.should_write.get() {
                self.wake.notified().await;
                continue;
            }
            match self.open_folder(gateway).await {
                Ok(Some(writer)) => {
                    info!("state: this process writes to {}", self.folder.display());
                    self.status.borrow_mut().holds_folder = true;
                    return self.writer.borrow_mut().insert(Rc::new(writer)).clone();
                }
                Ok(None) => sleep(LOCK_RETRY_INTERVAL).await,
                Err(e) => {
                    if !std::mem::replace(&mut has_warned, true) {
                        warn!("cannot use the state folder {}: {e}", self.folder.display());
                    }
                    sleep(WRITE_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Locks the folder and replaces its journal by this process's state; `None` if another process holds the lock.
    async fn open_folder(&self, gateway: &impl GatewayHandle) -> io::Result<Option<JournalWriter>> {
        let Some(lock) = journal_writer::lock(&self.folder)? else { return Ok(None) };
        let now = BootTime::now(Path::new("/proc"));
        let (journal, _) = Journal::open(Folder::new(&self.folder), &self.name, &now)?;
        let mut state = JournalState::new(&self.name, now.clone(), gateway.plan_names());
        state.offline_workers = self.offline_workers.borrow().clone();
        let all = self.customer_records(gateway, gateway.customers().into_iter(), &now, false);
        all.into_iter().for_each(|record| state.apply(record));
        let writer = JournalWriter::start(journal, lock)?;
        writer.write(Some(state), Vec::new()).await?;
        Ok(Some(writer))
    }

    /// Returns records of the current states of customers; see [`GatewayHandle::ledger`] for `exact`.
    fn customer_records(
        &self,
        gateway: &impl GatewayHandle,
        ids: impl Iterator<Item = CustomerId>,
        now: &BootTime,
        exact: bool,
    ) -> Vec<Record> {
        let entry = |id: CustomerId| {
            let (plan, ledger) = gateway.ledger(&id, exact)?;
            Some((
                id.to_string(),
                CustomerEntry { plan: u32::try_from(plan).ok()?, uptime: now.uptime, ledger },
            ))
        };
        let all: Vec<_> = ids.filter_map(entry).collect();
        all.chunks(CUSTOMERS_PER_RECORD).map(|batch| Record::Customers(batch.to_vec())).collect()
    }

    /// Takes all pending changes that are due, and returns them as records.
    fn take_pending_records(&self, gateway: &impl GatewayHandle) -> Vec<Record> {
        let now = BootTime::now(Path::new("/proc"));
        let (ids, offline_changes, list_is_due) = {
            let mut pending = self.pending.borrow_mut();
            pending.oldest_in_flight = pending.oldest_in_flight.take().or(pending.oldest.take());
            let due = pending.worker_list_changed
                && self.clock.now() - pending.worker_list_written_at >= WORKER_LIST_INTERVAL_S;
            if due {
                (pending.worker_list_changed, pending.worker_list_written_at) = (false, self.clock.now());
            }
            (std::mem::take(&mut pending.customers), std::mem::take(&mut pending.offline_changes), due)
        };
        self.status.borrow_mut().customers += ids.len() as u64;
        let mut records = self.customer_records(gateway, ids.into_iter(), &now, false);
        records.extend(
            offline_changes.into_iter().map(|(id, is_offline)| Record::WorkerOffline { id, is_offline }),
        );
        if list_is_due {
            let workers = self.workers.borrow();
            records
                .push(Record::Workers { version: workers.0, workers: workers.1.values().cloned().collect() });
        }
        records
    }

    /// Writes changes in batches until another process is to write the journal.
    async fn write_changes(&self, gateway: &impl GatewayHandle, writer: &JournalWriter) {
        let mut plans = Vec::new();
        loop {
            if !self.should_write.get() {
                return;
            }
            let mut records = self.take_pending_records(gateway);
            let names = gateway.plan_names();
            if names != plans {
                records.insert(0, Record::Plans(names.clone()));
                plans = names;
            }
            let is_failing = self.status.borrow().last_failure.is_some();
            if records.is_empty() && !is_failing {
                self.pending.borrow_mut().oldest_in_flight = None;
            } else if !self.record_write_result(writer.write(None, records).await) {
                sleep(WRITE_RETRY_INTERVAL).await;
                continue;
            }
            // A changed list of workers may not be due yet.
            let list_is_pending = self.pending.borrow().worker_list_changed;
            let list_due = async {
                if !list_is_pending {
                    std::future::pending::<()>().await;
                }
                sleep(Duration::from_secs_f64(WORKER_LIST_INTERVAL_S)).await;
            };
            tokio::select! { () = self.wake.notified() => {}, () = list_due => {} }
            sleep(BATCH_INTERVAL).await;
        }
    }

    /// Updates the status after a write, and returns whether the write succeeded.
    fn record_write_result(&self, written: io::Result<u64>) -> bool {
        let since = self.pending.borrow_mut().oldest_in_flight.take_if(|_| written.is_ok());
        let mut status = self.status.borrow_mut();
        match written {
            Ok(bytes) => {
                if status.last_failure.take().is_some() {
                    info!("state: writes to {} succeed again", self.folder.display());
                }
                (status.bytes, status.batches) = (bytes, status.batches + 1);
                if let Some(since) = since {
                    status.lag_ms = (self.clock.now() - since) * 1e3;
                    status.worst_lag_ms = status.worst_lag_ms.max(status.lag_ms);
                }
                true
            }
            Err(e) => {
                if status.last_failure.replace(e.to_string()).is_none() {
                    warn!("cannot write to the state folder {}: {e}", self.folder.display());
                }
                false
            }
        }
    }

    /// Writes the exact state of all customers, leases included, and the record of a clean shutdown. The process must not
    /// send any request after this, as the next process uses the leases.
    pub async fn write_final_records(&self, gateway: &impl GatewayHandle) {
        let Some(writer) = self.writer.borrow().clone().filter(|_| self.should_write.get()) else { return };
        let now = BootTime::now(Path::new("/proc"));
        let mut records = self.take_pending_records(gateway);
        records.extend(self.customer_records(gateway, gateway.customers().into_iter(), &now, true));
        records.push(Record::CleanShutdown { uptime: now.uptime });
        match timeout(FINAL_WRITE_TIMEOUT, writer.write(None, records)).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => warn!("cannot write to the state folder {}: {e}", self.folder.display()),
            Err(_) => {
                warn!("writing to the state folder {} timed out; its leases are lost", self.folder.display())
            }
        }
    }

    // ---- Start ----

    /// Records the steps of the start until service is full, and uses the earlier process's list of workers if discovery
    /// does not answer in time.
    pub async fn track_startup(self: Rc<Self>, gateway: impl GatewayHandle) {
        let (mut list_done, mut counter_done, mut fleet_done) = (false, false, false);
        loop {
            let (elapsed, progress) = (self.clock.now() - self.start, gateway.startup_progress());
            if !list_done && (progress.has_worker_list || elapsed >= WORKER_LIST_TIMEOUT_S) {
                list_done = true;
                let earlier = std::mem::take(&mut *self.earlier_workers.borrow_mut());
                let outcome = match (progress.has_worker_list, earlier.len()) {
                    (true, _) => "received from discovery".to_owned(),
                    (false, 0) => "discovery does not answer, and there is no earlier list".to_owned(),
                    (false, n) => {
                        let workers = earlier.into_iter().filter(|w| w.state == "SERVING");
                        gateway.use_workers(workers.collect());
                        format!("discovery does not answer: {n} workers of an earlier list, warming up")
                    }
                };
                self.step("list of workers", outcome);
            }
            if !counter_done && (progress.counter_answered != Some(false) || elapsed >= COUNTER_TIMEOUT_S) {
                counter_done = true;
                let outcome = match progress.counter_answered {
                    None => "not configured",
                    Some(true) => "answers",
                    Some(false) => "does not answer: even shares limit spending meanwhile",
                };
                self.step("counter", outcome.to_owned());
            }
            if !fleet_done && (progress.other_members != Some(0) || elapsed >= FLEET_TIMEOUT_S) {
                fleet_done = true;
                let outcome = match progress.other_members {
                    None => "not configured".to_owned(),
                    Some(0) => "no other gateway answers".to_owned(),
                    Some(n) => format!("{n} other gateways answer"),
                };
                self.step("fleet", outcome);
            }
            let is_full = progress.usable_workers > 0 && progress.warming_up_workers == 0;
            if list_done && counter_done && fleet_done && (is_full || elapsed >= FULL_SERVICE_TIMEOUT_S) {
                let outcome = if is_full { "full" } else { "not full, see the workers' states" };
                return self
                    .step("service", format!("{outcome}: {} usable workers", progress.usable_workers));
            }
            sleep(STARTUP_POLL_INTERVAL).await;
        }
    }

    /// Returns a report of the start and of the journal, as JSON.
    pub fn report(&self) -> String {
        let (steps, status, pending) = (self.steps.borrow(), self.status.borrow(), self.pending.borrow());
        let unwritten =
            pending.oldest_in_flight.or(pending.oldest).map_or(0.0, |since| (self.clock.now() - since) * 1e3);
        json!({
            "folder": self.folder, "since_start_s": self.clock.now() - self.start, "trusted": self.restored,
            "steps": *steps, "full_at_s": steps.iter().find(|s| s.name == "service").map(|s| s.at_s),
            "journal": *status, "waiting": pending.customers.len(), "unwritten_ms": unwritten,
        })
        .to_string()
    }
}
