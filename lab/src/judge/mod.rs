//! What a play was worth, from what the stand-ins saw: rules, quotas, recovery, and why units went astray.

mod answers;
mod conclusion;
mod departures;
mod excuses;
mod gather;
mod quotas;
mod recovery;
mod repeats;
mod rule;
mod tries;
mod verdict;
mod workers;
mod worth;

pub use rule::{Rule, Violation};
pub use verdict::{Causes, Recovery, Second, Totals, Verdict};

use crate::{
    record::{Micros, Recording},
    scenario::Scenario,
};
use std::collections::HashMap;
use tries::Try;

/// What sockets and this machine may add to a time limit.
const SLACK_S: f64 = 0.05;
/// Broken rules that are listed one by one; the others are only counted.
const MAX_LISTED: usize = 20;

/// A recording's time in seconds.
fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// A recording that is being judged, and what has been found so far.
struct Judge<'a> {
    recording: &'a Recording,
    scenario: &'a Scenario,
    verdict: Verdict,
    tries: HashMap<u64, Try>,
    /// In the order that they went out.
    order: Vec<u64>,
    /// What a gateway said last of a try.
    reasons: HashMap<u64, &'a str>,
}

/// Judges a play.
#[must_use]
pub fn judge(recording: &Recording) -> Verdict {
    let mut judge = Judge {
        recording,
        scenario: &recording.header.scenario,
        verdict: Verdict::default(),
        tries: HashMap::new(),
        order: Vec::new(),
        reasons: HashMap::new(),
    };
    judge.index_events();
    judge.check_answers();
    judge.check_repeats();
    judge.check_departures();
    judge.check_workers();
    judge.check_quotas();
    judge.compute_value();
    judge.measure_recovery();
    judge.conclude()
}

impl Judge<'_> {
    /// Takes down one broken rule.
    fn add_violation(&mut self, rule: Rule, at_s: f64, what: String) {
        *self.verdict.broken_by.entry(rule).or_default() += 1;
        if self.verdict.broken.len() < MAX_LISTED {
            self.verdict.broken.push(Violation { rule, at_s, what });
        }
    }

    /// Takes down what was found, in the order that it happened.
    fn add_violations(&mut self, mut found: Vec<(Rule, f64, String)>) {
        found.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (rule, at, what) in found {
            self.add_violation(rule, at, what);
        }
    }

    /// Seconds by which the machine, and not the gateway, may have delayed something in a span: what the lab itself ran
    /// late at most, and what the processes waited for processors in that span.
    fn machine_delay(&self, gate: usize, from_s: f64, until_s: f64) -> f64 {
        let meter = &self.recording.meter;
        meter.late_ms[2] / 1e3 + meter.run_delays.between(gate, from_s, until_s)
    }

    fn second(&mut self, at: f64) -> &mut Second {
        let zones = self.scenario.world.zones.len();
        let index = at.max(0.0) as usize;
        while self.verdict.seconds.len() <= index {
            self.verdict.seconds.push(Second { attempts: vec![0; zones], ..Second::default() });
        }
        &mut self.verdict.seconds[index]
    }
}

#[cfg(test)]
mod tests;
