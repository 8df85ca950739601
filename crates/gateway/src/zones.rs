//! The zones as a gateway sees them: which share of its traffic each should get, and which are ejected.

use crate::{
    interface::{FailureKind, ServerId, Time},
    token_bucket::TokenBucket,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum share of the traffic that stays in the local zone: the rest keeps observations of the other zones,
/// and connections to them, fresh.
const MAX_LOCAL_SHARE: f64 = 0.9;
/// Time constant, in seconds, with which the weights follow the zones' capacity.
const WEIGHT_TIME_CONSTANT: f64 = 1.0;
/// Interval, in seconds, at which the weights are updated.
const WEIGHING_INTERVAL: f64 = 0.1;
/// How much slower than the other zones the local one may answer before its share falls, as a logarithm of
/// the ratio.
const LOCAL_LATENCY_TOLERANCE: f64 = 0.05;
/// Change of the local share per second and unit of that logarithm.
const LOCAL_SHARE_GAIN: f64 = 1.0;
/// Weight of a new answer in a zone's mean latency.
const LATENCY_GAIN: f64 = 0.05;
/// Distinct servers that have to fail, with no answer from the zone between, before the zone is ejected.
const FAILED_SERVERS_TO_EJECT: usize = 3;
/// Share of the servers that must remain in zones that are not ejected: fewer would be overloaded.
const MIN_REMAINING_SERVERS: f64 = 0.2;
/// Mean time, in seconds, between the first ejection of a zone and its first trial.
const FIRST_TRIAL_INTERVAL: f64 = 1.0;
/// Maximum mean time, in seconds, between two trials of a zone; the time doubles with each ejection.
const MAX_TRIAL_INTERVAL: f64 = 8.0;
/// Time in seconds after a zone's return from which its next ejection counts as a first one again.
const TRIAL_INTERVAL_RESET: f64 = 20.0;

/// What an observation has changed about a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ZoneChange {
    /// The zone is ejected.
    Ejected(FailureKind),
    /// The zone has answered an attempt that was sent after its ejection.
    Returned,
    /// The zone was never down: it has answered an attempt that was sent before its ejection, at this time.
    StillUp(Time),
}

/// The zone that an observation was about and what has changed, if anything.
pub(crate) type ZoneUpdate = Option<(u32, ZoneChange)>;

/// What is known of one zone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Zone {
    /// Index of its first server among the running ones, which are ordered by zone, and their number.
    #[serde(skip)]
    pub(crate) server_range: (usize, usize),
    /// Capacity of its servers that are not ejected, in warm servers.
    #[serde(skip)]
    pub(crate) capacity: f64,
    /// Share of this gateway's traffic that the zone should get.
    pub(crate) weight: f64,
    /// Mean latency, in seconds; kept for the local zone only.
    latency: f64,
    /// When a server of the zone last answered.
    #[serde(rename = "answered")]
    last_answer: Time,
    /// Servers that have failed since the zone's last answer.
    #[serde(rename = "run")]
    failed_servers: BTreeSet<ServerId>,
    /// When the first of these failed.
    #[serde(rename = "run_since")]
    failing_since: Time,
    /// How the last attempt failed.
    #[serde(rename = "how")]
    failure: Option<FailureKind>,
    /// When and why the zone was ejected; `None`: it is in use.
    #[serde(rename = "left")]
    pub(crate) ejected: Option<(Time, FailureKind)>,
    /// When the next trial request may be sent to the ejected zone.
    #[serde(rename = "until")]
    next_trial: Time,
    /// Mean time between two trials, in seconds.
    #[serde(rename = "pause")]
    trial_interval: f64,
    /// When the zone last returned from an ejection.
    #[serde(rename = "back")]
    returned_at: Time,
    /// Decaying number of attempts sent there.
    #[serde(rename = "sent")]
    pub(crate) attempts_sent: TokenBucket,
}

/// All zones, by number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Zones {
    pub(crate) all: BTreeMap<u32, Zone>,
    /// When the weights were last updated.
    #[serde(rename = "looked")]
    weighed_at: Time,
    /// Whether servers were added or removed, or a zone was ejected, since the last update of the weights.
    #[serde(skip)]
    servers_changed: bool,
    /// Share of the traffic that stays in the local zone, steered by the ratio of `remote_latency` to the
    /// local latency.
    #[serde(rename = "keep")]
    local_share: f64,
    /// Mean latency of all other zones, in seconds.
    #[serde(rename = "far")]
    remote_latency: f64,
    /// The local zone at the last update; a change of it resets the local share.
    #[serde(rename = "own")]
    local_zone: Option<u32>,
}

impl Zones {
    /// Sets the server ranges from the zones of all running servers, which are ordered by zone.
    pub(crate) fn set_server_ranges(&mut self, zone_ids: impl Iterator<Item = u32>) {
        self.all.values_mut().for_each(|z| z.server_range = (0, 0));
        for (i, id) in zone_ids.enumerate() {
            let range = &mut self.all.entry(id).or_default().server_range;
            *range = if range.1 == 0 { (i, 1) } else { (range.0, range.1 + 1) };
        }
        self.servers_changed = true;
    }

    /// Whether the weights are due for an update.
    pub(crate) fn needs_weighing(&self, now: Time) -> bool {
        self.servers_changed || now - self.weighed_at >= WEIGHING_INTERVAL
    }

    /// Moves the weights towards the zones' capacity.
    ///
    /// The local zone gets at least its share of the total capacity and at most what its capacity can take of
    /// an even split of the traffic over the zones; between these its share rises while it is not slower than
    /// the others. The other zones get the rest by capacity.
    pub(crate) fn update_weights(&mut self, now: Time, local_zone: u32) {
        let capacity = |z: &Zone| if z.ejected.is_some() { 0.0 } else { z.capacity };
        let total: f64 = self.all.values().map(capacity).sum();
        let local = self.all.get(&local_zone).map_or(0.0, capacity);
        let zones = self.all.values().filter(|z| z.server_range.1 > 0).count() as f64;
        let (fair, step) = (local / total.max(1e-9), (now - self.weighed_at).clamp(0.0, 1.0));
        let local_latency = self.all.get(&local_zone).map_or(0.0, |z| z.latency);
        let faster = if local_latency > 0.0 && self.remote_latency > 0.0 {
            (self.remote_latency / local_latency).ln()
        } else {
            0.0
        };
        self.local_share = if self.local_zone == Some(local_zone) {
            self.local_share + step * LOCAL_SHARE_GAIN * (faster + LOCAL_LATENCY_TOLERANCE)
        } else {
            fair
        };
        let max_share = (zones * fair).min(MAX_LOCAL_SHARE);
        (self.local_share, self.local_zone) =
            (self.local_share.clamp(fair.min(max_share), max_share), Some(local_zone));
        let local_share = if total > local { self.local_share } else { 1.0 };
        let step = 1.0 - (-(now - self.weighed_at).max(0.0) / WEIGHT_TIME_CONSTANT).exp();
        (self.weighed_at, self.servers_changed) = (now, false);
        for (id, zone) in &mut self.all {
            let wanted = if *id == local_zone {
                local_share
            } else {
                (1.0 - local_share) * capacity(zone) / (total - local).max(1e-9)
            };
            let unusable = zone.ejected.is_some() || zone.server_range.1 == 0;
            zone.weight = if unusable { 0.0 } else { zone.weight + step * (wanted - zone.weight) };
        }
        let sum: f64 = self.all.values().map(|z| z.weight).sum();
        // If no zone has a weight yet, or the only one that had is unusable, the weights follow capacity at
        // once.
        let by_capacity = |z: &Zone| if total > 0.0 { capacity(z) / total } else { 0.0 };
        self.all
            .values_mut()
            .for_each(|z| z.weight = if sum > 0.0 { z.weight / sum } else { by_capacity(z) });
    }

    /// An ejected zone that is due for a trial, if the request can be lost without harm (`can_lose`).
    pub(crate) fn next_trial(&mut self, now: Time, can_lose: bool, jitter: f64) -> Option<u32> {
        let due = |z: &Zone| z.ejected.is_some() && now >= z.next_trial && z.server_range.1 > 0;
        let (id, zone) = self.all.iter_mut().find(|(_, z)| can_lose && due(z))?;
        zone.next_trial = now + zone.trial_interval * jitter;
        Some(*id)
    }

    /// Records that a server of zone `id` has answered after `elapsed` seconds.
    pub(crate) fn record_answer(&mut self, now: Time, id: u32, elapsed: f64, jitter: f64) -> ZoneUpdate {
        let zone = self.all.get_mut(&id)?;
        let mean = if self.local_zone == Some(id) { &mut zone.latency } else { &mut self.remote_latency };
        *mean = if *mean == 0.0 { elapsed } else { *mean + LATENCY_GAIN * (elapsed - *mean) };
        zone.last_answer = now;
        zone.failed_servers.clear();
        let Some((since, _)) = zone.ejected.take() else { return self.eject_failed_zone(now, jitter) };
        zone.returned_at = now;
        Some((id, if now - elapsed > since { ZoneChange::Returned } else { ZoneChange::StillUp(since) }))
    }

    /// Records that a server of zone `id` has failed.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        id: u32,
        server: &ServerId,
        failure: FailureKind,
        jitter: f64,
    ) -> ZoneUpdate {
        let zone = self.all.get_mut(&id).filter(|z| z.ejected.is_none())?;
        if zone.failed_servers.is_empty() {
            zone.failing_since = now;
        }
        zone.failed_servers.insert(server.clone());
        zone.failure = Some(failure);
        self.eject_failed_zone(now, jitter)
    }

    /// Ejects a zone whose servers fail, if another zone has answered since the failures began and has no
    /// failures of its own: what fails in all zones alike is not the single zone's fault.
    fn eject_failed_zone(&mut self, now: Time, jitter: f64) -> ZoneUpdate {
        let in_use = || self.all.iter().filter(|(_, z)| z.ejected.is_none() && z.server_range.1 > 0);
        let min_remaining =
            MIN_REMAINING_SERVERS * self.all.values().map(|z| z.server_range.1).sum::<usize>() as f64;
        let failed = |(id, zone): &(&u32, &Zone)| {
            let mut others = in_use().filter(|(other, _)| other != id);
            let remaining: usize = others.clone().map(|(_, z)| z.server_range.1).sum();
            zone.failed_servers.len() >= FAILED_SERVERS_TO_EJECT.min(zone.server_range.1)
                && remaining as f64 >= min_remaining
                && others.any(|(_, z)| z.last_answer >= zone.failing_since && z.failed_servers.len() <= 1)
        };
        let id = *in_use().find(failed)?.0;
        let zone = self.all.get_mut(&id)?;
        let failure = zone.failure?;
        zone.trial_interval = if now - zone.returned_at > TRIAL_INTERVAL_RESET {
            FIRST_TRIAL_INTERVAL
        } else {
            (zone.trial_interval * 2.0).min(MAX_TRIAL_INTERVAL)
        };
        self.servers_changed = true;
        (zone.ejected, zone.next_trial, zone.weight) =
            (Some((now, failure)), now + zone.trial_interval * jitter, 0.0);
        zone.failed_servers.clear();
        Some((id, ZoneChange::Ejected(failure)))
    }
}
