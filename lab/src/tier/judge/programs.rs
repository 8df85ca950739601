//! Rules BUDGET, for the budgets of programs, and LOST, for stored turns that are reported as not found.

use super::{Bounds, Rule, Violation, index::Index};
use crate::tier::observation::Outcome;
use std::collections::BTreeMap;

/// Token usage of a program.
struct Units {
    budget: u64,
    max_output_tokens: u64,
    received: u64,
    last_ms: u64,
}

pub fn check(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = budgets(index);
    violations.extend(lost_turns(index, bounds));
    violations
}

fn budgets(index: &Index<'_>) -> Vec<Violation> {
    let mut programs: BTreeMap<&str, Units> = BTreeMap::new();
    for request in index.requests.values() {
        let Some((sent_ms, sent)) = request.sent else { continue };
        let Some(program) = &sent.program else { continue };
        let Some(budget) = program.budget else { continue };
        let none = Units { budget, max_output_tokens: 0, received: 0, last_ms: 0 };
        let units = programs.entry(&program.name).or_insert(none);
        units.max_output_tokens = units.max_output_tokens.max(program.max_output_tokens);
        units.received += request.received.len() as u64 * program.chunk_tokens;
        units.last_ms = units.last_ms.max(request.ended.map_or(sent_ms, |e| e.0));
    }
    let beyond = programs.iter().filter(|(_, u)| u.received > u.budget + u.max_output_tokens);
    let report = |(name, u): (&&str, &Units)| Violation {
        rule: Rule::Budget,
        at_ms: u.last_ms,
        description: format!(
            "program {name} received {} tokens with a budget of {} (+ {})",
            u.received, u.budget, u.max_output_tokens
        ),
    };
    beyond.map(report).collect()
}

/// A turn that was answered 402 although its program's budget sufficed for it. Reported, but not a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrematureRefusal {
    pub at_ms: u64,
    pub program: String,
    /// Upper bound of the tokens that the program had spent by then.
    pub spent: u64,
    pub max_output_tokens: u64,
    pub budget: u64,
}

/// Returns all premature refusals. A turn counts with its maximum output until `settle_ms` after it succeeded or was
/// rejected without having run; one that ended otherwise always does.
pub fn premature_refusals(index: &Index<'_>, settle_ms: u64) -> Vec<PrematureRefusal> {
    let mut stops = Vec::new();
    for request in index.requests.values() {
        let Some((at_ms, Outcome::Answered { status: 402, .. })) = request.ended else { continue };
        let Some(program) = request.sent.and_then(|(_, sent)| sent.program.as_ref()) else { continue };
        let Some(budget) = program.budget else { continue };
        let spent = spent_by(index, &program.name, at_ms, settle_ms);
        if spent + program.max_output_tokens <= budget {
            let (program, max_output_tokens) = (program.name.clone(), program.max_output_tokens);
            stops.push(PrematureRefusal { at_ms, program, spent, max_output_tokens, budget });
        }
    }
    stops
}

/// Returns an upper bound of the tokens that a program had spent by a time.
fn spent_by(index: &Index<'_>, name: &str, at_ms: u64, settle_ms: u64) -> u64 {
    let mut spent = 0;
    for request in index.requests.values() {
        let Some((sent_ms, first_try)) = request.sent else { continue };
        let Some(program) = first_try.program.as_ref().filter(|p| p.name == name && p.budget.is_some())
        else {
            continue;
        };
        if sent_ms > at_ms {
            continue;
        }
        let ended_before = request.ended.filter(|(ended_ms, _)| ended_ms + settle_ms <= at_ms);
        spent += match ended_before {
            Some((_, Outcome::Answered { status: 200..=299, .. })) => {
                request.received.len() as u64 * program.chunk_tokens
            }
            Some((_, Outcome::Answered { status: 400..=499 | 503, .. })) => 0,
            // The refused turn itself is not counted.
            None if matches!(request.ended, Some((_, Outcome::Answered { status: 402, .. }))) => 0,
            _ => program.max_output_tokens,
        };
    }
    spent
}

/// Finds turns answered 404 or 410 although the turn that they continue succeeded less than the retention time ago.
fn lost_turns(index: &Index<'_>, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &index.requests {
        let Some((at_ms, Outcome::Answered { status: status @ (404 | 410), .. })) = request.ended else {
            continue;
        };
        let Some(previous) = request.sent.and_then(|(_, sent)| sent.previous.as_deref()) else { continue };
        let Some(previous_turn) = index.requests.get(previous) else { continue };
        let Some((ended_ms, outcome)) = previous_turn.ended else { continue };
        if outcome.is_success() && at_ms < ended_ms + bounds.retention_ms {
            let description = format!(
                "{id} was answered {status} although the turn {previous} that it continues is still retained"
            );
            violations.push(Violation { rule: Rule::Lost, at_ms, description });
        }
    }
    violations
}
