//! Every decision of a gateway, without I/O; its events, actions and settings are in `src/interface.rs`.
//!
//! Ordinary path: a request spends its customer's lease; else a block sized to recent demand is added to
//! the customer's count and kept as far as the window's burst allows; else it is rejected at once. While
//! the counter does not answer an even share of rate and burst decides. [`quota_lease`] and [`even_share`]
//! hold these; [`admission`] what is let in at all, [`server_choice`] and [`server_health`] where it goes,
//! [`attempts`] retries, hedges and the final answer.

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

// Constants that several of the modules use; the others stand in the module that uses them.

/// Seconds over which demand is averaged: a few blocks.
const DEMAND_MEMORY: f64 = 1.0;
/// Calls a second to the counter at least: trials while it does not answer.
const MIN_CALL_RATE: f64 = 1.0;
/// Calls a second to the counter at the start, over all gateways.
const INITIAL_FLEET_CALL_RATE: f64 = 600.0;
/// Share of clients' repeats that the count is taken to have nothing left for before it has told.
const REPEAT_MISSED: f64 = 0.5;
/// Share of the bound that second copies and what is beyond quotas may fill: none in a slow fleet.
const SPARE_CAPACITY: f64 = 0.5;
/// Further attempts that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Seconds over which sends are averaged.
const RATE_MEMORY: f64 = 3.0;
/// Seconds over which the most that a server carried, and what went off the count, is forgotten: a warm-up.
const PEAK_MEMORY: f64 = 20.0;
/// Weight of a new value in a mean.
const MEAN_GAIN: f64 = 0.15;
/// Seconds after which what was heard of a server counts for little.
const OBSERVATION_MEMORY: f64 = 14.0;
/// Failures in a row that put a server out; a refused connection counts as all of them.
const EJECTION_FAILURES: u32 = 3;
/// Gateways that a server has to fail before all eject it: one may have bad links of its own.
const MIN_REPORTING_MEMBERS: u32 = 2;
/// Seconds after which an idle customer is forgotten; longer than any window.
const CUSTOMER_IDLE_TIMEOUT: f64 = 60.0;

/// What a call to the counter is for.
#[derive(Debug)]
pub(super) enum CallPurpose {
    /// Requests a block of `want` units. `others` is this call's part of what gateways sent off the count
    /// that won't soon ask themselves.
    Ask { want: f64, owed: f64, others: f64 },
    /// Reads the count of the window before.
    Read,
    /// Corrects the count by what lapsed or was taken beyond the quota.
    Correct,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerId,
    pub(super) window: u64,
    pub(super) step: f64,
    pub(super) purpose: CallPurpose,
}

#[derive(Debug, Clone)]
pub(super) enum Due {
    /// The counter has not answered in time for the requests that wait for it.
    CounterTimeout(CustomerId),
    /// An attempt is slow: a hedge may go out.
    Hedge(JobId),
    /// Idle customers are forgotten.
    Cleanup,
}

/// Settings that a gateway can change to.
#[derive(Debug)]
pub struct PreparedSettings(Settings);

/// The decisions of one gateway.
#[derive(Debug, Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    out: Vec<Action>,
    rng: Option<fastrand::Rng>,
    pub(crate) state: State,
    /// Running servers that are not aside, to draw from.
    pub(crate) names: Vec<ServerId>,
    /// The places there of those that this gateway keeps to.
    own: Vec<usize>,
    jobs: BTreeMap<JobId, Job>,
    calls: BTreeMap<u64, VecDeque<Call>>,
    due: BTreeMap<u64, Due>,
    next_token: u64,
    /// The last call had no answer.
    unanswered: bool,
    inflight: f64,
    /// Another process has taken over: only what is in hand or comes all the same is ended here.
    leaving: bool,
}

impl Gateway {
    /// A gateway that knows nothing yet. `seed` feeds all its randomness.
    ///
    /// # Errors
    /// Settings that no gateway can work with.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let call_rate = (INITIAL_FLEET_CALL_RATE / f64::from(settings.gateway_count)).max(MIN_CALL_RATE);
        let flows = vec![Default::default(); settings.plans.len()];
        let (answered_rate, further, missed) = (call_rate, MAX_SAVED_RETRIES, [0.0, REPEAT_MISSED]);
        let state = State { flows, call_rate, answered_rate, further, missed, ..State::default() };
        let rng = Some(fastrand::Rng::with_seed(seed));
        Ok(Self { settings, rng, state, ..Self::default() })
    }

    /// Checks other settings, and changes nothing: all can be put in the place of the present ones, or
    /// none. Open requests keep their class's rules, so classes may come, go and move; plans may only be
    /// added.
    ///
    /// # Errors
    /// Settings that no gateway can work with, or that this one can't change to.
    pub fn prepare(&self, settings: Settings) -> Result<PreparedSettings, SettingsError> {
        settings.check()?;
        let removed = settings.plans.len() < self.settings.plans.len();
        if removed { Err(SettingsError::PlansRemoved) } else { Ok(PreparedSettings(settings)) }
    }

    /// Puts them there, which can't fail.
    pub fn commit(&mut self, ready: PreparedSettings) {
        self.state.flows.resize(ready.0.plans.len(), Default::default());
        self.settings = ready.0;
    }

    /// Gives up what this gateway knows and has granted to another process of the same gatekeeper, so that
    /// the two grant nothing twice. From then on it spends nothing that the counter has not granted it
    /// anew, and sends nothing to a cold server, until [`Gateway::resume`].
    pub fn hand_over(&mut self, now: Time) -> State {
        self.leaving = true;
        let customers = self.state.customers.iter_mut().map(|(id, c)| (id.clone(), c.give_up(now))).collect();
        State { customers, ..self.state.clone() }
    }

    /// The process that took over has ended: this one grants again, beginning with nothing in its stores.
    pub fn resume(&mut self, now: Time) {
        self.leaving = false;
        self.state.customers.values_mut().for_each(|c| c.share = TokenBucket { level: 0.0, at: now });
    }

    /// Goes on from where another process of the same gatekeeper has come to.
    pub fn take_over(&mut self, mut state: State) {
        state.customers.retain(|_, c| c.plan < self.settings.plans.len());
        state.customers.values_mut().for_each(|c| c.spread = c.spread.clamp(1, self.settings.gateway_count));
        state.flows.resize(self.settings.plans.len(), Default::default());
        state.call_rate = state.call_rate.max(MIN_CALL_RATE);
        // What both know of a server, the other process has learned.
        let mut servers = std::mem::take(&mut self.state.servers);
        servers.append(&mut state.servers);
        self.state = State { servers, ..state };
        self.index_running_servers();
    }

    /// Goes on from what an earlier process left on disk, at the least of the time that has passed: of
    /// leases only those of a window that surely still runs; nothing under a ceiling, or for who may have
    /// spent it.
    pub fn recover(&mut self, now: Time, kept: RecoveredState) {
        self.state.spent = kept.others_spent.map(|ago| now - ago);
        self.state.aside.extend(kept.offline_servers);
        for (id, plan, ago, Ledger { spread, window: of, lease, owed, share, level }) in kept.customers {
            let Some(terms) = self.settings.plans.get(plan) else { continue };
            let (window, age) = window(terms, &id, now);
            let lease =
                if window == of && kept.max_elapsed.is_some_and(|most| most <= age) { lease } else { 0.0 };
            let store = |level| TokenBucket { level, at: now - ago };
            let share =
                if terms.ceiling_rate > 0.0 { TokenBucket { level: 0.0, at: now } } else { store(share) };
            let (spread, level) = (spread.clamp(1, self.settings.gateway_count), level.map(store));
            let rest = Customer { touched: now, ..Customer::default() };
            let new = Customer { plan, spread, lease, owed, share, level, window, ..rest };
            self.state.customers.insert(id, new);
        }
        self.index_running_servers();
    }

    /// Takes one event at `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, servers } => self.servers_listed(kind, servers),
            Event::Request(request) => self.admit(request),
            Event::Unrepeatable { job } => self.jobs.get_mut(&job).into_iter().for_each(|j| j.once = true),
            Event::FirstByte { job } => self.jobs.get_mut(&job).into_iter().for_each(|j| j.streaming = true),
            Event::AttemptEnded { job, attempt, server, status, elapsed, over, settled, load: _ } => {
                let turn = self.observe_outcome(&server, status, elapsed);
                self.attempt_ended(&job, attempt, status, over, settled);
                turn.into_iter().for_each(|(zone, turn)| self.zone_changed(zone, turn));
            }
            Event::ClientDisconnected { job } => self.forget(&job),
            Event::Timer { token } => self.timer_fired(token),
            Event::FleetObservation { server, answered, failed, members } => {
                let sick =
                    failed >= EJECTION_FAILURES && failed > answered && members >= MIN_REPORTING_MEMBERS;
                sick.then(|| self.eject(&server));
            }
            Event::ProbeEnded { .. } => {} // None is asked for: attempts tell enough, and probes cost.
            Event::CounterAnswered { counter, status, total, elapsed } => {
                self.counter_answered(counter, status, total, elapsed)
            }
        }
        actions.append(&mut self.out);
    }

    /// A number from 0 to 1.
    pub(super) fn draw(&mut self) -> f64 {
        self.rng.as_mut().map_or(0.5, fastrand::Rng::f64)
    }

    pub(super) fn set_timer(&mut self, at: Time, due: Due) -> u64 {
        self.next_token += 1;
        self.due.insert(self.next_token, due);
        self.out.push(Action::Timer { token: self.next_token, at });
        self.next_token
    }

    fn timer_fired(&mut self, token: u64) {
        match self.due.remove(&token) {
            Some(Due::CounterTimeout(key)) => self.pending_timed_out(&key, token),
            Some(Due::Hedge(id)) => self.send_hedge(&id),
            Some(Due::Cleanup) => {
                let idle = |c: &Customer| c.open == 0 && c.asking.is_none();
                self.state.customers.retain(|_, c| self.now - c.touched < CUSTOMER_IDLE_TIMEOUT || !idle(c));
                self.set_timer(self.now + CUSTOMER_IDLE_TIMEOUT, Due::Cleanup);
            }
            None => {}
        }
    }
}
