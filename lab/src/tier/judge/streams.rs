//! Rule ORDER: the events that a client receives are those of one run, in order and complete if the response is. On
//! resumable routes they may come from several runs.

use super::{
    Rule, Violation,
    index::{Index, Request, Run},
};
use crate::tier::observation::RouteKind;

pub fn check(index: &Index<'_>) -> Vec<Violation> {
    index.requests.iter().filter_map(|(id, request)| stream(id, request)).collect()
}

fn stream(id: &str, request: &Request<'_>) -> Option<Violation> {
    let RouteKind::Streaming { resumable } = request.kind() else { return None };
    let (at_ms, outcome) = request.ended?;
    let report = |description: String| Some(Violation { rule: Rule::Order, at_ms, description });
    for pair in request.received.windows(2) {
        if pair[1].id != pair[0].id + 1 {
            return report(format!("{id}: event {} follows event {}", pair[1].id, pair[0].id));
        }
    }
    let ended_complete = outcome.is_success();
    if resumable {
        let unknown = request.received.iter().find(|e| !request.runs.iter().any(|r| r.events.contains(e)));
        if let Some(event) = unknown {
            return report(format!("{id}: no worker produced its event {}", event.id));
        }
        let ended = |r: &Run<'_>| r.answer.is_some_and(|a| a.3) && r.events.last() == request.received.last();
        let complete = request.runs.iter().any(ended);
        return if ended_complete && !complete {
            report(format!("{id}: the stream ended as complete but is not"))
        } else {
            None
        };
    }
    let of_one = |r: &&Run<'_>| r.events.starts_with(&request.received);
    let Some(run) = request.runs.iter().find(of_one) else {
        return if request.received.is_empty() {
            None
        } else {
            report(format!("{id}: the events do not belong to a single run"))
        };
    };
    let complete = run.events.len() == request.received.len() && run.answer.is_some_and(|a| a.3);
    if ended_complete && !complete {
        report(format!("{id}: the stream ended as complete but is not"))
    } else {
        None
    }
}
