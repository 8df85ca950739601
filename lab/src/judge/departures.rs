//! Check of cancelled requests: a request that waits for its first attempt when its client disconnects is not sent to a
//! worker.

use super::{Judge, Rule};
use crate::record::Outcome;

/// Seconds that a gateway may take to notice a disconnected client; attempts sent within them are allowed.
const NOTICE_S: f64 = 0.3;
/// Greatest allowed share of waiting requests that are sent later than that, and the least number of waiting requests
/// for which the share is checked.
const MAX_SENT_AFTER_DEPARTURE: (f64, usize) = (0.25, 5);

impl Judge<'_> {
    /// Counts first attempts sent after their clients disconnected, and reports them if they exceed the allowed share.
    pub(super) fn check_departures(&mut self) {
        let spans = self.excused_spans();
        let (mut waited, mut sent) = (0, Vec::new());
        for (txn, tried) in &self.tries {
            let Some((left, Outcome::Left)) = tried.answer else { continue };
            let first = tried.sent.first().map_or(f64::INFINITY, |attempt| attempt.left_gateway);
            // A gateway that the lab has partitioned from its clients, paused or killed can't notice that they left.
            let is_excused = spans
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= left && left <= *to));
            if first <= left || is_excused {
                continue;
            }
            waited += 1;
            if first.is_finite() && first > left + NOTICE_S + self.machine_delay(tried.gate, left, first) {
                sent.push((first, *txn));
            }
        }
        self.verdict.gone = [waited as u64, sent.len() as u64];
        let (share, least) = MAX_SENT_AFTER_DEPARTURE;
        if waited >= least && sent.len() as f64 > share * waited as f64 {
            let found =
                |(at, txn)| (Rule::Gone, at, format!("{txn:016x} was sent after its client disconnected"));
            self.add_violations(sent.into_iter().map(found).collect());
        }
    }
}
