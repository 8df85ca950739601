use super::*;
use crate::record::{Ending, Event, FORMAT_VERSION, GateState, Header, Meter, Outcome, Seen, WorkerState};
use crate::run_delay::DelaySeries;

const SERVED: Outcome = Outcome::Served { genuine: true };

fn at(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Builds a recording by hand, one event at a time.
struct RecordingBuilder {
    /// TOML text appended to the scenario.
    rest: String,
    seen: Vec<Seen>,
}

impl RecordingBuilder {
    fn new() -> Self {
        Self { rest: String::new(), seen: Vec::new() }
    }

    fn record(&mut self, at_s: f64, event: Event) {
        self.seen.push(Seen { at: at(at_s), event });
    }

    /// Adds a try of `class` by `customer` of `plan` at gateway 0, with a time limit of 1 s.
    fn tries(&mut self, at_s: f64, txn: u64, class: usize, plan: usize, customer: usize) {
        let event = Event::Try { txn, first: txn, again: 0, gate: 0, customer, plan, class, remaining: 1.0 };
        self.record(at_s, event);
    }

    fn sends(&mut self, at_s: f64, txn: u64, worker: usize) {
        self.record(at_s, Event::Attempt { txn, gate: 0, worker, intact: true, link_delay: 0 });
    }

    fn ends(&mut self, at_s: f64, txn: u64, worker: usize, how: Ending) {
        self.record(at_s, Event::Ended { txn, worker, how, queued: 0.0, worked: 0.04 });
    }

    fn answers(&mut self, at_s: f64, txn: u64, outcome: Outcome) {
        self.record(at_s, Event::Answer { txn, outcome });
    }

    /// Adds a complete successful exchange with worker 0.
    fn good(&mut self, at_s: f64, txn: u64, plan: usize, customer: usize) {
        self.tries(at_s, txn, 0, plan, customer);
        self.sends(at_s + 0.01, txn, 0);
        self.ends(at_s + 0.05, txn, 0, Ending::Served);
        self.answers(at_s + 0.06, txn, SERVED);
    }

    fn recording(mut self) -> Recording {
        let text = format!("name = \"x\"\nlength_s = 20\nlead_s = 0\n{}", self.rest);
        let scenario = Scenario::parse(&text).expect("a valid scenario");
        self.seen.sort_by_key(|s| s.at);
        let header = Header {
            form: FORMAT_VERSION,
            seed: 1,
            build: String::new(),
            gate_zones: vec![0; scenario.world.gatekeepers],
            worker_zones: (0..scenario.world.workers).map(|i| i % 2).collect(),
            speeds: vec![1.0; scenario.world.workers],
            rate: 10.0,
            work_ms: 40.0,
            scenario,
        };
        Recording { header, meter: Meter::default(), seen: self.seen }
    }

    fn judged(self) -> Verdict {
        judge(&self.recording())
    }

    /// Returns the rules that the recording violates, each once.
    fn violated_rules(self) -> Vec<Rule> {
        let verdict = self.judged();
        let mut rules: Vec<Rule> = verdict.broken.iter().map(|b| b.rule).collect();
        rules.sort();
        rules.dedup();
        assert_eq!(verdict.passed(), rules.is_empty(), "{}", verdict.line());
        rules
    }
}

const READ: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;

#[test]
fn a_run_without_faults_passes_and_earns_its_full_value() {
    let mut builder = RecordingBuilder::new();
    (0..50).for_each(|i| builder.good(0.3 * i as f64, i, 0, i as usize));
    let verdict = builder.judged();
    assert!(verdict.passed(), "{}", verdict.line());
    assert_eq!((verdict.goodput, verdict.score, verdict.requests), (1.0, 1.0, 50));
    assert_eq!((verdict.beyond, verdict.amplification, verdict.wasted), (0, 1.0, 0.0));
}

#[test]
fn a_run_without_requests_does_not_pass() {
    assert!(!RecordingBuilder::new().judged().passed());
}

#[test]
fn an_attempt_that_left_the_gateway_before_its_client_disconnected_is_allowed_despite_link_delay() {
    let sent_on = |link_delay_s: f64| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.answers(1.1, 1, Outcome::Left);
        // A partitioned link delivers it to the worker at 3 s.
        let link_delay = at(link_delay_s);
        builder.record(3.0, Event::Attempt { txn: 1, gate: 0, worker: 0, intact: true, link_delay });
        builder.judged().gone
    };
    assert_eq!(sent_on(0.0), [1, 1], "it left the gateway at 3 s");
    assert_eq!(sent_on(1.5), [1, 1], "it left the gateway at 1.5 s");
    assert_eq!(sent_on(1.95), [0, 0], "it left the gateway at 1.05 s, before the client disconnected");
}

#[test]
fn attempts_for_disconnected_clients_are_counted_and_more_than_a_quarter_violates_a_rule() {
    // Eight clients disconnect 0.1 s after their requests; `out` of these have an attempt in flight by then, and `sent`
    // further ones are sent to a worker `later` seconds after the disconnection.
    let run = |out: u64, sent: u64, later: f64, state: Option<GateState>| {
        let mut builder = RecordingBuilder::new();
        for i in 0..8 {
            builder.tries(1.0, i, READ, 0, i as usize);
            if i < out {
                builder.sends(1.05, i, 0);
            }
            builder.answers(1.1, i, Outcome::Left);
            if (out..out + sent).contains(&i) {
                builder.sends(1.1 + later, i, 0);
            }
        }
        if let Some(state) = state {
            builder.record(1.0, Event::Gate { gate: 0, state });
        }
        let verdict = builder.judged();
        (verdict.gone, verdict.broken_by.contains_key(&Rule::Gone))
    };
    assert_eq!(run(0, 3, 0.4, None), ([8, 3], true));
    assert_eq!(run(0, 3, 0.2, None), ([8, 0], false), "0.2 s is within the allowance");
    assert_eq!(run(0, 2, 0.4, None), ([8, 2], false), "two of eight are not more than a quarter");
    assert_eq!(
        run(2, 3, 0.4, None),
        ([6, 3], true),
        "a request with an attempt in flight does not count as waiting"
    );
    assert_eq!(run(4, 4, 0.4, None), ([4, 4], false), "four waiting requests are too few for the check");
    assert_eq!(
        run(0, 3, 0.4, Some(GateState::Paused)),
        ([0, 0], false),
        "a paused gateway can't notice the disconnection"
    );
}

#[test]
fn a_request_without_answer_is_a_violation_unless_the_lab_killed_its_gateway() {
    for outcome in [Outcome::Never, Outcome::Broken] {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.answers(2.5, 1, outcome.clone());
        assert_eq!(builder.violated_rules(), [Rule::Answers], "{outcome:?}");
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.record(1.1, Event::Gate { gate: 0, state: GateState::Killed });
        builder.answers(2.5, 1, outcome.clone());
        assert_eq!(builder.violated_rules(), [], "killed by the lab");
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.record(1.1, Event::Gate { gate: 1, state: GateState::Killed });
        builder.answers(2.5, 1, outcome);
        assert_eq!(builder.violated_rules(), [Rule::Answers], "the kill of another gateway excuses nothing");
    }
}

#[test]
fn late_answers_are_violations_and_truncated_ones_unless_the_worker_stopped_half_way() {
    let ends = |at_s: f64, outcome: Outcome, how: Option<Ending>| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.sends(1.01, 1, 0);
        if let Some(how) = how {
            builder.ends(1.1, 1, 0, how);
        }
        builder.answers(at_s, 1, outcome);
        builder.violated_rules()
    };
    let refused = Outcome::Refused { after: 0.1 };
    assert_eq!(ends(2.04, refused.clone(), None), [], "within the allowance for sockets");
    assert_eq!(ends(2.06, refused, None), [Rule::Answers]);
    assert_eq!(ends(2.06, SERVED, Some(Ending::Served)), [Rule::Answers]);
    assert_eq!(ends(1.9, Outcome::CutOff, Some(Ending::HalfWay)), []);
    assert_eq!(ends(2.06, Outcome::CutOff, Some(Ending::HalfWay)), [Rule::Answers]);
    assert_eq!(ends(1.9, Outcome::CutOff, Some(Ending::Served)), [Rule::Answers]);
}

#[test]
fn two_answers_to_one_request_are_a_violation() {
    let mut builder = RecordingBuilder::new();
    builder.good(1.0, 1, 0, 0);
    builder.answers(1.2, 1, SERVED);
    assert_eq!(builder.violated_rules(), [Rule::Answers]);
}

#[test]
fn a_body_that_no_worker_produced_is_a_violation() {
    let mut builder = RecordingBuilder::new();
    builder.tries(1.0, 1, READ, 0, 0);
    builder.answers(1.1, 1, Outcome::Served { genuine: false });
    assert_eq!(builder.violated_rules(), [Rule::Genuine]);
}

#[test]
fn a_request_that_no_client_sent_is_a_violation_at_a_worker() {
    let mut builder = RecordingBuilder::new();
    builder.good(1.0, 1, 0, 0);
    builder.record(2.0, Event::Stranger { gate: 0, worker: 0 });
    assert_eq!(builder.violated_rules(), [Rule::Strangers]);
    let mut builder = RecordingBuilder::new();
    builder.good(1.0, 1, 0, 0);
    builder.record(2.0, Event::Attempt { txn: 9, gate: 0, worker: 0, intact: true, link_delay: 0 });
    assert_eq!(builder.violated_rules(), [Rule::Strangers]);
    let mut builder = RecordingBuilder::new();
    builder.tries(1.0, 1, READ, 0, 0);
    builder.record(1.1, Event::Attempt { txn: 1, gate: 0, worker: 0, intact: false, link_delay: 0 });
    builder.answers(1.2, 1, SERVED);
    assert_eq!(builder.violated_rules(), [Rule::Strangers]);
}

#[test]
fn an_unsafe_request_may_be_sent_again_only_after_a_worker_rejected_it() {
    let builder = |how| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, UNSAFE, 0, 0);
        builder.sends(1.1, 1, 0);
        builder.ends(1.2, 1, 0, how);
        builder.sends(1.3, 1, 1);
        builder.ends(1.4, 1, 1, Ending::Served);
        builder.answers(1.5, 1, SERVED);
        builder
    };
    assert_eq!(builder(Ending::TurnedAway).violated_rules(), []);
    for how in [Ending::Error, Ending::Cancelled { begun: false }, Ending::Died, Ending::Silent] {
        assert_eq!(builder(how).violated_rules(), [Rule::Unsafe], "{how:?}");
    }
}

#[test]
fn a_request_that_may_have_been_executed_may_be_refused_only_if_safe() {
    let builder = |class, how| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, class, 0, 0);
        builder.sends(1.1, 1, 0);
        builder.ends(1.2, 1, 0, how);
        builder.answers(1.3, 1, Outcome::Refused { after: 0.1 });
        builder.violated_rules()
    };
    assert_eq!(builder(UNSAFE, Ending::TurnedAway), []);
    assert_eq!(builder(UNSAFE, Ending::Error), [Rule::Unsafe]);
    assert_eq!(builder(KEYED, Ending::Error), [Rule::Keyed]);
    assert_eq!(builder(READ, Ending::Error), []);
}

#[test]
fn a_keyed_request_is_sent_again_only_to_workers_that_detect_the_duplicate() {
    let builder = |worker, later| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, KEYED, 0, 0);
        builder.sends(1.1, 1, 0);
        builder.ends(1.2, 1, 0, Ending::Error);
        builder.sends(1.1 + later, 1, worker);
        builder.answers(1.2 + later, 1, SERVED);
        builder.violated_rules()
    };
    assert_eq!(builder(2, 0.2), [], "the same zone");
    assert_eq!(builder(1, 0.2), [Rule::Keyed], "another zone");
    assert_eq!(
        builder(2, 4.5),
        [Rule::Answers, Rule::Keyed],
        "after the deduplication window, and after its time limit"
    );
}

#[test]
fn an_attempt_at_a_draining_worker_is_a_violation_after_the_grace_period() {
    let builder = |later| {
        let mut builder = RecordingBuilder::new();
        builder.record(1.0, Event::Told { gate: 0, worker: 0, wanted: false });
        builder.good(1.0 + later, 1, 0, 0);
        builder.violated_rules()
    };
    assert_eq!(builder(0.3), []);
    assert_eq!(builder(1.0), [Rule::Drain]);
    let mut builder = RecordingBuilder::new();
    builder.record(1.0, Event::Told { gate: 0, worker: 0, wanted: false });
    builder.record(1.5, Event::Told { gate: 0, worker: 0, wanted: true });
    builder.good(3.0, 1, 0, 0);
    assert_eq!(builder.violated_rules(), [], "the worker serves again");
}

#[test]
fn overload_during_warm_up_is_a_violation_only_by_gateways_that_knew_of_the_start() {
    let builder = |told: bool| {
        let mut builder = RecordingBuilder::new();
        builder.record(1.0, Event::Worker { worker: 0, state: WorkerState::Started });
        if told {
            builder.record(1.1, Event::Told { gate: 0, worker: 0, wanted: true });
        }
        (0..20).for_each(|i| builder.good(1.2 + 0.01 * i as f64, i, 0, i as usize));
        builder.record(1.5, Event::Worker { worker: 0, state: WorkerState::Fell });
        builder.violated_rules()
    };
    assert_eq!(builder(true), [Rule::Cold]);
    assert_eq!(builder(false), []);
}

#[test]
fn exceeding_the_rate_limit_is_a_violation() {
    // The third plan allows a burst of 48 and 25 a second, with a slack of 4 units plus 150 ms of its rate.
    let builder = |n: u64| {
        let mut builder = RecordingBuilder::new();
        (0..n).for_each(|i| builder.good(1.0 + 1e-4 * i as f64, i, 2, 7));
        builder.violated_rules()
    };
    assert_eq!(builder(50), []);
    assert_eq!(builder(60), [Rule::Ceiling]);
}

#[test]
fn a_gateway_that_exits_on_its_own_is_a_violation() {
    let builder = |wanted| {
        let mut builder = RecordingBuilder::new();
        builder.good(1.0, 1, 0, 0);
        builder.record(2.0, Event::Gate { gate: 0, state: GateState::Exited { wanted, status: "1".into() } });
        builder.violated_rules()
    };
    assert_eq!(builder(false), [Rule::Crash]);
    assert_eq!(builder(true), []);
}

#[test]
fn units_beyond_quota_and_refusals_within_quota_are_counted_with_their_causes() {
    let mut builder = RecordingBuilder::new();
    // The first plan allows a burst of 3 and 0.8 a second: of six at once, three are beyond the quota.
    (0..6).for_each(|i| builder.good(1.0 + 1e-3 * i as f64, i, 0, 7));
    (3..6).for_each(|i| {
        let why = if i < 5 { "even share" } else { "late answer" };
        builder.record(1.0, Event::Reason { gate: 0, txn: i, what: "sent".into(), why: why.into() });
    });
    // Customer 7 is refused with an empty bucket, customer 8 with a full one.
    for (txn, at_s, customer) in [(10, 1.1, 7), (11, 1.1, 8)] {
        builder.tries(at_s, txn, READ, 0, customer);
        builder.answers(at_s + 0.001, txn, Outcome::Refused { after: 0.5 });
    }
    let verdict = builder.judged();
    assert_eq!((verdict.beyond, verdict.worst_beyond, verdict.sent), (3, 3, 6));
    assert_eq!(verdict.beyond_causes, [("even share".into(), 2), ("late answer".into(), 1)].into());
    assert_eq!((verdict.refused_with_room, verdict.refused_causes.values().sum::<u64>()), (1, 1));
    assert!(verdict.refused_causes.contains_key("not told"));
    assert_eq!(
        verdict.beyond_causes.values().sum::<u64>(),
        verdict.beyond,
        "causes add up to all units beyond quota"
    );
}

#[test]
fn units_above_the_cap_on_open_requests_count_as_beyond_quota() {
    let mut builder = RecordingBuilder::new();
    // Four in flight at once where the plan allows three.
    for i in 0..4 {
        builder.tries(1.0, i, READ, 2, 7);
        builder.sends(1.01 + 1e-3 * i as f64, i, 0);
    }
    for i in 0..4 {
        builder.ends(1.2, i, 0, Ending::Served);
        builder.answers(1.3, i, SERVED);
    }
    let verdict = builder.judged();
    assert_eq!(verdict.beyond_causes, [("open cap: not told".into(), 1)].into());
}

#[test]
fn a_fleet_that_recovers_late_or_never_does_not_pass() {
    let run = |back: Option<f64>| {
        let mut builder = RecordingBuilder::new();
        builder.rest =
            "[must]\nrecover_s = 4\n[[fault]]\nwhat = \"counter-down\"\nat_s = 5\nfor_s = 3".into();
        for i in 0..200 {
            let at_s = 0.09 * i as f64;
            if (5.0..back.unwrap_or(30.0)).contains(&at_s) {
                builder.tries(at_s, i, READ, 0, i as usize);
                builder.answers(at_s + 0.01, i, Outcome::Refused { after: 0.5 });
            } else {
                builder.good(at_s, i, 0, i as usize);
            }
        }
        builder.judged()
    };
    let quick = run(Some(9.0));
    assert!(quick.passed(), "{}", quick.line());
    assert_eq!(quick.recovery.and_then(|r| r.after_s), Some(1.0));
    let slow = run(Some(14.0));
    assert!(slow.line().contains("6.0 s to recover"), "{}", slow.line());
    let never = run(None);
    assert!(never.line().contains("does not recover"), "{}", never.line());
}

#[test]
fn the_requirements_of_the_scenario_are_checked() {
    let run = |must: &str| {
        let mut builder = RecordingBuilder::new();
        builder.rest = format!("[must]\n{must}");
        // Thirty tries within a second, each of which needs a second attempt.
        for i in 0..30 {
            let at_s = 3.0 + 0.02 * i as f64;
            builder.tries(at_s, i, READ, 0, i as usize);
            builder.sends(at_s + 0.01, i, 0);
            builder.ends(at_s + 0.02, i, 0, Ending::Error);
            builder.sends(at_s + 0.03, i, 1);
            builder.ends(at_s + 0.05, i, 1, Ending::Served);
            builder.answers(at_s + 0.06, i, SERVED);
        }
        builder.judged()
    };
    assert!(run("amplification = 2.0").passed());
    assert!(run("amplification = 1.5").line().contains("amplification is 2.000"));
    assert!(run("goodput = 1.0").passed());
    assert!((run("").wasted - 0.5).abs() < 1e-9, "half of the work earned no value");
}

#[test]
fn a_late_answer_is_excused_by_exactly_the_run_delay_of_its_gateway_in_that_span() {
    // Answered 150 ms after its time limit, of which 50 ms are allowed; the gateway's threads waited for a processor for
    // `delay_ms` at `at_s`.
    let is_violation = |gate: usize, at_s: f64, delay_ms: u64| {
        let mut builder = RecordingBuilder::new();
        builder.tries(1.0, 1, READ, 0, 0);
        builder.sends(1.01, 1, 0);
        builder.ends(2.1, 1, 0, Ending::Served);
        builder.answers(2.15, 1, SERVED);
        let mut recording = builder.recording();
        let mut series = DelaySeries::default();
        series.add(0, 0);
        series.add(at(at_s), delay_ms * 1_000);
        series.add(at(20.0), 0);
        let mut gates = vec![DelaySeries::default(); 2];
        gates[gate] = series;
        recording.meter.run_delays.gates = gates;
        judge(&recording).broken_by.contains_key(&Rule::Answers)
    };
    assert!(is_violation(0, 1.5, 0));
    assert!(is_violation(0, 1.5, 90));
    assert!(!is_violation(0, 1.5, 110));
    assert!(is_violation(1, 1.5, 110), "another gateway waited");
    assert!(is_violation(0, 0.5, 110), "it waited before the request");
}

#[test]
fn a_run_in_which_the_lab_was_late_is_void() {
    let mut builder = RecordingBuilder::new();
    builder.good(1.0, 1, 0, 0);
    let mut recording = builder.recording();
    recording.meter.void = Some("late".into());
    let verdict = judge(&recording);
    assert!(!verdict.passed());
    assert_eq!(verdict.line(), "VOID: late");
}
