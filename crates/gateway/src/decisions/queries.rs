//! Read access to the state of the decisions, for reports, the handover and the recovery journal.

use super::Gateway;
use crate::{
    interface::{CustomerId, ServerId, Time, ZoneStatus},
    state::{Customer, Host, Ledger},
    token_bucket::TokenBucket,
    zones::Zone,
};

impl Gateway {
    /// Ids of all servers that a list has named.
    pub fn server_names(&self) -> impl Iterator<Item = &ServerId> {
        self.state.servers.keys()
    }

    /// Attempts in flight by customer, including those of the process that this one took over from.
    pub fn attempts_in_flight(&self) -> Vec<(CustomerId, u32)> {
        let busy = self.state.customers.iter().filter(|(_, c)| c.open_attempts + c.attempts_elsewhere > 0);
        busy.map(|(id, c)| (id.clone(), c.open_attempts + c.attempts_elsewhere)).collect()
    }

    /// Replaces the numbers of attempts, by customer, that are still in flight at the process that this one
    /// took over from.
    pub fn set_attempts_elsewhere(&mut self, attempts: &[(CustomerId, u32)]) {
        self.state.customers.values_mut().for_each(|c| c.attempts_elsewhere = 0);
        for (id, n) in attempts {
            self.state.customers.get_mut(id).into_iter().for_each(|c| c.attempts_elsewhere = *n);
        }
    }

    /// Ids of the customers that have state here.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerId> {
        self.state.customers.keys()
    }

    /// A customer's plan index and its quota at `now`, with `ahead` units of its even share counted as spent
    /// already; `None` if the customer or its plan is unknown.
    pub fn ledger(&self, now: Time, customer: &str, ahead: f64) -> Option<(usize, Ledger)> {
        let c = self.state.customers.get(customer)?;
        let (plan, spread) = (self.settings.plans.get(c.plan)?, f64::from(c.spread));
        // Under a ceiling the even share is dealt out over time and not refilled, and after a restart it
        // starts empty: none is recorded.
        let refilled = |mut s: TokenBucket| {
            s.refill(now, plan.rate / spread, (plan.burst / spread).max(self.settings.max_request_units))
        };
        let share = if plan.ceiling_rate > 0.0 { 0.0 } else { (refilled(c.even_share) - ahead).max(0.0) };
        let level = c.known_level.map(|mut level| level.refill(now, plan.rate, plan.burst));
        let Customer { spread, window, lease, owed, .. } = *c;
        // Units sent while the counter's answer is late are owed until it arrives.
        Some((c.plan, Ledger { spread, window, lease, owed: owed + c.sent_ahead, share, level }))
    }

    /// The status of every zone at `now`.
    pub fn zones(&self, now: Time) -> Vec<ZoneStatus> {
        let sent: f64 = self.state.zones.all.values().map(|z| z.attempts_sent.level).sum();
        let status = |(id, z): (&u32, &Zone)| {
            let hosts = self.running_servers[z.server_range.0..z.server_range.0 + z.server_range.1]
                .iter()
                .map(|id| &self.state.servers[id]);
            let usable: Vec<&Host> =
                hosts.filter(|h| now >= h.ejected_until && z.ejected.is_none()).collect();
            let warming_up = usable.iter().filter(|h| self.warmth(h) < 1.0).count();
            let traffic_share = z.attempts_sent.level / sent.max(1e-9);
            ZoneStatus {
                zone: *id,
                servers: z.server_range.1,
                usable: usable.len(),
                warming_up,
                weight: z.weight,
                traffic_share,
                ejected: z.ejected,
            }
        };
        self.state.zones.all.iter().map(status).collect()
    }
}
