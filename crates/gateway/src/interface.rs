//! The interface of the decisions: the settings that they are given, the events that they handle, and the actions
//! that they return.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// Seconds on the caller's monotonic clock, from an origin that the caller chooses.
pub type Time = f64;
/// Identifier of a request, unique during the life of a gateway.
pub type JobId = Arc<str>;
/// Identifier of a server, opaque.
pub type ServerId = Arc<str>;
/// Identifier of a customer, opaque.
pub type CustomerId = Arc<str>;

/// Which servers discard repeats of a deduplicated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// It may run any number of times.
    Idempotent,
    /// The servers of `group` discard repeats for `window` seconds after the first attempt was sent.
    Deduplicated {
        /// The servers that recognise a repeat.
        group: Group,
        /// Time for which they do, in seconds.
        window: f64,
    },
    /// It may run once at most.
    AtMostOnce,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// Latency in seconds within which an answer earns its full value.
    pub latency_target: f64,
    /// Value of a request, relative to other classes.
    pub value: f64,
    /// Share of the value that a later answer earns.
    pub late_value: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

impl Default for Class {
    fn default() -> Self {
        Self { latency_target: 1.0, value: 1.0, late_value: 0.0, effect: Effect::Idempotent, streamed: false }
    }
}

/// One plan. Its limits apply to each customer, over all gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Units per second that refill the quota; 0: no quota.
    pub rate: f64,
    /// Units that the quota holds when full.
    pub burst: f64,
    /// Limit on attempts in flight; 0: no limit.
    pub max_open_attempts: u32,
    /// Value of a unit, relative to other plans.
    pub unit_value: f64,
    /// Share of its value that a request sent beyond the quota earns.
    pub excess_value: f64,
    /// Share of its value that a request sent beyond the quota costs.
    pub overrun_cost: f64,
    /// Units per second that refill the hard ceiling; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling holds when full.
    pub ceiling_burst: f64,
}

/// The settings of a gateway. Build them with `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// Index of this gateway, from 0.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Number of the zone that this gateway is in.
    pub zone: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Whether there is a counter service that may be called.
    pub has_counter: bool,
    /// Time-out of a counter call, in seconds.
    pub counter_timeout: f64,
    /// Maximum number of units that one request takes.
    pub max_request_units: f64,
    /// Whether the units actually used come with the answer, and those of the request are an estimate.
    pub post_paid: bool,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of one request may be in flight at a time.
    pub hedging_allowed: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of open requests at this gateway.
    pub max_open_requests: u32,
    /// Whether a refusal tells the client how long to wait before a retry.
    pub retry_after: bool,
    /// Longest such time that clients honour, in seconds.
    pub max_retry_after: f64,
    /// Whether the list of servers is sent only to gateways that ask for it.
    pub must_subscribe: bool,
    /// Minimum share of its capacity that a server has when it starts.
    pub initial_capacity_share: f64,
    /// Maximum length of a server's warm-up, in seconds.
    pub warm_up: f64,
    /// A server that is warming up fails if it is sent more than this multiple of its present capacity for
    /// `overload_window` seconds.
    pub overload_factor: f64,
    /// Time in seconds to which `overload_factor` applies.
    pub overload_window: f64,
    /// Minimum time between two batches of events, in seconds.
    pub min_event_interval: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gateway_index: 0,
            gateway_count: 1,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            has_counter: false,
            counter_timeout: 0.05,
            max_request_units: 1.0,
            post_paid: false,
            may_probe: false,
            may_cancel: false,
            hedging_allowed: false,
            max_attempts: 1,
            max_open_requests: u32::MAX,
            retry_after: true,
            max_retry_after: 1.0,
            must_subscribe: false,
            initial_capacity_share: 1.0,
            warm_up: 0.0,
            overload_factor: 1.0,
            overload_window: 1.0,
            min_event_interval: 0.001,
        }
    }
}

impl Settings {
    /// Checks whether a gateway can work with these settings.
    ///
    /// # Errors
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.gateway_index >= self.gateway_count {
            return Err(if self.gateway_count == 0 {
                SettingsError::NoGateways
            } else {
                SettingsError::GatewayIndexOutOfRange
            });
        }
        let mut numbers =
            vec![("count_limit", self.counter_timeout), ("max_retry_after", self.max_retry_after)];
        numbers.extend([
            ("cold_from", self.initial_capacity_share),
            ("cold", self.warm_up),
            ("step", self.min_event_interval),
            ("fall", self.overload_window),
        ]);
        numbers.push(("fall_multiple", self.overload_factor));
        numbers.extend(
            self.classes
                .iter()
                .flat_map(|c| [("aim", c.latency_target), ("worth", c.value), ("late_worth", c.late_value)]),
        );
        for p in &self.plans {
            numbers.extend([("rate", p.rate), ("burst", p.burst), ("excess_worth", p.excess_value)]);
            numbers.extend([("overrun_cost", p.overrun_cost), ("ceiling_rate", p.ceiling_rate)]);
            numbers.extend([("ceiling_burst", p.ceiling_burst), ("pays", p.unit_value)]);
        }
        let bad = numbers.into_iter().find(|(_, v)| !v.is_finite() || *v < 0.0);
        bad.map_or(Ok(()), |(name, _)| Err(SettingsError::InvalidNumber(name)))
    }
}

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The number of gateways is 0.
    NoGateways,
    /// This gateway's index is not below the number of gateways.
    GatewayIndexOutOfRange,
    /// A change of the settings removes plans, whose customers' quotas are in use.
    PlansRemoved,
    /// The setting of that name is negative, infinite or not a number.
    InvalidNumber(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoGateways => f.write_str("there are no gateways"),
            Self::GatewayIndexOutOfRange => {
                f.write_str("this gateway's index is not below the number of gateways")
            }
            Self::PlansRemoved => f.write_str("plans cannot be removed while they are in use"),
            Self::InvalidNumber(name) => write!(f, "{name} is negative, infinite or not a number"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The lifecycle state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    Running,
    /// Completes its requests and is sent no new ones.
    Draining,
    /// Has been removed.
    Gone,
}

/// One entry of the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Identifier of the server.
    pub id: ServerId,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its cell within the zone.
    pub cell: u32,
    /// When it last started; 0: so long ago that it is warm.
    pub started: Time,
    /// Its lifecycle state.
    pub lifecycle: Lifecycle,
}

/// What the entries of a list event are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last known, possibly stale.
    Stale,
    /// None, as discovery could not be asked.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It was answered successfully.
    Ok,
    /// It was answered with an error; it may have run.
    Error,
    /// The server rejected it before running it, as it is overloaded.
    Rejected,
    /// There was no answer before the time-out; it may have run.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// A server's load report; a value that the server did not report is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct Load {
    /// Requests in flight at the server.
    pub inflight: Option<f64>,
    /// Processor utilisation, from 0 to 1.
    pub util: Option<f64>,
}

/// A client's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub job: JobId,
    /// Units that it takes from its customer's quota.
    pub units: f64,
    /// When the client stops waiting for the answer.
    pub expires: Time,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Number of gateways that carry this customer's requests.
    pub spread: u32,
    /// Index of the first of these gateways; the others follow in order, with 0 after the highest index.
    pub first_gateway: u32,
    /// Index of its class.
    pub class: usize,
    /// Identifier of the customer.
    pub customer: CustomerId,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
    /// What is left of the customer's quota by the reports of the other gateways, if there are any.
    pub peer_view: Option<PeerView>,
}

/// An input of the decisions.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// The list of servers arrived or changed.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A request arrived; it must get exactly one final answer.
    Request(Request),
    /// The request's body is no longer held in full, so it cannot be sent again.
    Unrepeatable {
        /// Identifier of the request.
        job: JobId,
    },
    /// The first byte of an answer was sent to the client, so no other attempt can answer the request.
    FirstByte {
        /// Identifier of the request.
        job: JobId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Identifier of the request.
        job: JobId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Seconds from its start to its end.
        elapsed: f64,
        /// Whether the request is complete and needs no further attempt or answer.
        over: bool,
        /// Units that the request actually used, if they are settled after the answer.
        settled: Option<f64>,
        /// The server's load report; empty if there was none.
        load: Load,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected {
        /// Identifier of the request.
        job: JobId,
    },
    /// A timer expired.
    Timer {
        /// Token of the timer.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The server's load report; empty if there was none.
        load: Load,
    },
    /// What the gateways that report to this one have seen of a server within the last second.
    FleetObservation {
        /// The server that was observed.
        server: ServerId,
        /// Attempts that the server answered.
        answered: u32,
        /// Attempts that the server failed.
        failed: u32,
        /// Gateways that had failed attempts at the server.
        members: u32,
    },
    /// A counter call ended, with or without an answer.
    CounterAnswered {
        /// Name of the count.
        counter: u64,
        /// How the call ended.
        status: Status,
        /// The count after the call; valid with [`Status::Ok`] only.
        total: f64,
        /// Seconds since the call was made.
        elapsed: f64,
    },
}

/// An output of the decisions, which the caller carries out.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Starts an attempt; the attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// Identifier of the request.
        job: JobId,
        /// The server to send it to.
        server: ServerId,
        /// Time-out of the attempt, in seconds.
        timeout: f64,
        /// Time by which its last byte must have been sent; an attempt that is not sent whole by then must not be
        /// sent at all.
        send_by: Time,
        /// The source of quota that its units are taken from.
        paid_from: Reason,
    },
    /// Gives the final answer that the request is refused; a client's retry does no harm.
    Refuse {
        /// Identifier of the request.
        job: JobId,
        /// Seconds that the client should wait before a retry; 0: it is told none.
        retry_after: f64,
        /// Why the request is refused.
        reason: Reason,
    },
    /// Gives the final answer that the request has failed; it may have run.
    Fail {
        /// Identifier of the request.
        job: JobId,
    },
    /// Cancels an attempt.
    Cancel {
        /// Identifier of the request.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Sets a timer, which ends with an [`Event::Timer`].
    Timer {
        /// Token of the timer.
        token: u64,
        /// When it expires.
        at: Time,
    },
    /// Probes a server.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Adds to a count at the counter, which ends with an [`Event::CounterAnswered`].
    Count {
        /// Name of the count, below 2^63.
        counter: u64,
        /// Units to add; 0 only reads the count.
        amount: f64,
        /// Seconds after which the counter may drop a name that this call creates.
        ttl: f64,
    },
    /// Subscribes to the list of servers.
    Subscribe,
    /// Writes a line to the operators' log.
    Log(String),
}

/// What is left of a customer's quota by the reports of the other gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerView {
    /// Units left in a bucket of the quota's rate and burst from which all reported spending is drawn.
    pub level: f64,
    /// Seconds since the last report.
    pub age: f64,
    /// Share of the other gateways that report.
    pub coverage: f64,
}

/// The basis of a decision on a request: the source of quota that pays for it, or why it is refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reason {
    /// Paid from units that the counter has granted.
    #[default]
    Lease,
    /// Paid from the even share while the customer's first counter call is in flight.
    FirstCallPending,
    /// Paid from the even share, as the answer of a counter call is late.
    CounterLate,
    /// Paid from the even share, as a counter call had no answer.
    CounterUnanswered,
    /// Paid from the even share, as the call budget is used up.
    NoCallBudget,
    /// Paid from what the other gateways report as left, as the call budget is used up.
    PeerView,
    /// Refused, as the quota is used up by the level last known.
    KnownLevel,
    /// Refused, as the quota is used up by the counter's total.
    CounterTotal,
    /// Refused, as the servers have no spare capacity.
    Overloaded,
    /// Refused, as the customer probably has as many attempts in flight as its plan allows.
    OpenAttemptLimit,
    /// Refused, as the customer's rate alone keeps as many attempts in flight as its plan allows.
    OpenAttemptPace,
    /// Refused, as no server may be sent the request.
    NoServer,
    /// Refused, as attempts have failed and no further one is allowed.
    AttemptsFailed,
    /// Refused, as no time is left, too many requests are open, or the class or plan is unknown.
    Invalid,
}

impl Reason {
    /// The reason as the log states it.
    pub fn text(self) -> &'static str {
        match self {
            Self::Lease => "lease",
            Self::FirstCallPending => "even share: first call out",
            Self::CounterLate => "even share: answer late",
            Self::CounterUnanswered => "even share: call lost",
            Self::NoCallBudget => "even share: no call to spare",
            Self::PeerView => "left by the fleet's views",
            Self::KnownLevel => "used up as last heard",
            Self::CounterTotal => "used up by the count",
            Self::Overloaded => "fleet full",
            Self::OpenAttemptLimit => "open cap",
            Self::OpenAttemptPace => "open pace",
            Self::NoServer => "no server",
            Self::AttemptsFailed => "attempts failed",
            Self::Invalid => "unfit",
        }
    }
}

/// How attempts at a zone's servers failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FailureKind {
    /// No connection could be made.
    Unreachable,
    /// There was no answer before the time-out.
    Silent,
    /// Connections broke during requests.
    Broken,
    /// Requests were answered with errors.
    Failing,
}

impl FailureKind {
    /// The kind of failure that `status` shows; `None` if it shows none of the server.
    pub fn from_status(status: Status) -> Option<Self> {
        match status {
            Status::ConnectFailed => Some(Self::Unreachable),
            Status::Timeout => Some(Self::Silent),
            Status::Reset => Some(Self::Broken),
            Status::Error => Some(Self::Failing),
            _ => None,
        }
    }
}

/// The status of a zone as one gateway sees it.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct ZoneStatus {
    /// Index of the zone in the settings; `u32::MAX`: the settings do not name it.
    pub zone: u32,
    /// Running servers that no operator has taken offline.
    pub servers: usize,
    /// Servers of these that are not ejected, with their zone in use.
    pub usable: usize,
    /// Usable servers that are warming up.
    pub warming_up: usize,
    /// Share of the traffic that the zone should get.
    pub weight: f64,
    /// Share of the recent attempts that were sent to the zone.
    pub traffic_share: f64,
    /// When and why the zone was ejected; `None`: it is in use.
    pub ejected: Option<(Time, FailureKind)>,
}
