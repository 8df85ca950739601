//! Evaluates the recording of a run: rule violations, quota accuracy, goodput and latency, recovery after faults, and
//! the causes of units admitted beyond a quota or refused within one.

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

/// Allowance on every time limit, in seconds, for delays of sockets and scheduling on the test machine.
const SLACK_S: f64 = 0.05;
/// Violations that are listed individually; further ones are only counted.
const MAX_LISTED: usize = 20;

/// Converts a recorded time to seconds since the load began.
fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

/// Evaluation of one recording: the indexed events and the results so far.
struct Judge<'a> {
    recording: &'a Recording,
    scenario: &'a Scenario,
    verdict: Verdict,
    tries: HashMap<u64, Try>,
    /// Transaction numbers of the tries, in the order in which clients sent them.
    order: Vec<u64>,
    /// By transaction number, the last cause that a gateway logged for the try.
    reasons: HashMap<u64, &'a str>,
}

/// Evaluates a recorded run.
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
    /// Counts one violation, and lists it unless [`MAX_LISTED`] are listed already.
    fn add_violation(&mut self, rule: Rule, at_s: f64, what: String) {
        *self.verdict.broken_by.entry(rule).or_default() += 1;
        if self.verdict.broken.len() < MAX_LISTED {
            self.verdict.broken.push(Violation { rule, at_s, what });
        }
    }

    /// Adds violations, given as rule, time in seconds and description, in order of time.
    fn add_violations(&mut self, mut found: Vec<(Rule, f64, String)>) {
        found.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (rule, at, what) in found {
            self.add_violation(rule, at, what);
        }
    }

    /// Returns the seconds by which the test machine, rather than the gateway, may have delayed an event in a span: the
    /// lab's greatest send delay in the run plus the time that processes waited for processors in that span.
    fn machine_delay(&self, gate: usize, from_s: f64, until_s: f64) -> f64 {
        let meter = &self.recording.meter;
        meter.late_ms[2] / 1e3 + meter.run_delays.between(gate, from_s, until_s)
    }

    /// Returns the statistics of the second that holds the time `at`, in seconds, adding empty seconds up to it.
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
