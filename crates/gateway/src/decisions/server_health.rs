//! What is observed of servers: which are running, which fail and are ejected, and how far they have warmed
//! up.

use super::{CUSTOMER_IDLE_TIMEOUT, EJECTION_FAILURES, Gateway, MEAN_GAIN, OBSERVATION_MEMORY, TimerPurpose};
use crate::{
    interface::{
        Action, Effect, FailureKind, Group, JobId, Lifecycle, ListKind, Reason, Server, ServerId, Status,
        Time,
    },
    state::{Attempt, AttemptState, Host, Job},
    token_bucket::TokenBucket,
    zones::{ZoneChange, ZoneUpdate},
};

/// Gain of the unloaded latency relative to that of the typical latency, while it rises.
const UNLOADED_LATENCY_GAIN: f64 = 0.02;
/// Share of attempts that time out from which a time-out counts as a slow answer and not as a lost one.
const LOST_SHARE_THRESHOLD: f64 = 0.5;
/// Mean length of a server's first ejection, in seconds.
const FIRST_EJECTION: f64 = 1.0;
/// Maximum mean length of an ejection, in seconds.
const MAX_EJECTION: f64 = 8.0;
/// Share of the servers that may be ejected at a time: if more fail together, the cause is not the single
/// server.
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Gateway {
    /// Applies a list of servers and follows the list from now on if that has to be asked for.
    pub(super) fn apply_server_list(&mut self, kind: ListKind, servers: Vec<Server>) {
        let subscribe = self.settings.must_subscribe && matches!(kind, ListKind::Stale | ListKind::Failed);
        subscribe.then(|| self.actions.push(Action::Subscribe));
        match kind {
            ListKind::Stale => drop(self.set_timer(self.now + CUSTOMER_IDLE_TIMEOUT, TimerPurpose::Cleanup)),
            ListKind::Full => self.state.servers.values_mut().for_each(|h| h.running = false),
            _ => {}
        }
        let latency = self.state.latency;
        for entry in servers {
            let phase = self.random();
            let host = self.state.servers.entry(entry.id).or_default();
            (host.zone, host.cell) = (entry.zone, entry.cell);
            if host.next_ejection == 0.0 || entry.started > host.warming_since {
                // A new or restarted server: observations of an earlier incarnation are dropped. Its attempts
                // in flight still count.
                let slow_start = TokenBucket { level: phase, at: self.now };
                let (warming_since, next_ejection) = (entry.started, FIRST_EJECTION);
                let Host { zone, cell, inflight, .. } = *host;
                *host = Host {
                    zone,
                    cell,
                    inflight,
                    warming_since,
                    slow_start,
                    latency,
                    next_ejection,
                    ..Host::default()
                };
            }
            host.running = entry.lifecycle == Lifecycle::Running;
        }
        self.index_running_servers();
    }

    /// Rebuilds the index of running servers that are not offline, ordered by zone.
    pub(super) fn index_running_servers(&mut self) {
        let usable = |(id, h): &(&ServerId, &Host)| h.running && !self.state.offline_servers.contains(*id);
        let running = self.state.servers.iter().filter(usable);
        let mut servers: Vec<(u32, ServerId)> = running.map(|(id, h)| (h.zone, id.clone())).collect();
        servers.sort();
        self.state.zones.set_server_ranges(servers.iter().map(|(zone, _)| *zone));
        self.running_servers = servers.into_iter().map(|(_, id)| id).collect();
        self.subset.clear();
    }

    /// Takes a server offline at an operator's request, or puts it back, until the next such call; a repeated
    /// call changes nothing. Returns `false` if no list has ever named the server.
    pub fn set_offline(&mut self, now: Time, id: &str, offline: bool) -> bool {
        self.now = now;
        let phase = self.random();
        let latency = self.state.latency;
        let Some((id, _)) = self.state.servers.get_key_value(id) else { return false };
        let id = id.clone();
        let changed = if offline {
            self.state.offline_servers.insert(id.clone())
        } else {
            self.state.offline_servers.remove(&id)
        };
        if let (true, false, Some(host)) = (changed, offline, self.state.servers.get_mut(&id)) {
            // It may have restarted unnoticed while it was offline: it starts cold, from now at the latest.
            let Host { zone, cell, inflight, running, .. } = *host;
            let slow_start = TokenBucket { level: phase, at: now };
            *host = Host { zone, cell, inflight, running, slow_start, latency, ..Host::default() };
            (host.warming_since, host.next_ejection) = (now, FIRST_EJECTION);
        }
        self.index_running_servers();
        true
    }

    /// Whether so many servers are ejected that a further failure is not the single server's own.
    pub(super) fn too_many_ejected(&self) -> bool {
        let ejected =
            self.running_servers.iter().filter(|id| self.now < self.state.servers[*id].ejected_until).count()
                as f64;
        ejected >= self.running_servers.len() as f64 * MAX_EJECTED_SHARE
    }

    /// Ejects a server for a time that doubles with each ejection until it answers.
    pub(super) fn eject(&mut self, server: &ServerId) {
        let (too_many, jitter) = (self.too_many_ejected(), 0.5 + self.random());
        let Some(host) = self.state.servers.get_mut(server) else { return };
        if self.now >= host.ejected_until && !too_many {
            // Random lengths keep the gateways from returning to the server all at once.
            host.ejected_until = self.now + host.next_ejection * jitter;
            host.next_ejection = (host.next_ejection * 2.0).min(MAX_EJECTION);
        }
    }

    /// Updates the health of a server and its zone, and the latency means, from an attempt that ended with
    /// `status` after `elapsed` seconds. Slow, failing and unreachable servers all show here, whatever the
    /// cause.
    pub(super) fn observe_outcome(&mut self, server: &ServerId, status: Status, elapsed: f64) -> ZoneUpdate {
        let (too_many, jitter) = (self.too_many_ejected(), 0.5 + self.random());
        let host = self.state.servers.get_mut(server)?;
        let in_flight = self.inflight;
        host.inflight = (host.inflight - 1.0).max(0.0);
        self.inflight = (self.inflight - 1.0).max(0.0);
        match status {
            Status::NotSent | Status::Cancelled => return None,
            Status::Ok => {
                // A server that was unreachable and answers again may have restarted, so it counts as cold.
                // An answer to an attempt from before shows that its process has kept running.
                if host.unreachable && self.now - elapsed > host.unreachable_since {
                    host.warming_since = self.now;
                }
                host.unreachable = false;
                (host.failures, host.next_ejection) = (0, FIRST_EJECTION);
            }
            // If most servers reject, the fleet is overloaded and the in-flight limit shrinks; else this
            // server is.
            Status::Rejected if too_many => self.state.mean_in_flight *= 1.0 - MEAN_GAIN,
            Status::Rejected => host.failures = EJECTION_FAILURES,
            Status::ConnectFailed => {
                (host.failures, host.unreachable, host.unreachable_since) =
                    (EJECTION_FAILURES, true, self.now);
            }
            // A time-out counts in the latency below: in an overload all servers time out and none is faulty.
            Status::Timeout => {}
            _ => host.failures += 1,
        }
        let zones = &mut self.state.zones;
        let zone_update = match FailureKind::from_status(status) {
            Some(failure) => zones.record_failure(self.now, host.zone, server, failure, jitter),
            None if status == Status::Ok => zones.record_answer(self.now, host.zone, elapsed, jitter),
            None => None,
        };
        (host.failures >= EJECTION_FAILURES).then(|| self.eject(server));
        let host = self.state.servers.get_mut(server)?;
        if !matches!(status, Status::Ok | Status::Timeout) {
            return zone_update;
        }
        let mean = |old: f64, new: f64| if old == 0.0 { new } else { old + MEAN_GAIN * (new - old) };
        // Earlier observations lose weight with their age: one gateway of many observes a server rarely, and
        // the server may have changed since.
        let weight = (1.0 - MEAN_GAIN) * (-(self.now - host.observed_at) / OBSERVATION_MEMORY).exp();
        host.latency = elapsed + (host.latency - elapsed) * weight;
        host.observed_at = self.now;
        self.state.latency = mean(self.state.latency, elapsed);
        // Averages over the same multiple of the latency, whether many attempts are in flight or few.
        let gain = 2.0 * MEAN_GAIN / (1.0 + self.state.mean_in_flight);
        // Lost answers are no overload: in an overload most answers are late, and those that arrive are slow.
        self.state.timeout_share +=
            MEAN_GAIN * (f64::from(u8::from(status == Status::Timeout)) - self.state.timeout_share);
        if status == Status::Ok || self.state.timeout_share > LOST_SHARE_THRESHOLD {
            let typical =
                if self.state.typical_latency == 0.0 { elapsed } else { self.state.typical_latency };
            self.state.typical_latency = typical * (elapsed.max(1e-3) / typical).powf(gain);
            // The unloaded latency rises slowly, so that it adapts to a fleet that has become slower for
            // good.
            let (typical, rise) = (self.state.typical_latency, (UNLOADED_LATENCY_GAIN * gain).min(1.0));
            let unloaded =
                if self.state.unloaded_latency == 0.0 { typical } else { self.state.unloaded_latency };
            self.state.unloaded_latency = (unloaded * (typical / unloaded).powf(rise)).min(typical);
        }
        self.state.mean_in_flight += gain * (in_flight - self.state.mean_in_flight);
        zone_update
    }

    /// The share of its full capacity that a server has for certain, from its initial share when it starts to
    /// 1 when it is warm.
    pub(crate) fn warmth(&self, host: &Host) -> f64 {
        let age = self.now - host.warming_since;
        if host.warming_since <= 0.0 || age >= self.settings.warm_up {
            return 1.0;
        }
        self.settings.initial_capacity_share
            + (1.0 - self.settings.initial_capacity_share) * (age / self.settings.warm_up).max(0.0)
    }

    /// Applies a zone's ejection or return to its servers. After an ejection, requests that wait for an
    /// attempt in the zone are hedged, or finished where no server elsewhere may run them.
    pub(super) fn apply_zone_change(&mut self, zone: u32, change: ZoneChange) {
        let of_zone = self.state.servers.values_mut().filter(|h| h.zone == zone);
        for host in of_zone {
            match change {
                // The zone's ejection replaces those of its servers.
                ZoneChange::Ejected(_) => {
                    (host.unreachable, host.unreachable_since, host.ejected_until) = (true, self.now, 0.0)
                }
                // A server that was not observed meanwhile may have restarted, so it starts cold.
                ZoneChange::Returned if host.unreachable => {
                    (host.unreachable, host.warming_since, host.ejected_until) = (false, self.now, 0.0)
                }
                ZoneChange::StillUp(since) if host.unreachable_since == since => host.unreachable = false,
                _ => {}
            }
            (host.failures, host.next_ejection) = (0, FIRST_EJECTION);
        }
        let what = if let ZoneChange::Ejected(failure) = change {
            format!("ejected: {failure:?}")
        } else {
            "returned to service".into()
        };
        self.actions.push(Action::Log(format!("zone {zone} {what}")));
        if !matches!(change, ZoneChange::Ejected(_)) {
            return;
        }
        let in_zone = |a: &Attempt| {
            a.state == AttemptState::InFlight
                && self.state.servers.get(&a.server).is_some_and(|h| h.zone == zone)
        };
        let waits = |j: &Job| !j.finished && !j.streaming && j.attempts.iter().any(in_zone);
        let waiting: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| waits(j)).map(|(id, _)| id.clone()).collect();
        for id in waiting {
            let bound_to_zone = matches!(
                self.jobs[&id].class.effect,
                Effect::Deduplicated { group: Group::Zone | Group::Cell, .. }
            );
            if bound_to_zone { self.finish(&id, 0.0, Reason::AttemptsFailed) } else { self.send_hedge(&id) }
        }
    }
}
