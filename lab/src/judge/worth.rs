//! Computes the value earned, latencies, wasted work and amplification of a run.

use super::{Judge, Second, Totals, tries::Try};
use crate::{
    record::{Ending, Outcome},
    scenario::ClassSpec,
};
use std::collections::HashMap;

/// Least number of tries in a second for its amplification to count, and at a gateway for its share of refusals.
const MIN_TRIES: u64 = 20;
/// Cost of a unit sent to a worker beyond its quota, as a share of the mean value of a request.
const EXCESS_UNIT_COST: f64 = 0.8;

/// Value and cost of one try.
struct TryValue {
    /// Time of the request's first try, in seconds.
    first: f64,
    /// Value that the request is worth if answered in time; 0 for retries, so that each request counts once.
    asked: f64,
    /// Value earned by the answer.
    earned: f64,
    /// Core seconds of all its attempts.
    worked: f64,
    /// Core seconds of the attempt whose answer earned value.
    useful: f64,
    /// Seconds from the first try to the answer, if it was served.
    took: Option<f64>,
    refused: bool,
    failed: bool,
}

/// Sums over the tries of requests that began after the lead-in.
struct PlayTotals {
    plans: Vec<Totals>,
    classes: Vec<Totals>,
    /// By gateway, the number of tries and how many of them were refused.
    gates: HashMap<usize, (u64, u64)>,
    latencies_ms: Vec<f64>,
    worked: f64,
    useful: f64,
}

impl PlayTotals {
    fn add(&mut self, request: &Try, value: &TryValue) {
        self.worked += value.worked;
        self.useful += value.useful;
        self.latencies_ms.extend(value.took.map(|took| took * 1e3));
        for totals in [&mut self.plans[request.plan], &mut self.classes[request.class]] {
            totals.tries += 1;
            totals.served += u64::from(value.took.is_some());
            totals.refused += u64::from(value.refused);
            totals.failed += u64::from(value.failed);
            totals.asked += value.asked;
            totals.earned += value.earned;
        }
        let (tries, refused) = self.gates.entry(request.gate).or_default();
        *tries += 1;
        *refused += u64::from(value.refused);
    }

    /// Returns the median, 95th and 99th percentile of the latency in milliseconds.
    fn latency_ms(&mut self) -> [f64; 3] {
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let index = |share: f64| ((count as f64 * share) as usize).min(count.saturating_sub(1));
        [0.5, 0.95, 0.99].map(|share| self.latencies_ms.get(index(share)).copied().unwrap_or(0.0))
    }

    /// Returns the least and the greatest share of refused tries among the gateways with enough tries.
    fn refused_spread(&self) -> [f64; 2] {
        let busy = self.gates.values().filter(|(tries, _)| *tries >= MIN_TRIES);
        let shares: Vec<f64> = busy.map(|(tries, refused)| *refused as f64 / *tries as f64).collect();
        [shares.iter().copied().fold(1.0, f64::min), shares.iter().copied().fold(0.0, f64::max)]
    }
}

impl Judge<'_> {
    /// Computes the value earned, totals by plan and class, latencies and wasted work.
    pub(super) fn compute_value(&mut self) {
        let scenario = self.scenario;
        let firsts: HashMap<u64, f64> =
            self.tries.values().filter(|t| t.again == 0).map(|t| (t.first, t.at)).collect();
        let mut totals = PlayTotals {
            plans: vec![Totals::default(); scenario.plans.len()],
            classes: vec![Totals::default(); scenario.classes.len()],
            gates: HashMap::new(),
            latencies_ms: Vec::new(),
            worked: 0.0,
            useful: 0.0,
        };
        let mut values = Vec::new();
        for txn in &self.order {
            let request = &self.tries[txn];
            let Some(first) = firsts.get(&request.first).copied() else { continue };
            let value = self.value_of(request, first);
            if first >= scenario.lead_s {
                totals.add(request, &value);
            }
            values.push(value);
        }
        for value in values {
            let second = self.second(value.first);
            second.asked += value.asked;
            second.earned += value.earned;
            second.wasted_s += value.worked - value.useful;
        }
        let requests = firsts.values().filter(|at| **at >= scenario.lead_s).count();
        self.sum_up(totals, requests);
        self.count_attempts();
    }

    fn value_of(&self, request: &Try, first: f64) -> TryValue {
        let class = &self.scenario.classes[request.class];
        let worth = class.worth * self.scenario.plans[request.plan].pays;
        let took = match request.answer {
            Some((at, Outcome::Served { genuine: true })) => Some(at - first),
            _ => None,
        };
        let earned = took.map_or(0.0, |took| worth * value_share(class, took));
        let ended = || request.sent.iter().filter_map(|s| s.ended.as_ref());
        let worked: f64 = ended().map(|e| e.2).sum();
        let best = ended().filter(|e| e.1 == Ending::Served).map(|e| e.2).fold(0.0, f64::max);
        let refused = matches!(request.answer, Some((_, Outcome::Refused { .. })));
        let left = matches!(request.answer, Some((_, Outcome::Left)) | None);
        TryValue {
            first,
            asked: if request.again == 0 { worth } else { 0.0 },
            earned,
            worked,
            useful: if earned > 0.0 { best } else { 0.0 },
            took,
            refused,
            failed: took.is_none() && !refused && !left,
        }
    }

    /// Transfers the sums to the verdict.
    fn sum_up(&mut self, mut totals: PlayTotals, requests: usize) {
        let scenario = self.scenario;
        let (asked, earned): (f64, f64) =
            totals.plans.iter().fold((0.0, 0.0), |s, t| (s.0 + t.asked, s.1 + t.earned));
        let verdict = &mut self.verdict;
        verdict.latency_ms = totals.latency_ms();
        verdict.wasted = if totals.worked > 0.0 { 1.0 - totals.useful / totals.worked } else { 0.0 };
        verdict.refused_spread = totals.refused_spread();
        verdict.goodput = earned / asked.max(1e-9);
        verdict.by_plan = scenario.plans.iter().map(|p| p.name.clone()).zip(totals.plans).collect();
        verdict.by_class = scenario.classes.iter().map(|c| c.name.clone()).zip(totals.classes).collect();
        // Each unit beyond its quota costs a share of the mean value of a request.
        let mean = asked / requests.max(1) as f64;
        verdict.score = (earned - EXCESS_UNIT_COST * mean * verdict.beyond as f64) / asked.max(1e-9);
        verdict.requests = requests as u64;
    }

    /// Counts tries and attempts, and computes amplification and the mean number of health checks and counter calls.
    fn count_attempts(&mut self) {
        let (lead, end) = (self.scenario.lead_s, self.scenario.length_s as usize);
        let verdict = &mut self.verdict;
        verdict.tries = self.tries.values().filter(|t| t.at >= lead).count() as u64;
        verdict.attempts = self.tries.values().map(|t| t.sent.len() as u64).sum();
        verdict.amplification = verdict.attempts as f64 / verdict.sent.max(1) as f64;
        let seconds = verdict.seconds.iter().take(end).skip(lead as usize);
        let busy = seconds.filter(|s| s.sent >= MIN_TRIES);
        let amplifications = busy.map(|s| s.attempts.iter().sum::<u64>() as f64 / s.sent as f64);
        verdict.worst_amplification = amplifications.fold(0.0, f64::max);
        let sum = |f: fn(&Second) -> u64| verdict.seconds.iter().map(f).sum::<u64>() as f64;
        verdict.probes_a_request = sum(|s| s.probes) / verdict.requests.max(1) as f64;
        verdict.calls_a_try = sum(|s| s.calls) / verdict.tries.max(1) as f64;
    }
}

/// Returns the share of a request's value that an answer after `took` seconds earns.
fn value_share(class: &ClassSpec, took: f64) -> f64 {
    if took <= class.aim_ms / 1e3 {
        1.0
    } else if took <= class.deadline_ms / 1e3 {
        class.late_worth
    } else {
        0.0
    }
}
