//! The journal's records, and the state that results from replaying them.

use super::downtime::{BootTime, Downtime, downtime_between};
use crate::config::WorkerEntry;
use opalrun_gateway::{CustomerId, Ledger, RecoveredState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of customers whose state is kept, some 20 MB. Any further customer counts as having spent its quota.
pub const MAX_CUSTOMERS: usize = 1 << 18;
/// Maximum number of customers in one record.
pub const CUSTOMERS_PER_RECORD: usize = 512;
/// Seconds after which an idle customer is removed: the gateway has dropped its state by then.
const IDLE_CUSTOMER_RETENTION_S: f64 = 120.0;

/// One customer's state in the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerEntry {
    /// Index into the plan names of the journal, as a plan's index may be another one after a restart.
    pub plan: u32,
    /// Time of the state, in seconds since the boot that the journal refers to.
    #[serde(rename = "up")]
    pub uptime: f64,
    pub ledger: Ledger,
}

/// One record of the journal. New kinds are added at the end, as the encoding numbers them; if the meaning of an existing
/// kind changes, the file gets another format version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// First record of a file: the gateway's name, the time at which the file begins, and since when customers without an
    /// entry count as having spent their quota.
    Begin {
        name: String,
        at: BootTime,
        #[serde(rename = "spent")]
        others_spent_at: Option<f64>,
    },
    /// Names of the plans; the records that follow refer to them by index.
    Plans(Vec<String>),
    /// States of customers, by customer id.
    Customers(Vec<(String, CustomerEntry)>),
    /// An operator took a worker offline, or back online.
    #[serde(rename = "Hand")]
    WorkerOffline {
        id: String,
        #[serde(rename = "out")]
        is_offline: bool,
    },
    /// The workers as discovery listed them last.
    Workers { version: u64, workers: Vec<WorkerEntry> },
    /// The process shut down cleanly: the records before this one hold all of its leases.
    #[serde(rename = "End")]
    CleanShutdown {
        #[serde(rename = "up")]
        uptime: f64,
    },
}

/// The state that results from replaying a journal. All times are in seconds since the boot that `at` names.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct JournalState {
    /// Name of the gateway that the journal belongs to.
    pub name: String,
    /// When the file begins.
    pub at: BootTime,
    /// Time of the latest record.
    #[serde(rename = "last")]
    pub latest_uptime: f64,
    /// Customers without an entry count as having spent their quota at this time, because their state was lost. `None`: they
    /// have spent nothing.
    #[serde(rename = "spent")]
    pub others_spent_at: Option<f64>,
    /// Whether the last record is that of a clean shutdown.
    #[serde(rename = "ended")]
    pub shut_down_cleanly: bool,
    pub plans: Vec<String>,
    pub customers: BTreeMap<String, CustomerEntry>,
    /// Workers that an operator has taken offline.
    #[serde(rename = "aside")]
    pub offline_workers: BTreeSet<String>,
    /// Version and entries of the latest list of workers.
    pub workers: Option<(u64, Vec<WorkerEntry>)>,
}

impl JournalState {
    /// Creates the state of a gateway that has no customers yet, and has lost none.
    pub fn new(name: &str, at: BootTime, plans: Vec<String>) -> Self {
        Self { name: name.into(), latest_uptime: at.uptime, at, plans, ..Self::default() }
    }

    /// Applies the next record of the journal.
    pub fn apply(&mut self, record: Record) {
        // A record after a clean shutdown was written by a process that went on.
        self.shut_down_cleanly = false;
        match record {
            Record::Begin { name, at, others_spent_at } => {
                (self.latest_uptime, self.name, self.at, self.others_spent_at) =
                    (at.uptime, name, at, others_spent_at);
            }
            Record::Plans(plans) => self.plans = plans,
            Record::Customers(customers) => customers.into_iter().for_each(|(id, entry)| {
                self.latest_uptime = self.latest_uptime.max(entry.uptime);
                if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&id) {
                    self.remove_idle();
                }
                if self.customers.len() < MAX_CUSTOMERS || self.customers.contains_key(&id) {
                    self.customers.insert(id, entry);
                } else {
                    self.others_spent_at = Some(self.latest_uptime);
                }
            }),
            Record::WorkerOffline { id, is_offline: true } => drop(self.offline_workers.insert(id)),
            Record::WorkerOffline { id, is_offline: false } => drop(self.offline_workers.remove(&id)),
            Record::Workers { version, workers } => self.workers = Some((version, workers)),
            Record::CleanShutdown { uptime } => {
                (self.latest_uptime, self.shut_down_cleanly) = (self.latest_uptime.max(uptime), true)
            }
        }
    }

    /// Removes customers that were idle for so long that the gateway has dropped their state.
    pub fn remove_idle(&mut self) {
        let latest = self.latest_uptime;
        self.customers.retain(|_, e| latest - e.uptime < IDLE_CUSTOMER_RETENTION_S);
        self.others_spent_at =
            self.others_spent_at.filter(|spent_at| latest - spent_at < IDLE_CUSTOMER_RETENTION_S);
    }

    /// Returns the records of a file with the same state, without leases: only a clean shutdown may leave leases.
    pub fn snapshot_records(&self) -> impl Iterator<Item = Record> + '_ {
        let header = [
            Record::Begin {
                name: self.name.clone(),
                at: self.at.clone(),
                others_spent_at: self.others_spent_at,
            },
            Record::Plans(self.plans.clone()),
        ];
        let offline =
            self.offline_workers.iter().map(|id| Record::WorkerOffline { id: id.clone(), is_offline: true });
        let workers = self.workers.iter().map(|(v, w)| Record::Workers { version: *v, workers: w.clone() });
        let all: Vec<_> = self.customers.iter().collect();
        let batches = all.chunks(CUSTOMERS_PER_RECORD).map(|batch| {
            let without_lease = |e: &CustomerEntry| CustomerEntry {
                ledger: Ledger { lease: 0.0, ..e.ledger.clone() },
                ..e.clone()
            };
            Record::Customers(batch.iter().map(|(id, e)| ((*id).clone(), without_lease(e))).collect())
        });
        let batches: Vec<Record> = batches.collect();
        header.into_iter().chain(offline).chain(workers).chain(batches)
    }

    /// Converts all times to the boot of `now`, by the lower bound of the downtime, and returns the bounds. The lower bound
    /// is the safe one: no customer is credited with more time than has passed.
    pub fn rebase(&mut self, now: &BootTime) -> Downtime {
        let latest = BootTime { boot_id: self.at.boot_id.clone(), uptime: self.latest_uptime };
        let downtime = downtime_between(&latest, now);
        let (latest, min_downtime) = (self.latest_uptime, downtime.min);
        let rebased = |uptime: f64| now.uptime - min_downtime - (latest - uptime).max(0.0);
        self.customers.values_mut().for_each(|e| e.uptime = rebased(e.uptime));
        self.others_spent_at = self.others_spent_at.map(rebased);
        (self.at, self.latest_uptime) = (now.clone(), now.uptime);
        downtime
    }

    /// Converts the state for the gateway's decisions, which refer to plans by their index in `plans`. Customers of a plan
    /// that is gone are left out, and so are leases unless the process shut down cleanly.
    pub fn to_recovered(&self, downtime: Downtime, plans: &[String]) -> RecoveredState {
        let plan_index = |index: u32| {
            let name = self.plans.get(index as usize)?;
            plans.iter().position(|p| p == name)
        };
        let customers = self.customers.iter().filter_map(|(id, e)| {
            let ledger = Ledger {
                lease: if self.shut_down_cleanly { e.ledger.lease } else { 0.0 },
                ..e.ledger.clone()
            };
            let age = (self.latest_uptime - e.uptime).max(0.0);
            Some((CustomerId::from(id.as_str()), plan_index(e.plan)?, age, ledger))
        });
        let offline_servers = self.offline_workers.iter().map(|id| id.as_str().into()).collect();
        let others_spent = self.others_spent_at.map(|spent_at| (self.latest_uptime - spent_at).max(0.0));
        RecoveredState {
            customers: customers.collect(),
            offline_servers,
            max_elapsed: downtime.max,
            others_spent,
        }
    }
}
