//! The ordinary path of a quota: a request spends its customer's lease, or a block is requested from the
//! counter.

use super::{
    Call, CallPurpose, DEMAND_MEMORY, Due, Gateway, MEAN_GAIN, MIN_CALL_RATE, PEAK_MEMORY,
    decay::add_decaying,
    window::{self, window, window_length},
};
use crate::{
    interface::{Action, CustomerId, JobId, Plan, Reason, Status},
    state::{Customer, Job, State},
    token_bucket::TokenBucket,
};
use std::collections::VecDeque;

/// Seconds of recent demand that a block covers: short, as demand moves and blocks strand.
const BLOCK_SPAN: f64 = 0.3;
/// Seconds after which a known level is asked again: the page's refresh.
const REFRESH: f64 = 1.0;
/// Share of the burst by which the count may lag behind what has lapsed before it is corrected, at the
/// first call in a window, whose level all others start from.
const FIRST_CALL_LAPSE_SLACK: f64 = 0.1;
/// The same at later calls in a window.
const LATER_CALL_LAPSE_SLACK: f64 = 0.5;
/// Share of the counter's time limit that a request is held for: a later answer has come in vain.
const HOLD_SHARE: f64 = 0.9;
/// Share of the counter's time limit past which an answer shows a crowded counter.
const CROWDED_SHARE: f64 = 0.6;
/// Share of the counter's time limit under which a call without an answer was cut off, not timed out.
const DISCONNECT_SHARE: f64 = 0.95;
/// Calls that may be saved up at least.
const MIN_SAVED_CALLS: f64 = 3.0;
/// Seconds of the rate of calls that may be saved up.
const SAVED_CALL_SECONDS: f64 = 0.1;
/// How the rate rises with each quick answer to what it was before the counter fell silent: within a few.
const CALL_RATE_RECOVERY: f64 = 2.0;
/// What a unit sent off the count has to earn on average, of its worth, while the count could say more.
const MIN_GAIN: f64 = 0.45;

/// After a quick answer the rate of calls rises by this times its root.
const CALL_RATE_RISE: f64 = 0.25;
/// After a slow answer the rate of calls falls to this share.
const CALL_RATE_SLOW_FACTOR: f64 = 0.8;
/// After a lost answer the rate of calls falls to this share.
const CALL_RATE_LOST_FACTOR: f64 = 0.6;

impl Gateway {
    /// The ordinary path: lease, else block, else refusal; the safe share while the counter is quiet.
    pub(super) fn cover_by_lease(&mut self, id: JobId, plan: &Plan) {
        let (units, key) = (self.jobs[&id].request.units, self.jobs[&id].request.customer.clone());
        // Crowded calls go to the largest worth at stake: a lesser one must find a fuller bucket.
        let worth = units * plan.unit_value * self.jobs[&id].class.value;
        self.state.stake += MEAN_GAIN * (worth - self.state.stake);
        let price = (self.state.stake / worth.max(1e-9)).powi(2).clamp(0.2, MIN_SAVED_CALLS);
        let saved = MIN_SAVED_CALLS.max(SAVED_CALL_SECONDS * self.state.call_rate);
        let bucket = self.state.tokens.refill(self.now, self.state.call_rate, saved);
        let usable = bucket >= price && self.settings.has_counter;
        let hold =
            self.now + HOLD_SHARE * self.settings.counter_timeout + 4.0 * self.settings.min_event_interval;
        let waits = self.jobs[&id].request.expires > hold; // Else it is over before an answer comes.
        let customer = self.state.customers.get_mut(&key).expect("admitted customers are known");
        if customer.window != window(plan, &key, self.now).0 {
            customer.lease = 0.0; // It lapses with its window.
        }
        if customer.lease >= units {
            return self.spend(id, units, Reason::Lease);
        }
        if customer.asking.is_some() && !customer.late && waits {
            customer.pending.push_back(id);
            return;
        }
        if let Some(mut level) = customer.level.filter(|l| self.now - l.at < REFRESH)
            && level.refill(self.now, plan.rate, plan.burst) + customer.lease + 1e-6 < units
        {
            return self.beyond_quota(id, plan, Reason::KnownLevel);
        }
        if customer.asking.is_none() && usable {
            let unseen = customer.level.is_none() && plan.burst >= f64::from(customer.spread) * units;
            customer.pending.push_back(id.clone());
            self.request_block(&key, plan);
            if !waits || unseen && self.even_share_covers(&id, plan) {
                self.state.customers.get_mut(&key).expect("still known").pending.pop_back();
                self.spend_even_share(id, plan, Reason::FirstCallPending);
            }
            return;
        }
        // Whom the count refused often of late is rarely owed a unit; a silent counter leaves the even
        // share.
        let missed = self.state.missed[usize::from(self.jobs[&id].request.client_retry)];
        if self.settings.has_counter
            && !self.unanswered
            && 1.0 - missed * (1.0 + plan.overrun_cost) < MIN_GAIN
        {
            return self.beyond_quota(id, plan, Reason::NoCallBudget);
        }
        self.spend_even_share(id, plan, Reason::NoCallBudget);
    }

    pub(super) fn spend(&mut self, id: JobId, units: f64, paid: Reason) {
        let off_count = paid != Reason::Lease;
        let job = self.jobs.get_mut(&id).expect("the caller names an open job");
        (job.paid, job.drawn) = (paid, units);
        let key = job.request.customer.clone();
        let plan = self.settings.plans[self.jobs[&id].request.plan].clone();
        let customer = self.state.customers.get_mut(&key).expect("spending customers are known");
        if off_count && customer.asking.is_some() && customer.late {
            customer.ahead += units;
        } else if off_count && plan.burst < f64::from(customer.spread) * units {
            add_decaying(&mut self.state.flows[customer.plan].0, self.now, units, PEAK_MEMORY);
        } else if off_count {
            // No more than a share's burst: the rest was paid by the refill of the time it was spent in.
            let most = (plan.burst / f64::from(customer.spread)).max(units);
            customer.owed = (customer.owed + units).min(most);
        } else {
            customer.lease -= units;
        }
        let drawn = if off_count || plan.ceiling_rate > 0.0 { units } else { 0.0 };
        customer.share.level = (customer.share.level - drawn).max(0.0);
        if plan.max_open_attempts == 0 {
            self.send_first(id);
        } else if !self.under_open_cap(&key, &plan) {
            self.finish(&id, self.state.latency, Reason::OpenAttemptLimit);
        } else if self.within_open_pace(&key, &plan) {
            self.send_first(id);
        } else {
            // Its unit stays spent: else the rate would be as high as before.
            self.jobs.get_mut(&id).expect("seen above").drawn = 0.0;
            self.finish(&id, self.state.latency, Reason::OpenAttemptPace);
        }
    }

    pub(super) fn request_block(&mut self, key: &CustomerId, plan: &Plan) {
        let (window, _) = window(plan, key, self.now);
        let customer = self.state.customers.get_mut(key).expect("asked for known customers only");
        let need: f64 = customer.pending.iter().map(|id| self.jobs[id].request.units).sum();
        let demand = customer.demand.level / DEMAND_MEMORY;
        let mut spare = if self.leaving { 0.0 } else { demand * BLOCK_SPAN };
        if let Some(mut level) = customer.level {
            spare = spare.min(level.refill(self.now, plan.rate, plan.burst) / f64::from(customer.spread));
        }
        // Whole units beyond the need only: a unit stranded at each gateway is most of a small burst.
        let want = ((need - customer.lease).ceil() + spare.floor()).max(0.0);
        // A gateway of many rarely asks twice for a customer: each ask of a thin share adds for what was
        // sent off the count, in proportion, so that the sum over all gateways is right.
        let (off, asked) = &mut self.state.flows[customer.plan];
        add_decaying(asked, self.now, need, PEAK_MEMORY);
        add_decaying(off, self.now, 0.0, PEAK_MEMORY);
        let thin = plan.burst < f64::from(customer.spread) * need;
        let others = if thin { (need * off.level / asked.level).min(plan.burst) } else { 0.0 };
        let owed = std::mem::take(&mut customer.owed);
        (customer.window, customer.late) = (window, false);
        self.call_counter(key, window, want + owed + others, CallPurpose::Ask { want, owed, others }, plan);
        let token = self.set_timer(
            self.now + HOLD_SHARE * self.settings.counter_timeout,
            Due::CounterTimeout(key.clone()),
        );
        self.state.customers.get_mut(key).expect("seen above").asking = Some(token);
    }

    pub(super) fn call_counter(
        &mut self,
        key: &CustomerId,
        window: u64,
        step: f64,
        purpose: CallPurpose,
        plan: &Plan,
    ) {
        let index = self.state.customers[key].plan as u64;
        let counter = window::hash(&[key.as_bytes(), &index.to_le_bytes(), &window.to_le_bytes()]);
        let call = Call { customer: key.clone(), window, step, purpose };
        self.calls.entry(counter).or_default().push_back(call);
        self.state.tokens.level -= 1.0;
        self.out.push(Action::Count { counter, amount: step, ttl: (2.2 * window_length(plan)).min(60.0) });
    }

    /// The counter's speed moves the rate of calls, as a gateway of many has less than one out: a crowded
    /// counter works in vain on calls that nobody waits for. A silent one gets trial calls only; as it is
    /// gone and not crowded, the rate is soon what it was once it answers again.
    pub(super) fn pace_calls(&mut self, status: Status, spent: f64) {
        if status == Status::Timeout && spent < DISCONNECT_SHARE * self.settings.counter_timeout {
            return; // Its connection broke first: that says nothing of how crowded the counter is.
        }
        let quick = status == Status::Ok && spent < CROWDED_SHARE * self.settings.counter_timeout;
        // A call that is not answered tells of a crowd once; others after it, and refused ones, of silence.
        let silent = status == Status::ConnectFailed || status == Status::Timeout && self.unanswered;
        self.unanswered = matches!(status, Status::ConnectFailed | Status::Timeout);
        let State { call_rate, answered_rate, slowed, tokens, .. } = &mut self.state;
        if !quick && self.now - spent >= *slowed {
            // Once for all that was out at that moment: they met the same line.
            *slowed = self.now;
            *call_rate = (*call_rate
                * if status == Status::Ok { CALL_RATE_SLOW_FACTOR } else { CALL_RATE_LOST_FACTOR })
            .max(MIN_CALL_RATE);
            *answered_rate = if silent { *answered_rate } else { *call_rate };
        } else if quick && *call_rate < *answered_rate {
            *call_rate = (*call_rate * CALL_RATE_RECOVERY).min(*answered_rate);
        } else if quick && tokens.level < 1.0 {
            *call_rate += CALL_RATE_RISE * call_rate.sqrt();
            *answered_rate = *call_rate;
        }
    }

    pub(super) fn counter_answered(&mut self, name: u64, status: Status, total: f64, spent: f64) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        if self.calls[&name].is_empty() {
            self.calls.remove(&name);
        }
        self.pace_calls(status, spent);
        let Some(customer) = self.state.customers.get_mut(&call.customer) else { return };
        let plan = self.settings.plans[customer.plan].clone();
        if status == Status::Ok {
            self.apply_total(&call, total, &plan);
        }
        if let CallPurpose::Ask { .. } = call.purpose {
            let customer = self.state.customers.get_mut(&call.customer).expect("seen above");
            customer.asking = None;
            // What went ahead of this answer is paid with what it brings: else both would count.
            let paid = customer.ahead.min(customer.lease);
            customer.lease -= paid;
            let rest = std::mem::take(&mut customer.ahead) - paid;
            if rest > 0.0 {
                let most = (plan.burst / f64::from(customer.spread)).max(self.settings.max_request_units);
                customer.owed = (customer.owed + rest).min(most);
            }
            let why = if status == Status::Ok { Reason::CounterTotal } else { Reason::CounterUnanswered };
            let held = std::mem::take(&mut customer.pending);
            held.into_iter().for_each(|id| self.serve_pending(id, why, &plan));
        }
    }

    pub(super) fn serve_pending(&mut self, id: JobId, why: Reason, plan: &Plan) {
        let Some(Job { request, .. }) = self.jobs.get(&id).filter(|j| !j.over) else { return };
        let covered = self.state.customers[&request.customer].lease >= request.units;
        if why == Reason::CounterTotal {
            let missed = &mut self.state.missed[usize::from(request.client_retry)];
            *missed += MEAN_GAIN * (f64::from(u8::from(!covered)) - *missed);
        }
        match why {
            _ if covered => self.spend(id, request.units, Reason::Lease),
            Reason::CounterTotal => self.beyond_quota(id, plan, why),
            _ => self.spend_even_share(id, plan, why),
        }
    }

    /// Reads a total: the window's limit is the burst plus what the rate has refilled since it began.
    ///
    /// Whoever finds a count at nothing is first in a window, or finds it emptied: it adds what was not
    /// left over, from the level it knows or from the window before. Where more is left than the burst, the
    /// rest lapses: it is added.
    pub(super) fn apply_total(&mut self, call: &Call, total: f64, plan: &Plan) {
        let (window, age) = window(plan, &call.customer, self.now);
        let customer = self.state.customers.get_mut(&call.customer).expect("settled for known ones only");
        let limit = plan.burst + plan.rate * age;
        let prior = total - call.step;
        match call.purpose {
            CallPurpose::Read if call.window + 1 == window && prior > 1e-6 => {
                let turn = plan.burst + plan.rate * window_length(plan) - total;
                let missing = plan.burst - (turn + plan.rate * age).min(plan.burst);
                customer.level.iter_mut().for_each(|l| l.level -= missing);
                if missing > FIRST_CALL_LAPSE_SLACK * plan.burst {
                    self.call_counter(&call.customer, window, missing, CallPurpose::Correct, plan);
                }
            }
            CallPurpose::Correct | CallPurpose::Read => {}
            CallPurpose::Ask { want, owed, others } => {
                let shift = (window - call.window.min(window)) as f64 * plan.rate * window_length(plan);
                let before = limit + shift - prior;
                let mut left = before.min(plan.burst);
                let first = prior.abs() < 1e-6;
                let known = customer.level.filter(|l| self.now - l.at < age.max(REFRESH));
                if let (true, Some(mut known)) = (first, known) {
                    left = left.min(known.refill(self.now, plan.rate, plan.burst));
                }
                let lapsed = before - left;
                // What others may have sent is a guess, right in sum only: it does not refuse this one.
                let granted = want.min((left - owed + 1e-6).floor().max(0.0));
                customer.lease += granted;
                // What was sent beyond the quota takes nothing from it.
                let spent = owed + others + granted;
                let beyond = (spent - left.max(granted)).max(0.0);
                customer.level = Some(TokenBucket { level: left - spent + beyond, at: self.now });
                let mut correction = granted - want - beyond;
                if lapsed > if first { FIRST_CALL_LAPSE_SLACK } else { LATER_CALL_LAPSE_SLACK } * plan.burst {
                    correction += lapsed;
                }
                if correction.abs() > 1e-6 {
                    self.call_counter(&call.customer, call.window, correction, CallPurpose::Correct, plan);
                }
                if first && known.is_none() && call.window > 0 {
                    self.call_counter(&call.customer, call.window - 1, 0.0, CallPurpose::Read, plan);
                }
            }
        }
    }

    /// A slow counter must not hold requests: after a few milliseconds the safe share decides.
    pub(super) fn pending_timed_out(&mut self, key: &CustomerId, asked: u64) {
        let asking = |c: &&mut Customer| c.asking == Some(asked);
        let Some(customer) = self.state.customers.get_mut(key).filter(asking) else { return };
        customer.late = true;
        let plan = self.settings.plans[customer.plan].clone();
        for id in std::mem::take(&mut customer.pending) {
            self.serve_pending(id, Reason::CounterLate, &plan);
        }
    }
}
