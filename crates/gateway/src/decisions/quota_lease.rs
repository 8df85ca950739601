//! The ordinary path of a quota: a request spends its customer's lease, or a block of units is requested from
//! the counter.

use super::{
    Call, CallPurpose, DEMAND_MEMORY, Gateway, MEAN_GAIN, MIN_CALL_RATE, PEAK_MEMORY, TimerPurpose,
    decay::add_decaying,
    window::{self, window, window_length},
};
use crate::{
    interface::{Action, CustomerId, JobId, Plan, Reason, Status},
    state::{Customer, Job, State},
    token_bucket::TokenBucket,
};
use std::collections::VecDeque;

/// Seconds of recent demand that a block covers: short, as demand changes and unspent units are stranded at
/// this gateway until the window ends.
const BLOCK_SECONDS: f64 = 0.3;
/// Age in seconds from which a known level is no longer trusted and the counter is called again.
const LEVEL_MAX_AGE: f64 = 1.0;
/// Share of the burst by which the count may lag behind the units that have lapsed before it is corrected, at
/// the first call in a window, whose total all later calls start from.
const FIRST_CALL_LAPSE_SLACK: f64 = 0.1;
/// The same share at later calls in a window.
const LATER_CALL_LAPSE_SLACK: f64 = 0.5;
/// Share of the counter's time-out for which a request waits for the answer; a later one is of no use to it.
const MAX_WAIT_SHARE: f64 = 0.9;
/// Share of the counter's time-out from which an answer counts as slow and shows an overloaded counter.
const SLOW_ANSWER_SHARE: f64 = 0.6;
/// Share of the counter's time-out below which a call without an answer was ended by its connection, not by
/// the time-out.
const DISCONNECT_SHARE: f64 = 0.95;
/// Minimum capacity of the call budget, in calls.
const MIN_SAVED_CALLS: f64 = 3.0;
/// Capacity of the call budget in seconds of the call rate, where that is more.
const SAVED_CALL_SECONDS: f64 = 0.1;
/// Factor by which the call rate rises with each quick answer, back to its value before the counter became
/// unavailable: that takes a few answers.
const CALL_RATE_RECOVERY: f64 = 2.0;
/// Minimum mean value, as a share of its full value, that a unit sent without the counter's grant has to earn
/// while the counter answers.
const MIN_EXPECTED_VALUE: f64 = 0.45;

/// After a quick answer the call rate rises by this times its square root.
const CALL_RATE_RISE: f64 = 0.25;
/// Factor on the call rate after a slow answer.
const CALL_RATE_SLOW_FACTOR: f64 = 0.8;
/// Factor on the call rate after a lost answer.
const CALL_RATE_LOST_FACTOR: f64 = 0.6;

impl Gateway {
    /// Serves a request from its customer's lease; else it waits for a requested block, is served from the
    /// even share while the counter cannot be asked, or is treated as over quota.
    pub(super) fn serve_from_lease(&mut self, id: JobId, plan: &Plan) {
        let (units, key) = (self.jobs[&id].request.units, self.jobs[&id].request.customer.clone());
        // While calls are scarce they go to the requests of the largest value: a smaller one needs a fuller
        // call budget.
        let value = units * plan.unit_value * self.jobs[&id].class.value;
        self.state.mean_call_value += MEAN_GAIN * (value - self.state.mean_call_value);
        let price = (self.state.mean_call_value / value.max(1e-9)).powi(2).clamp(0.2, MIN_SAVED_CALLS);
        let capacity = MIN_SAVED_CALLS.max(SAVED_CALL_SECONDS * self.state.call_rate);
        let budget = self.state.call_budget.refill(self.now, self.state.call_rate, capacity);
        let can_call = budget >= price && self.settings.has_counter;
        let wait_until = self.now
            + MAX_WAIT_SHARE * self.settings.counter_timeout
            + 4.0 * self.settings.min_event_interval;
        // A request that expires earlier would be over before the counter's answer arrives.
        let can_wait = self.jobs[&id].request.expires > wait_until;
        let customer = self.state.customers.get_mut(&key).expect("admitted customers are known");
        if customer.window != window(plan, &key, self.now).0 {
            customer.lease = 0.0; // A lease lapses with its window.
        }
        if customer.lease >= units {
            return self.spend(id, units, Reason::Lease);
        }
        if customer.call_timer.is_some() && !customer.call_late && can_wait {
            customer.pending.push_back(id);
            return;
        }
        if let Some(mut level) = customer.known_level.filter(|l| self.now - l.at < LEVEL_MAX_AGE)
            && level.refill(self.now, plan.rate, plan.burst) + customer.lease + 1e-6 < units
        {
            return self.handle_over_quota(id, plan, Reason::KnownLevel);
        }
        if customer.call_timer.is_none() && can_call {
            let first_call =
                customer.known_level.is_none() && plan.burst >= f64::from(customer.spread) * units;
            customer.pending.push_back(id.clone());
            self.request_block(&key, plan);
            if !can_wait || first_call && self.even_share_covers(&id, plan) {
                self.state.customers.get_mut(&key).expect("still known").pending.pop_back();
                self.serve_from_even_share(id, plan, Reason::FirstCallPending);
            }
            return;
        }
        // Where the counter has recently found most quotas used up, a unit sent without its grant is probably
        // beyond the quota. While the counter is unavailable, the even share decides alone.
        let used_up = self.state.used_up_share[usize::from(self.jobs[&id].request.client_retry)];
        if self.settings.has_counter
            && !self.counter_unanswered
            && 1.0 - used_up * (1.0 + plan.overrun_cost) < MIN_EXPECTED_VALUE
        {
            return self.handle_over_quota(id, plan, Reason::NoCallBudget);
        }
        self.serve_from_even_share(id, plan, Reason::NoCallBudget);
    }

    /// Charges `units` to the source of quota that `paid_from` names and sends the first attempt if the
    /// plan's limit on open attempts allows it.
    pub(super) fn spend(&mut self, id: JobId, units: f64, paid_from: Reason) {
        let uncounted = paid_from != Reason::Lease;
        let job = self.jobs.get_mut(&id).expect("the caller names an open job");
        (job.paid_from, job.unsent_units) = (paid_from, units);
        let key = job.request.customer.clone();
        let plan = self.settings.plans[self.jobs[&id].request.plan].clone();
        let customer = self.state.customers.get_mut(&key).expect("spending customers are known");
        if uncounted && customer.call_timer.is_some() && customer.call_late {
            customer.sent_ahead += units;
        } else if uncounted && plan.burst < f64::from(customer.spread) * units {
            add_decaying(&mut self.state.plan_flows[customer.plan].0, self.now, units, PEAK_MEMORY);
        } else if uncounted {
            // At most the burst of an even share is owed: the rest was paid by the refill during the time in
            // which it was spent.
            let max_owed = (plan.burst / f64::from(customer.spread)).max(units);
            customer.owed = (customer.owed + units).min(max_owed);
        } else {
            customer.lease -= units;
        }
        let from_share = if uncounted || plan.ceiling_rate > 0.0 { units } else { 0.0 };
        customer.even_share.level = (customer.even_share.level - from_share).max(0.0);
        if plan.max_open_attempts == 0 {
            self.send_first(id);
        } else if !self.within_attempt_limit(&key, &plan) {
            self.finish(&id, self.state.latency, Reason::OpenAttemptLimit);
        } else if self.within_attempt_pace(&key, &plan) {
            self.send_first(id);
        } else {
            // Its units stay spent: else other requests would use them, and the pace would not be held.
            self.jobs.get_mut(&id).expect("seen above").unsent_units = 0.0;
            self.finish(&id, self.state.latency, Reason::OpenAttemptPace);
        }
    }

    /// Calls the counter for the units that the pending requests need, a block for near demand, and what is
    /// owed.
    pub(super) fn request_block(&mut self, key: &CustomerId, plan: &Plan) {
        let (window, _) = window(plan, key, self.now);
        let customer = self.state.customers.get_mut(key).expect("asked for known customers only");
        let need: f64 = customer.pending.iter().map(|id| self.jobs[id].request.units).sum();
        let demand = customer.demand.level / DEMAND_MEMORY;
        let mut spare = if self.handed_over { 0.0 } else { demand * BLOCK_SECONDS };
        if let Some(mut level) = customer.known_level {
            spare = spare.min(level.refill(self.now, plan.rate, plan.burst) / f64::from(customer.spread));
        }
        // The block is rounded down to whole units: one unit stranded at each gateway is most of a small
        // burst.
        let wanted = ((need - customer.lease).ceil() + spare.floor()).max(0.0);
        // Where each gateway's share of the burst is below one request, a gateway rarely calls twice for the
        // same customer. Each call then adds for units that were sent uncounted, in proportion, so that the
        // sum over all gateways is right.
        let (uncounted, requested) = &mut self.state.plan_flows[customer.plan];
        add_decaying(requested, self.now, need, PEAK_MEMORY);
        add_decaying(uncounted, self.now, 0.0, PEAK_MEMORY);
        let small_share = plan.burst < f64::from(customer.spread) * need;
        let owed_by_others =
            if small_share { (need * uncounted.level / requested.level).min(plan.burst) } else { 0.0 };
        let owed = std::mem::take(&mut customer.owed);
        (customer.window, customer.call_late) = (window, false);
        self.call_counter(
            key,
            window,
            wanted + owed + owed_by_others,
            CallPurpose::RequestBlock { wanted, owed, owed_by_others },
            plan,
        );
        let token = self.set_timer(
            self.now + MAX_WAIT_SHARE * self.settings.counter_timeout,
            TimerPurpose::CounterTimeout(key.clone()),
        );
        self.state.customers.get_mut(key).expect("seen above").call_timer = Some(token);
    }

    /// Adds `amount` to the customer's count of `window` and takes the call from the call budget.
    pub(super) fn call_counter(
        &mut self,
        key: &CustomerId,
        window: u64,
        amount: f64,
        purpose: CallPurpose,
        plan: &Plan,
    ) {
        let index = self.state.customers[key].plan as u64;
        let counter = window::hash(&[key.as_bytes(), &index.to_le_bytes(), &window.to_le_bytes()]);
        let call = Call { customer: key.clone(), window, amount, purpose };
        self.calls.entry(counter).or_default().push_back(call);
        self.state.call_budget.level -= 1.0;
        self.actions.push(Action::Count { counter, amount, ttl: (2.2 * window_length(plan)).min(60.0) });
    }

    /// Adjusts the call rate to the counter's speed. A gateway of many has less than one call in flight, so a
    /// limit on calls in flight would not do; and an overloaded counter wastes its time on calls that nobody
    /// waits for any more.
    ///
    /// An unavailable counter gets trial calls only. As it is gone and not overloaded, the rate returns to
    /// its former value soon after it answers again.
    pub(super) fn adjust_call_rate(&mut self, status: Status, elapsed: f64) {
        if status == Status::Timeout && elapsed < DISCONNECT_SHARE * self.settings.counter_timeout {
            return; // The connection broke first, which says nothing of the counter's load.
        }
        let quick = status == Status::Ok && elapsed < SLOW_ANSWER_SHARE * self.settings.counter_timeout;
        // A first unanswered call shows overload; further ones, and refused connections, that the counter is
        // unavailable.
        let unavailable =
            status == Status::ConnectFailed || status == Status::Timeout && self.counter_unanswered;
        self.counter_unanswered = matches!(status, Status::ConnectFailed | Status::Timeout);
        let State { call_rate, recovery_call_rate, call_rate_lowered_at, call_budget, .. } = &mut self.state;
        if !quick && self.now - elapsed >= *call_rate_lowered_at {
            // Lowers the rate once for all calls in flight at that moment: they waited in the same queue.
            *call_rate_lowered_at = self.now;
            *call_rate = (*call_rate
                * if status == Status::Ok { CALL_RATE_SLOW_FACTOR } else { CALL_RATE_LOST_FACTOR })
            .max(MIN_CALL_RATE);
            *recovery_call_rate = if unavailable { *recovery_call_rate } else { *call_rate };
        } else if quick && *call_rate < *recovery_call_rate {
            *call_rate = (*call_rate * CALL_RATE_RECOVERY).min(*recovery_call_rate);
        } else if quick && call_budget.level < 1.0 {
            *call_rate += CALL_RATE_RISE * call_rate.sqrt();
            *recovery_call_rate = *call_rate;
        }
    }

    /// Handles the end of a counter call and serves the requests that waited for it.
    pub(super) fn counter_answered(&mut self, name: u64, status: Status, total: f64, elapsed: f64) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        if self.calls[&name].is_empty() {
            self.calls.remove(&name);
        }
        self.adjust_call_rate(status, elapsed);
        let Some(customer) = self.state.customers.get_mut(&call.customer) else { return };
        let plan = self.settings.plans[customer.plan].clone();
        if status == Status::Ok {
            self.apply_total(&call, total, &plan);
        }
        if let CallPurpose::RequestBlock { .. } = call.purpose {
            let customer = self.state.customers.get_mut(&call.customer).expect("seen above");
            customer.call_timer = None;
            // Units that were sent ahead of this answer are paid from its grant; else they would count twice.
            let paid = customer.sent_ahead.min(customer.lease);
            customer.lease -= paid;
            let unpaid = std::mem::take(&mut customer.sent_ahead) - paid;
            if unpaid > 0.0 {
                let max_owed = (plan.burst / f64::from(customer.spread)).max(self.settings.max_request_units);
                customer.owed = (customer.owed + unpaid).min(max_owed);
            }
            let reason = if status == Status::Ok { Reason::CounterTotal } else { Reason::CounterUnanswered };
            let pending = std::mem::take(&mut customer.pending);
            pending.into_iter().for_each(|id| self.serve_pending(id, reason, &plan));
        }
    }

    /// Serves a request that has waited for the counter: from the lease, or, where that does not cover it, as
    /// `reason` says: over quota by the counter's total, or without an answer from the even share.
    pub(super) fn serve_pending(&mut self, id: JobId, reason: Reason, plan: &Plan) {
        let Some(Job { request, .. }) = self.jobs.get(&id).filter(|j| !j.finished) else { return };
        let covered = self.state.customers[&request.customer].lease >= request.units;
        if reason == Reason::CounterTotal {
            let used_up = &mut self.state.used_up_share[usize::from(request.client_retry)];
            *used_up += MEAN_GAIN * (f64::from(u8::from(!covered)) - *used_up);
        }
        match reason {
            _ if covered => self.spend(id, request.units, Reason::Lease),
            Reason::CounterTotal => self.handle_over_quota(id, plan, reason),
            _ => self.serve_from_even_share(id, plan, reason),
        }
    }

    /// Applies the total that a counter call returned. The window's limit is the burst plus what the rate has
    /// refilled since the window began.
    ///
    /// A caller that finds the count at zero is the first in its window, or finds the counter emptied. It
    /// adds the units that were not left over, by the level it knows or by the total of the previous window.
    /// If more than the burst is left, the excess lapses and is added to the count.
    pub(super) fn apply_total(&mut self, call: &Call, total: f64, plan: &Plan) {
        let (window, age) = window(plan, &call.customer, self.now);
        let customer = self.state.customers.get_mut(&call.customer).expect("settled for known ones only");
        let limit = plan.burst + plan.rate * age;
        let prior = total - call.amount;
        match call.purpose {
            CallPurpose::Read if call.window + 1 == window && prior > 1e-6 => {
                let left_at_window_end = plan.burst + plan.rate * window_length(plan) - total;
                let missing = plan.burst - (left_at_window_end + plan.rate * age).min(plan.burst);
                customer.known_level.iter_mut().for_each(|l| l.level -= missing);
                if missing > FIRST_CALL_LAPSE_SLACK * plan.burst {
                    self.call_counter(&call.customer, window, missing, CallPurpose::Correct, plan);
                }
            }
            CallPurpose::Correct | CallPurpose::Read => {}
            CallPurpose::RequestBlock { wanted, owed, owed_by_others } => {
                let later_windows =
                    (window - call.window.min(window)) as f64 * plan.rate * window_length(plan);
                let before = limit + later_windows - prior;
                let mut left = before.min(plan.burst);
                let first = prior.abs() < 1e-6;
                let known = customer.known_level.filter(|l| self.now - l.at < age.max(LEVEL_MAX_AGE));
                if let (true, Some(mut known)) = (first, known) {
                    left = left.min(known.refill(self.now, plan.rate, plan.burst));
                }
                let lapsed = before - left;
                // `owed_by_others` is an estimate that is right in the sum over gateways only, so it does not
                // reduce the grant.
                let granted = wanted.min((left - owed + 1e-6).floor().max(0.0));
                customer.lease += granted;
                // Units that were sent beyond the quota are not taken from it.
                let spent = owed + owed_by_others + granted;
                let beyond = (spent - left.max(granted)).max(0.0);
                customer.known_level = Some(TokenBucket { level: left - spent + beyond, at: self.now });
                let mut correction = granted - wanted - beyond;
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

    /// Serves the pending requests of a call whose answer is late from the even share: a slow counter must
    /// not delay requests for more than some milliseconds.
    pub(super) fn pending_timed_out(&mut self, key: &CustomerId, token: u64) {
        let awaits_call = |c: &&mut Customer| c.call_timer == Some(token);
        let Some(customer) = self.state.customers.get_mut(key).filter(awaits_call) else { return };
        customer.call_late = true;
        let plan = self.settings.plans[customer.plan].clone();
        for id in std::mem::take(&mut customer.pending) {
            self.serve_pending(id, Reason::CounterLate, &plan);
        }
    }
}
