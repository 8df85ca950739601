//! What the journal's records say, and the state that they add up to.

use super::downtime::{Away, Moment, away};
use crate::config::WorkerEntry;
use opalrun_gateway::{CustomerId, Ledger, RecoveredState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Customers whose state is held at most, some 20 MB; of more the rest is taken for spent.
pub const MOST_CUSTOMERS: usize = 1 << 18;
/// Customers in one record.
pub const BATCH: usize = 512;
/// Seconds after which an idle customer is left out: the gateway itself has forgotten it by then.
const FORGET: f64 = 120.0;

/// A customer as the journal has it: its plan by name, as plans may stand elsewhere after a start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entered {
    pub plan: u32,
    /// Seconds of the file's boot at which it stood so.
    pub up: f64,
    pub ledger: Ledger,
}

/// One record. New kinds come at the end; another meaning of an old one is another form of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The file's first: whose it is, and since when in which boot.
    Begin { name: String, at: Moment, spent: Option<f64> },
    /// The names of the plans, by their numbers in what follows.
    Plans(Vec<String>),
    /// How customers stand.
    Customers(Vec<(String, Entered)>),
    /// A worker was taken out by hand, or put back.
    Hand { id: String, out: bool },
    /// The workers, as discovery last had them.
    Workers { version: u64, workers: Vec<WorkerEntry> },
    /// The process ended in good order at `up`: all leases stand in what came before.
    End { up: f64 },
}

/// What a journal adds up to.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Image {
    pub name: String,
    pub at: Moment,
    /// The last moment that the file knows of, in seconds of its boot.
    pub last: f64,
    /// Customers that are not among these had nothing left at this second of the boot: what was known of them
    /// is lost. None: they have spent nothing.
    pub spent: Option<f64>,
    pub ended: bool,
    pub plans: Vec<String>,
    pub customers: BTreeMap<String, Entered>,
    pub aside: BTreeSet<String>,
    pub workers: Option<(u64, Vec<WorkerEntry>)>,
}

impl Image {
    /// What a gateway of that name begins with that knows nothing, and none is missing.
    pub fn new(name: &str, at: Moment, plans: Vec<String>) -> Self {
        Self { name: name.into(), last: at.up, at, plans, ..Self::default() }
    }

    pub fn add(&mut self, record: Record) {
        // Anything that comes after an end belongs to a process that goes on.
        self.ended = false;
        match record {
            Record::Begin { name, at, spent } => {
                (self.last, self.name, self.at, self.spent) = (at.up, name, at, spent);
            }
            Record::Plans(plans) => self.plans = plans,
            Record::Customers(customers) => customers.into_iter().for_each(|(id, entered)| {
                self.last = self.last.max(entered.up);
                if self.customers.len() >= MOST_CUSTOMERS && !self.customers.contains_key(&id) {
                    self.forget();
                }
                if self.customers.len() < MOST_CUSTOMERS || self.customers.contains_key(&id) {
                    self.customers.insert(id, entered);
                } else {
                    self.spent = Some(self.last);
                }
            }),
            Record::Hand { id, out: true } => drop(self.aside.insert(id)),
            Record::Hand { id, out: false } => drop(self.aside.remove(&id)),
            Record::Workers { version, workers } => self.workers = Some((version, workers)),
            Record::End { up } => (self.last, self.ended) = (self.last.max(up), true),
        }
    }

    /// Leaves out those whose state the gateway itself has forgotten.
    pub fn forget(&mut self) {
        let last = self.last;
        self.customers.retain(|_, e| last - e.up < FORGET);
        self.spent = self.spent.filter(|spent| last - spent < FORGET);
    }

    /// The records of a file that says the same, but for leases: only an end in good order leaves those.
    pub fn snapshot(&self) -> impl Iterator<Item = Record> + '_ {
        let head = [
            Record::Begin { name: self.name.clone(), at: self.at.clone(), spent: self.spent },
            Record::Plans(self.plans.clone()),
        ];
        let hands = self.aside.iter().map(|id| Record::Hand { id: id.clone(), out: true });
        let workers = self.workers.iter().map(|(v, w)| Record::Workers { version: *v, workers: w.clone() });
        let all: Vec<_> = self.customers.iter().collect();
        let batches = all.chunks(BATCH).map(|batch| {
            let entered =
                |e: &Entered| Entered { ledger: Ledger { lease: 0.0, ..e.ledger.clone() }, ..e.clone() };
            Record::Customers(batch.iter().map(|(id, e)| ((*id).clone(), entered(e))).collect())
        });
        let batches: Vec<Record> = batches.collect();
        head.into_iter().chain(hands).chain(workers).chain(batches)
    }

    /// Brings the times into the boot of `now`, at the least that has passed; nothing stays that only one who
    /// ended in good order leaves.
    pub fn carry_on(&mut self, now: &Moment) -> Away {
        let last = Moment { boot: self.at.boot.clone(), up: self.last };
        let gone = away(&last, now);
        let (last, least) = (self.last, gone.least);
        let carry = |up: f64| now.up - least - (last - up).max(0.0);
        self.customers.values_mut().for_each(|e| e.up = carry(e.up));
        self.spent = self.spent.map(carry);
        (self.at, self.last) = (now.clone(), now.up);
        gone
    }

    /// The same for the module, which knows plans by their numbers in `plans`.
    pub fn kept(&self, gone: Away, plans: &[String]) -> RecoveredState {
        let number = |of: u32| {
            let name = self.plans.get(of as usize)?;
            plans.iter().position(|p| p == name)
        };
        let all = self.customers.iter().filter_map(|(id, e)| {
            let ledger = Ledger { lease: if self.ended { e.ledger.lease } else { 0.0 }, ..e.ledger.clone() };
            let ago = (self.last - e.up).max(0.0);
            Some((CustomerId::from(id.as_str()), number(e.plan)?, ago, ledger))
        });
        let aside = self.aside.iter().map(|id| id.as_str().into()).collect();
        let spent = self.spent.map(|spent| (self.last - spent).max(0.0));
        RecoveredState {
            customers: all.collect(),
            offline_servers: aside,
            max_elapsed: gone.most,
            others_spent: spent,
        }
    }
}
