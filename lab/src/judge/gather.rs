//! Groups recorded events by client try, and counts them per second.

use super::{
    Judge, Rule, seconds,
    tries::{Attempt, Try},
};
use crate::record::{Event, GateState, Outcome, Seen};
use std::collections::HashMap;

/// Number of attempts by second of the run and worker.
type AttemptCounts = HashMap<(usize, usize), u64>;

impl Judge<'_> {
    /// Groups the recorded events by client try, counts them per second, and reports violations that a single event
    /// shows: unknown or changed requests, second answers, and gateways that exited on their own.
    pub(super) fn index_events(&mut self) {
        let recording = self.recording;
        let mut attempts = AttemptCounts::new();
        for Seen { at, event } in &recording.seen {
            let at = seconds(*at);
            match event {
                Event::Try { .. } => self.gather_request(at, event),
                Event::Answer { txn, outcome } => self.gather_answer(at, *txn, outcome),
                Event::Attempt { txn, worker, intact, link_delay, .. } => {
                    *attempts.entry((at as usize, *worker)).or_default() += 1;
                    self.gather_attempt(at, at - seconds(*link_delay), *txn, *worker, *intact);
                }
                Event::Ended { txn, worker, how, worked, .. } => {
                    let Some(request) = self.tries.get_mut(txn) else { continue };
                    let open = request.sent.iter_mut().find(|s| s.worker == *worker && s.ended.is_none());
                    if let Some(attempt) = open {
                        attempt.ended = Some((at, *how, *worked));
                    }
                }
                Event::Stranger { gate, worker } => {
                    let what = format!("gateway {gate} sent worker {worker} a request that no client sent");
                    self.add_violation(Rule::Strangers, at, what);
                }
                Event::Probe { .. } => self.second(at).probes += 1,
                Event::Handshake { .. } => self.second(at).handshakes += 1,
                Event::Call { total, .. } => {
                    let second = self.second(at);
                    second.calls += 1;
                    second.busy_calls += u64::from(total.is_none());
                }
                Event::Gate { gate, state: GateState::Exited { wanted: false, status } } => {
                    self.add_violation(
                        Rule::Crash,
                        at,
                        format!("gateway {gate} exited on its own: {status}"),
                    );
                }
                Event::Reason { txn, why, .. } => {
                    self.reasons.insert(*txn, why);
                }
                Event::Gate { .. } | Event::Told { .. } | Event::Worker { .. } | Event::Fault { .. } => {}
            }
        }
        self.count_worst_workers(attempts);
    }

    fn gather_request(&mut self, at: f64, event: &Event) {
        let &Event::Try { txn, first, again, gate, customer, plan, class, remaining } = event else { return };
        let second = self.second(at);
        if again == 0 {
            second.tries += 1;
        } else {
            second.retries += 1;
        }
        let (answer, sent) = (None, Vec::new());
        let request = Try { at, first, again, gate, customer, plan, class, remaining, answer, sent };
        self.tries.insert(txn, request);
        self.order.push(txn);
    }

    fn gather_answer(&mut self, at: f64, txn: u64, outcome: &Outcome) {
        let second = self.second(at);
        match outcome {
            Outcome::Refused { .. } => second.refused += 1,
            Outcome::Failed { .. } | Outcome::Broken | Outcome::CutOff | Outcome::Never => second.failed += 1,
            _ => {}
        }
        let Some(request) = self.tries.get_mut(&txn) else { return };
        if request.answer.is_some() {
            self.add_violation(Rule::Answers, at, format!("{txn:016x} got a second answer"));
        } else {
            request.answer = Some((at, outcome.clone()));
        }
    }

    fn gather_attempt(&mut self, at: f64, left_gateway: f64, txn: u64, worker: usize, intact: bool) {
        let zone = self.recording.header.worker_zones.get(worker).copied().unwrap_or(0);
        if let Some(n) = self.second(at).attempts.get_mut(zone) {
            *n += 1;
        }
        if !intact {
            self.add_violation(
                Rule::Strangers,
                at,
                format!("{txn:016x} reached worker {worker} with changed content"),
            );
        }
        let Some(request) = self.tries.get_mut(&txn) else {
            self.add_violation(Rule::Strangers, at, format!("{txn:016x} was not sent by any client"));
            return;
        };
        request.sent.push(Attempt { at, left_gateway, worker, ended: None });
        if request.sent.len() == 1 {
            self.second(at).sent += 1;
        }
    }

    /// Stores, for each second, the number of attempts at the worker that received the most.
    fn count_worst_workers(&mut self, attempts: AttemptCounts) {
        for ((second, _), n) in attempts {
            let worst = &mut self.verdict.seconds[second].worst_worker;
            *worst = (*worst).max(n);
        }
    }
}
