//! What a gateway knows and holds: the form of its data, of which [`State`] goes from one process to the next.
//! What is made of it is decided in `src/decisions`.

use crate::interface::*;
use crate::{token_bucket::TokenBucket, zones::Zones};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where an attempt stands, as far as rule two cares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Ran {
    Out,
    Never,
    Maybe,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Time,
    pub(crate) ran: Ran,
}

#[derive(Debug, Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    /// The rules that it came under: they hold for it whatever the settings say later.
    pub(crate) class: Class,
    pub(crate) max_attempts: usize,
    pub(crate) hedging_allowed: bool,
    pub(crate) arrived: Time,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) paid: Reason,
    /// Units that were drawn for it and that no worker has taken yet.
    pub(crate) drawn: f64,
    pub(crate) over: bool,
    /// Its answer goes to the client already.
    pub(crate) streaming: bool,
    /// It is no longer held in full, so the attempt that is out is its last.
    pub(crate) once: bool,
}

impl Job {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ran == Ran::Out).count()
    }
}

#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) spread: u32,
    /// This gateway's place among those that carry the customer.
    pub(crate) turn: u32,
    pub(crate) lease: f64,
    /// Units spent off the count; the next ask adds them.
    pub(crate) owed: f64,
    pub(crate) demand: TokenBucket,
    /// The safe share; under a ceiling all local spending draws it down, so that quiet grants nothing twice.
    pub(crate) share: TokenBucket,
    /// The quota's store as the count last showed it.
    pub(crate) level: Option<TokenBucket>,
    pub(crate) window: u64,
    #[serde(skip)]
    pub(crate) asking: Option<u64>,
    #[serde(skip)]
    pub(crate) late: bool,
    /// Units sent off the count while a late call that asks for them is still to be answered.
    #[serde(skip)]
    pub(crate) ahead: f64,
    #[serde(skip)]
    pub(crate) pending: VecDeque<JobId>,
    #[serde(skip)]
    pub(crate) open: u32,
    /// Attempts out at the process that this one takes over from.
    pub(crate) elsewhere: u32,
    pub(crate) touched: Time,
}

impl Customer {
    /// What another process gets of it; from then on this one holds nothing.
    pub(crate) fn give_up(&mut self, now: Time) -> Self {
        Self {
            lease: std::mem::take(&mut self.lease),
            owed: std::mem::take(&mut self.owed),
            share: std::mem::replace(&mut self.share, TokenBucket { level: 0.0, at: now }),
            elsewhere: self.open + self.elsewhere,
            open: 0,
            asking: None,
            late: false,
            ahead: 0.0,
            pending: VecDeque::new(),
            ..self.clone()
        }
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Host {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) running: bool,
    pub(crate) cold_since: Time,
    #[serde(skip)]
    pub(crate) inflight: f64,
    pub(crate) latency: f64,
    pub(crate) heard: Time,
    pub(crate) failures: u32,
    pub(crate) gone: bool,
    #[serde(default)]
    pub(crate) gone_at: Time,
    pub(crate) out_until: Time,
    pub(crate) out_for: f64,
    pub(crate) cold: TokenBucket,
}

/// What a gateway knows and has granted, for the process that takes over from it. Its form is the module's
/// own affair: whoever carries it from one to the other only keeps it whole.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct State {
    pub(crate) servers: BTreeMap<ServerId, Host>,
    #[serde(default)]
    pub(crate) zones: Zones,
    /// Servers that the operators have taken out by hand. No list puts one back.
    pub(crate) aside: BTreeSet<ServerId>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) tokens: TokenBucket,
    pub(crate) call_rate: f64,
    /// What that was when the counter last answered, however slowly.
    #[serde(default)]
    pub(crate) answered_rate: f64,
    /// Share of the first tries, and of clients' repeats, for which the count had nothing left of late.
    #[serde(default)]
    pub(crate) missed: [f64; 2],
    /// Mean worth of what wants a call.
    pub(crate) stake: f64,
    /// By plan, units sent off the count for thin shares, and units asked for.
    pub(crate) flows: Vec<(TokenBucket, TokenBucket)>,
    pub(crate) slowed: Time,
    /// Units sent of late for each warm server that there was.
    #[serde(default)]
    pub(crate) warm_units: TokenBucket,
    pub(crate) carried: TokenBucket,
    pub(crate) latency: f64,
    /// The middle answer's time: lost answers and sick servers do not move it, a slow fleet does.
    pub(crate) typical: f64,
    /// The least that it was of late: an answer's time while little waits.
    pub(crate) idle: f64,
    /// Share of the attempts of late that had no answer in time.
    pub(crate) lost: f64,
    pub(crate) beside: f64,
    pub(crate) further: f64,
    /// Customers that are not known had nothing left at that time: what was known of them is lost.
    #[serde(default)]
    pub(crate) spent: Option<Time>,
}

/// What is written down of one customer, so that a start after a crash grants nothing twice. Units; as they stand
/// when it is asked for.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// How many gateways carry the customer.
    pub spread: u32,
    /// The window that the lease belongs to.
    pub window: u64,
    /// What the count has granted and was not spent.
    pub lease: f64,
    /// What was spent off the count and is still to be added.
    pub owed: f64,
    /// What is left of the even share.
    pub share: f64,
    /// What the quota's store holds, as the count last showed it.
    pub level: Option<f64>,
}

impl Ledger {
    /// Whether the figures can be true at all.
    pub fn is_plausible(&self) -> bool {
        let figures = [self.lease, self.owed, self.share, self.level.unwrap_or(0.0)];
        figures.into_iter().all(|f| f.is_finite() && f.abs() < 1e12) && self.share >= 0.0 && self.lease >= 0.0
    }
}

/// What a process that crashed, or lost its power, has left for the next one. Times in seconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    /// Customers, each with its plan's number and the time that has surely passed since it stood so.
    pub customers: Vec<(CustomerId, usize, Time, Ledger)>,
    /// Servers that are out by hand.
    pub offline_servers: Vec<ServerId>,
    /// The most that has passed since the last of it; `None`: nobody knows.
    pub max_elapsed: Option<Time>,
    /// Whoever is not among the customers may have spent all that it had, so long ago; `None`: nothing.
    pub others_spent: Option<Time>,
}
