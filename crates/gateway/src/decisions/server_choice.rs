//! Which server gets an attempt: the least loaded of this gateway's subset of each zone. Warming servers are
//! limited by their slow-start budget.

use super::{Gateway, OBSERVATION_MEMORY, PEAK_MEMORY, RATE_MEMORY, decay::add_decaying};
use crate::{
    interface::{Effect, Group, ServerId, Time},
    state::{AttemptState, Job},
    zones::Zone,
};

/// Share of a warming server's overload threshold that all gateways together plan to use.
const SLOW_START_SHARE: f64 = 0.4;
/// Factor on the ratio of a server's mean latency to that of all servers; where the product is above one, the
/// excess raises the server's load score.
const OUTLIER_FACTOR: f64 = 1.5;
/// Minimum number of servers in a gateway's subset. A small subset gives frequent observations of each server
/// instead of rare ones of all, and needs few connections.
const MIN_SUBSET: usize = 6;
/// Minimum size of the subset as a multiple of servers over gateways, so that many gateways share each
/// server.
const SUBSET_FACTOR: usize = 10;
/// Factor on the load score of a server in another zone: among servers with similar load the local one is
/// chosen.
const OTHER_ZONE_PENALTY: f64 = 1.2;
/// The golden section: any run of consecutive multiples of it is spread evenly over the unit circle.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;

impl Gateway {
    /// At intervals updates the zones' weights from their present capacity and picks this gateway's subset of
    /// servers by these weights. Subsets are spread evenly over each zone, both those of all gateways and
    /// those of the few consecutive gateways that carry one customer.
    pub(super) fn update_zone_weights(&mut self) {
        if !self.state.zones.needs_weighing(self.now) {
            return;
        }
        let capacity = |id: &ServerId| {
            let host = &self.state.servers[id];
            if self.now < host.ejected_until { 0.0 } else { self.warmth(host) }
        };
        let sum = |z: &Zone| {
            self.running_servers[z.server_range.0..z.server_range.0 + z.server_range.1]
                .iter()
                .map(capacity)
                .sum()
        };
        let sums: Vec<f64> = self.state.zones.all.values().map(sum).collect();
        self.state.zones.all.values_mut().zip(sums).for_each(|(zone, sum)| zone.capacity = sum);
        self.state.zones.update_weights(self.now, self.settings.zone);
        let subset_size = MIN_SUBSET
            .max(SUBSET_FACTOR * self.running_servers.len() / self.settings.gateway_count as usize)
            as f64;
        let offset = (f64::from(self.settings.gateway_index) * GOLDEN_SECTION).fract();
        let zone_subset = |z: &Zone| {
            let (from, count) = z.server_range;
            let size = ((subset_size * z.weight).round() as usize).max(1).min(count);
            (0..size).map(move |i| from + ((offset * count as f64) as usize + i) % count)
        };
        self.subset =
            self.state.zones.all.values().filter(|z| z.ejected.is_none()).flat_map(zone_subset).collect();
    }

    /// Units that a server may be sent now: unlimited if it is warm, else the level of its slow-start budget.
    ///
    /// A cold server fails if it gets more than a multiple of its present capacity. Its budget therefore
    /// refills at a rate derived from what warm servers carry on average and from the capacity that it has
    /// for certain. As every gateway does the same, their sum stays below that multiple; each bucket starts
    /// at a random level. Only gateways that have the server in their subset (`in_subset`) draw on it, so
    /// each uses the rate that its own warm servers show, not one over all gateways. If all servers of a
    /// fleet are cold, the only harm is a slower start.
    pub(super) fn slow_start_budget(&mut self, id: &ServerId, in_subset: bool) -> f64 {
        // The recent peak counts: when requests are refused the mean rate falls, and the budget must not
        // follow.
        add_decaying(&mut self.state.peak_warm_rate, self.now, 0.0, PEAK_MEMORY);
        self.state.peak_warm_rate.level =
            self.state.peak_warm_rate.level.max(self.state.units_per_warm_server.level / RATE_MEMORY);
        let warmth = self.warmth(&self.state.servers[id]);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        if self.handed_over || !in_subset {
            return 0.0;
        }
        let rate = warmth
            * (self.settings.overload_factor * SLOW_START_SHARE).min(1.0)
            * self.state.peak_warm_rate.level;
        let host = self.state.servers.get_mut(id).expect("the caller names a known server");
        host.slow_start.refill(self.now, rate, (rate * self.settings.overload_window / 2.0).max(1.0))
    }

    /// The server with the lowest load score that may run this request: one of the subset if possible, else
    /// any other; `None` if there is none, or no further attempt is allowed.
    pub(super) fn choose_server(&mut self, job: &Job) -> Option<ServerId> {
        let anchor = self.retry_scope(job)?;
        self.update_zone_weights();
        let (can_lose, random) =
            (job.attempts.is_empty() && job.class.effect == Effect::Idempotent, self.random());
        let trial = self.state.zones.next_trial(self.now, can_lose, 0.5 + random);
        trial
            .and_then(|zone| self.best_server(job, anchor, Some(zone)))
            .or_else(|| self.best_server(job, anchor, None))
    }

    /// The server with the lowest load score in the ejected zone `trial`, or in all zones that are not
    /// ejected; `anchor` restricts it to the group, zone and cell that discard repeats of the request.
    pub(super) fn best_server(
        &mut self,
        job: &Job,
        anchor: Option<(Group, u32, u32)>,
        trial: Option<u32>,
    ) -> Option<ServerId> {
        let (random, count, subset_size) = (self.random(), self.running_servers.len(), self.subset.len());
        let rotated = |n: usize, i: usize| ((random * n as f64) as usize + i) % n;
        let mut best: Option<(f64, ServerId)> = None;
        for i in 0..subset_size + count {
            if i >= subset_size && best.is_some() {
                break;
            }
            let at = if i < subset_size {
                self.subset[rotated(subset_size, i)]
            } else {
                rotated(count, i - subset_size)
            };
            let id = self.running_servers[at].clone();
            let host = &self.state.servers[&id];
            let in_group = anchor.is_none_or(|(group, zone, cell)| {
                group == Group::All || host.zone == zone && (group == Group::Zone || host.cell == cell)
            });
            let zone_ejected = self.state.zones.all.get(&host.zone).is_some_and(|z| z.ejected.is_some());
            let closed =
                trial.map_or(zone_ejected, |zone| host.zone != zone) || self.now < host.ejected_until;
            if closed || !in_group || job.attempts.iter().any(|a| a.server == id) {
                continue;
            }
            // Slower servers are chosen less often, by an observation that loses weight with its age. Servers
            // that are fast enough are not distinguished by their latency.
            let trust = (-(self.now - host.observed_at) / OBSERVATION_MEMORY).exp();
            let slow =
                (host.latency / self.state.latency.max(1e-3) * OUTLIER_FACTOR - 1.0).max(0.0) * trust + 1.0;
            let score = (1.0 + host.inflight)
                * slow
                * if host.zone == self.settings.zone { 1.0 } else { OTHER_ZONE_PENALTY };
            if best.as_ref().is_none_or(|(s, _)| score < *s)
                && self.slow_start_budget(&id, i < subset_size || trial.is_some()) >= 1.0
            {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Where a further attempt may go, so that a request whose effect does not allow it never runs twice.
    /// `None`: no further attempt; `Some(None)`: any server; `Some(Some(_))`: only the servers of that group,
    /// zone and cell, which discard the repeat.
    pub(super) fn retry_scope(&self, job: &Job) -> Option<Option<(Group, u32, u32)>> {
        if job.in_flight() > 0 && !job.hedging_allowed {
            return None;
        }
        let Some(first) = job.attempts.iter().find(|a| a.state != AttemptState::NotRun) else {
            return Some(None);
        };
        match job.class.effect {
            Effect::Idempotent => Some(None),
            Effect::AtMostOnce => None,
            Effect::Deduplicated { group, .. } => {
                let host = self.state.servers.get(&first.server)?;
                (self.now < self.deduplicated_until(job)).then_some(Some((group, host.zone, host.cell)))
            }
        }
    }

    /// Time until which servers recognise an attempt as a repeat of the first one, however long it waits to
    /// be sent; infinite where the class is not deduplicated.
    pub(super) fn deduplicated_until(&self, job: &Job) -> Time {
        let Effect::Deduplicated { window, .. } = job.class.effect else { return f64::INFINITY };
        let first = job.attempts.iter().find(|a| a.state != AttemptState::NotRun);
        first.map_or(self.now, |a| a.sent) + window
    }
}
