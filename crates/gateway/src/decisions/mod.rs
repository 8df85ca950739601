//! Every decision of a gateway, without I/O; its events, actions and settings are in `src/interface.rs`.
//!
//! On the ordinary path a request spends its customer's lease. If the lease does not cover it, a block sized
//! to recent demand is added to the customer's count and granted as far as the window's burst allows; else
//! the request is refused at once. While the counter does not answer, an even share of rate and burst
//! decides.
//!
//! [`quota_lease`] and [`even_share`] decide on quota, [`admission`] on load, [`server_choice`] and
//! [`server_health`] on the server, [`attempts`] on retries, hedged requests and the final answer.

mod admission;
mod attempts;
mod decay;
mod even_share;
mod queries;
mod quota_lease;
mod server_choice;
mod server_health;
mod window;

use crate::{
    interface::{Action, CustomerId, Event, JobId, ServerId, Settings, SettingsError, Time},
    state::{Customer, Job, Ledger, RecoveredState, State},
    token_bucket::TokenBucket,
};
use std::collections::{BTreeMap, VecDeque};
use window::window;

// Constants that several of these modules use; all others are defined in the module that uses them.

/// Time constant of the mean demand, in seconds: a few blocks.
const DEMAND_MEMORY: f64 = 1.0;
/// Minimum call rate to the counter, in calls per second: trial calls while it does not answer.
const MIN_CALL_RATE: f64 = 1.0;
/// Initial call rate to the counter, in calls per second over all gateways.
const INITIAL_FLEET_CALL_RATE: f64 = 600.0;
/// Assumed share of clients' retries that find their quota used up, before the counter has answered any.
const INITIAL_RETRY_USED_UP_SHARE: f64 = 0.5;
/// Share of the in-flight limit that hedged attempts and requests beyond quotas may fill, so that a slow
/// fleet gets none.
const SPARE_CAPACITY: f64 = 0.5;
/// Maximum retry budget, in attempts.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Time constant of the rates of sent attempts and units, in seconds.
const RATE_MEMORY: f64 = 3.0;
/// Time constant, in seconds, of the peak rate per warm server and of the units sent without a grant: the
/// length of a warm-up.
const PEAK_MEMORY: f64 = 20.0;
/// Weight of a new value in an exponential moving average.
const MEAN_GAIN: f64 = 0.15;
/// Time constant, in seconds, with which an observation of a server loses its weight.
const OBSERVATION_MEMORY: f64 = 14.0;
/// Consecutive failures that eject a server; a refused connection counts as all of them.
const EJECTION_FAILURES: u32 = 3;
/// Gateways that must report a server as failing before all eject it: a single one may have a faulty network.
const MIN_REPORTING_MEMBERS: u32 = 2;
/// Time in seconds after which an idle customer is dropped; longer than any window.
const CUSTOMER_IDLE_TIMEOUT: f64 = 60.0;

/// The purpose of a call to the counter.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// Requests a block of `wanted` units and adds `owed` units that this gateway has sent without a grant.
    /// `owed_by_others` is this call's part of such units at gateways that will not call soon themselves.
    RequestBlock { wanted: f64, owed: f64, owed_by_others: f64 },
    /// Reads the count of the previous window.
    Read,
    /// Corrects the count by units that lapsed, were not granted, or were sent beyond the quota.
    Correct,
}

/// A call to the counter that is in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerId,
    /// Number of the window whose count it adds to.
    pub(super) window: u64,
    /// Units that it adds to the count.
    pub(super) amount: f64,
    pub(super) purpose: CallPurpose,
}

/// What to do when a timer expires.
#[derive(Debug, Clone)]
pub(super) enum TimerPurpose {
    /// Serve the requests that wait for the counter's answer on this customer without it.
    CounterTimeout(CustomerId),
    /// Send a hedged attempt if the request is still open.
    Hedge(JobId),
    /// Drop idle customers.
    Cleanup,
}

/// Checked settings that a gateway can change to.
#[derive(Debug)]
pub struct PreparedSettings(Settings);

/// The decisions of one gateway.
#[derive(Debug, Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    /// Time of the event that is handled.
    pub(crate) now: Time,
    /// Actions of the event that is handled.
    actions: Vec<Action>,
    rng: Option<fastrand::Rng>,
    pub(crate) state: State,
    /// Running servers that are not offline, ordered by zone.
    pub(crate) running_servers: Vec<ServerId>,
    /// Indices into `running_servers` of the subset that this gateway prefers.
    subset: Vec<usize>,
    /// Open requests, and finished ones with attempts in flight.
    jobs: BTreeMap<JobId, Job>,
    /// Counter calls in flight by name of the count, oldest first.
    calls: BTreeMap<u64, VecDeque<Call>>,
    /// Pending timers by token.
    timers: BTreeMap<u64, TimerPurpose>,
    /// The last token given to a timer.
    next_token: u64,
    /// Whether the last counter call had no answer.
    counter_unanswered: bool,
    /// Attempts in flight.
    inflight: f64,
    /// Whether another process has taken over; requests that are open or still arrive are finished here.
    handed_over: bool,
}

impl Gateway {
    /// Creates a gateway without servers or customers. All its random numbers derive from `seed`.
    ///
    /// # Errors
    /// Returns an error if no gateway can work with the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let call_rate = (INITIAL_FLEET_CALL_RATE / f64::from(settings.gateway_count)).max(MIN_CALL_RATE);
        let plan_flows = vec![Default::default(); settings.plans.len()];
        let (recovery_call_rate, retry_budget, used_up_share) =
            (call_rate, MAX_SAVED_RETRIES, [0.0, INITIAL_RETRY_USED_UP_SHARE]);
        let state = State {
            plan_flows,
            call_rate,
            recovery_call_rate,
            retry_budget,
            used_up_share,
            ..State::default()
        };
        let rng = Some(fastrand::Rng::with_seed(seed));
        Ok(Self { settings, rng, state, ..Self::default() })
    }

    /// Checks new settings without applying them: they replace the present ones as a whole or not at all.
    /// Open requests keep the rules of their class, so classes may be added, removed and reordered; plans may
    /// only be added.
    ///
    /// # Errors
    /// Returns an error if no gateway can work with the settings, or if this one cannot change to them.
    pub fn prepare(&self, settings: Settings) -> Result<PreparedSettings, SettingsError> {
        settings.check()?;
        let removed = settings.plans.len() < self.settings.plans.len();
        if removed { Err(SettingsError::PlansRemoved) } else { Ok(PreparedSettings(settings)) }
    }

    /// Applies prepared settings; this cannot fail.
    pub fn commit(&mut self, prepared: PreparedSettings) {
        self.state.plan_flows.resize(prepared.0.plans.len(), Default::default());
        self.settings = prepared.0;
    }

    /// Hands this gateway's state and its granted quota over to another process of the same gatekeeper, so
    /// that no unit is granted by both. Until [`Gateway::resume`] it spends only units that the counter
    /// grants it from then on, and sends nothing to a server that is warming up.
    pub fn hand_over(&mut self, now: Time) -> State {
        self.handed_over = true;
        let customers =
            self.state.customers.iter_mut().map(|(id, c)| (id.clone(), c.hand_over(now))).collect();
        State { customers, ..self.state.clone() }
    }

    /// Resumes granting after the process that took over has ended; even shares start empty.
    pub fn resume(&mut self, now: Time) {
        self.handed_over = false;
        self.state.customers.values_mut().for_each(|c| c.even_share = TokenBucket { level: 0.0, at: now });
    }

    /// Continues from the state that another process of the same gatekeeper has handed over.
    pub fn take_over(&mut self, mut state: State) {
        state.customers.retain(|_, c| c.plan < self.settings.plans.len());
        state.customers.values_mut().for_each(|c| c.spread = c.spread.clamp(1, self.settings.gateway_count));
        state.plan_flows.resize(self.settings.plans.len(), Default::default());
        state.call_rate = state.call_rate.max(MIN_CALL_RATE);
        // For servers that both processes know, the other one's observations count.
        let mut servers = std::mem::take(&mut self.state.servers);
        servers.append(&mut state.servers);
        self.state = State { servers, ..state };
        self.index_running_servers();
    }

    /// Continues from the state that an earlier process left on disk, with the shortest time that may have
    /// passed since. Leases are kept only if their window still runs for certain. Even shares under a
    /// ceiling, and those of customers that may have spent theirs, start empty.
    pub fn recover(&mut self, now: Time, recovered: RecoveredState) {
        self.state.others_spent_at = recovered.others_spent.map(|ago| now - ago);
        self.state.offline_servers.extend(recovered.offline_servers);
        for (id, plan, ago, Ledger { spread, window: lease_window, lease, owed, share, level }) in
            recovered.customers
        {
            let Some(plan_settings) = self.settings.plans.get(plan) else { continue };
            let (window, age) = window(plan_settings, &id, now);
            let lease = if window == lease_window
                && recovered.max_elapsed.is_some_and(|max_elapsed| max_elapsed <= age)
            {
                lease
            } else {
                0.0
            };
            let bucket = |level| TokenBucket { level, at: now - ago };
            let even_share = if plan_settings.ceiling_rate > 0.0 {
                TokenBucket { level: 0.0, at: now }
            } else {
                bucket(share)
            };
            let (spread, known_level) = (spread.clamp(1, self.settings.gateway_count), level.map(bucket));
            let rest = Customer { last_request: now, ..Customer::default() };
            let new = Customer { plan, spread, lease, owed, even_share, known_level, window, ..rest };
            self.state.customers.insert(id, new);
        }
        self.index_running_servers();
    }

    /// Handles one event at `now` and appends the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, servers } => self.apply_server_list(kind, servers),
            Event::Request(request) => self.admit(request),
            Event::Unrepeatable { job } => {
                self.jobs.get_mut(&job).into_iter().for_each(|j| j.unrepeatable = true)
            }
            Event::FirstByte { job } => self.jobs.get_mut(&job).into_iter().for_each(|j| j.streaming = true),
            Event::AttemptEnded { job, attempt, server, status, elapsed, over, settled, load: _ } => {
                let zone_update = self.observe_outcome(&server, status, elapsed);
                self.attempt_ended(&job, attempt, status, over, settled);
                zone_update.into_iter().for_each(|(zone, change)| self.apply_zone_change(zone, change));
            }
            Event::ClientDisconnected { job } => self.close_request(&job),
            Event::Timer { token } => self.timer_fired(token),
            Event::FleetObservation { server, answered, failed, members } => {
                let failing =
                    failed >= EJECTION_FAILURES && failed > answered && members >= MIN_REPORTING_MEMBERS;
                failing.then(|| self.eject(&server));
            }
            // No probes are sent: attempts show enough of a server's health, and probes cost capacity.
            Event::ProbeEnded { .. } => {}
            Event::CounterAnswered { counter, status, total, elapsed } => {
                self.counter_answered(counter, status, total, elapsed)
            }
        }
        actions.append(&mut self.actions);
    }

    /// A uniformly distributed random number from 0 to 1.
    pub(super) fn random(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, fastrand::Rng::f64)
    }

    /// Asks for a timer at `at` and returns its token.
    pub(super) fn set_timer(&mut self, at: Time, purpose: TimerPurpose) -> u64 {
        self.next_token += 1;
        self.timers.insert(self.next_token, purpose);
        self.actions.push(Action::Timer { token: self.next_token, at });
        self.next_token
    }

    fn timer_fired(&mut self, token: u64) {
        match self.timers.remove(&token) {
            Some(TimerPurpose::CounterTimeout(key)) => self.pending_timed_out(&key, token),
            Some(TimerPurpose::Hedge(id)) => self.send_hedge(&id),
            Some(TimerPurpose::Cleanup) => {
                let idle = |c: &Customer| c.open_attempts == 0 && c.call_timer.is_none();
                self.state
                    .customers
                    .retain(|_, c| self.now - c.last_request < CUSTOMER_IDLE_TIMEOUT || !idle(c));
                self.set_timer(self.now + CUSTOMER_IDLE_TIMEOUT, TimerPurpose::Cleanup);
            }
            None => {}
        }
    }
}
