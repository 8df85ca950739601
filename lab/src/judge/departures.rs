//! The rule on clients that have left: what waited for its first attempt then is not sent on.

use super::{Judge, Rule};
use crate::record::Outcome;

/// What waited when its client left may be sent on for so long after.
const CANCELLATION_ALLOWANCE_S: f64 = 0.3;
/// Share of those that may be sent on later, where there are so many of them at least.
const MAX_SENT_AFTER_DEPARTURE: (f64, usize) = (0.25, 5);

impl Judge<'_> {
    /// Sends for clients that have left.
    pub(super) fn check_departures(&mut self) {
        let spans = self.excused_spans();
        let (mut waited, mut sent) = (0, Vec::new());
        for (txn, tried) in &self.tries {
            let Some((left, Outcome::Left)) = tried.answer else { continue };
            let first = tried.sent.first().map_or(f64::INFINITY, |attempt| attempt.left_gateway);
            // A gateway that the lab has cut off from its clients, stopped or killed can't know.
            let is_excused = spans
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= left && left <= *to));
            if first <= left || is_excused {
                continue;
            }
            waited += 1;
            if first.is_finite()
                && first > left + CANCELLATION_ALLOWANCE_S + self.machine_delay(tried.gate, left, first)
            {
                sent.push((first, *txn));
            }
        }
        self.verdict.gone = [waited as u64, sent.len() as u64];
        let (share, least) = MAX_SENT_AFTER_DEPARTURE;
        if waited >= least && sent.len() as f64 > share * waited as f64 {
            let found =
                |(at, txn)| (Rule::Gone, at, format!("{txn:016x} was sent on after its client had left"));
            self.add_violations(sent.into_iter().map(found).collect());
        }
    }
}
