//! Rules on answers: each request gets one in time, and what is served is genuine.

use super::{Judge, Rule, SLACK_S};
use crate::record::{Ending, Outcome};

impl Judge<'_> {
    /// Finds requests whose answer was missing, late or made up.
    pub(super) fn check_answers(&mut self) {
        let excused_spans = self.excused_spans();
        let mut found = Vec::new();
        for (txn, tried) in &self.tries {
            let by = tried.at + tried.remaining + SLACK_S;
            // The play's end took what was not answered by then.
            let (at, outcome) = tried.answer.clone().unwrap_or((by, Outcome::Left));
            let is_excused = excused_spans
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= at && tried.at <= *to));
            // What a worker has begun and not gone on with can't be finished by anybody, and its client can tell.
            let half = tried.sent.iter().any(|s| matches!(s.ended, Some((_, Ending::HalfWay, _))));
            let late = at - by - self.machine_delay(tried.gate, tried.at, at);
            let wrong = match outcome {
                Outcome::Never => Some("got no answer".to_owned()),
                Outcome::Broken => Some("lost its connection".to_owned()),
                Outcome::CutOff if !half => Some("was cut off".to_owned()),
                Outcome::Left | Outcome::Nobody => None,
                _ if late > 0.0 => {
                    Some(format!("had its end {:.0} ms after its time", 1e3 * (at - by + SLACK_S)))
                }
                _ => None,
            };
            if let Some(what) = wrong.filter(|_| !is_excused) {
                found.push((Rule::Answers, at, format!("{txn:016x} at gateway {} {what}", tried.gate)));
            }
            if outcome == (Outcome::Served { genuine: false }) {
                let what = format!("{txn:016x} was served with what nobody made for it");
                found.push((Rule::Genuine, at, what));
            }
        }
        self.add_violations(found);
    }
}
