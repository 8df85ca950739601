//! Checks of repeated execution: a request that may have been executed is sent again only where that is harmless.

use super::{Judge, Rule, SLACK_S};
use crate::{record::Outcome, scenario::Effect};

impl Judge<'_> {
    /// Reports further attempts, and refusals that invite a retry, after an attempt that may have been executed.
    pub(super) fn check_repeats(&mut self) {
        let mut found = Vec::new();
        let zones = &self.recording.header.worker_zones;
        for (txn, tried) in &self.tries {
            let class = &self.scenario.classes[tried.class];
            if class.effect == Effect::Safe {
                continue;
            }
            for (i, later) in tried.sent.iter().enumerate() {
                for earlier in tried.sent[..i].iter().filter(|s| s.may_have_run(later.at)) {
                    if class.effect == Effect::Unsafe {
                        let what =
                            format!("{txn:016x} was sent again after an attempt that may have been executed");
                        found.push((Rule::Unsafe, later.at, what));
                        continue;
                    }
                    let is_elsewhere = zones.get(earlier.worker) != zones.get(later.worker);
                    if is_elsewhere || later.at - earlier.at > class.window_s + SLACK_S {
                        let what = format!("{txn:016x} was sent to a worker that can't detect the duplicate");
                        found.push((Rule::Keyed, later.at, what));
                    }
                }
            }
            if let Some((at, Outcome::Refused { .. })) = &tried.answer
                && tried.sent.iter().any(|s| s.may_have_run(*at))
            {
                let rule = if class.effect == Effect::Unsafe { Rule::Unsafe } else { Rule::Keyed };
                found.push((rule, *at, format!("{txn:016x} was refused though it may have been executed")));
            }
        }
        self.add_violations(found);
    }
}
