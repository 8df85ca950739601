//! What the play earned, and the figures on latency, waste and amplification.

use super::{Fare, Judge, Second};
use crate::record::{Ending, Outcome};
use std::collections::HashMap;

/// A second with fewer tries sent on says nothing of amplification.
const LEAST_TRIES: u64 = 20;
/// What a unit sent on beyond its quota costs, of its worth.
const OVERRUN: f64 = 0.8;

impl Judge<'_> {
    /// Worth, fares, latencies and waste.
    pub(super) fn worth(&mut self) {
        let scenario = self.scenario;
        let lead = scenario.lead_s;
        let mut plans = vec![Fare::default(); scenario.plans.len()];
        let mut classes = vec![Fare::default(); scenario.classes.len()];
        let mut gates: HashMap<usize, (u64, u64)> = HashMap::new();
        let firsts: HashMap<u64, f64> =
            self.tries.values().filter(|t| t.again == 0).map(|t| (t.first, t.at)).collect();
        let mut latencies = Vec::new();
        let (mut useful, mut work) = (0.0, 0.0);
        let mut marks: Vec<(f64, f64, f64, f64)> = Vec::new();
        for txn in &self.order {
            let tried = &self.tries[txn];
            let Some(first) = firsts.get(&tried.first).copied() else { continue };
            let (class, plan) = (&scenario.classes[tried.class], &scenario.plans[tried.plan]);
            let worth = class.worth * plan.pays;
            let asked = if tried.again == 0 { worth } else { 0.0 };
            let mut earned = 0.0;
            let served = matches!(tried.answer, Some((_, Outcome::Served { genuine: true })));
            if let (true, Some((at, _))) = (served, &tried.answer) {
                let took = at - first;
                let share = if took <= class.aim_ms / 1e3 {
                    1.0
                } else if took <= class.deadline_ms / 1e3 {
                    class.late_worth
                } else {
                    0.0
                };
                earned = worth * share;
                if first >= lead {
                    latencies.push(took * 1e3);
                }
            }
            let worked: f64 = tried.sent.iter().filter_map(|s| s.ended.as_ref()).map(|e| e.2).sum();
            let best = tried.sent.iter().filter_map(|s| s.ended.as_ref()).filter(|e| e.1 == Ending::Served);
            let best = best.map(|e| e.2).fold(0.0, f64::max);
            let good = if earned > 0.0 { best } else { 0.0 };
            marks.push((first, asked, earned, worked - good));
            if first < lead {
                continue;
            }
            useful += good;
            work += worked;
            let refused = matches!(tried.answer, Some((_, Outcome::Refused { .. })));
            let failed = !served && !refused && !matches!(tried.answer, Some((_, Outcome::Left)) | None);
            for fare in [&mut plans[tried.plan], &mut classes[tried.class]] {
                fare.tries += 1;
                fare.served += u64::from(served);
                fare.refused += u64::from(refused);
                fare.failed += u64::from(failed);
                fare.asked += asked;
                fare.earned += earned;
            }
            let at_gate = gates.entry(tried.gate).or_default();
            at_gate.0 += 1;
            at_gate.1 += u64::from(refused);
        }
        for (first, asked, earned, wasted) in marks {
            let second = self.second(first);
            second.asked += asked;
            second.earned += earned;
            second.wasted_s += wasted;
        }
        latencies.sort_by(f64::total_cmp);
        let at = |q: f64| {
            latencies.get(((latencies.len() as f64 * q) as usize).min(latencies.len().saturating_sub(1)))
        };
        let spread: Vec<f64> =
            gates.values().filter(|g| g.0 >= LEAST_TRIES).map(|g| g.1 as f64 / g.0 as f64).collect();
        let v = &mut self.verdict;
        v.latency_ms = [0.5, 0.95, 0.99].map(|q| at(q).copied().unwrap_or(0.0));
        v.wasted = if work > 0.0 { 1.0 - useful / work } else { 0.0 };
        v.refused_spread =
            [spread.iter().copied().fold(1.0, f64::min), spread.iter().copied().fold(0.0, f64::max)];
        let (asked, earned): (f64, f64) =
            plans.iter().fold((0.0, 0.0), |s, f| (s.0 + f.asked, s.1 + f.earned));
        v.goodput = earned / asked.max(1e-9);
        v.by_plan = scenario.plans.iter().map(|p| p.name.clone()).zip(plans).collect();
        v.by_class = scenario.classes.iter().map(|c| c.name.clone()).zip(classes).collect();
        // Each unit beyond costs a share of a mean request's worth.
        let mean = asked / firsts.values().filter(|at| **at >= lead).count().max(1) as f64;
        v.score = (earned - OVERRUN * mean * v.beyond as f64) / asked.max(1e-9);
        v.requests = firsts.values().filter(|at| **at >= lead).count() as u64;
        v.tries = self.tries.values().filter(|t| t.at >= lead).count() as u64;
        v.attempts = self.tries.values().map(|t| t.sent.len() as u64).sum();
        v.amplification = v.attempts as f64 / v.sent.max(1) as f64;
        let end = self.scenario.length_s as usize;
        let loud = v.seconds.iter().take(end).skip(lead as usize).filter(|s| s.sent >= LEAST_TRIES);
        v.worst_amplification =
            loud.map(|s| s.attempts.iter().sum::<u64>() as f64 / s.sent as f64).fold(0.0, f64::max);
        let sum = |f: fn(&Second) -> u64| v.seconds.iter().map(f).sum::<u64>() as f64;
        v.probes_a_request = sum(|s| s.probes) / v.requests.max(1) as f64;
        v.calls_a_try = sum(|s| s.calls) / v.tries.max(1) as f64;
    }
}
