//! Trial of a new configuration: compares its share of failed answers with that before the change. Uses no I/O or clock.

use opalrun_gateway::Time;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Longest trial, in seconds; answers are recorded for as long to compare with.
const MAX_TRIAL_S: f64 = 600.0;
/// Number of standard deviations that the difference of the failure ratios has to exceed.
const SIGNIFICANCE: f64 = 3.0;

/// Settings of a trial: `trial` in the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialSettings {
    /// Length of the trial in seconds, and of the period before the change that it is compared with.
    pub length_s: f64,
    /// Largest accepted increase of the failure ratio.
    pub worse_by: f64,
    /// Smallest number of answers in each period for a comparison.
    pub least: u64,
}

impl TrialSettings {
    pub fn is_valid(&self) -> bool {
        self.length_s > 0.0
            && self.length_s <= MAX_TRIAL_S
            && self.worse_by > 0.0
            && self.worse_by < 1.0
            && self.least > 0
    }
}

/// Number of answers, and of failures among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct AnswerCounts {
    pub answers: u64,
    pub failed: u64,
}

impl AnswerCounts {
    /// The share of failures, from 0 to 1.
    fn failure_ratio(self) -> f64 {
        self.failed as f64 / self.answers.max(1) as f64
    }

    /// Variance of the failure ratio. One success and one failure are added, so that the estimate is not 0 when no
    /// failures were seen.
    fn variance(self) -> f64 {
        let (n, failed) = (self.answers as f64 + 2.0, self.failed as f64 + 1.0);
        failed / n * (1.0 - failed / n) / n
    }
}

/// Answers of the last `MAX_TRIAL_S` seconds, as they were counted.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    /// When each count was taken, and the answers since the one before.
    steps: VecDeque<(Time, AnswerCounts)>,
}

impl RecentAnswers {
    pub fn record(&mut self, now: Time, step: AnswerCounts) {
        self.steps.push_back((now, step));
        while self.steps.front().is_some_and(|(at, _)| *at < now - MAX_TRIAL_S) {
            self.steps.pop_front();
        }
    }

    /// Answers of the last `length` seconds.
    pub fn within(&self, now: Time, length: f64) -> AnswerCounts {
        let mut sum = AnswerCounts::default();
        for (_, step) in self.steps.iter().rev().take_while(|(at, _)| *at > now - length) {
            (sum.answers, sum.failed) = (sum.answers + step.answers, sum.failed + step.failed);
        }
        sum
    }
}

/// State of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The trial continues.
    Going,
    /// The trial is over, and no increase of failures was found.
    Passed,
    /// The failure ratio has increased by more than accepted and than chance explains.
    Worse,
}

/// Trial of one version.
#[derive(Debug, Clone, Serialize)]
pub struct Trial {
    /// Number of the version on trial.
    pub version: u64,
    /// When the trial ends.
    pub until: Time,
    /// Answers in the period before the change.
    pub before: AnswerCounts,
    /// Answers since the change.
    pub after: AnswerCounts,
    #[serde(rename = "terms")]
    settings: TrialSettings,
}

impl Trial {
    /// Starts a trial at `now`.
    pub fn start(version: u64, now: Time, settings: TrialSettings, recent: &RecentAnswers) -> Self {
        let before = recent.within(now, settings.length_s);
        Self { version, until: now + settings.length_s, before, after: AnswerCounts::default(), settings }
    }

    /// Adds the answers of the last `step` and judges the trial.
    pub fn record(&mut self, now: Time, step: AnswerCounts) -> Verdict {
        self.after.answers += step.answers;
        self.after.failed += step.failed;
        let (before, after) = (self.before, self.after);
        let enough = before.answers.min(after.answers) >= self.settings.least;
        let increase = after.failure_ratio() - before.failure_ratio();
        let chance = SIGNIFICANCE * (before.variance() + after.variance()).sqrt();
        if enough && increase > self.settings.worse_by.max(chance) {
            Verdict::Worse
        } else if now >= self.until {
            Verdict::Passed
        } else {
            Verdict::Going
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> TrialSettings {
        TrialSettings { length_s: 10.0, worse_by: 0.05, least: 50 }
    }

    fn judge(before: AnswerCounts, after: AnswerCounts) -> Verdict {
        let mut recent = RecentAnswers::default();
        recent.record(99.0, before);
        let mut trial = Trial::start(2, 100.0, settings(), &recent);
        trial.record(101.0, after)
    }

    fn counts(answers: u64, failed: u64) -> AnswerCounts {
        AnswerCounts { answers, failed }
    }

    #[test]
    fn version_fails_only_beyond_bound_and_chance_with_enough_answers() {
        assert_eq!(judge(counts(1000, 10), counts(1000, 100)), Verdict::Worse);
        assert_eq!(judge(counts(1000, 10), counts(1000, 55)), Verdict::Going, "within the bound");
        assert_eq!(
            judge(counts(1000, 400), counts(1000, 400)),
            Verdict::Going,
            "the failure ratio was the same before"
        );
        assert_eq!(
            judge(counts(1000, 10), counts(40, 40)),
            Verdict::Going,
            "too few answers after the change"
        );
        assert_eq!(
            judge(counts(10, 0), counts(1000, 500)),
            Verdict::Going,
            "too few answers before the change"
        );
        assert_eq!(judge(counts(60, 3), counts(60, 8)), Verdict::Going, "the difference may be chance");
    }

    #[test]
    fn trial_ends_in_time_and_compares_with_the_period_before_it() {
        let mut recent = RecentAnswers::default();
        recent.record(10.0, counts(1000, 1000));
        recent.record(95.0, counts(100, 0));
        let mut trial = Trial::start(2, 100.0, settings(), &recent);
        assert_eq!(trial.before, counts(100, 0));
        assert_eq!(trial.record(105.0, counts(30, 0)), Verdict::Going);
        assert_eq!(trial.record(110.0, counts(30, 0)), Verdict::Passed);
        (0..2000).for_each(|i| recent.record(f64::from(i), counts(1, 0)));
        assert!(recent.steps.len() <= MAX_TRIAL_S as usize + 2, "the record of answers is bounded");
    }

    #[test]
    fn settings_out_of_range_are_invalid() {
        assert!(settings().is_valid());
        for (length_s, worse_by, least) in [
            (0.0, 0.1, 1),
            (-1.0, 0.1, 1),
            (f64::NAN, 0.1, 1),
            (1e308, 0.1, 1),
            (1.0, 0.0, 1),
            (1.0, 1.0, 1),
            (1.0, 0.1, 0),
        ] {
            assert!(!TrialSettings { length_s, worse_by, least }.is_valid(), "{length_s} {worse_by} {least}");
        }
    }
}
