//! Checks of client responses: each request gets one in time, with the body that a worker produced.

use super::{Judge, Rule, SLACK_S};
use crate::record::{Ending, Outcome};

impl Judge<'_> {
    /// Reports requests whose response was missing, late or not produced by a worker.
    pub(super) fn check_answers(&mut self) {
        let excused_spans = self.excused_spans();
        let mut found = Vec::new();
        for (txn, tried) in &self.tries {
            let latest = tried.at + tried.remaining + SLACK_S;
            // Requests without an answer at the end of the run count as left by their clients.
            let (at, outcome) = tried.answer.clone().unwrap_or((latest, Outcome::Left));
            let is_excused = excused_spans
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= at && tried.at <= *to));
            // A response that its worker stopped half way can't be completed by the gateway, and the client detects
            // the truncation.
            let is_half_sent = tried.sent.iter().any(|s| matches!(s.ended, Some((_, Ending::HalfWay, _))));
            let late = at - latest - self.machine_delay(tried.gate, tried.at, at);
            let wrong = match outcome {
                Outcome::Never => Some("got no answer".to_owned()),
                Outcome::Broken => Some("lost its connection".to_owned()),
                Outcome::CutOff if !is_half_sent => Some("got a truncated answer".to_owned()),
                Outcome::Left | Outcome::Nobody => None,
                _ if late > 0.0 => {
                    Some(format!("ended {:.0} ms after its time limit", 1e3 * (at - latest + SLACK_S)))
                }
                _ => None,
            };
            if let Some(what) = wrong.filter(|_| !is_excused) {
                found.push((Rule::Answers, at, format!("{txn:016x} at gateway {} {what}", tried.gate)));
            }
            if outcome == (Outcome::Served { genuine: false }) {
                let what = format!("{txn:016x} was served with a body that no worker produced for it");
                found.push((Rule::Genuine, at, what));
            }
        }
        self.add_violations(found);
    }
}
