//! What the program asks of the decisions, beside their actions.

use super::Gateway;
use crate::{
    interface::{CustomerId, ServerId, Time, ZoneStatus},
    state::{Customer, Host, Ledger},
    token_bucket::TokenBucket,
    zones::Zone,
};

impl Gateway {
    /// Servers that lists have named.
    pub fn server_names(&self) -> impl Iterator<Item = &ServerId> {
        self.state.servers.keys()
    }

    /// Attempts out, by customer.
    pub fn attempts_in_flight(&self) -> Vec<(CustomerId, u32)> {
        let out = self.state.customers.iter().filter(|(_, c)| c.open + c.elsewhere > 0);
        out.map(|(id, c)| (id.clone(), c.open + c.elsewhere)).collect()
    }

    /// Attempts that are still out at the process that this one took over from.
    pub fn set_attempts_elsewhere(&mut self, out: &[(CustomerId, u32)]) {
        self.state.customers.values_mut().for_each(|c| c.elsewhere = 0);
        for (id, n) in out {
            self.state.customers.get_mut(id).into_iter().for_each(|c| c.elsewhere = *n);
        }
    }

    /// Customers that are known.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.state.customers.keys()
    }

    /// How a customer stands, and its plan's number, `ahead` units of its even share taken for spent
    /// already.
    pub fn ledger(&self, now: Time, customer: &str, ahead: f64) -> Option<(usize, Ledger)> {
        let c = self.state.customers.get(customer)?;
        let (plan, spread) = (self.settings.plans.get(c.plan)?, f64::from(c.spread));
        // A share under a ceiling is dealt out and not refilled: rule 5 lets the next start begin with
        // nothing.
        let even = |mut s: TokenBucket| {
            s.refill(now, plan.rate / spread, (plan.burst / spread).max(self.settings.max_request_units))
        };
        let share = if plan.ceiling_rate > 0.0 { 0.0 } else { (even(c.share) - ahead).max(0.0) };
        let level = c.level.map(|mut level| level.refill(now, plan.rate, plan.burst));
        let Customer { spread, window, lease, owed, .. } = *c;
        // What went ahead of an answer that has not come is a debt until it has.
        Some((c.plan, Ledger { spread, window, lease, owed: owed + c.ahead, share, level }))
    }

    /// What is known of the zones.
    pub fn zones(&self, now: Time) -> Vec<ZoneStatus> {
        let sent: f64 = self.state.zones.all.values().map(|z| z.sent.level).sum();
        let view = |(id, z): (&u32, &Zone)| {
            let hosts = self.names[z.place.0..z.place.0 + z.place.1].iter().map(|id| &self.state.servers[id]);
            let usable: Vec<&Host> = hosts.filter(|h| now >= h.out_until && z.left.is_none()).collect();
            let cold = usable.iter().filter(|h| self.warmth(h) < 1.0).count();
            let share = z.sent.level / sent.max(1e-9);
            ZoneStatus {
                zone: *id,
                servers: z.place.1,
                usable: usable.len(),
                warming_up: cold,
                weight: z.weight,
                traffic_share: share,
                ejected: z.left,
            }
        };
        self.state.zones.all.iter().map(view).collect()
    }
}
