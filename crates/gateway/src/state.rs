//! The data of a gateway. [`State`] is the part that one process hands over to the next. The decisions that read
//! and change it are in `src/decisions`.

use crate::interface::*;
use crate::{token_bucket::TokenBucket, zones::Zones};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The state of an attempt, as far as the decision on a further attempt needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It has ended, and the request has certainly not run.
    NotRun,
    /// It has ended, and the request may have run.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// When it was sent.
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
}

/// A request and its attempts.
#[derive(Debug, Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    /// The class at the request's arrival; later changes of the settings do not affect it. The same holds for the
    /// two settings below.
    pub(crate) class: Class,
    pub(crate) max_attempts: usize,
    pub(crate) hedging_allowed: bool,
    /// When the request arrived.
    pub(crate) arrived: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// The source of quota that its units were taken from.
    pub(crate) paid_from: Reason,
    /// Units taken for the request that no server has received yet.
    pub(crate) unsent_units: f64,
    /// Whether the request has its final answer, or needs none any more.
    pub(crate) finished: bool,
    /// Whether its answer is being sent to the client.
    pub(crate) streaming: bool,
    /// Whether its body is no longer held in full, so that no further attempt can be sent.
    pub(crate) unrepeatable: bool,
}

impl Job {
    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::InFlight).count()
    }
}

/// A customer's quota at this gateway.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub(crate) struct Customer {
    /// Index of its plan.
    pub(crate) plan: usize,
    /// Number of gateways that carry its requests.
    pub(crate) spread: u32,
    /// This gateway's position among those gateways.
    #[serde(rename = "turn")]
    pub(crate) gateway_position: u32,
    /// Units that the counter has granted in `window` and that are not spent.
    pub(crate) lease: f64,
    /// Units spent without a grant of the counter; the next call for a block adds them.
    pub(crate) owed: f64,
    /// Decaying sum of requested units.
    pub(crate) demand: TokenBucket,
    /// The even share of rate and burst. Under a ceiling all local spending draws on it, so that what was spent from
    /// a lease is not granted again while the counter is unavailable.
    #[serde(rename = "share")]
    pub(crate) even_share: TokenBucket,
    /// The level of the customer's quota bucket as the counter last showed it.
    #[serde(rename = "level")]
    pub(crate) known_level: Option<TokenBucket>,
    /// Number of the window that the lease belongs to.
    pub(crate) window: u64,
    /// Token of the timer of the call for a block that is in flight.
    #[serde(skip)]
    pub(crate) call_timer: Option<u64>,
    /// Whether that call's answer is late, so that no further request waits for it.
    #[serde(skip)]
    pub(crate) call_late: bool,
    /// Units sent without a grant while a late call that asks for them is in flight.
    #[serde(skip)]
    pub(crate) sent_ahead: f64,
    /// Requests that wait for the call's answer.
    #[serde(skip)]
    pub(crate) pending: VecDeque<JobId>,
    /// Attempts in flight.
    #[serde(skip)]
    pub(crate) open_attempts: u32,
    /// Attempts in flight at the process that this one takes over from.
    #[serde(rename = "elsewhere")]
    pub(crate) attempts_elsewhere: u32,
    /// When its last request arrived.
    #[serde(rename = "touched")]
    pub(crate) last_request: Time,
}

impl Customer {
    /// Moves the customer's quota into the copy for another process; nothing of it remains here.
    pub(crate) fn hand_over(&mut self, now: Time) -> Self {
        Self {
            lease: std::mem::take(&mut self.lease),
            owed: std::mem::take(&mut self.owed),
            even_share: std::mem::replace(&mut self.even_share, TokenBucket { level: 0.0, at: now }),
            attempts_elsewhere: self.open_attempts + self.attempts_elsewhere,
            open_attempts: 0,
            call_timer: None,
            call_late: false,
            sent_ahead: 0.0,
            pending: VecDeque::new(),
            ..self.clone()
        }
    }
}

/// What is known of one server.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Host {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    /// Whether the list names it as running.
    pub(crate) running: bool,
    /// When its present warm-up began; 0: it is warm.
    #[serde(rename = "cold_since")]
    pub(crate) warming_since: Time,
    /// Attempts in flight.
    #[serde(skip)]
    pub(crate) inflight: f64,
    /// Mean latency in seconds, weighted by the age of the observations.
    pub(crate) latency: f64,
    /// When its latency was last observed.
    #[serde(rename = "heard")]
    pub(crate) observed_at: Time,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// Whether the last connection failed, or its zone was ejected, and it has not answered since.
    #[serde(rename = "gone")]
    pub(crate) unreachable: bool,
    /// When it became unreachable.
    #[serde(default, rename = "gone_at")]
    pub(crate) unreachable_since: Time,
    /// When its ejection ends.
    #[serde(rename = "out_until")]
    pub(crate) ejected_until: Time,
    /// Mean length of its next ejection, in seconds; 0: the server was never listed.
    #[serde(rename = "out_for")]
    pub(crate) next_ejection: f64,
    /// Units that it may be sent while it warms up.
    #[serde(rename = "cold")]
    pub(crate) slow_start: TokenBucket,
}

/// What a gateway knows and has granted, for the process that takes over from it. Its encoding is private to this
/// crate; the program only carries it unchanged from one process to the other.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct State {
    /// Servers that a list has named.
    pub(crate) servers: BTreeMap<ServerId, Host>,
    #[serde(default)]
    pub(crate) zones: Zones,
    /// Servers that operators have taken offline; a list does not put them back.
    #[serde(rename = "aside")]
    pub(crate) offline_servers: BTreeSet<ServerId>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// Calls to the counter that may be made now; refilled at the call rate.
    #[serde(rename = "tokens")]
    pub(crate) call_budget: TokenBucket,
    /// Calls to the counter per second.
    pub(crate) call_rate: f64,
    /// The call rate when the counter last answered, however slowly; the rate returns to it after an outage.
    #[serde(default, rename = "answered_rate")]
    pub(crate) recovery_call_rate: f64,
    /// Mean share of requests for which the counter had no units left: of first requests, and of clients' retries.
    #[serde(default, rename = "missed")]
    pub(crate) used_up_share: [f64; 2],
    /// Mean value of the requests that a counter call may be made for.
    #[serde(rename = "stake")]
    pub(crate) mean_call_value: f64,
    /// By plan, two decaying sums: units sent without a grant where the even share is below one request, and units
    /// requested from the counter.
    #[serde(rename = "flows")]
    pub(crate) plan_flows: Vec<(TokenBucket, TokenBucket)>,
    /// When the call rate was last lowered.
    #[serde(rename = "slowed")]
    pub(crate) call_rate_lowered_at: Time,
    /// Decaying sum of units sent, each divided by the number of warm servers at its time.
    #[serde(default, rename = "warm_units")]
    pub(crate) units_per_warm_server: TokenBucket,
    /// Recent peak of the units per second that a warm server was sent.
    #[serde(rename = "carried")]
    pub(crate) peak_warm_rate: TokenBucket,
    /// Mean latency in seconds, time-outs included.
    pub(crate) latency: f64,
    /// Geometric mean of the latency in seconds. Lost answers and single faulty servers hardly move it, a slow fleet
    /// does.
    #[serde(rename = "typical")]
    pub(crate) typical_latency: f64,
    /// Recent minimum of the typical latency: the latency while there is little queueing.
    #[serde(rename = "idle")]
    pub(crate) unloaded_latency: f64,
    /// Mean share of attempts that time out.
    #[serde(rename = "lost")]
    pub(crate) timeout_share: f64,
    /// Mean number of attempts in flight.
    #[serde(rename = "beside")]
    pub(crate) mean_in_flight: f64,
    /// Retries and hedged attempts that may be sent now.
    #[serde(rename = "further")]
    pub(crate) retry_budget: f64,
    /// Time at which the quota of customers without state here counts as used up, because their state was lost.
    #[serde(default, rename = "spent")]
    pub(crate) others_spent_at: Option<Time>,
}

/// A customer's quota as the recovery journal records it, so that a restart after a crash grants no unit twice. In
/// units, at the time of the query.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of gateways that carry the customer's requests.
    pub spread: u32,
    /// Number of the window that the lease belongs to.
    pub window: u64,
    /// Units that the counter has granted and that are not spent.
    pub lease: f64,
    /// Units spent without a grant of the counter that are still to be added to its count.
    pub owed: f64,
    /// Units left of the even share.
    pub share: f64,
    /// Units left of the customer's quota over all gateways, as the counter last showed them.
    pub level: Option<f64>,
}

impl Ledger {
    /// Whether the figures are finite, within bounds and, where they must be, not negative.
    pub fn is_plausible(&self) -> bool {
        let numbers = [self.lease, self.owed, self.share, self.level.unwrap_or(0.0)];
        numbers.into_iter().all(|f| f.is_finite() && f.abs() < 1e12) && self.share >= 0.0 && self.lease >= 0.0
    }
}

/// What a process that crashed or lost its power has left on disk for the next one. Times in seconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecoveredState {
    /// Customers, each with its plan's index and the shortest time that may have passed since its ledger was written.
    pub customers: Vec<(CustomerId, usize, Time, Ledger)>,
    /// Servers that operators have taken offline.
    pub offline_servers: Vec<ServerId>,
    /// The longest time that may have passed since the last record; `None`: unknown.
    pub max_elapsed: Option<Time>,
    /// How long ago customers that are not listed here may have used up their quota; `None`: they have not.
    pub others_spent: Option<Time>,
}
