//! Draws the conclusion: whether the play passed, and why not.

use super::{Judge, Verdict};

impl Judge<'_> {
    /// Compares the figures with what the scenario requires.
    pub(super) fn conclude(mut self) -> Verdict {
        let (must, meter) = (&self.scenario.must, &self.recording.meter);
        let v = &mut self.verdict;
        let mut failed = Vec::new();
        for (rule, n) in &v.broken_by {
            let first = v.broken.iter().find(|b| b.rule == *rule);
            let first = first.map(|b| format!(", first at {:.2} s: {}", b.at_s, b.what)).unwrap_or_default();
            failed.push(format!("the rule on {rule} is broken {n} times{first}"));
        }
        let mut at_least = |name: &str, value: f64, bound: f64| {
            if value < bound {
                failed.push(format!("{name} is {value:.3}, {bound:.3} at least"));
            }
        };
        at_least("goodput", v.goodput, must.goodput);
        // The negative of a most is a least.
        for (name, value, bound) in [
            ("the worst second's amplification", v.worst_amplification, must.amplification),
            ("the share beyond quotas", v.beyond_share, must.beyond),
            ("the share refused with room", v.refused_with_room_share, must.refused_with_room),
        ] {
            if value > bound {
                failed.push(format!("{name} is {value:.3}, {bound:.3} at most"));
            }
        }
        if must.recover_s > 0.0 {
            match v.recovery.as_ref().map(|r| r.after_s) {
                Some(Some(after)) if after > must.recover_s => {
                    failed.push(format!("it takes {after:.1} s to recover, {:.1} s at most", must.recover_s));
                }
                Some(None) => failed.push("it does not recover".to_owned()),
                Some(Some(_)) => {}
                None => failed.push("nothing could be seen of its recovery".to_owned()),
            }
        }
        if v.requests == 0 {
            failed.push("no request was sent".to_owned());
        }
        v.failed = failed;
        v.void.clone_from(&meter.void);
        (v.late_ms, v.rss_mb) = (meter.late_ms, meter.rss_mb);
        v.cpu_us = meter.cpu_s * 1e6 / self.tries.len().max(1) as f64;
        let end = self.scenario.length_s.ceil() as usize + 1;
        v.seconds.truncate(end);
        self.verdict
    }
}
