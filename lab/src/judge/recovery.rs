//! Measures how long the fleet took to recover after the last fault.

use super::{Judge, Recovery};

/// Length of the window over which goodput after the faults is averaged, in seconds.
const WINDOW_S: f64 = 2.0;
/// Share of the goodput before the faults from which on the fleet counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

impl Judge<'_> {
    /// Finds the first window after the faults whose goodput has recovered to that before them.
    pub(super) fn measure_recovery(&mut self) {
        let Some((from, to)) = self.scenario.fault_span() else { return };
        let (seconds, end) = (&self.verdict.seconds, self.scenario.length_s);
        let share = |from: f64, to: f64| {
            let span = seconds.iter().take(to as usize).skip(from as usize);
            let (asked, earned) = span.fold((0.0, 0.0), |s, x| (s.0 + x.asked, s.1 + x.earned));
            (asked > 0.0).then(|| earned / asked)
        };
        let Some(before) = share(self.scenario.lead_s.min(from - 1.0).max(0.0), from) else { return };
        let mut at = to.ceil();
        let mut after_s = None;
        while at + WINDOW_S <= end {
            if share(at, at + WINDOW_S).is_some_and(|s| s >= RECOVERED_SHARE * before) {
                after_s = Some(at - to);
                break;
            }
            at += 1.0;
        }
        self.verdict.recovery = Some(Recovery { before, fault_from_s: from, fault_to_s: to, after_s });
    }
}
