//! What is observed of servers: which run, which fail and are ejected, how warm they are.

use super::{CUSTOMER_IDLE_TIMEOUT, Due, EJECTION_FAILURES, Gateway, MEAN_GAIN, OBSERVATION_MEMORY};
use crate::{
    interface::{
        Action, Effect, FailureKind, Group, JobId, Lifecycle, ListKind, Reason, Server, ServerId, Status,
        Time,
    },
    state::{Attempt, Host, Job, Ran},
    token_bucket::TokenBucket,
    zones::{News, Turn},
};

/// How much slower than the middle answer's time the least of it forgets.
const IDLE_GAIN: f64 = 0.02;
/// Share of attempts without an answer in time from which they count as slow answers, not as lost ones.
const LOST_SHARE_THRESHOLD: f64 = 0.5;
/// Seconds that a server is ejected for at first.
const FIRST_EJECTION: f64 = 1.0;
/// Seconds that a server is ejected for at most.
const MAX_EJECTION: f64 = 8.0;
/// Share of the servers that may be put out at once: more failing together is no server's own fault.
const MAX_EJECTED_SHARE: f64 = 0.5;

impl Gateway {
    pub(super) fn servers_listed(&mut self, kind: ListKind, servers: Vec<Server>) {
        let watch = self.settings.must_subscribe && matches!(kind, ListKind::Stale | ListKind::Failed);
        watch.then(|| self.out.push(Action::Subscribe));
        match kind {
            ListKind::Stale => drop(self.set_timer(self.now + CUSTOMER_IDLE_TIMEOUT, Due::Cleanup)),
            ListKind::Full => self.state.servers.values_mut().for_each(|h| h.running = false),
            _ => {}
        }
        let latency = self.state.latency;
        for entry in servers {
            let phase = self.draw();
            let host = self.state.servers.entry(entry.id).or_default();
            (host.zone, host.cell) = (entry.zone, entry.cell);
            if host.out_for == 0.0 || entry.started > host.cold_since {
                // A new server or a new life: nothing learned of an old one holds. What is out stays out.
                let cold = TokenBucket { level: phase, at: self.now };
                let (cold_since, out_for) = (entry.started, FIRST_EJECTION);
                let Host { zone, cell, inflight, .. } = *host;
                *host = Host { zone, cell, inflight, cold_since, cold, latency, out_for, ..Host::default() };
            }
            host.running = entry.lifecycle == Lifecycle::Running;
        }
        self.index_running_servers();
    }

    pub(super) fn index_running_servers(&mut self) {
        let usable = |(id, h): &(&ServerId, &Host)| h.running && !self.state.aside.contains(*id);
        let running = self.state.servers.iter().filter(usable);
        let mut names: Vec<(u32, ServerId)> = running.map(|(id, h)| (h.zone, id.clone())).collect();
        names.sort();
        self.state.zones.place(names.iter().map(|(zone, _)| *zone));
        self.names = names.into_iter().map(|(_, id)| id).collect();
        self.own.clear();
    }

    /// Takes a server out by hand (`out`), or puts it back, until told otherwise; saying so again changes
    /// nothing. `false`: no list has ever named it.
    pub fn set_offline(&mut self, now: Time, id: &str, out: bool) -> bool {
        self.now = now;
        let phase = self.draw();
        let latency = self.state.latency;
        let Some((id, _)) = self.state.servers.get_key_value(id) else { return false };
        let id = id.clone();
        let changed = if out { self.state.aside.insert(id.clone()) } else { self.state.aside.remove(&id) };
        if let (true, false, Some(host)) = (changed, out, self.state.servers.get_mut(&id)) {
            // It may have restarted untold while it was out: a new life, which begins now at the latest.
            let Host { zone, cell, inflight, running, .. } = *host;
            let cold = TokenBucket { level: phase, at: now };
            *host = Host { zone, cell, inflight, running, cold, latency, ..Host::default() };
            (host.cold_since, host.out_for) = (now, FIRST_EJECTION);
        }
        self.index_running_servers();
        true
    }

    /// So many servers are out that no further one's failures are its own fault.
    pub(super) fn too_many_ejected(&self) -> bool {
        let sick = self.names.iter().filter(|id| self.now < self.state.servers[*id].out_until).count() as f64;
        sick >= self.names.len() as f64 * MAX_EJECTED_SHARE
    }

    /// Puts a server out for a while.
    pub(super) fn eject(&mut self, server: &ServerId) {
        let (crowded, spread) = (self.too_many_ejected(), 0.5 + self.draw());
        let Some(host) = self.state.servers.get_mut(server) else { return };
        if self.now >= host.out_until && !crowded {
            // Not all gateways at once again.
            host.out_until = self.now + host.out_for * spread;
            host.out_for = (host.out_for * 2.0).min(MAX_EJECTION);
        }
    }

    /// Learns from an attempt's end. Slow, failing and vanished servers all show here, whatever the cause.
    pub(super) fn observe_outcome(&mut self, server: &ServerId, status: Status, spent: f64) -> News {
        let (crowded, spread) = (self.too_many_ejected(), 0.5 + self.draw());
        let host = self.state.servers.get_mut(server)?;
        let beside = self.inflight;
        host.inflight = (host.inflight - 1.0).max(0.0);
        self.inflight = (self.inflight - 1.0).max(0.0);
        match status {
            Status::NotSent | Status::Cancelled => return None,
            Status::Ok => {
                // It was unreachable and answers again: it may have restarted untold, so suspect it cold.
                // An answer to what it had in hand before shows that its process has lived on.
                if host.gone && self.now - spent > host.gone_at {
                    host.cold_since = self.now;
                }
                host.gone = false;
                (host.failures, host.out_for) = (0, FIRST_EJECTION);
            }
            // Where most turn away the fleet is full, and the bound shrinks with it; else this one is.
            Status::Rejected if crowded => self.state.beside *= 1.0 - MEAN_GAIN,
            Status::Rejected => host.failures = EJECTION_FAILURES,
            Status::ConnectFailed => {
                (host.failures, host.gone, host.gone_at) = (EJECTION_FAILURES, true, self.now);
            }
            Status::Timeout => {} // Its latency below says it: in overload all time out, and none is sick.
            _ => host.failures += 1,
        }
        let zones = &mut self.state.zones;
        let turn = match FailureKind::from_status(status) {
            Some(how) => zones.bad(self.now, host.zone, server, how, spread),
            None if status == Status::Ok => zones.good(self.now, host.zone, spent, spread),
            None => None,
        };
        (host.failures >= EJECTION_FAILURES).then(|| self.eject(server));
        let host = self.state.servers.get_mut(server)?;
        if !matches!(status, Status::Ok | Status::Timeout) {
            return turn;
        }
        let mean = |old: f64, new: f64| if old == 0.0 { new } else { old + MEAN_GAIN * (new - old) };
        // Old news counts less: a gateway of many hears of a server rarely, and it has changed since.
        let fresh = (1.0 - MEAN_GAIN) * (-(self.now - host.heard) / OBSERVATION_MEMORY).exp();
        host.latency = spent + (host.latency - spent) * fresh;
        host.heard = self.now;
        self.state.latency = mean(self.state.latency, spent);
        // Over the same number of answers' times whether many are out or few.
        let gain = 2.0 * MEAN_GAIN / (1.0 + self.state.beside);
        // Lost answers are no overload: in that most are late, and those that come are slow.
        self.state.lost += MEAN_GAIN * (f64::from(u8::from(status == Status::Timeout)) - self.state.lost);
        if status == Status::Ok || self.state.lost > LOST_SHARE_THRESHOLD {
            let typical = if self.state.typical == 0.0 { spent } else { self.state.typical };
            self.state.typical = typical * (spent.max(1e-3) / typical).powf(gain);
            // It rises slowly, for a fleet that has become slower for good.
            let (typical, rise) = (self.state.typical, (IDLE_GAIN * gain).min(1.0));
            let idle = if self.state.idle == 0.0 { typical } else { self.state.idle };
            self.state.idle = (idle * (typical / idle).powf(rise)).min(typical);
        }
        self.state.beside += gain * (beside - self.state.beside);
        turn
    }

    /// The part of its full capacity that a server surely has.
    pub(crate) fn warmth(&self, host: &Host) -> f64 {
        let age = self.now - host.cold_since;
        if host.cold_since <= 0.0 || age >= self.settings.warm_up {
            return 1.0;
        }
        self.settings.initial_capacity_share
            + (1.0 - self.settings.initial_capacity_share) * (age / self.settings.warm_up).max(0.0)
    }

    /// A zone was left, or is back: what that means for its servers and for what is out to them.
    pub(super) fn zone_changed(&mut self, zone: u32, turn: Turn) {
        let of_zone = self.state.servers.values_mut().filter(|h| h.zone == zone);
        for host in of_zone {
            match turn {
                // The zone's pause holds in place of their own.
                Turn::Left(_) => (host.gone, host.gone_at, host.out_until) = (true, self.now, 0.0),
                // Whoever was not heard of meanwhile may have restarted: rule 4.
                Turn::Back if host.gone => {
                    (host.gone, host.cold_since, host.out_until) = (false, self.now, 0.0)
                }
                Turn::Here(since) if host.gone_at == since => host.gone = false,
                _ => {}
            }
            (host.failures, host.out_for) = (0, FIRST_EJECTION);
        }
        let what = if let Turn::Left(how) = turn {
            format!("ejected: {how:?}")
        } else {
            "returned to service".into()
        };
        self.out.push(Action::Log(format!("zone {zone} {what}")));
        if !matches!(turn, Turn::Left(_)) {
            return;
        }
        let there = |a: &Attempt| {
            a.ran == Ran::Out && self.state.servers.get(&a.server).is_some_and(|h| h.zone == zone)
        };
        let waits = |j: &Job| !j.over && !j.streaming && j.attempts.iter().any(there);
        let waiting: Vec<JobId> =
            self.jobs.iter().filter(|(_, j)| waits(j)).map(|(id, _)| id.clone()).collect();
        for id in waiting {
            let bound = matches!(
                self.jobs[&id].class.effect,
                Effect::Deduplicated { group: Group::Zone | Group::Cell, .. }
            );
            if bound { self.finish(&id, 0.0, Reason::AttemptsFailed) } else { self.send_hedge(&id) }
        }
    }
}
