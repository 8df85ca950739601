//! Whether a request is admitted: the bound on what is in flight, and caps on open requests of a customer.

use super::{DEMAND_MEMORY, Gateway, decay::add_decaying};
use crate::{
    interface::{CustomerId, Plan, Reason, Request},
    state::{Customer, Job},
    token_bucket::TokenBucket,
};

/// Share of the aim that answers may take before less is let in: the rest is for swings.
const PRESSURE_LATENCY_SHARE: f64 = 0.08;
/// And times as long as answers take while little waits: work that itself takes long does not press.
const PRESSURE_IDLE_FACTOR: f64 = 1.6;
/// Chance of passing an open cap that a send may run, over one and what passing costs: the other half of
/// its worth is what a refused client's next try may still earn.
const OPEN_RISK: f64 = 0.5;
/// Share of its burst from which a customer is held to use up its rate.
const OPEN_USED: f64 = 0.2;
/// Most that the bound may be above what was out of late.
const LIMIT_GROWTH: f64 = 3.0;
/// Attempts a server, over all gateways, that the bound on what is out rests on: to keep its cores in work.
const MIN_IN_FLIGHT: f64 = 3.0;
/// Deviations over the mean that what is out may swing while answers come fast: few requests come by
/// chance.
const IN_FLIGHT_SWING: f64 = 2.0;

impl Gateway {
    pub(super) fn admit(&mut self, request: Request) {
        let id = request.job.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let (plans, classes) = (self.settings.plans.len(), self.settings.classes.len());
        let known = request.class < classes && request.plan < plans && request.units.is_finite();
        let time = request.expires > self.now + 4.0 * self.settings.min_event_interval;
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
        if !known || !time || full {
            return self.finish(&id, 0.0, Reason::Invalid);
        }
        let plan = self.settings.plans[request.plan].clone();
        let spread = request.spread.clamp(1, self.settings.gateway_count);
        // Rule 5: a restarted gateway does not know what it spent under a ceiling; else one request fits.
        let (fresh, at) = (self.state.spent.is_none(), self.state.spent.unwrap_or(self.now));
        let even = (plan.burst / f64::from(spread)).max(request.units);
        let level = if fresh && plan.ceiling_rate == 0.0 { even } else { 0.0 };
        let unseen = || Customer { share: TokenBucket { level, at }, ..Customer::default() };
        let customer = self.state.customers.entry(request.customer.clone()).or_insert_with(unseen);
        (customer.plan, customer.spread, customer.touched) = (request.plan, spread, self.now);
        customer.turn = (self.settings.gateway_index + self.settings.gateway_count
            - request.first_gateway % self.settings.gateway_count)
            % self.settings.gateway_count;
        add_decaying(&mut customer.demand, self.now, request.units, DEMAND_MEMORY);
        if !self.has_capacity(1.0) {
            return self.finish(&id, self.settings.max_retry_after, Reason::Overloaded);
        }
        if plan.rate <= 0.0 {
            return self.spend(id, 0.0, Reason::Lease);
        }
        self.cover_by_lease(id, &plan);
    }

    /// Whether one more attempt may go out. Little's law: as much as keeps answers within the wanted share
    /// of the aim, whoever loads the servers, and room for chance, which fades as answers slow down, later
    /// where few are out. A fraction lets in by chance, so that many gateways of little load keep it
    /// together.
    pub(super) fn has_capacity(&mut self, share: f64) -> bool {
        let least = MIN_IN_FLIGHT * self.names.len() as f64 / f64::from(self.settings.gateway_count);
        let pressed =
            (PRESSURE_LATENCY_SHARE * self.latency_target()).max(PRESSURE_IDLE_FACTOR * self.state.idle);
        let ease = (pressed / self.state.typical.max(1e-3)).min(LIMIT_GROWTH);
        let mean = (self.state.beside + least) * ease;
        let fade = (1.0 - 1.0 / ease + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        self.inflight + self.draw() <= share * (mean + fade * (1.0 + IN_FLIGHT_SWING * mean.sqrt()))
    }

    pub(super) fn latency_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).reduce(f64::min).unwrap_or(1.0).max(1e-3)
    }

    /// Where the even share of an open cap is under one attempt, a first one at each gateway adds up to
    /// many times the cap. Whoever is seen to use up its rate keeps that times an answer's time out, by
    /// Little's law: of it goes what leaves the cap a place free on average.
    pub(super) fn within_open_pace(&mut self, key: &CustomerId, plan: &Plan) -> bool {
        let customer = &self.state.customers[key];
        let level = customer.level.map(|mut l| l.refill(self.now, plan.rate, plan.burst));
        let used = level.map_or(0.0, |l| 1.0 - l / plan.burst.max(1e-9));
        if plan.max_open_attempts >= customer.spread || used < OPEN_USED {
            return true;
        }
        let free = f64::from(plan.max_open_attempts - 1).max(0.5);
        self.draw() * plan.rate * self.state.latency <= free
    }

    /// An open cap holds over all gateways, and nobody tells what is out at the others. An even share, one
    /// at least, is each one's own. Past that one more goes where it probably fits: by Little's law the
    /// others have out what their part of the rate, or a demand like the one here, keeps out for an
    /// answer's time.
    pub(super) fn under_open_cap(&self, key: &CustomerId, plan: &Plan) -> bool {
        let customer = &self.state.customers[key];
        let open = customer.open + customer.elsewhere;
        if open < (plan.max_open_attempts / customer.spread).max(1) {
            return true;
        }
        let others = f64::from(customer.spread - 1);
        let rate = (plan.rate / f64::from(customer.spread)).max(customer.demand.level / DEMAND_MEMORY);
        // Until an answer has come, as slow as may be.
        let latency = if self.state.latency > 0.0 { self.state.latency } else { self.latency_target() };
        let mean = others * rate * latency;
        // The chance that they leave no room, were theirs to come by chance.
        let (mut term, mut fits) = ((-mean).exp(), 0.0);
        for out in 0..plan.max_open_attempts.saturating_sub(open) {
            fits += term;
            term *= mean / f64::from(out + 1);
        }
        1.0 - fits < OPEN_RISK / (1.0 + plan.overrun_cost)
    }
}
