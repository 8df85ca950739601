//! Rules DRAIN and CONFIGURATION, and LOST for requests during a planned stop.

use super::{
    Bounds, Rule, Violation,
    index::{Index, Request, Version},
};
use crate::tier::{
    configuration::services_for,
    observation::{MachineEvent, Outcome},
};

/// Time after the grace period of a SIGTERM during which LOST still applies, in milliseconds.
const AFTER_GRACE_MS: u64 = 1000;

pub fn check(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = drains(index, bounds);
    violations.extend(old_versions(index, bounds));
    violations.extend(never_in_force(index));
    violations.extend(answers_to_changes(index));
    violations.extend(reads(index));
    violations.extend(lost_at_stops(index, bounds));
    violations
}

fn drains(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (left_ms, worker, departure) in &index.departures {
        for (id, request) in &index.requests {
            let Some((_, sent)) = request.sent else { continue };
            let late =
                request.runs.iter().find(|r| r.worker == *worker && r.at_ms > left_ms + bounds.drain_ms);
            let reached =
                request.reached.iter().find(|(at, w)| w == worker && *at > left_ms + bounds.drain_ms);
            let (Some(_), Some((at_ms, _))) = (late, reached) else { continue };
            if index.is_undisturbed(&sent.machine, *at_ms, bounds.contact_ms) {
                let description = format!("{id} reached {worker} {} ms after {departure:?}", at_ms - left_ms);
                violations.push(Violation { rule: Rule::Drain, at_ms: *at_ms, description });
            }
        }
    }
    violations
}

/// Returns the configurations that an undisturbed machine may apply to a request sent at a time.
fn may_be_in_force<'a>(index: &'a Index<'a>, at_ms: u64, apply_ms: u64) -> Vec<&'a Version<'a>> {
    let applied = |v: &&Version<'_>| v.acknowledged_ms.is_some_and(|a| a + apply_ms < at_ms);
    let newest = index.versions.iter().filter(applied).map(|v| v.generation).max();
    let current = |v: &&Version<'_>| v.valid && newest.is_none_or(|n| v.generation >= n);
    index.versions.iter().filter(current).collect()
}

fn old_versions(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let handled = |(id, request): (&&str, &Request<'_>)| {
        let (sent_ms, sent) = request.sent?;
        if !index.is_undisturbed(&sent.machine, sent_ms, bounds.contact_ms) {
            return None;
        }
        let versions = may_be_in_force(index, sent_ms, bounds.config_apply_ms);
        let routes = versions.iter().filter_map(|v| services_for(&v.json, &sent.host, &sent.path));
        let routes: Vec<Vec<String>> = routes.collect();
        let report =
            |description: String| Some(Violation { rule: Rule::Configuration, at_ms: sent_ms, description });
        if let Some(run) = request.runs.first()
            && !routes.iter().flatten().any(|s| s == run.service)
        {
            return report(format!("{id} ran at {}, which only an older configuration allows", run.service));
        }
        let refused =
            matches!(request.ended, Some((_, Outcome::Answered { status: 404, signature: None, .. })));
        let always_there = !versions.is_empty() && routes.len() == versions.len();
        if refused && always_there && sent.previous.is_none() {
            return report(format!("{id} was answered 404 although its route exists"));
        }
        None
    };
    index.requests.iter().filter_map(handled).collect()
}

/// Finds runs that only a rejected or invalid configuration allows.
fn never_in_force(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &index.requests {
        for run in &request.runs {
            let allows = |v: &&Version<'_>| {
                services_for(&v.json, run.host, run.path).is_some_and(|s| s.iter().any(|s| s == run.service))
            };
            let allowing: Vec<_> = index.versions.iter().filter(allows).collect();
            let refused = |v: &&&Version<'_>| !v.valid || (400..500).contains(&v.status);
            if !allowing.is_empty() && allowing.iter().all(|v| refused(&v)) {
                let description = format!("{id} ran as only a rejected configuration allows");
                violations.push(Violation { rule: Rule::Configuration, at_ms: run.at_ms, description });
            }
        }
    }
    violations
}

fn answers_to_changes(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let acknowledged: Vec<_> = index.versions.iter().filter(|v| v.acknowledged_ms.is_some()).collect();
    for (i, version) in acknowledged.iter().enumerate() {
        let at_ms = version.acknowledged_ms.unwrap_or(version.sent_ms);
        if !version.valid {
            let description = format!("the invalid configuration {} was acknowledged", version.generation);
            violations.push(Violation { rule: Rule::Configuration, at_ms, description });
        }
        if acknowledged[..i].iter().any(|v| v.generation == version.generation) {
            let description = format!(
                "two different configurations of generation {} were acknowledged",
                version.generation
            );
            violations.push(Violation { rule: Rule::Configuration, at_ms, description });
        }
        let later = acknowledged.iter().any(|v| v.generation > version.generation);
        if !later && (400..500).contains(&version.status) {
            let description =
                format!("generation {} was rejected after it was acknowledged", version.generation);
            violations.push(Violation { rule: Rule::Configuration, at_ms, description });
        }
    }
    violations
}

fn reads(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (at_ms, body) in &index.reads {
        let before = index.versions.iter().filter(|v| v.acknowledged_ms.is_some_and(|a| a <= *at_ms));
        let newest = before.map(|v| v.generation).max().unwrap_or(0);
        let report =
            |description: String| Violation { rule: Rule::Configuration, at_ms: *at_ms, description };
        let Some(body) = body else {
            violations.push(report("no configuration could be read back".to_owned()));
            continue;
        };
        let Ok(read) = serde_json::from_slice::<serde_json::Value>(body) else {
            violations.push(report("the configuration read back is not valid JSON".to_owned()));
            continue;
        };
        let generation = read["generation"].as_u64().unwrap_or(0);
        if generation < newest {
            violations.push(report(format!(
                "read back generation {generation}, older than the acknowledged {newest}"
            )));
        }
        if newest > 0 && !index.versions.iter().any(|v| v.valid && v.json == read) {
            violations.push(report(format!(
                "the configuration read back as generation {generation} was never sent"
            )));
        }
    }
    violations
}

/// Finds requests whose connection ended without a complete response during the planned stop of their gatekeeper.
fn lost_at_stops(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    let terminated = index.machines.iter().filter(|m| m.2 == MachineEvent::Terminated);
    for (stopped_ms, machine, _) in terminated {
        for (id, request) in &index.requests {
            let Some((sent_ms, sent)) = request.sent else { continue };
            let Some((at_ms, outcome)) = request.ended else { continue };
            let is_interrupted = matches!(outcome, Outcome::Closed { .. } | Outcome::Interrupted { .. });
            let was_forwarded = !request.reached.is_empty();
            let to_ms = stopped_ms + bounds.grace_ms + AFTER_GRACE_MS;
            let during = at_ms >= *stopped_ms && at_ms <= to_ms;
            if sent.machine != *machine || !is_interrupted || !was_forwarded || !during {
                continue;
            }
            let by_worker = request.runs.iter().any(|r| r.answer.is_some_and(|a| !a.3))
                || request.reached.iter().any(|(_, w)| index.crashed(w, sent_ms, at_ms));
            if by_worker || unplanned(index, machine, sent_ms, at_ms, bounds) {
                continue;
            }
            let description =
                format!("{id} was interrupted {} ms after SIGTERM of {machine}", at_ms - stopped_ms);
            violations.push(Violation { rule: Rule::Lost, at_ms, description });
        }
    }
    violations
}

/// Whether a machine had an unplanned fault from `contact_ms` before a request was sent until the request ended.
fn unplanned(index: &Index<'_>, machine: &str, sent_ms: u64, ended_ms: u64, bounds: &Bounds) -> bool {
    let from = sent_ms.saturating_sub(bounds.contact_ms);
    let is_unplanned = |e: MachineEvent| {
        matches!(
            e,
            MachineEvent::Killed | MachineEvent::Paused | MachineEvent::Resumed | MachineEvent::DiskLost
        )
    };
    index
        .machines
        .iter()
        .any(|(at, m, e)| *m == machine && is_unplanned(*e) && (from..=ended_ms).contains(at))
}
