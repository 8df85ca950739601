//! Recovery after a crash or a power loss: what is written down while the gateway serves, what a start trusts of
//! it, and in which order service returns. Off unless the configuration names a folder. See `docs/recovery.md`.
//!
//! [`record`] and [`frame`] hold the form of the journal, [`journal`] its files, [`journal_writer`] the thread that writes;
//! what is made of it is the module's to decide.

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
use downtime::Moment;
use fnv::FnvHashSet;
use journal::{Found, Journal};
use journal_writer::JournalWriter;
use opalrun_gateway::{CustomerId, Ledger, RecoveredState, Time};
use opalrun_transport::clock::Clock;
use record::{BATCH, Entered, Image, Record};
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

/// What is to be written is gathered for so long: a sync for each request would wear the disk out.
const GATHER: Duration = Duration::from_millis(10);
/// Between two tries to write where the disk fails, and to take the folder where another process has it.
const RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(50));
/// Between two writings of the list of workers.
const LISTS: Time = 1.0;
/// Longest wait for the last write of a process.
const LAST: Duration = Duration::from_millis(150);
/// Between two looks how far the start has come.
const LOOK: Duration = Duration::from_millis(20);
/// Seconds from the start after which it goes on without the list of workers, the counter and the other members,
/// and after which nobody looks any more whether service is full.
const WAITS: (Time, Time, Time, Time) = (1.0, 3.0, 2.0, 120.0);

/// Another process has the folder that the configuration names.
#[derive(Debug)]
pub struct FolderInUse(PathBuf);

impl fmt::Display for FolderInUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the state in {} is in use by another process: one gateway, one folder", self.0.display())
    }
}

impl std::error::Error for FolderInUse {}

/// How far a start has come.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartupProgress {
    /// Discovery has told the whole list.
    pub has_worker_list: bool,
    /// The counter has answered a call; `None`: there is no counter.
    pub counter_answered: Option<bool>,
    /// Other members that are heard of; `None`: there is no fleet.
    pub other_members: Option<usize>,
    /// Workers that may be sent to, and those of them that are cold.
    pub usable_workers: usize,
    pub warming_up_workers: usize,
}

/// What recovery needs of the gateway that it is for.
pub trait GatewayHandle {
    /// The plans' names, by their numbers.
    fn plan_names(&self) -> Vec<String>;
    fn customers(&self) -> Vec<CustomerId>;
    /// How a customer stands, and its plan's number; of its even share a block less, unless it is `exact`.
    fn ledger(&self, customer: &str, exact: bool) -> Option<(usize, Ledger)>;
    fn startup_progress(&self) -> StartupProgress;
    /// Discovery is not to be had: these workers were there once, and may be cold.
    fn use_workers(&self, workers: Vec<WorkerEntry>);
}

/// A step of the start, and how it ended.
#[derive(Debug, Clone, Serialize)]
struct Step {
    name: &'static str,
    /// Seconds since the start.
    at_s: f64,
    outcome: String,
}

/// How writing goes.
#[derive(Debug, Clone, Default, Serialize)]
struct Writing {
    holds: bool,
    bytes: u64,
    batches: u64,
    customers: u64,
    /// From a send off the count until it is on disk, milliseconds: the last and the longest.
    lag_ms: f64,
    worst_lag_ms: f64,
    failing: Option<String>,
}

/// What waits to be written.
#[derive(Default)]
struct Waiting {
    customers: FnvHashSet<CustomerId>,
    hands: Vec<(String, bool)>,
    since: Option<Time>,
    /// Since when what is being written waits.
    flying: Option<Time>,
    /// The list of workers has changed, and when it was last written.
    listed: bool,
    lists_at: Time,
}

pub struct Recovery {
    folder: PathBuf,
    name: String,
    clock: Clock,
    start: Time,
    waiting: RefCell<Waiting>,
    workers: RefCell<(u64, BTreeMap<String, WorkerEntry>)>,
    wake: Notify,
    /// This process is the one that is to have the folder.
    wanted: Cell<bool>,
    keeper: RefCell<Option<Rc<JournalWriter>>>,
    /// Workers that are out by hand.
    aside: RefCell<BTreeSet<String>>,
    /// The list that an earlier process had, for a start without discovery.
    earlier: RefCell<Vec<WorkerEntry>>,
    trusted: serde_json::Value,
    steps: RefCell<Vec<Step>>,
    writing: RefCell<Writing>,
}

impl Recovery {
    /// Takes the folder and reads what an earlier process left there: what there is to go on from. Where this
    /// process is the heir of one that still runs (`heir`), the folder is taken when that one gives it back.
    ///
    /// # Errors
    /// Another process has the folder.
    pub fn start(
        folder: &Path,
        name: &str,
        plans: &[String],
        clock: Clock,
        heir: bool,
    ) -> Result<(Rc<Self>, Option<RecoveredState>), FolderInUse> {
        let mut recovery = Self {
            folder: folder.to_owned(),
            name: name.to_owned(),
            clock,
            start: clock.now(),
            waiting: RefCell::default(),
            workers: RefCell::default(),
            wake: Notify::new(),
            wanted: Cell::new(true),
            keeper: RefCell::default(),
            aside: RefCell::default(),
            earlier: RefCell::default(),
            trusted: json!({"from": "the process before"}),
            steps: RefCell::default(),
            writing: RefCell::default(),
        };
        if heir {
            return Ok((Rc::new(recovery), None));
        }
        match recovery.open_first(plans) {
            Ok(Some(kept)) => Ok((Rc::new(recovery), Some(kept))),
            Ok(None) => Err(FolderInUse(folder.to_owned())),
            // No reason not to serve. Where there is a folder, what it holds may be anything.
            Err(e) => {
                warn!("the state in {} can't be used: {e}", folder.display());
                let spent = (e.kind() != ErrorKind::NotFound).then_some(0.0);
                recovery.writing.get_mut().failing = Some(e.to_string());
                recovery.trusted = json!({"from": "nothing", "others_count_as_spent": spent.is_some()});
                recovery.step("own state", format!("not to be had: {e}"));
                Ok((
                    Rc::new(recovery),
                    Some(RecoveredState { others_spent: spent, ..RecoveredState::default() }),
                ))
            }
        }
    }

    /// The same for a folder that is there and can be read; `None`: another process has it.
    fn open_first(&mut self, plans: &[String]) -> io::Result<Option<RecoveredState>> {
        let Some(lock) = journal_writer::lock(&self.folder)? else { return Ok(None) };
        let now = Moment::now(Path::new("/proc"));
        let (mut journal, found) = Journal::open(Folder::new(&self.folder), &self.name, &now)?;
        let mut kept = found.image.kept(found.away, plans);
        kept.customers.retain(|(.., ledger)| ledger.is_plausible());
        // Before anything of it is used: a start that dies right after must not find the same leases again.
        if let Err(e) = journal.renew() {
            warn!("the state in {} can't be written: {e}", self.folder.display());
            kept.customers.iter_mut().for_each(|(.., ledger)| ledger.lease = 0.0);
            self.writing.get_mut().failing = Some(e.to_string());
        }
        self.tell_found(&found, &kept);
        *self.aside.get_mut() = found.image.aside.clone();
        *self.earlier.get_mut() = found.image.workers.map(|(_, workers)| workers).unwrap_or_default();
        *self.keeper.get_mut() = Some(Rc::new(JournalWriter::start(journal, lock)?));
        self.writing.get_mut().holds = true;
        Ok(Some(kept))
    }

    fn tell_found(&mut self, found: &Found, kept: &RecoveredState) {
        let (outcome, end) = match (&found.refused, &found.end) {
            (Some((why, aside)), _) => (format!("refused, kept as {aside}: {why}"), None),
            (None, Some(end)) => (format!("{} customers", kept.customers.len()), Some(end.to_string())),
            (None, None) => ("none".to_owned(), None),
        };
        let leases = kept.customers.iter().filter(|(.., l)| l.lease > 0.0).count();
        self.trusted = json!({
            "from": "disk", "file": end, "in_good_order": found.image.ended, "customers": kept.customers.len(),
            "with_leases": leases, "others_count_as_spent": kept.others_spent.is_some(), "out_by_hand": kept.offline_servers,
            "away_s": found.away, "refused": found.refused.as_ref().map(|(why, _)| why.to_string()),
        });
        let damaged = found.end.as_ref().filter(|end| **end != frame::End::Whole);
        if found.refused.is_some() || damaged.is_some() {
            warn!("state: {outcome}{}", damaged.map(|end| format!("; {end}")).unwrap_or_default());
        }
        self.step("own state", outcome);
    }

    fn step(&self, name: &'static str, outcome: String) {
        let at_s = self.clock.now() - self.start;
        info!("recovery: {name}: {outcome}, {at_s:.3} s from the start");
        self.steps.borrow_mut().push(Step { name, at_s, outcome });
    }

    // ---- What is told ----

    fn note(&self) {
        self.waiting.borrow_mut().since.get_or_insert(self.clock.now());
        self.wake.notify_one();
    }

    /// Units of a customer were sent on.
    pub fn record_send(&self, customer: &CustomerId) {
        if self.wanted.get() && self.waiting.borrow_mut().customers.insert(customer.clone()) {
            self.note();
        }
    }

    /// A worker was taken out by hand, or put back.
    pub fn record_worker_offline(&self, id: &str, out: bool) {
        let mut aside = self.aside.borrow_mut();
        let changed = if out { aside.insert(id.to_owned()) } else { aside.remove(id) };
        if !changed {
            return;
        }
        self.waiting.borrow_mut().hands.push((id.to_owned(), out));
        self.note();
    }

    /// Discovery's list has changed.
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
        self.waiting.borrow_mut().listed = true;
        self.note();
    }

    /// The folder goes to the process that takes over.
    pub fn release_folder(&self) {
        self.wanted.set(false);
        self.wake.notify_one();
    }

    /// That process has ended: the folder comes back.
    pub fn reclaim_folder(&self) {
        self.wanted.set(true);
        self.wake.notify_one();
    }

    // ---- What is written ----

    /// Keeps the journal for good.
    pub async fn run_journal(self: Rc<Self>, site: impl GatewayHandle) {
        loop {
            let held = self.keeper.borrow().clone();
            let keeper = match held {
                Some(keeper) => keeper,
                None => self.take(&site).await,
            };
            self.write(&site, &keeper).await;
            // Its thread ends, and the folder is free.
            self.keeper.take();
            self.writing.borrow_mut().holds = false;
        }
    }

    /// Waits for the folder, and begins its journal with what this process knows.
    async fn take(&self, site: &impl GatewayHandle) -> Rc<JournalWriter> {
        let mut told = false;
        loop {
            if !self.wanted.get() {
                self.wake.notified().await;
                continue;
            }
            match self.open(site).await {
                Ok(Some(keeper)) => {
                    info!("state: this process keeps {}", self.folder.display());
                    self.writing.borrow_mut().holds = true;
                    return self.keeper.borrow_mut().insert(Rc::new(keeper)).clone();
                }
                Ok(None) => sleep(RETRY.1).await,
                Err(e) => {
                    if !std::mem::replace(&mut told, true) {
                        warn!("the state in {} can't be used: {e}", self.folder.display());
                    }
                    sleep(RETRY.0).await;
                }
            }
        }
    }

    async fn open(&self, site: &impl GatewayHandle) -> io::Result<Option<JournalWriter>> {
        let Some(lock) = journal_writer::lock(&self.folder)? else { return Ok(None) };
        let now = Moment::now(Path::new("/proc"));
        let (journal, _) = Journal::open(Folder::new(&self.folder), &self.name, &now)?;
        let mut image = Image::new(&self.name, now.clone(), site.plan_names());
        image.aside = self.aside.borrow().clone();
        let all = self.customers(site, site.customers().into_iter(), &now, false);
        all.into_iter().for_each(|record| image.add(record));
        let keeper = JournalWriter::start(journal, lock)?;
        keeper.write(Some(image), Vec::new()).await?;
        Ok(Some(keeper))
    }

    fn customers(
        &self,
        site: &impl GatewayHandle,
        ids: impl Iterator<Item = CustomerId>,
        now: &Moment,
        exact: bool,
    ) -> Vec<Record> {
        let entered = |id: CustomerId| {
            let (plan, ledger) = site.ledger(&id, exact)?;
            Some((id.to_string(), Entered { plan: u32::try_from(plan).ok()?, up: now.up, ledger }))
        };
        let all: Vec<_> = ids.filter_map(entered).collect();
        all.chunks(BATCH).map(|batch| Record::Customers(batch.to_vec())).collect()
    }

    /// All that waits, as records.
    fn gather(&self, site: &impl GatewayHandle) -> Vec<Record> {
        let now = Moment::now(Path::new("/proc"));
        let (ids, hands, list) = {
            let mut waiting = self.waiting.borrow_mut();
            waiting.flying = waiting.flying.take().or(waiting.since.take());
            let due = waiting.listed && self.clock.now() - waiting.lists_at >= LISTS;
            if due {
                (waiting.listed, waiting.lists_at) = (false, self.clock.now());
            }
            (std::mem::take(&mut waiting.customers), std::mem::take(&mut waiting.hands), due)
        };
        self.writing.borrow_mut().customers += ids.len() as u64;
        let mut records = self.customers(site, ids.into_iter(), &now, false);
        records.extend(hands.into_iter().map(|(id, out)| Record::Hand { id, out }));
        if list {
            let workers = self.workers.borrow();
            records
                .push(Record::Workers { version: workers.0, workers: workers.1.values().cloned().collect() });
        }
        records
    }

    /// Writes what comes up while this process is to have the folder.
    async fn write(&self, site: &impl GatewayHandle, keeper: &JournalWriter) {
        let mut plans = Vec::new();
        loop {
            if !self.wanted.get() {
                return;
            }
            let mut records = self.gather(site);
            let names = site.plan_names();
            if names != plans {
                records.insert(0, Record::Plans(names.clone()));
                plans = names;
            }
            let failing = self.writing.borrow().failing.is_some();
            if records.is_empty() && !failing {
                self.waiting.borrow_mut().flying = None;
            } else if !self.wrote(keeper.write(None, records).await) {
                sleep(RETRY.0).await;
                continue;
            }
            // The list of workers may wait for its turn still.
            let listed = self.waiting.borrow().listed;
            let later = async {
                if !listed {
                    std::future::pending::<()>().await;
                }
                sleep(Duration::from_secs_f64(LISTS)).await;
            };
            tokio::select! { () = self.wake.notified() => {}, () = later => {} }
            sleep(GATHER).await;
        }
    }

    /// Takes note of how a write went; `false`: it failed.
    fn wrote(&self, written: io::Result<u64>) -> bool {
        let since = self.waiting.borrow_mut().flying.take_if(|_| written.is_ok());
        let mut writing = self.writing.borrow_mut();
        match written {
            Ok(bytes) => {
                if writing.failing.take().is_some() {
                    info!("state: {} is written again", self.folder.display());
                }
                (writing.bytes, writing.batches) = (bytes, writing.batches + 1);
                if let Some(since) = since {
                    writing.lag_ms = (self.clock.now() - since) * 1e3;
                    writing.worst_lag_ms = writing.worst_lag_ms.max(writing.lag_ms);
                }
                true
            }
            Err(e) => {
                if writing.failing.replace(e.to_string()).is_none() {
                    warn!("the state in {} can't be written: {e}", self.folder.display());
                }
                false
            }
        }
    }

    /// The process ends in good order and sends nothing more: leases are left to the next one.
    pub async fn write_final_records(&self, site: &impl GatewayHandle) {
        let Some(keeper) = self.keeper.borrow().clone().filter(|_| self.wanted.get()) else { return };
        let now = Moment::now(Path::new("/proc"));
        let mut records = self.gather(site);
        records.extend(self.customers(site, site.customers().into_iter(), &now, true));
        records.push(Record::End { up: now.up });
        match timeout(LAST, keeper.write(None, records)).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => warn!("the state in {} can't be written: {e}", self.folder.display()),
            Err(_) => {
                warn!("the state in {} takes too long to write: leases are lost", self.folder.display())
            }
        }
    }

    // ---- The start ----

    /// Follows the start until service is full, and uses the list of an earlier process where discovery stays
    /// silent.
    pub async fn track_startup(self: Rc<Self>, site: impl GatewayHandle) {
        let (mut list, mut counter, mut fleet) = (false, false, false);
        loop {
            let (now, state) = (self.clock.now() - self.start, site.startup_progress());
            if !list && (state.has_worker_list || now >= WAITS.0) {
                list = true;
                let earlier = std::mem::take(&mut *self.earlier.borrow_mut());
                let outcome = match (state.has_worker_list, earlier.len()) {
                    (true, _) => "discovery told it".to_owned(),
                    (false, 0) => "discovery is silent, and no earlier list is known".to_owned(),
                    (false, n) => {
                        let workers = earlier.into_iter().filter(|w| w.state == "SERVING");
                        site.use_workers(workers.collect());
                        format!("discovery is silent: {n} workers of an earlier list, taken for cold")
                    }
                };
                self.step("list of workers", outcome);
            }
            if !counter && (state.counter_answered != Some(false) || now >= WAITS.1) {
                counter = true;
                let outcome = match state.counter_answered {
                    None => "there is none",
                    Some(true) => "answers",
                    Some(false) => "has answered nothing: even shares hold meanwhile",
                };
                self.step("counter", outcome.to_owned());
            }
            if !fleet && (state.other_members != Some(0) || now >= WAITS.2) {
                fleet = true;
                let outcome = match state.other_members {
                    None => "no other gateways are asked".to_owned(),
                    Some(0) => "no other gateway answers".to_owned(),
                    Some(n) => format!("{n} others are heard"),
                };
                self.step("fleet", outcome);
            }
            let full = state.usable_workers > 0 && state.warming_up_workers == 0;
            if list && counter && fleet && (full || now >= WAITS.3) {
                let outcome = if full { "all of it" } else { "not all of it: see the workers" };
                return self.step("service", format!("{outcome}, {} workers", state.usable_workers));
            }
            sleep(LOOK).await;
        }
    }

    /// What is known of the start and of the journal, as JSON.
    pub fn report(&self) -> String {
        let (steps, writing, waiting) = (self.steps.borrow(), self.writing.borrow(), self.waiting.borrow());
        let unwritten =
            waiting.flying.or(waiting.since).map_or(0.0, |since| (self.clock.now() - since) * 1e3);
        json!({
            "folder": self.folder, "since_start_s": self.clock.now() - self.start, "trusted": self.trusted,
            "steps": *steps, "full_at_s": steps.iter().find(|s| s.name == "service").map(|s| s.at_s),
            "journal": *writing, "waiting": waiting.customers.len(), "unwritten_ms": unwritten,
        })
        .to_string()
    }
}
