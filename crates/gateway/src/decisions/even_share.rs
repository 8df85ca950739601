//! While the counter can't be asked: an even share of rate and burst, and what lies beyond the quota.

use super::{Gateway, SPARE_CAPACITY, window::phase};
use crate::{
    interface::{JobId, PeerView, Plan, Reason, Request, Time},
    state::Customer,
    token_bucket::TokenBucket,
};

/// Share of the room between quota and ceiling that stores off the count may use.
const CEILING_SHARE: f64 = 0.8;
/// Seconds over which views of other gateways come to count for less than the even share.
const VIEW_MEMORY: f64 = 1.0;

impl Gateway {
    /// Safe mode: an even share of rate and burst, dealt in whole requests: each falls due to the next of
    /// the customer's gateways in turn and holds for burst over rate, so all shares together stay rate and
    /// burst, even where one holds less than a request; where others are heard of, what they are known to
    /// have left, as far as that is fresh and of all. Under a ceiling it is a share of what stands between
    /// ceiling and quota, as the count may have granted the whole quota already (rule 5).
    pub(super) fn even_share_covers(&mut self, id: &JobId, plan: &Plan) -> bool {
        if self.leaving {
            return false;
        }
        let (most, Request { units, customer: key, peer_view: view, .. }) =
            (self.settings.max_request_units.max(1.0), &self.jobs[id].request);
        let customer = self.state.customers.get_mut(key).expect("asked for known customers only");
        let (mut rate, mut burst) = (plan.rate, plan.burst);
        if plan.ceiling_rate > 0.0 {
            rate = rate.min(CEILING_SHARE * (plan.ceiling_rate - plan.rate)).max(1e-9);
            burst = burst.min(CEILING_SHARE * (plan.ceiling_burst - plan.burst)).max(0.0);
        }
        let (spread, deal) = (f64::from(customer.spread), most / rate);
        if plan.ceiling_rate == 0.0 {
            let even = customer.share.refill(self.now, rate / spread, (burst / spread).max(*units));
            let heard = |v: &PeerView| v.coverage * (-v.age / VIEW_MEMORY).exp() * (v.level - even);
            return even + view.as_ref().map_or(0.0, heard) >= *units;
        }
        let phase = f64::from(customer.turn % customer.spread) + phase(key);
        let dealt = |at: Time| ((at / deal - phase) / spread).floor() * most;
        let (new, valid) =
            (dealt(self.now) - dealt(customer.share.at), dealt(self.now) - dealt(self.now - burst / rate));
        customer.share = TokenBucket { level: (customer.share.level + new).min(valid), at: self.now };
        customer.share.level >= *units
    }

    /// Beyond the quota (the source's soft limit): refused, but where the settings say that such a request
    /// earns more than it costs and there is room to spare, it goes; under a ceiling only within the share.
    pub(super) fn beyond_quota(&mut self, id: JobId, plan: &Plan, why: Reason) {
        let worthwhile = plan.excess_value > plan.overrun_cost && plan.max_open_attempts == 0;
        let (units, key) = (self.jobs[&id].request.units, self.jobs[&id].request.customer.clone());
        if !(worthwhile && self.has_capacity(SPARE_CAPACITY))
            || plan.ceiling_rate > 0.0 && !self.even_share_covers(&id, plan)
        {
            let Customer { lease, level, .. } = &self.state.customers[&key];
            let left = lease + level.map_or(0.0, |l| l.level + plan.rate * (self.now - l.at));
            return self.finish(&id, (units - left).max(0.0) / plan.rate, why);
        }
        let share = &mut self.state.customers.get_mut(&key).expect("judged customers are known").share;
        share.level = (share.level - units).max(0.0);
        self.send_first(id);
    }

    pub(super) fn spend_even_share(&mut self, id: JobId, plan: &Plan, why: Reason) {
        let Request { units, peer_view: view, .. } = self.jobs[&id].request;
        let why = if view.is_some() { Reason::PeerView } else { why };
        if self.even_share_covers(&id, plan) {
            self.spend(id, units, why)
        } else {
            self.beyond_quota(id, plan, why)
        }
    }
}
