//! Validates a parsed scenario: ranges of values, and consistency between them.

use super::{
    ClassSpec, Disk, Fault, FaultKind, MAX_GATEWAYS, MAX_WORKERS, Peers, PlanSpec, Problem, Scenario,
    Selection,
};

/// Greatest length of the name of a class or plan, in bytes.
const LONGEST_NAME: usize = 40;

/// Problems found so far, in order of detection.
#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn add(&mut self, key: &str, why: &str) {
        self.0.push(Problem { key: key.to_owned(), why: why.to_owned() });
    }
}

impl Scenario {
    /// Returns all invalid or inconsistent values.
    pub(super) fn check(&self) -> Vec<Problem> {
        let mut problems = Problems::default();
        self.check_play(&mut problems);
        self.check_ranges(&mut problems);
        self.check_classes_and_plans(&mut problems);
        self.check_load_steps(&mut problems);
        self.check_faults(&mut problems);
        self.check_requirements(&mut problems);
        problems.0
    }

    /// Checks length, seeds, lead-in, and the number of gateways, workers and zones.
    fn check_play(&self, problems: &mut Problems) {
        let w = &self.world;
        if !(1.0..=3600.0).contains(&self.length_s) {
            problems.add("length_s", "must be from 1 to 3600");
        }
        if self.seeds.is_empty() {
            problems.add("seeds", "is empty");
        }
        if !(0.0..self.length_s).contains(&self.lead_s) {
            problems.add("lead_s", "must be 0 or more and less than length_s");
        }
        if !(2..=MAX_GATEWAYS).contains(&w.gatekeepers) {
            problems.add("world.gatekeepers", &format!("must be from 2 to {MAX_GATEWAYS}"));
        }
        if !(1..=MAX_WORKERS).contains(&w.workers) {
            problems.add("world.workers", &format!("must be from 1 to {MAX_WORKERS}"));
        }
        if w.zones.is_empty() {
            problems.add("world.zones", "is empty");
        }
    }

    /// Checks the numbers that have a minimum and a maximum.
    fn check_ranges(&self, problems: &mut Problems) {
        let w = &self.world;
        let ranges = [
            ("world.cores", w.cores as f64, 1.0, 64.0),
            ("world.speed[0]", w.speed[0], 0.01, w.speed[1]),
            ("world.memory_mb", w.memory_mb as f64, 16.0, 1e5),
            ("world.sockets", w.sockets as f64, 64.0, 1e5),
            ("world.cold_from", w.cold_from, 0.01, 1.0),
            ("world.cold_s", w.cold_s, 0.0, 600.0),
            ("world.fall_multiple", w.fall_multiple, 1.0, 1e3),
            ("world.fall_s", w.fall_s, 0.1, 60.0),
            ("world.back_s", w.back_s, 0.1, 600.0),
            ("world.errors", w.errors, 0.0, 1.0),
            ("world.near_ms", w.near_ms, 0.0, 1e3),
            ("world.answer_bytes", w.answer_bytes as f64, 0.0, 1e6),
            ("world.far_ms", w.far_ms, 0.0, 1e3),
            ("world.max_attempts", f64::from(w.max_attempts), 1.0, 16.0),
            ("counter.calls_per_s", self.counter.calls_per_s, 1.0, 1e6),
            ("counter.parts", self.counter.parts as f64, 1.0, 64.0),
            ("counter.timeout_ms", self.counter.timeout_ms, 1.0, 1e4),
            ("discovery.late_s[0]", self.discovery.late_s[0], 0.0, self.discovery.late_s[1]),
            ("load.use", self.load.utilisation, 0.001, 10.0),
            ("load.skew", self.load.skew, 0.0, 3.0),
            ("load.heavy", self.load.heavy, 0.0, 1.0),
            ("load.whale", self.load.whale, 0.0, 0.9),
            ("load.gate_skew", self.load.gate_skew, 0.0, 3.0),
            ("clients.retries", f64::from(self.clients.retries), 0.0, 20.0),
            ("clients.honour", self.clients.honour, 0.0, 1.0),
            ("clients.patience_ms", self.clients.patience_ms, 0.0, 1e4),
            ("clients.impatient", self.clients.impatient, 0.0, 1.0),
            ("clients.try_share[0]", self.clients.try_share[0], 0.01, self.clients.try_share[1]),
            ("clients.try_share[1]", self.clients.try_share[1], 0.01, 1.0),
        ];
        for (key, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                problems.add(key, &format!("must be from {min} to {max}"));
            }
        }
    }

    fn check_classes_and_plans(&self, problems: &mut Problems) {
        if self.classes.is_empty() {
            problems.add("class", "is empty");
        }
        if self.plans.is_empty() {
            problems.add("plan", "is empty");
        }
        for (i, class) in self.classes.iter().enumerate() {
            self.check_class(i, class, problems);
        }
        for (i, plan) in self.plans.iter().enumerate() {
            self.check_plan(i, plan, problems);
        }
    }

    fn check_class(&self, i: usize, c: &ClassSpec, problems: &mut Problems) {
        let key = |k: &str| format!("class[{i}].{k}");
        if !(c.share > 0.0 && c.share.is_finite()) {
            problems.add(&key("share"), "must be above 0");
        }
        if !(0.1..=60_000.0).contains(&c.work_ms) {
            problems.add(&key("work_ms"), "must be from 0.1 to 60000");
        }
        if !(c.aim_ms > 0.0 && c.aim_ms <= c.deadline_ms && c.deadline_ms <= 60_000.0) {
            problems.add(&key("aim_ms"), "must be above 0 and at most deadline_ms, which is at most 60000");
        }
        if self.classes.iter().take(i).any(|other| other.name == c.name) || !is_valid_name(&c.name) {
            problems.add(&key("name"), "must consist of letters, digits and dashes, and be unique");
        }
    }

    fn check_plan(&self, i: usize, p: &PlanSpec, problems: &mut Problems) {
        let key = |k: &str| format!("plan[{i}].{k}");
        if !(p.share > 0.0 && p.share.is_finite()) {
            problems.add(&key("share"), "must be above 0");
        }
        if !(p.rate > 0.0 && p.rate <= 1e6) {
            problems.add(&key("rate"), "must be above 0");
        }
        if !(p.burst >= 1.0 && p.burst <= 1e6) {
            problems.add(&key("burst"), "must be 1 or more");
        }
        if !(p.usage > 0.0 && p.usage <= 100.0) {
            problems.add(&key("usage"), "must be above 0");
        }
        if !(p.spread[0] > 0.0 && p.spread[0] <= p.spread[1] && p.spread[1] <= 1.0) {
            problems.add(&key("spread"), "must be two shares in ascending order, above 0 and at most 1");
        }
        if p.ceiling_rate > 0.0 && p.ceiling_burst < 1.0 {
            problems.add(&key("ceiling_burst"), "must be 1 or more if ceiling_rate is above 0");
        }
        if self.plans.iter().take(i).any(|other| other.name == p.name) || !is_valid_name(&p.name) {
            problems.add(&key("name"), "must consist of letters, digits and dashes, and be unique");
        }
    }

    fn check_load_steps(&self, problems: &mut Problems) {
        for (i, s) in self.load.step.iter().enumerate() {
            if !(0.0..self.length_s).contains(&s.at_s) {
                problems.add(&format!("load.step[{i}].at_s"), "must be within the run");
            }
            if !(0.0..=100.0).contains(&s.times) {
                problems.add(&format!("load.step[{i}].times"), "must be from 0 to 100");
            }
        }
    }

    fn check_faults(&self, problems: &mut Problems) {
        for (i, fault) in self.faults.iter().enumerate() {
            for (key, why) in self.check_fault(fault) {
                problems.add(&format!("fault[{i}].{key}"), &why);
            }
        }
    }

    fn check_requirements(&self, problems: &mut Problems) {
        if self.must.recover_s > 0.0 && self.fault_span().is_none() {
            problems.add("must.recover_s", "can't be met: no fault ends within the run");
        }
        if self.must.goodput > 1.0 {
            problems.add("must.goodput", "can't be met: it is a share");
        }
    }

    /// Returns the invalid keys of one fault, each with the reason.
    fn check_fault(&self, fault: &Fault) -> Vec<(&'static str, String)> {
        let mut problems = Vec::new();
        if !(0.0..self.length_s).contains(&fault.at_s) {
            problems.push(("at_s", "must be within the run".to_owned()));
        }
        if fault.for_s.is_some_and(|s| !(s > 0.0 && s.is_finite())) {
            problems.push(("for_s", "must be above 0".to_owned()));
        }
        if !(0.0..=1.0).contains(&fault.share) || !(0.0..=1.0).contains(&fault.never) {
            problems.push(("share", "must be from 0 to 1, and so must never".to_owned()));
        }
        if !(0.01..=1000.0).contains(&fault.times) {
            problems.push(("times", "must be from 0.01 to 1000".to_owned()));
        }
        if !(fault.step > 0.0 && fault.step <= 1.0) {
            problems.push(("step", "must be above 0 and at most 1".to_owned()));
        }
        if !(0.0..=60_000.0).contains(&fault.ms) || !(0.0..=60_000.0).contains(&fault.jitter_ms) {
            problems.push(("ms", "must be from 0 to 60000, and so must jitter_ms".to_owned()));
        }
        if fault.what == FaultKind::Throttle && fault.bytes_per_s < 1.0 {
            problems.push(("bytes_per_s", "must be 1 or more".to_owned()));
        }
        if matches!(fault.what, FaultKind::Pause | FaultKind::Roll) && fault.for_s.is_none() {
            problems.push(("for_s", "is required for this kind of fault".to_owned()));
        }
        if fault.disk != Disk::Kept && !self.world.disk {
            problems.push(("disk", "requires world.disk".to_owned()));
        }
        let zones = &self.world.zones;
        for (key, text) in [("gates", &fault.gates), ("workers", &fault.workers)] {
            if let Err(why) = Selection::parse(text, zones) {
                problems.push((key, why.to_string()));
            }
        }
        if let Err(why) = Peers::parse(&fault.peers, zones) {
            problems.push(("peers", why.to_string()));
        }
        problems
    }
}

/// Whether this is a valid name of a class or plan.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= LONGEST_NAME
        && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
}
