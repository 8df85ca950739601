//! Which server gets an attempt: a subset of each zone, the least loaded first, warming servers within
//! their budget.

use super::{Gateway, OBSERVATION_MEMORY, PEAK_MEMORY, RATE_MEMORY, decay::add_decaying};
use crate::{
    interface::{Effect, Group, ServerId, Time},
    state::{Job, Ran},
    zones::Zone,
};

/// Share of the cold budget that all gateways together plan to use.
const SLOW_START_SHARE: f64 = 0.4;
/// A server counts as fuller by its mean latency over that of all servers, from one over this on.
const OUTLIER_FACTOR: f64 = 1.5;
/// Servers that a gateway keeps to at least while any may be sent to. It hears of few often, not of all
/// rarely, and opens few connections.
const MIN_SUBSET: usize = 6;
/// The same, times servers over gateways, so that many gateways meet at each server.
const SUBSET_FACTOR: usize = 10;
/// A server in another zone counts as fuller by this: among much the same, the near one goes first.
const OTHER_ZONE_PENALTY: f64 = 1.2;
/// The golden section: steps of it fall evenly into a circle, in any run of them.
const GOLDEN: f64 = 0.618_033_988_749_895;

impl Gateway {
    /// Looks now and then at what the zones can carry, and picks this gateway's own servers by their
    /// weights, spread evenly over each zone, for all gateways as for the few in a row that carry one
    /// customer.
    pub(super) fn weigh_zones(&mut self) {
        if !self.state.zones.due(self.now) {
            return;
        }
        let carries = |id: &ServerId| {
            let host = &self.state.servers[id];
            if self.now < host.out_until { 0.0 } else { self.warmth(host) }
        };
        let sum = |z: &Zone| self.names[z.place.0..z.place.0 + z.place.1].iter().map(carries).sum();
        let sums: Vec<f64> = self.state.zones.all.values().map(sum).collect();
        self.state.zones.all.values_mut().zip(sums).for_each(|(zone, sum)| zone.carries = sum);
        self.state.zones.weigh(self.now, self.settings.zone);
        let all =
            MIN_SUBSET.max(SUBSET_FACTOR * self.names.len() / self.settings.gateway_count as usize) as f64;
        let part = (f64::from(self.settings.gateway_index) * GOLDEN).fract();
        let own = |z: &Zone| {
            let (from, count) = z.place;
            let near = ((all * z.weight).round() as usize).max(1).min(count);
            (0..near).map(move |i| from + ((part * count as f64) as usize + i) % count)
        };
        self.own = self.state.zones.all.values().filter(|z| z.left.is_none()).flat_map(own).collect();
    }

    /// Rule 4: a cold server has a budget from what warm ones carry on average and the capacity that it
    /// surely has; as every gateway does so, they stay under the multiple together, and each starts at a
    /// phase of its own. Only its `own` gateways draw on it, so each has the part that its own warm ones
    /// show, not one over all. Harms only a fleet that is all cold: its climb is slower.
    pub(super) fn slow_start_budget(&mut self, id: &ServerId, own: bool) -> f64 {
        // The most of late: when all are refused the mean falls, and the budget must not fall with it.
        add_decaying(&mut self.state.carried, self.now, 0.0, PEAK_MEMORY);
        self.state.carried.level = self.state.carried.level.max(self.state.warm_units.level / RATE_MEMORY);
        let warmth = self.warmth(&self.state.servers[id]);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        if self.leaving || !own {
            return 0.0;
        }
        let rate =
            warmth * (self.settings.overload_factor * SLOW_START_SHARE).min(1.0) * self.state.carried.level;
        let host = self.state.servers.get_mut(id).expect("the caller names a known server");
        host.cold.refill(self.now, rate, (rate * self.settings.overload_window / 2.0).max(1.0))
    }

    /// The server that should answer first, among those this job may go to: this gateway's own of all
    /// zones, and others only where none of these can; `None`: all are full.
    pub(super) fn choose_server(&mut self, job: &Job) -> Option<ServerId> {
        let anchor = self.retry_scope(job)?;
        self.weigh_zones();
        let (safe, draw) = (job.attempts.is_empty() && job.class.effect == Effect::Idempotent, self.draw());
        let trial = self.state.zones.trial(self.now, safe, 0.5 + draw);
        trial
            .and_then(|zone| self.best_server(job, anchor, Some(zone)))
            .or_else(|| self.best_server(job, anchor, None))
    }

    /// The same, in one zone that was left, or in all that were not.
    pub(super) fn best_server(
        &mut self,
        job: &Job,
        anchor: Option<(Group, u32, u32)>,
        trial: Option<u32>,
    ) -> Option<ServerId> {
        let (draw, count, near) = (self.draw(), self.names.len(), self.own.len());
        let turn = |n: usize, i: usize| ((draw * n as f64) as usize + i) % n;
        let mut best: Option<(f64, ServerId)> = None;
        for i in 0..near + count {
            if i >= near && best.is_some() {
                break;
            }
            let at = if i < near { self.own[turn(near, i)] } else { turn(count, i - near) };
            let id = self.names[at].clone();
            let host = &self.state.servers[&id];
            let in_group = anchor.is_none_or(|(group, zone, cell)| {
                group == Group::All || host.zone == zone && (group == Group::Zone || host.cell == cell)
            });
            let left = self.state.zones.all.get(&host.zone).is_some_and(|z| z.left.is_some());
            let closed = trial.map_or(left, |zone| host.zone != zone) || self.now < host.out_until;
            if closed || !in_group || job.attempts.iter().any(|a| a.server == id) {
                continue;
            }
            // Slower servers are sent less, by news that fades; those known as quick are not told apart.
            let trust = (-(self.now - host.heard) / OBSERVATION_MEMORY).exp();
            let slow =
                (host.latency / self.state.latency.max(1e-3) * OUTLIER_FACTOR - 1.0).max(0.0) * trust + 1.0;
            let score = (1.0 + host.inflight)
                * slow
                * if host.zone == self.settings.zone { 1.0 } else { OTHER_ZONE_PENALTY };
            if best.as_ref().is_none_or(|(s, _)| score < *s)
                && self.slow_start_budget(&id, i < near || trial.is_some()) >= 1.0
            {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Rule 2: `None`: no further attempt may go out; `Some(None)`: anywhere; else only to that group.
    pub(super) fn retry_scope(&self, job: &Job) -> Option<Option<(Group, u32, u32)>> {
        if job.out() > 0 && !job.hedging_allowed {
            return None;
        }
        let Some(first) = job.attempts.iter().find(|a| a.ran != Ran::Never) else { return Some(None) };
        match job.class.effect {
            Effect::Idempotent => Some(None),
            Effect::AtMostOnce => None,
            Effect::Deduplicated { group, .. } => {
                let host = self.state.servers.get(&first.server)?;
                (self.now < self.repeats_until(job)).then_some(Some((group, host.zone, host.cell)))
            }
        }
    }

    /// Until when an attempt, however long it waits to be sent, is known for the repeat that it may be.
    pub(super) fn repeats_until(&self, job: &Job) -> Time {
        let Effect::Deduplicated { window, .. } = job.class.effect else { return f64::INFINITY };
        let first = job.attempts.iter().find(|a| a.ran != Ran::Never);
        first.map_or(self.now, |a| a.sent) + window
    }
}
