//! What a play was worth, from what the stand-ins saw: rules, quotas, recovery, and why units went astray.

use crate::{
    bucket::Bucket,
    record::{Ending, Event, GateState, Micros, Outcome, Recording, Seen, WorkerState},
    scenario::{Effect, FaultKind, Peers, Scenario},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

/// What sockets and this machine may add to a time limit.
const SLACK_S: f64 = 0.05;
/// A send may have been under way so long before its last byte came.
const UNDER_WAY_S: f64 = 0.1;
/// Seconds over which goodput is compared.
const SPAN_S: f64 = 2.0;
/// Share of the goodput before at which a fleet has recovered.
const RECOVERED: f64 = 0.95;
/// A second with fewer tries sent on says nothing of amplification.
const LEAST_TRIES: u64 = 20;
/// Broken rules that are told one by one.
const TOLD: usize = 20;
/// What a unit sent on beyond its quota costs, of its worth.
const OVERRUN: f64 = 0.8;
/// What waited when its client left may be sent on for so long after.
const GONE_S: f64 = 0.3;
/// Share of those that may be sent on later, where there are so many of them at least.
const GONE_MOST: (f64, usize) = (0.25, 5);
/// A gateway that came back may owe its clients nothing for so long: their connections were reset.
const EXCUSED_S: f64 = 0.3;

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    pub rule: Rule,
    pub at_s: f64,
    pub what: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every request taken gets one final answer in time.
    Answers,
    /// What is served is what a worker made for it.
    Genuine,
    /// Workers get only what a client sent.
    Strangers,
    /// An unsafe request that may have run is never sent again, nor called harmless to repeat.
    Unsafe,
    /// Nor a keyed one, but to those that remember it.
    Keyed,
    /// Nothing new to a worker that drains.
    Drain,
    /// No cold worker falls.
    Cold,
    /// No customer gets past its ceiling.
    Ceiling,
    /// No gateway ends by itself.
    Crash,
    /// What waited for its first attempt when its client left is not sent on.
    Gone,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_lowercase())
    }
}

/// One second of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// First tries of clients, and their further ones.
    pub tries: u64,
    pub retries: u64,
    /// Tries of which an attempt reached a worker, and all attempts, by the workers' zones.
    pub sent: u64,
    pub attempts: Vec<u64>,
    pub probes: u64,
    pub handshakes: u64,
    pub calls: u64,
    pub busy_calls: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth asked for by first tries of this second, and earned by them.
    pub asked: f64,
    pub earned: f64,
    /// Attempts at the worker that got most.
    pub worst_worker: u64,
    /// Core seconds of work for nobody.
    pub wasted_s: f64,
}

/// How requests of one plan or class fared.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fare {
    pub tries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub asked: f64,
    pub earned: f64,
}

/// Units of one kind, by why they came about.
pub type Causes = BTreeMap<String, u64>;

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Recovery {
    /// Goodput before the faults, as a share of what was asked for.
    pub before: f64,
    pub fault_from_s: f64,
    pub fault_to_s: f64,
    /// Seconds from the end of the faults to 95% of that; `None`: it did not recover within the play.
    pub after_s: Option<f64>,
}

/// All that is judged of a play.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Why it failed; empty: it passed.
    pub failed: Vec<String>,
    /// Why it counts for nothing, if so.
    pub void: Option<String>,
    pub broken: Vec<Broken>,
    /// By rule, how often it was broken.
    pub broken_by: BTreeMap<Rule, u64>,
    /// First tries after the lead, and all tries.
    pub requests: u64,
    pub tries: u64,
    /// Worth earned in time over worth asked for; and less what units beyond quotas cost.
    pub goodput: f64,
    pub score: f64,
    pub sent: u64,
    pub attempts: u64,
    /// Attempts a try that was sent on: in all, and in the worst second.
    pub amplification: f64,
    pub worst_amplification: f64,
    /// Units sent on beyond quotas, and what share of those sent on they are.
    pub beyond: u64,
    pub beyond_share: f64,
    /// The most units that one customer had beyond its quota.
    pub worst_beyond: u64,
    /// Refusals while the exact bucket had room, and while it was half full or more; shares of all tries.
    pub refused_with_room: u64,
    pub refused_with_room_share: f64,
    pub refused_half_share: f64,
    pub beyond_causes: Causes,
    pub refused_causes: Causes,
    pub by_plan: Vec<(String, Fare)>,
    pub by_class: Vec<(String, Fare)>,
    /// Milliseconds from the first try to the answer, of what was served: median, 95th and 99th percentile.
    pub latency_ms: [f64; 3],
    /// Share of the workers' work that nobody got an answer from.
    pub wasted: f64,
    /// Requests that waited for their first attempt when their client left, and those of them that were sent on later
    /// than they may be.
    pub gone: [u64; 2],
    pub probes_a_request: f64,
    pub calls_a_try: f64,
    /// Share of the tries refused at each gateway: least and most.
    pub refused_spread: [f64; 2],
    pub recovery: Option<Recovery>,
    pub late_ms: [f64; 3],
    /// Microseconds of the gateways' processors for a try, and the most memory.
    pub cpu_us: f64,
    pub rss_mb: f64,
    pub seconds: Vec<Second>,
}

impl Verdict {
    pub fn passed(&self) -> bool {
        self.failed.is_empty() && self.void.is_none()
    }

    /// The line that a play ends in.
    pub fn line(&self) -> String {
        match (&self.void, self.failed.is_empty()) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, true) => "PASS".to_owned(),
            (None, false) => format!("FAIL: {}", self.failed.join("; ")),
        }
    }
}

/// One attempt at a worker.
struct Sent {
    at: f64,
    worker: usize,
    ended: Option<(f64, Ending, f64)>,
}

impl Sent {
    /// Whether it may have run, as far as could be known at `at`.
    fn may_have_run(&self, at: f64) -> bool {
        !matches!(self.ended, Some((ended, Ending::TurnedAway, _)) if ended <= at)
    }
}

/// One try of a client.
struct Tried {
    at: f64,
    first: u64,
    again: u32,
    gate: usize,
    customer: usize,
    plan: usize,
    class: usize,
    remaining: f64,
    answer: Option<(f64, Outcome)>,
    sent: Vec<Sent>,
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

struct Judge<'a> {
    recording: &'a Recording,
    scenario: &'a Scenario,
    verdict: Verdict,
    tries: HashMap<u64, Tried>,
    /// In the order that they went out.
    order: Vec<u64>,
    /// What a gateway said last of a try.
    reasons: HashMap<u64, &'a str>,
}

/// Judges a play.
pub fn judge(recording: &Recording) -> Verdict {
    let mut judge = Judge {
        recording,
        scenario: &recording.header.scenario,
        verdict: Verdict::default(),
        tries: HashMap::new(),
        order: Vec::new(),
        reasons: HashMap::new(),
    };
    judge.gather();
    judge.answers();
    judge.repeats();
    judge.gone();
    judge.workers();
    judge.quotas();
    judge.worth();
    judge.recovery();
    judge.end()
}

impl<'a> Judge<'a> {
    fn broken(&mut self, rule: Rule, at_s: f64, what: String) {
        *self.verdict.broken_by.entry(rule).or_default() += 1;
        if self.verdict.broken.len() < TOLD {
            self.verdict.broken.push(Broken { rule, at_s, what });
        }
    }

    /// Takes down what was found, in the order that it happened.
    fn tell(&mut self, mut found: Vec<(Rule, f64, String)>) {
        found.sort_by(|a, b| a.1.total_cmp(&b.1));
        found.into_iter().for_each(|(rule, at, what)| self.broken(rule, at, what));
    }

    fn second(&mut self, at: f64) -> &mut Second {
        let zones = self.scenario.world.zones.len();
        let index = at.max(0.0) as usize;
        while self.verdict.seconds.len() <= index {
            self.verdict.seconds.push(Second { attempts: vec![0; zones], ..Second::default() });
        }
        &mut self.verdict.seconds[index]
    }

    /// Sorts what was seen by request, and counts it by second.
    fn gather(&mut self) {
        let recording = self.recording;
        let mut worst: HashMap<(usize, usize), u64> = HashMap::new();
        for Seen { at, event } in &recording.seen {
            let at = seconds(*at);
            match event {
                Event::Try { txn, first, again, gate, customer, plan, class, remaining } => {
                    let second = self.second(at);
                    if *again == 0 {
                        second.tries += 1
                    } else {
                        second.retries += 1
                    }
                    let tried = Tried {
                        at,
                        first: *first,
                        again: *again,
                        gate: *gate,
                        customer: *customer,
                        plan: *plan,
                        class: *class,
                        remaining: *remaining,
                        answer: None,
                        sent: Vec::new(),
                    };
                    self.tries.insert(*txn, tried);
                    self.order.push(*txn);
                }
                Event::Answer { txn, outcome } => {
                    let second = self.second(at);
                    match outcome {
                        Outcome::Refused { .. } => second.refused += 1,
                        Outcome::Failed { .. } | Outcome::Broken | Outcome::CutOff | Outcome::Never => {
                            second.failed += 1;
                        }
                        _ => {}
                    }
                    let Some(tried) = self.tries.get_mut(txn) else { continue };
                    if tried.answer.is_some() {
                        self.broken(Rule::Answers, at, format!("{txn:016x} has a second answer"));
                    } else {
                        tried.answer = Some((at, outcome.clone()));
                    }
                }
                Event::Attempt { txn, worker, intact, .. } => {
                    let zone = recording.header.worker_zones.get(*worker).copied().unwrap_or(0);
                    let second = self.second(at);
                    if let Some(n) = second.attempts.get_mut(zone) {
                        *n += 1;
                    }
                    *worst.entry((at as usize, *worker)).or_default() += 1;
                    if !intact {
                        self.broken(
                            Rule::Strangers,
                            at,
                            format!("{txn:016x} came to worker {worker} changed"),
                        );
                    }
                    let Some(tried) = self.tries.get_mut(txn) else {
                        self.broken(Rule::Strangers, at, format!("{txn:016x} was never sent"));
                        continue;
                    };
                    tried.sent.push(Sent { at, worker: *worker, ended: None });
                    if tried.sent.len() == 1 {
                        self.second(at).sent += 1;
                    }
                }
                Event::Ended { txn, worker, how, worked, .. } => {
                    let Some(tried) = self.tries.get_mut(txn) else { continue };
                    let open = tried.sent.iter_mut().find(|s| s.worker == *worker && s.ended.is_none());
                    open.into_iter().for_each(|s| s.ended = Some((at, *how, *worked)));
                }
                Event::Stranger { gate, worker } => {
                    self.broken(
                        Rule::Strangers,
                        at,
                        format!("gateway {gate} sent worker {worker} what no client sent"),
                    );
                }
                Event::Probe { .. } => self.second(at).probes += 1,
                Event::Handshake { .. } => self.second(at).handshakes += 1,
                Event::Call { total, .. } => {
                    let second = self.second(at);
                    second.calls += 1;
                    second.busy_calls += u64::from(total.is_none());
                }
                Event::Gate { gate, state: GateState::Exited { wanted: false, status } } => {
                    self.broken(Rule::Crash, at, format!("gateway {gate} ended: {status}"));
                }
                Event::Reason { txn, why, .. } => {
                    self.reasons.insert(*txn, why);
                }
                Event::Gate { .. } | Event::Told { .. } | Event::Worker { .. } | Event::Fault { .. } => {}
            }
        }
        for ((second, _), n) in worst {
            let worst = &mut self.verdict.seconds[second].worst_worker;
            *worst = (*worst).max(n);
        }
    }

    /// By gateway, the times for which it owes nothing: killed, paused, or cut off from the front by the lab.
    fn excuses(&self) -> HashMap<usize, Vec<(f64, f64)>> {
        let mut excuses: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
        let mut since: HashMap<usize, f64> = HashMap::new();
        let zones = &self.scenario.world.zones;
        for Seen { at, event } in &self.recording.seen {
            let at = seconds(*at);
            match event {
                Event::Gate { gate, state } => match state {
                    GateState::Killed | GateState::Paused | GateState::Exited { .. } => {
                        since.entry(*gate).or_insert(at);
                    }
                    GateState::Ready | GateState::Continued => {
                        if let Some(from) = since.remove(gate) {
                            excuses.entry(*gate).or_default().push((from, at + EXCUSED_S));
                        }
                    }
                    GateState::Terminated => {}
                },
                Event::Fault { index, on: true, gates, .. } => {
                    let Some(fault) = self.scenario.faults.get(*index) else { continue };
                    let link = matches!(
                        fault.what,
                        FaultKind::Cut
                            | FaultKind::Delay
                            | FaultKind::Lose
                            | FaultKind::Reset
                            | FaultKind::Refuse
                            | FaultKind::HalfOpen
                            | FaultKind::Throttle
                    );
                    let front = matches!(Peers::parse(&fault.peers, zones), Ok(Peers::Front | Peers::All));
                    if link && front {
                        // What the cut held back comes after it has healed.
                        let once = fault.what == FaultKind::Reset;
                        let lasts = if once { 0.0 } else { fault.for_s.unwrap_or(f64::INFINITY) };
                        let until = at + lasts + 1.0;
                        gates.iter().for_each(|g| excuses.entry(*g).or_default().push((at, until)));
                    }
                }
                _ => {}
            }
        }
        since
            .into_iter()
            .for_each(|(gate, from)| excuses.entry(gate).or_default().push((from, f64::INFINITY)));
        excuses
    }

    fn answers(&mut self) {
        let excuses = self.excuses();
        let mut found = Vec::new();
        // What the lab itself ran late at most is not the gateways'.
        let machine = self.recording.meter.late_ms[2] / 1e3;
        for (txn, tried) in &self.tries {
            let by = tried.at + tried.remaining + SLACK_S;
            // The play's end took what was not answered by then.
            let (at, outcome) = tried.answer.clone().unwrap_or((by, Outcome::Left));
            let excused = excuses
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= at && tried.at <= *to));
            // What a worker has begun and not gone on with can't be finished by anybody, and its client can tell.
            let half = tried.sent.iter().any(|s| matches!(s.ended, Some((_, Ending::HalfWay, _))));
            let late = at - by - machine;
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
            if let Some(what) = wrong.filter(|_| !excused) {
                found.push((Rule::Answers, at, format!("{txn:016x} at gateway {} {what}", tried.gate)));
            }
            if outcome == (Outcome::Served { genuine: false }) {
                let what = format!("{txn:016x} was served with what nobody made for it");
                found.push((Rule::Genuine, at, what));
            }
        }
        self.tell(found);
    }

    /// Sends for clients that have left.
    fn gone(&mut self) {
        let excuses = self.excuses();
        let machine = self.recording.meter.late_ms[2] / 1e3;
        let (mut waited, mut sent) = (0, Vec::new());
        for (txn, tried) in &self.tries {
            let Some((left, Outcome::Left)) = tried.answer else { continue };
            let first = tried.sent.first().map_or(f64::INFINITY, |s| s.at);
            // A gateway that the lab has cut off from its clients, stopped or killed can't know.
            let excused = excuses
                .get(&tried.gate)
                .is_some_and(|e| e.iter().any(|(from, to)| *from <= left && left <= *to));
            if first <= left || excused {
                continue;
            }
            waited += 1;
            if first.is_finite() && first > left + GONE_S + machine {
                sent.push((first, *txn));
            }
        }
        self.verdict.gone = [waited as u64, sent.len() as u64];
        let (share, least) = GONE_MOST;
        if waited >= least && sent.len() as f64 > share * waited as f64 {
            let found =
                |(at, txn)| (Rule::Gone, at, format!("{txn:016x} was sent on after its client had left"));
            self.tell(sent.into_iter().map(found).collect());
        }
    }

    /// Sends and refusals after one that may have run.
    fn repeats(&mut self) {
        let mut found = Vec::new();
        let zones = &self.recording.header.worker_zones;
        for (txn, tried) in &self.tries {
            let class = &self.scenario.classes[tried.class];
            if class.effect == Effect::Safe {
                continue;
            }
            for (i, later) in tried.sent.iter().enumerate() {
                for earlier in tried.sent[..i].iter().filter(|s| s.may_have_run(later.at)) {
                    match class.effect {
                        Effect::Unsafe => {
                            found.push((
                                Rule::Unsafe,
                                later.at,
                                format!("{txn:016x} was sent again after it may have run"),
                            ));
                        }
                        _ => {
                            let strange = zones.get(earlier.worker) != zones.get(later.worker);
                            if strange || later.at - earlier.at > class.window_s + SLACK_S {
                                found.push((
                                    Rule::Keyed,
                                    later.at,
                                    format!("{txn:016x} was sent where nobody remembers it"),
                                ));
                            }
                        }
                    }
                }
            }
            if let Some((at, Outcome::Refused { .. })) = &tried.answer
                && tried.sent.iter().any(|s| s.may_have_run(*at))
            {
                let rule = if class.effect == Effect::Unsafe { Rule::Unsafe } else { Rule::Keyed };
                found.push((rule, *at, format!("{txn:016x} was refused though it may have run")));
            }
        }
        self.tell(found);
    }

    /// Drains and cold workers.
    fn workers(&mut self) {
        let world = &self.scenario.world;
        // By gateway and worker, since when it knows that nothing new is wanted; or that it has started.
        let mut unwanted: HashMap<(usize, usize), f64> = HashMap::new();
        let mut knows: HashMap<(usize, usize), f64> = HashMap::new();
        let mut came: HashMap<usize, Vec<(f64, usize)>> = HashMap::new();
        let mut found = Vec::new();
        for Seen { at, event } in &self.recording.seen {
            let at = seconds(*at);
            match event {
                Event::Told { gate, worker, wanted } => {
                    if *wanted {
                        unwanted.remove(&(*gate, *worker));
                        knows.insert((*gate, *worker), at);
                    } else {
                        unwanted.entry((*gate, *worker)).or_insert(at);
                    }
                }
                Event::Attempt { txn, gate, worker, .. } => {
                    came.entry(*worker).or_default().push((at, *gate));
                    let told = unwanted.get(&(*gate, *worker)).copied().unwrap_or(f64::INFINITY);
                    let late = at - told - world.drain_grace_s - SLACK_S - UNDER_WAY_S;
                    if late > 0.0 {
                        found.push((Rule::Drain, at, format!(
                            "gateway {gate} sent {txn:016x} to worker {worker} {late:.2} s after it had to stop"
                        )));
                    }
                }
                Event::Worker { worker, state: WorkerState::Started } => {
                    came.remove(worker);
                    knows.retain(|(_, w), _| w != worker);
                }
                Event::Worker { worker, state: WorkerState::Fell } => {
                    let all = came.get(worker).map_or(&[][..], Vec::as_slice);
                    let window = all.iter().filter(|(t, _)| at - t <= world.fall_s);
                    let (mut told, mut of) = (0, 0);
                    for (t, gate) in window {
                        of += 1;
                        told += usize::from(knows.get(&(*gate, *worker)).is_some_and(|k| k <= t));
                    }
                    // Those that were not told could not know better.
                    if 3 * told >= 2 * of {
                        found.push((Rule::Cold, at, format!("cold worker {worker} fell: {told} of {of} attempts came from gateways that knew")));
                    }
                }
                _ => {}
            }
        }
        self.tell(found);
    }

    /// Quotas and ceilings against exact buckets, with a cause for each unit that went astray.
    fn quotas(&mut self) {
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

    /// Worth, fares, latencies and waste.
    fn worth(&mut self) {
        let scenario = self.scenario;
        let lead = scenario.lead_s;
        let mut plans = vec![Fare::default(); scenario.plans.len()];
        let mut classes = vec![Fare::default(); scenario.classes.len()];
        let mut gates: HashMap<usize, (u64, u64)> = HashMap::new();
        let firsts: HashMap<u64, f64> =
            self.tries.values().filter(|t| t.again == 0).map(|t| (t.first, t.at)).collect();
        let mut latencies = Vec::new();
        let (mut useful, mut work) = (0.0, 0.0);
        let mut marks: Vec<(f64, f64, f64, f64)> = Vec::new();
        for txn in &self.order {
            let tried = &self.tries[txn];
            let Some(first) = firsts.get(&tried.first).copied() else { continue };
            let (class, plan) = (&scenario.classes[tried.class], &scenario.plans[tried.plan]);
            let worth = class.worth * plan.pays;
            let asked = if tried.again == 0 { worth } else { 0.0 };
            let mut earned = 0.0;
            let served = matches!(tried.answer, Some((_, Outcome::Served { genuine: true })));
            if let (true, Some((at, _))) = (served, &tried.answer) {
                let took = at - first;
                let share = if took <= class.aim_ms / 1e3 {
                    1.0
                } else if took <= class.deadline_ms / 1e3 {
                    class.late_worth
                } else {
                    0.0
                };
                earned = worth * share;
                if first >= lead {
                    latencies.push(took * 1e3);
                }
            }
            let worked: f64 = tried.sent.iter().filter_map(|s| s.ended.as_ref()).map(|e| e.2).sum();
            let best = tried.sent.iter().filter_map(|s| s.ended.as_ref()).filter(|e| e.1 == Ending::Served);
            let best = best.map(|e| e.2).fold(0.0, f64::max);
            let good = if earned > 0.0 { best } else { 0.0 };
            marks.push((first, asked, earned, worked - good));
            if first < lead {
                continue;
            }
            useful += good;
            work += worked;
            let refused = matches!(tried.answer, Some((_, Outcome::Refused { .. })));
            let failed = !served && !refused && !matches!(tried.answer, Some((_, Outcome::Left)) | None);
            for fare in [&mut plans[tried.plan], &mut classes[tried.class]] {
                fare.tries += 1;
                fare.served += u64::from(served);
                fare.refused += u64::from(refused);
                fare.failed += u64::from(failed);
                fare.asked += asked;
                fare.earned += earned;
            }
            let at_gate = gates.entry(tried.gate).or_default();
            at_gate.0 += 1;
            at_gate.1 += u64::from(refused);
        }
        for (first, asked, earned, wasted) in marks {
            let second = self.second(first);
            second.asked += asked;
            second.earned += earned;
            second.wasted_s += wasted;
        }
        latencies.sort_by(f64::total_cmp);
        let at = |q: f64| {
            latencies.get(((latencies.len() as f64 * q) as usize).min(latencies.len().saturating_sub(1)))
        };
        let spread: Vec<f64> =
            gates.values().filter(|g| g.0 >= LEAST_TRIES).map(|g| g.1 as f64 / g.0 as f64).collect();
        let v = &mut self.verdict;
        v.latency_ms = [0.5, 0.95, 0.99].map(|q| at(q).copied().unwrap_or(0.0));
        v.wasted = if work > 0.0 { 1.0 - useful / work } else { 0.0 };
        v.refused_spread =
            [spread.iter().copied().fold(1.0, f64::min), spread.iter().copied().fold(0.0, f64::max)];
        let (asked, earned): (f64, f64) =
            plans.iter().fold((0.0, 0.0), |s, f| (s.0 + f.asked, s.1 + f.earned));
        v.goodput = earned / asked.max(1e-9);
        v.by_plan = scenario.plans.iter().map(|p| p.name.clone()).zip(plans).collect();
        v.by_class = scenario.classes.iter().map(|c| c.name.clone()).zip(classes).collect();
        // Each unit beyond costs a share of a mean request's worth.
        let mean = asked / firsts.values().filter(|at| **at >= lead).count().max(1) as f64;
        v.score = (earned - OVERRUN * mean * v.beyond as f64) / asked.max(1e-9);
        v.requests = firsts.values().filter(|at| **at >= lead).count() as u64;
        v.tries = self.tries.values().filter(|t| t.at >= lead).count() as u64;
        v.attempts = self.tries.values().map(|t| t.sent.len() as u64).sum();
        v.amplification = v.attempts as f64 / v.sent.max(1) as f64;
        let end = self.scenario.length_s as usize;
        let loud = v.seconds.iter().take(end).skip(lead as usize).filter(|s| s.sent >= LEAST_TRIES);
        v.worst_amplification =
            loud.map(|s| s.attempts.iter().sum::<u64>() as f64 / s.sent as f64).fold(0.0, f64::max);
        let sum = |f: fn(&Second) -> u64| v.seconds.iter().map(f).sum::<u64>() as f64;
        v.probes_a_request = sum(|s| s.probes) / v.requests.max(1) as f64;
        v.calls_a_try = sum(|s| s.calls) / v.tries.max(1) as f64;
    }

    fn recovery(&mut self) {
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
        while at + SPAN_S <= end {
            if share(at, at + SPAN_S).is_some_and(|s| s >= RECOVERED * before) {
                after_s = Some(at - to);
                break;
            }
            at += 1.0;
        }
        self.verdict.recovery = Some(Recovery { before, fault_from_s: from, fault_to_s: to, after_s });
    }

    fn end(mut self) -> Verdict {
        let (must, meter) = (&self.scenario.must, &self.recording.meter);
        let v = &mut self.verdict;
        let mut failed = Vec::new();
        for (rule, n) in &v.broken_by {
            let first = v.broken.iter().find(|b| b.rule == *rule);
            let first = first.map(|b| format!(", first at {:.2} s: {}", b.at_s, b.what)).unwrap_or_default();
            failed.push(format!("the rule on {rule} is broken {n} times{first}"));
        }
        let mut least = |name: &str, value: f64, bound: f64| {
            if value < bound {
                failed.push(format!("{name} is {value:.3}, {bound:.3} at least"));
            }
        };
        least("goodput", v.goodput, must.goodput);
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

#[cfg(test)]
mod tests;
