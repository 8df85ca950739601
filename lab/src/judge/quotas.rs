//! Quotas and ceilings against exact buckets.

use super::{Causes, Judge, Rule};
use crate::{bucket::Bucket, record::Outcome};
use std::collections::HashMap;

impl Judge<'_> {
    /// Quotas and ceilings against exact buckets, with a cause for each unit that went astray.
    pub(super) fn quotas(&mut self) {
        #[derive(Clone, Copy, PartialEq)]
        enum Step {
            Out,
            Back,
            Refused,
        }
        let plans = &self.scenario.plans;
        let mut steps: Vec<(f64, Step, u64)> = Vec::new();
        for (txn, tried) in &self.tries {
            if let Some(first) = tried.sent.first() {
                steps.push((first.at, Step::Out, *txn));
                let ends = tried.sent.iter().map(|s| s.ended.as_ref().map_or(s.at, |e| e.0));
                steps.push((ends.fold(first.at, f64::max), Step::Back, *txn));
            } else if let Some((at, Outcome::Refused { .. })) = &tried.answer {
                steps.push((*at, Step::Refused, *txn));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
        struct Account {
            quota: Bucket,
            ceiling: Bucket,
            out: u32,
            beyond: u64,
        }
        let mut accounts: HashMap<usize, Account> = HashMap::new();
        let (mut broken, lead) = (Vec::new(), self.scenario.lead_s);
        let (mut beyond_causes, mut refused_causes) = (Causes::new(), Causes::new());
        let (mut half, mut with_room, mut beyond, mut sent) = (0_u64, 0, 0, 0);
        for (at, step, txn) in steps {
            let tried = &self.tries[&txn];
            let plan = &plans[tried.plan];
            let account = accounts.entry(tried.customer).or_insert_with(|| Account {
                quota: Bucket::full(plan.rate, plan.burst),
                ceiling: Bucket::full(plan.ceiling_rate, plan.ceiling_burst),
                out: 0,
                beyond: 0,
            });
            let level = account.quota.refill(at);
            let room = level >= 1.0 && (plan.open == 0 || account.out < plan.open);
            let cause = || self.reasons.get(&txn).copied().unwrap_or("not told").to_owned();
            match step {
                Step::Out => {
                    sent += 1;
                    account.out += 1;
                    if room {
                        account.quota.level -= 1.0;
                    } else {
                        account.beyond += 1;
                        if at >= lead {
                            beyond += 1;
                            let open = if level >= 1.0 { "open cap: " } else { "" };
                            *beyond_causes.entry(format!("{open}{}", cause())).or_default() += 1;
                        }
                    }
                    if plan.ceiling_rate > 0.0 {
                        account.ceiling.refill(at);
                        account.ceiling.level -= 1.0;
                        let slack = plan.slack + 0.15 * plan.ceiling_rate;
                        if account.ceiling.level < -slack {
                            broken.push((
                                Rule::Ceiling,
                                at,
                                format!(
                                    "customer {} is {:.1} units past its ceiling",
                                    tried.customer, -account.ceiling.level
                                ),
                            ));
                        }
                    }
                }
                Step::Back => account.out = account.out.saturating_sub(1),
                Step::Refused if room && at >= lead => {
                    with_room += 1;
                    half += u64::from(level >= plan.burst / 2.0);
                    *refused_causes.entry(cause()).or_default() += 1;
                }
                Step::Refused => {}
            }
        }
        self.tell(broken);
        let tries = self.tries.values().filter(|t| t.at >= lead).count().max(1) as f64;
        let v = &mut self.verdict;
        (v.beyond, v.beyond_share) = (beyond, beyond as f64 / sent.max(1) as f64);
        v.worst_beyond = accounts.values().map(|a| a.beyond).max().unwrap_or(0);
        (v.refused_with_room, v.refused_with_room_share) = (with_room, with_room as f64 / tries);
        v.refused_half_share = half as f64 / tries;
        (v.beyond_causes, v.refused_causes) = (beyond_causes, refused_causes);
        v.sent = sent;
    }
}
