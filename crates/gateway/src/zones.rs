//! What a gateway knows of the zones: how much of its traffic each should get, and which it has left.

use crate::{
    interface::{FailureKind, ServerId, Time},
    token_bucket::TokenBucket,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Most of the traffic that stays near: the rest keeps news of the other zones, and connections, fresh.
const NEAR_MOST: f64 = 0.9;
/// Seconds over which weights move, and between two looks at what the zones can carry.
const INERTIA: (f64, f64) = (1.0, 0.1);
/// How much slower than elsewhere the own zone may answer, as a logarithm, and how fast its share follows.
const SLOWER: f64 = 0.05;
const STEER: f64 = 1.0;
/// Weight of a new answer's time in a zone's mean.
const GAIN: f64 = 0.05;
/// Distinct servers lost in a row, with no answer between, that show a zone as lost.
const RUN: usize = 3;
/// Share of the servers below which what is left would be overrun: no further zone is left then.
const LEAST_LEFT: f64 = 0.2;
/// Seconds that a zone is first and at most left for, and after which the first holds again.
const PAUSE: (f64, f64, f64) = (1.0, 8.0, 20.0);

/// What a zone's news has led to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Turn {
    Left(FailureKind),
    /// It answers what was sent to it since it was left.
    Back,
    /// It was never gone: it answers what it had in hand when it was left.
    Here(Time),
}

/// The zone that a server's news was about, and what it has led to, if anything.
pub(crate) type News = Option<(u32, Turn)>;

/// One zone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Zone {
    /// Where its servers begin among all that run, and how many they are.
    #[serde(skip)]
    pub(crate) place: (usize, usize),
    /// What its servers can carry, in warm ones.
    #[serde(skip)]
    pub(crate) carries: f64,
    pub(crate) weight: f64,
    latency: f64,
    answered: Time,
    /// Lost since then, with no answer between.
    run: BTreeSet<ServerId>,
    run_since: Time,
    how: Option<FailureKind>,
    pub(crate) left: Option<(Time, FailureKind)>,
    until: Time,
    pause: f64,
    back: Time,
    /// Sent there of late.
    pub(crate) sent: TokenBucket,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Zones {
    pub(crate) all: BTreeMap<u32, Zone>,
    looked: Time,
    /// Servers have come or gone, or a zone was left.
    #[serde(skip)]
    stale: bool,
    /// What of the traffic stays near, by how the own zone's answers compare with those from `far`.
    keep: f64,
    far: f64,
    own: Option<u32>,
}

impl Zones {
    /// Takes in the zones of all servers that run, in their order.
    pub(crate) fn place(&mut self, of: impl Iterator<Item = u32>) {
        self.all.values_mut().for_each(|z| z.place = (0, 0));
        for (i, id) in of.enumerate() {
            let place = &mut self.all.entry(id).or_default().place;
            *place = if place.1 == 0 { (i, 1) } else { (place.0, place.1 + 1) };
        }
        self.stale = true;
    }

    /// Whether what the zones carry is to be looked at again.
    pub(crate) fn due(&self, now: Time) -> bool {
        self.stale || now - self.looked >= INERTIA.1
    }

    /// Moves the weights towards what the zones carry: the own one gets its part of all traffic at least,
    /// what it can of an even share at most, more while it is not slower; the others get the rest.
    pub(crate) fn weigh(&mut self, now: Time, own: u32) {
        let carries = |z: &Zone| if z.left.is_some() { 0.0 } else { z.carries };
        let total: f64 = self.all.values().map(carries).sum();
        let near = self.all.get(&own).map_or(0.0, carries);
        let even = self.all.values().filter(|z| z.place.1 > 0).count() as f64;
        let (fair, step) = (near / total.max(1e-9), (now - self.looked).clamp(0.0, 1.0));
        let here = self.all.get(&own).map_or(0.0, |z| z.latency);
        let faster = if here > 0.0 && self.far > 0.0 { (self.far / here).ln() } else { 0.0 };
        self.keep = if self.own == Some(own) { self.keep + step * STEER * (faster + SLOWER) } else { fair };
        let most = (even * fair).min(NEAR_MOST);
        (self.keep, self.own) = (self.keep.clamp(fair.min(most), most), Some(own));
        let keep = if total > near { self.keep } else { 1.0 };
        let step = 1.0 - (-(now - self.looked).max(0.0) / INERTIA.0).exp();
        (self.looked, self.stale) = (now, false);
        for (id, zone) in &mut self.all {
            let wanted =
                if *id == own { keep } else { (1.0 - keep) * carries(zone) / (total - near).max(1e-9) };
            let gone = zone.left.is_some() || zone.place.1 == 0;
            zone.weight = if gone { 0.0 } else { zone.weight + step * (wanted - zone.weight) };
        }
        let sum: f64 = self.all.values().map(|z| z.weight).sum();
        // None has one yet, or the only one that had is gone: what they carry decides at once.
        let even = |z: &Zone| if total > 0.0 { carries(z) / total } else { 0.0 };
        self.all.values_mut().for_each(|z| z.weight = if sum > 0.0 { z.weight / sum } else { even(z) });
    }

    /// A zone that was left and is to be tried now, by a request that is `safe` to lose.
    pub(crate) fn trial(&mut self, now: Time, safe: bool, jitter: f64) -> Option<u32> {
        let due = |z: &Zone| z.left.is_some() && now >= z.until && z.place.1 > 0;
        let (id, zone) = self.all.iter_mut().find(|(_, z)| safe && due(z))?;
        zone.until = now + zone.pause * jitter;
        Some(*id)
    }

    /// A server of the zone has answered after `spent` seconds.
    pub(crate) fn good(&mut self, now: Time, id: u32, spent: f64, jitter: f64) -> News {
        let zone = self.all.get_mut(&id)?;
        let mean = if self.own == Some(id) { &mut zone.latency } else { &mut self.far };
        *mean = if *mean == 0.0 { spent } else { *mean + GAIN * (spent - *mean) };
        zone.answered = now;
        zone.run.clear();
        let Some((since, _)) = zone.left.take() else { return self.judge(now, jitter) };
        zone.back = now;
        Some((id, if now - spent > since { Turn::Back } else { Turn::Here(since) }))
    }

    /// A server of the zone was lost.
    pub(crate) fn bad(
        &mut self,
        now: Time,
        id: u32,
        server: &ServerId,
        how: FailureKind,
        jitter: f64,
    ) -> News {
        let zone = self.all.get_mut(&id).filter(|z| z.left.is_none())?;
        if zone.run.is_empty() {
            zone.run_since = now;
        }
        zone.run.insert(server.clone());
        zone.how = Some(how);
        self.judge(now, jitter)
    }

    /// Leaves a zone that is lost, while another has answered since and loses none: what all lose alike is
    /// no zone's own fault.
    fn judge(&mut self, now: Time, jitter: f64) -> News {
        let used = || self.all.iter().filter(|(_, z)| z.left.is_none() && z.place.1 > 0);
        let least = LEAST_LEFT * self.all.values().map(|z| z.place.1).sum::<usize>() as f64;
        let lost = |(id, zone): &(&u32, &Zone)| {
            let mut others = used().filter(|(other, _)| other != id);
            let over: usize = others.clone().map(|(_, z)| z.place.1).sum();
            zone.run.len() >= RUN.min(zone.place.1)
                && over as f64 >= least
                && others.any(|(_, z)| z.answered >= zone.run_since && z.run.len() <= 1)
        };
        let id = *used().find(lost)?.0;
        let zone = self.all.get_mut(&id)?;
        let how = zone.how?;
        zone.pause = if now - zone.back > PAUSE.2 { PAUSE.0 } else { (zone.pause * 2.0).min(PAUSE.1) };
        self.stale = true;
        (zone.left, zone.until, zone.weight) = (Some((now, how)), now + zone.pause * jitter, 0.0);
        zone.run.clear();
        Some((id, Turn::Left(how)))
    }
}
