//! Compares admissions and refusals with exact token buckets for each customer's quota and rate limit.

use super::{Causes, Judge, Rule, tries::Try};
use crate::{bucket::Bucket, record::Outcome, scenario::PlanSpec};
use std::collections::HashMap;

/// Units by which a customer may exceed its rate limit beyond the plan's slack, as seconds of the limit's rate.
const RATE_LIMIT_SLACK_S: f64 = 0.15;

/// An event that changes a customer's account.
#[derive(Clone, Copy, PartialEq)]
enum Step {
    /// The first attempt of a try reached a worker.
    Sent,
    /// The last attempt of a try ended.
    Finished,
    /// A try was refused without any attempt.
    Refused,
}

/// A step of the try `txn`, at a time in seconds.
struct TimedStep {
    at: f64,
    step: Step,
    txn: u64,
}

/// Exact account of one customer.
struct Account {
    quota: Bucket,
    rate_limit: Bucket,
    /// Tries in flight at workers.
    open: u32,
    /// Units admitted beyond the quota.
    beyond: u64,
}

impl Account {
    fn new(plan: &PlanSpec) -> Self {
        Self {
            quota: Bucket::full(plan.rate, plan.burst),
            rate_limit: Bucket::full(plan.ceiling_rate, plan.ceiling_burst),
            open: 0,
            beyond: 0,
        }
    }

    /// Takes a unit from the rate limit's bucket; returns the units beyond the limit if they exceed the slack.
    fn rate_limit_exceeded(&mut self, at: f64, plan: &PlanSpec) -> Option<f64> {
        if plan.ceiling_rate <= 0.0 {
            return None;
        }
        self.rate_limit.refill(at);
        self.rate_limit.level -= 1.0;
        let slack = plan.slack + RATE_LIMIT_SLACK_S * plan.ceiling_rate;
        (self.rate_limit.level < -slack).then_some(-self.rate_limit.level)
    }
}

/// Counts over all customers.
#[derive(Default)]
struct Counts {
    sent: u64,
    beyond: u64,
    refused_with_room: u64,
    refused_half_full: u64,
    beyond_causes: Causes,
    refused_causes: Causes,
    rate_limit_exceeded: Vec<(Rule, f64, String)>,
}

impl Judge<'_> {
    /// Replays all tries against exact buckets: counts units admitted beyond quotas and refusals within quotas, each
    /// with its cause, and reports exceeded rate limits.
    pub(super) fn check_quotas(&mut self) {
        let mut accounts: HashMap<usize, Account> = HashMap::new();
        let mut counts = Counts::default();
        for TimedStep { at, step, txn } in self.quota_steps() {
            let request = &self.tries[&txn];
            let plan = &self.scenario.plans[request.plan];
            let account = accounts.entry(request.customer).or_insert_with(|| Account::new(plan));
            let level = account.quota.refill(at);
            let has_capacity = level >= 1.0 && (plan.open == 0 || account.open < plan.open);
            match step {
                Step::Sent => {
                    counts.sent += 1;
                    account.open += 1;
                    if has_capacity {
                        account.quota.level -= 1.0;
                    } else {
                        account.beyond += 1;
                        self.count_over_quota(&mut counts, at, level, txn);
                    }
                    if let Some(units) = account.rate_limit_exceeded(at, plan) {
                        counts.rate_limit_exceeded.push((
                            Rule::Ceiling,
                            at,
                            rate_limit_exceeded_text(request, units),
                        ));
                    }
                }
                Step::Finished => account.open = account.open.saturating_sub(1),
                Step::Refused if has_capacity && at >= self.scenario.lead_s => {
                    counts.refused_with_room += 1;
                    counts.refused_half_full += u64::from(level >= plan.burst / 2.0);
                    *counts.refused_causes.entry(self.cause(txn)).or_default() += 1;
                }
                Step::Refused => {}
            }
        }
        let worst_beyond = accounts.values().map(|a| a.beyond).max().unwrap_or(0);
        self.take_quota_counts(counts, worst_beyond);
    }

    /// Returns all steps of all tries, in order of time.
    fn quota_steps(&self) -> Vec<TimedStep> {
        let mut steps = Vec::new();
        for (&txn, request) in &self.tries {
            if let Some(first) = request.sent.first() {
                steps.push(TimedStep { at: first.at, step: Step::Sent, txn });
                let ends = request.sent.iter().map(|s| s.ended.as_ref().map_or(s.at, |e| e.0));
                let last = ends.fold(first.at, f64::max);
                steps.push(TimedStep { at: last, step: Step::Finished, txn });
            } else if let Some((at, Outcome::Refused { .. })) = request.answer {
                steps.push(TimedStep { at, step: Step::Refused, txn });
            }
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.txn.cmp(&b.txn)));
        steps
    }

    /// Returns the last cause that a gateway logged for a try.
    fn cause(&self, txn: u64) -> String {
        self.reasons.get(&txn).copied().unwrap_or("not told").to_owned()
    }

    /// Counts a unit admitted beyond its quota, unless that happened in the lead-in.
    fn count_over_quota(&self, counts: &mut Counts, at: f64, level: f64, txn: u64) {
        if at < self.scenario.lead_s {
            return;
        }
        counts.beyond += 1;
        let open = if level >= 1.0 { "open cap: " } else { "" };
        *counts.beyond_causes.entry(format!("{open}{}", self.cause(txn))).or_default() += 1;
    }

    /// Transfers the counts to the verdict.
    fn take_quota_counts(&mut self, counts: Counts, worst_beyond: u64) {
        self.add_violations(counts.rate_limit_exceeded);
        let lead = self.scenario.lead_s;
        let tries = self.tries.values().filter(|t| t.at >= lead).count().max(1) as f64;
        let verdict = &mut self.verdict;
        verdict.sent = counts.sent;
        verdict.beyond = counts.beyond;
        verdict.beyond_share = counts.beyond as f64 / counts.sent.max(1) as f64;
        verdict.worst_beyond = worst_beyond;
        verdict.refused_with_room = counts.refused_with_room;
        verdict.refused_with_room_share = counts.refused_with_room as f64 / tries;
        verdict.refused_half_share = counts.refused_half_full as f64 / tries;
        verdict.beyond_causes = counts.beyond_causes;
        verdict.refused_causes = counts.refused_causes;
    }
}

fn rate_limit_exceeded_text(request: &Try, units: f64) -> String {
    format!("customer {} exceeds its rate limit by {units:.1} units", request.customer)
}
