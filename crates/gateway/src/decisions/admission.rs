//! Whether a request is admitted: the limit on attempts in flight, and a customer's limit on open attempts.

use super::{DEMAND_MEMORY, Gateway, decay::add_decaying};
use crate::{
    interface::{CustomerId, Plan, Reason, Request},
    state::{Customer, Job},
    token_bucket::TokenBucket,
};

/// Share of the latency target up to which the in-flight limit is not lowered; the rest is room for variance.
const TARGET_LATENCY_SHARE: f64 = 0.08;
/// Multiple of the unloaded latency up to which the in-flight limit is not lowered: requests that take long
/// without queueing are no sign of overload.
const UNLOADED_LATENCY_FACTOR: f64 = 1.6;
/// Accepted chance that an attempt exceeds an open-attempt limit, divided by one plus the overrun cost. Below
/// one, as a refused client may still earn the other half of the value with its retry.
const MAX_OVERRUN_CHANCE: f64 = 0.5;
/// Used share of the burst from which a customer's first attempts are paced to its open-attempt limit.
const PACED_QUOTA_USE: f64 = 0.2;
/// Maximum ratio of the in-flight limit to the recent mean of attempts in flight.
const MAX_LIMIT_FACTOR: f64 = 3.0;
/// Attempts per server, summed over all gateways, that the in-flight limit always allows: they keep the
/// servers' cores busy.
const MIN_IN_FLIGHT: f64 = 3.0;
/// Standard deviations above the mean that attempts in flight may reach while latency is low: arrivals are
/// random.
const IN_FLIGHT_DEVIATIONS: f64 = 2.0;

impl Gateway {
    /// Admits or refuses a new request and, if it is admitted, looks for quota for it.
    pub(super) fn admit(&mut self, request: Request) {
        let id = request.job.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let (plans, classes) = (self.settings.plans.len(), self.settings.classes.len());
        let known = request.class < classes && request.plan < plans && request.units.is_finite();
        let in_time = request.expires > self.now + 4.0 * self.settings.min_event_interval;
        let full = self.jobs.len() >= self.settings.max_open_requests as usize || request.units < 0.0;
        let job = Job {
            request: request.clone(),
            class: self.settings.classes.get(request.class).cloned().unwrap_or_default(),
            max_attempts: self.settings.max_attempts as usize,
            hedging_allowed: self.settings.hedging_allowed,
            arrived: self.now,
            ..Job::default()
        };
        self.jobs.insert(id.clone(), job);
        if !known || !in_time || full {
            return self.finish(&id, 0.0, Reason::Invalid);
        }
        let plan = self.settings.plans[request.plan].clone();
        let spread = request.spread.clamp(1, self.settings.gateway_count);
        // After a restart the gateway does not know what it has spent, so the even share of a customer that
        // it meets for the first time starts empty under a ceiling; else it starts full, with one request at
        // least.
        let (fresh, at) =
            (self.state.others_spent_at.is_none(), self.state.others_spent_at.unwrap_or(self.now));
        let even = (plan.burst / f64::from(spread)).max(request.units);
        let level = if fresh && plan.ceiling_rate == 0.0 { even } else { 0.0 };
        let new_customer = || Customer { even_share: TokenBucket { level, at }, ..Customer::default() };
        let customer = self.state.customers.entry(request.customer.clone()).or_insert_with(new_customer);
        (customer.plan, customer.spread, customer.last_request) = (request.plan, spread, self.now);
        customer.gateway_position = (self.settings.gateway_index + self.settings.gateway_count
            - request.first_gateway % self.settings.gateway_count)
            % self.settings.gateway_count;
        add_decaying(&mut customer.demand, self.now, request.units, DEMAND_MEMORY);
        if !self.has_capacity(1.0) {
            return self.finish(&id, self.settings.max_retry_after, Reason::Overloaded);
        }
        if plan.rate <= 0.0 {
            return self.spend(id, 0.0, Reason::Lease);
        }
        self.serve_from_lease(id, &plan);
    }

    /// Whether one more attempt fits within `share` of the limit on attempts in flight.
    ///
    /// By Little's law the limit follows the recent mean in flight, scaled by how far latency is below the
    /// larger of a share of the latency target and a multiple of the unloaded latency, whichever gateway
    /// causes the load. An allowance for random arrivals is added; it shrinks as latency rises, and later
    /// where few attempts are in flight. The fractional part of the limit admits by chance, so that many
    /// gateways with little load keep to the limit in sum.
    pub(super) fn has_capacity(&mut self, share: f64) -> bool {
        let always_allowed =
            MIN_IN_FLIGHT * self.running_servers.len() as f64 / f64::from(self.settings.gateway_count);
        let uncongested = (TARGET_LATENCY_SHARE * self.latency_target())
            .max(UNLOADED_LATENCY_FACTOR * self.state.unloaded_latency);
        let factor = (uncongested / self.state.typical_latency.max(1e-3)).min(MAX_LIMIT_FACTOR);
        let mean = (self.state.mean_in_flight + always_allowed) * factor;
        let fade = (1.0 - 1.0 / factor + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        self.inflight + self.random() <= share * (mean + fade * (1.0 + IN_FLIGHT_DEVIATIONS * mean.sqrt()))
    }

    /// The shortest latency target of all classes, in seconds.
    pub(super) fn latency_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).reduce(f64::min).unwrap_or(1.0).max(1e-3)
    }

    /// Whether a first attempt keeps to the pace that the customer's open-attempt limit sustains.
    ///
    /// Where the even share of the limit is below one attempt, a first attempt at each gateway adds up to
    /// many times the limit. By Little's law a customer that uses up its rate keeps the rate times the
    /// latency in flight; attempts pass with the probability that leaves the limit one free place on average.
    pub(super) fn within_attempt_pace(&mut self, key: &CustomerId, plan: &Plan) -> bool {
        let customer = &self.state.customers[key];
        let level = customer.known_level.map(|mut l| l.refill(self.now, plan.rate, plan.burst));
        let used = level.map_or(0.0, |l| 1.0 - l / plan.burst.max(1e-9));
        if plan.max_open_attempts >= customer.spread || used < PACED_QUOTA_USE {
            return true;
        }
        let free = f64::from(plan.max_open_attempts - 1).max(0.5);
        self.random() * plan.rate * self.state.latency <= free
    }

    /// Whether one more attempt probably keeps to the customer's limit on open attempts, which holds over all
    /// gateways although none reports its open attempts to the others.
    ///
    /// An even share of the limit, one attempt at least, is each gateway's own. Beyond it the expected number
    /// open at the others follows from Little's law: their share of the rate, or a demand like the one here
    /// if that is larger, times the latency.
    pub(super) fn within_attempt_limit(&self, key: &CustomerId, plan: &Plan) -> bool {
        let customer = &self.state.customers[key];
        let open = customer.open_attempts + customer.attempts_elsewhere;
        if open < (plan.max_open_attempts / customer.spread).max(1) {
            return true;
        }
        let others = f64::from(customer.spread - 1);
        let rate = (plan.rate / f64::from(customer.spread)).max(customer.demand.level / DEMAND_MEMORY);
        // Before the first answer the latency target stands in for the latency.
        let latency = if self.state.latency > 0.0 { self.state.latency } else { self.latency_target() };
        let mean = others * rate * latency;
        // Probability that the others leave room, if the number open there is Poisson distributed.
        let (mut term, mut fits) = ((-mean).exp(), 0.0);
        for open_elsewhere in 0..plan.max_open_attempts.saturating_sub(open) {
            fits += term;
            term *= mean / f64::from(open_elsewhere + 1);
        }
        1.0 - fits < MAX_OVERRUN_CHANCE / (1.0 + plan.overrun_cost)
    }
}
