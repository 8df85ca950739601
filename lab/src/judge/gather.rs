//! Sorts a recording by request, and counts it by second.

use super::{
    Judge, Rule, seconds,
    tries::{Attempt, Try},
};
use crate::record::{Event, GateState, Outcome, Seen};
use std::collections::HashMap;

impl Judge<'_> {
    /// Sorts what was seen by request, and counts it by second.
    pub(super) fn gather(&mut self) {
        let recording = self.recording;
        let mut worst: HashMap<(usize, usize), u64> = HashMap::new();
        for Seen { at, event } in &recording.seen {
            let at = seconds(*at);
            match event {
                Event::Try { txn, first, again, gate, customer, plan, class, remaining } => {
                    let second = self.second(at);
                    if *again == 0 {
                        second.tries += 1
                    } else {
                        second.retries += 1
                    }
                    let tried = Try {
                        at,
                        first: *first,
                        again: *again,
                        gate: *gate,
                        customer: *customer,
                        plan: *plan,
                        class: *class,
                        remaining: *remaining,
                        answer: None,
                        sent: Vec::new(),
                    };
                    self.tries.insert(*txn, tried);
                    self.order.push(*txn);
                }
                Event::Answer { txn, outcome } => {
                    let second = self.second(at);
                    match outcome {
                        Outcome::Refused { .. } => second.refused += 1,
                        Outcome::Failed { .. } | Outcome::Broken | Outcome::CutOff | Outcome::Never => {
                            second.failed += 1;
                        }
                        _ => {}
                    }
                    let Some(tried) = self.tries.get_mut(txn) else { continue };
                    if tried.answer.is_some() {
                        self.broken(Rule::Answers, at, format!("{txn:016x} has a second answer"));
                    } else {
                        tried.answer = Some((at, outcome.clone()));
                    }
                }
                Event::Attempt { txn, worker, intact, .. } => {
                    let zone = recording.header.worker_zones.get(*worker).copied().unwrap_or(0);
                    let second = self.second(at);
                    if let Some(n) = second.attempts.get_mut(zone) {
                        *n += 1;
                    }
                    *worst.entry((at as usize, *worker)).or_default() += 1;
                    if !intact {
                        self.broken(
                            Rule::Strangers,
                            at,
                            format!("{txn:016x} came to worker {worker} changed"),
                        );
                    }
                    let Some(tried) = self.tries.get_mut(txn) else {
                        self.broken(Rule::Strangers, at, format!("{txn:016x} was never sent"));
                        continue;
                    };
                    tried.sent.push(Attempt { at, worker: *worker, ended: None });
                    if tried.sent.len() == 1 {
                        self.second(at).sent += 1;
                    }
                }
                Event::Ended { txn, worker, how, worked, .. } => {
                    let Some(tried) = self.tries.get_mut(txn) else { continue };
                    let open = tried.sent.iter_mut().find(|s| s.worker == *worker && s.ended.is_none());
                    open.into_iter().for_each(|s| s.ended = Some((at, *how, *worked)));
                }
                Event::Stranger { gate, worker } => {
                    self.broken(
                        Rule::Strangers,
                        at,
                        format!("gateway {gate} sent worker {worker} what no client sent"),
                    );
                }
                Event::Probe { .. } => self.second(at).probes += 1,
                Event::Handshake { .. } => self.second(at).handshakes += 1,
                Event::Call { total, .. } => {
                    let second = self.second(at);
                    second.calls += 1;
                    second.busy_calls += u64::from(total.is_none());
                }
                Event::Gate { gate, state: GateState::Exited { wanted: false, status } } => {
                    self.broken(Rule::Crash, at, format!("gateway {gate} ended: {status}"));
                }
                Event::Reason { txn, why, .. } => {
                    self.reasons.insert(*txn, why);
                }
                Event::Gate { .. } | Event::Told { .. } | Event::Worker { .. } | Event::Fault { .. } => {}
            }
        }
        for ((second, _), n) in worst {
            let worst = &mut self.verdict.seconds[second].worst_worker;
            *worst = (*worst).max(n);
        }
    }
}
