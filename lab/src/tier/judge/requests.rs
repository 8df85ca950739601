//! Rules on single requests: MIXED, UNASKED, TWICE, REFUSED, BUDGET for attempts, ROUTE, and DENIED.

use super::{
    Rule, Violation,
    index::{Index, Request, Run},
};
use crate::tier::{
    configuration::services_for,
    observation::{Outcome, RouteKind},
};
use std::collections::BTreeSet;

/// Number of requests with more attempts than their route allows that is tolerated.
const ATTEMPTS_ALLOWANCE: usize = 3;
/// Number of valid requests that may be denied, in addition to one in [`DENIED_ONE_IN`].
const DENIED_ALLOWANCE: usize = 5;
const DENIED_ONE_IN: usize = 500;
/// Maximum number of turns of a conversation that are followed back.
const MAX_CHAIN_TURNS: usize = 1000;

pub fn check(index: &Index<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let (mut excess_attempts, mut denials) = (Vec::new(), Vec::new());
    for (id, request) in &index.requests {
        violations.extend(unasked(index, id, request));
        violations.extend(twice(id, request));
        violations.extend(refused(id, request));
        violations.extend(mixed(id, request));
        violations.extend(route(index, id, request));
        excess_attempts.extend(attempts(index, id, request));
        denials.extend(denied(index, id, request));
    }
    if denials.len() > DENIED_ALLOWANCE + index.requests.len() / DENIED_ONE_IN {
        violations.extend(denials);
    }
    if excess_attempts.len() > ATTEMPTS_ALLOWANCE {
        violations.extend(excess_attempts);
    }
    violations
}

fn unasked(index: &Index<'_>, id: &str, request: &Request<'_>) -> Option<Violation> {
    let run = request.runs.first()?;
    let report = |description: String| Some(Violation { rule: Rule::Unasked, at_ms: run.at_ms, description });
    let Some((_, sent)) = request.sent else {
        return report(format!("{id} ran at {} although no client sent it", run.worker));
    };
    let chain = match &sent.previous {
        None => Some(Vec::new()),
        Some(previous) => chain_of(index, previous),
    };
    let Some(mut expected) = chain else {
        return report(format!("{id} ran although the turn that it continues does not exist"));
    };
    expected.extend_from_slice(&sent.body);
    for run in &request.runs {
        let asked = (sent.method.as_str(), sent.host.as_str(), sent.path.as_str());
        if (run.method, run.host, run.path) != asked {
            return report(format!("{id} ran as {} {}{}, not as {asked:?}", run.method, run.host, run.path));
        }
        if run.body != expected {
            let (got, want) = (run.body.len(), expected.len());
            return report(format!(
                "{id} ran with a body of {got} bytes that differs from the expected {want} bytes"
            ));
        }
    }
    None
}

/// Returns the inputs and outputs of a turn and all turns before it, oldest first; `None`: one of them did not succeed.
fn chain_of(index: &Index<'_>, turn: &str) -> Option<Vec<u8>> {
    let mut turns = Vec::new();
    let mut at = Some(turn);
    while let Some(id) = at {
        let request = index.requests.get(id)?;
        let (_, sent) = request.sent?;
        if !request.ended.is_some_and(|(_, outcome)| outcome.is_success()) {
            return None;
        }
        let mut turn_bytes = sent.body.clone();
        for event in &request.received {
            turn_bytes.extend_from_slice(&event.data);
            turn_bytes.push(b'\n');
        }
        turns.push(turn_bytes);
        if turns.len() > MAX_CHAIN_TURNS {
            return None;
        }
        at = sent.previous.as_deref();
    }
    Some(turns.into_iter().rev().flatten().collect())
}

fn twice(id: &str, request: &Request<'_>) -> Option<Violation> {
    let second = request.runs.get(1)?;
    if request.kind().is_idempotent() {
        return None;
    }
    let description = format!("{id} ran {} times but may run only once", request.runs.len());
    Some(Violation { rule: Rule::Twice, at_ms: second.at_ms, description })
}

fn refused(id: &str, request: &Request<'_>) -> Option<Violation> {
    let (_, sent) = request.sent?;
    let (at_ms, Outcome::Answered { status, .. }) = request.ended? else { return None };
    let promised = match status {
        402 => true,
        408 | 421 | 429 | 503 => !sent.kind.is_idempotent(),
        _ => false,
    };
    if !promised {
        return None;
    }
    let run = request.runs.first()?;
    let description = format!("{id} was answered {status} although it ran at {}", run.worker);
    Some(Violation { rule: Rule::Refused, at_ms, description })
}

fn mixed(id: &str, request: &Request<'_>) -> Option<Violation> {
    let (at_ms, outcome) = request.ended?;
    let report = |description: String| Some(Violation { rule: Rule::Mixed, at_ms, description });
    match outcome {
        Outcome::Answered { status, signature, body, .. } => {
            let success = (200..300).contains(status);
            let Some(signature) = signature.as_deref() else {
                return if success {
                    report(format!("{id}: successful response without a worker's signature"))
                } else {
                    None
                };
            };
            if !made_by_worker(request, *status, signature) {
                return report(format!(
                    "{id}: status {status} with a signature that no worker gave to such a response"
                ));
            }
            if success && !matches!(request.kind(), RouteKind::Streaming { .. }) {
                let is_complete_answer =
                    |r: &Run<'_>| r.answer.is_some_and(|a| a.1 == signature && a.2 == body && a.3);
                if !request.runs.iter().any(is_complete_answer) {
                    return report(format!("{id}: the body differs from the one that the worker sent"));
                }
            }
            None
        }
        Outcome::Malformed if !request.runs.iter().any(|r| r.answer.is_none_or(|a| !a.3)) => {
            report(format!("{id}: the client received bytes that are not a valid response"))
        }
        _ => None,
    }
}

fn made_by_worker(request: &Request<'_>, status: u16, signature: &str) -> bool {
    let of_runs = request.runs.iter().filter_map(|r| r.answer.map(|a| (a.0, a.1)));
    let mut all = of_runs.chain(request.heads.iter().copied());
    all.any(|made| made == (status, signature))
}

fn route(index: &Index<'_>, id: &str, request: &Request<'_>) -> Option<Violation> {
    let stray = request.runs.iter().find(|run| {
        let allowed = |v: &super::index::Version<'_>| {
            services_for(&v.json, run.host, run.path).is_some_and(|s| s.iter().any(|s| s == run.service))
        };
        !index.versions.iter().any(allowed)
    })?;
    let description = format!("{id} ran at the service {}, which no configuration allows", stray.service);
    Some(Violation { rule: Rule::Route, at_ms: stray.at_ms, description })
}

fn attempts(index: &Index<'_>, id: &str, request: &Request<'_>) -> Option<Violation> {
    let (sent_ms, sent) = request.sent?;
    let last = request.runs.last()?;
    let lived = request.runs.iter().filter(|r| !index.crashed(r.worker, sent_ms, last.at_ms));
    let workers: BTreeSet<&str> = lived.map(|r| r.worker).collect();
    if workers.len() <= sent.max_attempts {
        return None;
    }
    let description = format!("{id} ran at {} workers with {} allowed", workers.len(), sent.max_attempts);
    Some(Violation { rule: Rule::Budget, at_ms: last.at_ms, description })
}

/// Finds a 3xx or 4xx response of the tier itself to a request that every configuration so far allows. Excludes 402 and
/// turns that are not found, which have their own rules.
fn denied(index: &Index<'_>, id: &str, request: &Request<'_>) -> Option<Violation> {
    let (_, sent) = request.sent?;
    let (at_ms, Outcome::Answered { status, signature: None, .. }) = request.ended? else { return None };
    let own = matches!(status, 300..=399 | 400 | 401 | 403..=407 | 409..=420 | 422..=428 | 430..=499);
    let allowed = index.versions.iter().filter(|v| v.valid);
    let proper = allowed.into_iter().all(|v| services_for(&v.json, &sent.host, &sent.path).is_some());
    if !own || !proper || sent.previous.is_some() {
        return None;
    }
    Some(Violation { rule: Rule::Denied, at_ms, description: format!("{id} was answered {status}") })
}
