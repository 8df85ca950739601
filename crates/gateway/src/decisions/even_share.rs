//! Quota while the counter cannot be asked: an even share of rate and burst, and requests beyond the quota.

use super::{Gateway, SPARE_CAPACITY, window::window_phase};
use crate::{
    interface::{JobId, PeerView, Plan, Reason, Request, Time},
    state::Customer,
    token_bucket::TokenBucket,
};

/// Share of the room between quota and ceiling that spending without the counter may use.
const CEILING_SHARE: f64 = 0.8;
/// Time constant, in seconds, with which a peer view loses its weight against the even share.
const PEER_VIEW_MEMORY: f64 = 1.0;

impl Gateway {
    /// Whether the customer's even share covers a request; it is refilled here and spent by the caller.
    ///
    /// Without a ceiling it is a token bucket with an even share of rate and burst; where other gateways' use
    /// is known, the units known to be left count instead, weighted by the age of that view and by the share
    /// of gateways that it covers.
    ///
    /// Under a ceiling the share is taken from the room between ceiling and quota, as the counter may have
    /// granted the whole quota already. It is dealt in whole requests: each falls due to the next of the
    /// customer's gateways in turn and is valid for burst over rate, so all shares together stay within rate
    /// and burst, even where one is smaller than a request.
    pub(super) fn even_share_covers(&mut self, id: &JobId, plan: &Plan) -> bool {
        if self.handed_over {
            return false;
        }
        let (max_units, Request { units, customer: key, peer_view, .. }) =
            (self.settings.max_request_units.max(1.0), &self.jobs[id].request);
        let customer = self.state.customers.get_mut(key).expect("asked for known customers only");
        let (mut rate, mut burst) = (plan.rate, plan.burst);
        if plan.ceiling_rate > 0.0 {
            rate = rate.min(CEILING_SHARE * (plan.ceiling_rate - plan.rate)).max(1e-9);
            burst = burst.min(CEILING_SHARE * (plan.ceiling_burst - plan.burst)).max(0.0);
        }
        let (spread, request_interval) = (f64::from(customer.spread), max_units / rate);
        if plan.ceiling_rate == 0.0 {
            let even = customer.even_share.refill(self.now, rate / spread, (burst / spread).max(*units));
            let correction = |v: &PeerView| v.coverage * (-v.age / PEER_VIEW_MEMORY).exp() * (v.level - even);
            return even + peer_view.as_ref().map_or(0.0, correction) >= *units;
        }
        let phase = f64::from(customer.gateway_position % customer.spread) + window_phase(key);
        let dealt = |at: Time| ((at / request_interval - phase) / spread).floor() * max_units;
        let (new, valid) = (
            dealt(self.now) - dealt(customer.even_share.at),
            dealt(self.now) - dealt(self.now - burst / rate),
        );
        customer.even_share =
            TokenBucket { level: (customer.even_share.level + new).min(valid), at: self.now };
        customer.even_share.level >= *units
    }

    /// Decides a request beyond the quota, which is a soft limit: it is refused, unless the plan earns more
    /// with such a request than it costs and there is spare capacity; under a ceiling the even share must
    /// cover it.
    pub(super) fn handle_over_quota(&mut self, id: JobId, plan: &Plan, reason: Reason) {
        let worthwhile = plan.excess_value > plan.overrun_cost && plan.max_open_attempts == 0;
        let (units, key) = (self.jobs[&id].request.units, self.jobs[&id].request.customer.clone());
        if !(worthwhile && self.has_capacity(SPARE_CAPACITY))
            || plan.ceiling_rate > 0.0 && !self.even_share_covers(&id, plan)
        {
            let Customer { lease, known_level, .. } = &self.state.customers[&key];
            let left = lease + known_level.map_or(0.0, |l| l.level + plan.rate * (self.now - l.at));
            return self.finish(&id, (units - left).max(0.0) / plan.rate, reason);
        }
        let even_share =
            &mut self.state.customers.get_mut(&key).expect("judged customers are known").even_share;
        even_share.level = (even_share.level - units).max(0.0);
        self.send_first(id);
    }

    /// Serves a request from the even share, or as one beyond the quota if the share does not cover it.
    pub(super) fn serve_from_even_share(&mut self, id: JobId, plan: &Plan, reason: Reason) {
        let Request { units, peer_view, .. } = self.jobs[&id].request;
        let reason = if peer_view.is_some() { Reason::PeerView } else { reason };
        if self.even_share_covers(&id, plan) {
            self.spend(id, units, reason)
        } else {
            self.handle_over_quota(id, plan, reason)
        }
    }
}
