//! Decides whether the run passed, and lists the reasons if it did not.

use super::{Judge, Verdict};

impl Judge<'_> {
    /// Compares the metrics with the scenario's requirements and returns the verdict.
    pub(super) fn conclude(mut self) -> Verdict {
        let (requirements, meter) = (&self.scenario.must, &self.recording.meter);
        let verdict = &mut self.verdict;
        let mut failed = Vec::new();
        for (rule, n) in &verdict.broken_by {
            let first = verdict.broken.iter().find(|b| b.rule == *rule);
            let first = first.map(|b| format!(", first at {:.2} s: {}", b.at_s, b.what)).unwrap_or_default();
            failed.push(format!("rule {rule} was violated {n} times{first}"));
        }
        let mut at_least = |name: &str, value: f64, bound: f64| {
            if value < bound {
                failed.push(format!("{name} is {value:.3}, must be at least {bound:.3}"));
            }
        };
        at_least("goodput", verdict.goodput, requirements.goodput);
        // Upper bounds.
        for (name, value, bound) in [
            ("the worst second's amplification", verdict.worst_amplification, requirements.amplification),
            ("the share of units beyond quotas", verdict.beyond_share, requirements.beyond),
            (
                "the share of tries refused within quotas",
                verdict.refused_with_room_share,
                requirements.refused_with_room,
            ),
        ] {
            if value > bound {
                failed.push(format!("{name} is {value:.3}, must be at most {bound:.3}"));
            }
        }
        if requirements.recover_s > 0.0 {
            match verdict.recovery.as_ref().map(|r| r.after_s) {
                Some(Some(after)) if after > requirements.recover_s => {
                    failed.push(format!(
                        "the fleet takes {after:.1} s to recover, must be at most {:.1} s",
                        requirements.recover_s
                    ));
                }
                Some(None) => failed.push("the fleet does not recover".to_owned()),
                Some(Some(_)) => {}
                None => failed.push("recovery could not be measured".to_owned()),
            }
        }
        if verdict.requests == 0 {
            failed.push("no request was sent".to_owned());
        }
        verdict.failed = failed;
        verdict.void.clone_from(&meter.void);
        (verdict.late_ms, verdict.rss_mb) = (meter.late_ms, meter.rss_mb);
        verdict.cpu_us = meter.cpu_s * 1e6 / self.tries.len().max(1) as f64;
        let end = self.scenario.length_s.ceil() as usize + 1;
        verdict.seconds.truncate(end);
        self.verdict
    }
}
