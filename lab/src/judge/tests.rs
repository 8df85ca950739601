use super::*;
use crate::record::{Ending, Event, FORMAT_VERSION, GateState, Header, Meter, Outcome, Seen, WorkerState};
use crate::run_delay::DelaySeries;

const SERVED: Outcome = Outcome::Served { genuine: true };

fn at(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// A recording that breaks nothing, made up by hand.
struct Tape {
    rest: String,
    seen: Vec<Seen>,
}

impl Tape {
    fn new() -> Self {
        Self { rest: String::new(), seen: Vec::new() }
    }

    fn record(&mut self, at_s: f64, event: Event) {
        self.seen.push(Seen { at: at(at_s), event });
    }

    /// A try of `class` by `customer` of `plan` at gateway 0.
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

    /// A whole good exchange with worker 0.
    fn good(&mut self, at_s: f64, txn: u64, plan: usize, customer: usize) {
        self.tries(at_s, txn, 0, plan, customer);
        self.sends(at_s + 0.01, txn, 0);
        self.ends(at_s + 0.05, txn, 0, Ending::Served);
        self.answers(at_s + 0.06, txn, SERVED);
    }

    fn recording(mut self) -> Recording {
        let text = format!("name = \"x\"\nlength_s = 20\nlead_s = 0\n{}", self.rest);
        let scenario = Scenario::parse(&text).expect("a scenario");
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

    /// What it breaks, each rule once.
    fn breaks(self) -> Vec<Rule> {
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
fn a_good_play_passes_and_earns_all_of_its_worth() {
    let mut tape = Tape::new();
    (0..50).for_each(|i| tape.good(0.3 * i as f64, i, 0, i as usize));
    let verdict = tape.judged();
    assert!(verdict.passed(), "{}", verdict.line());
    assert_eq!((verdict.goodput, verdict.score, verdict.requests), (1.0, 1.0, 50));
    assert_eq!((verdict.beyond, verdict.amplification, verdict.wasted), (0, 1.0, 0.0));
}

#[test]
fn a_play_in_which_nothing_was_sent_does_not_pass() {
    assert!(!Tape::new().judged().passed());
}

#[test]
fn what_left_its_gateway_before_its_client_did_is_not_sent_on_however_long_the_link_held_it_up() {
    let sent_on = |link_delay_s: f64| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.answers(1.1, 1, Outcome::Left);
        // A link that was cut gives it to its worker at 3 s.
        let link_delay = at(link_delay_s);
        tape.record(3.0, Event::Attempt { txn: 1, gate: 0, worker: 0, intact: true, link_delay });
        tape.judged().gone
    };
    assert_eq!(sent_on(0.0), [1, 1], "it left at 3 s");
    assert_eq!(sent_on(1.5), [1, 1], "it left at 1.5 s");
    assert_eq!(sent_on(1.95), [0, 0], "it left at 1.05 s: it did not wait any more");
}

#[test]
fn what_is_sent_on_for_clients_that_have_left_is_counted_and_over_a_quarter_breaks_a_rule() {
    // Eight leave 0.1 s after they came, some of them with an attempt out; so many are sent on `later` than that.
    let play = |out: u64, sent: u64, later: f64, state: Option<GateState>| {
        let mut tape = Tape::new();
        for i in 0..8 {
            tape.tries(1.0, i, READ, 0, i as usize);
            if i < out {
                tape.sends(1.05, i, 0);
            }
            tape.answers(1.1, i, Outcome::Left);
            if (out..out + sent).contains(&i) {
                tape.sends(1.1 + later, i, 0);
            }
        }
        if let Some(state) = state {
            tape.record(1.0, Event::Gate { gate: 0, state });
        }
        let verdict = tape.judged();
        (verdict.gone, verdict.broken_by.contains_key(&Rule::Gone))
    };
    assert_eq!(play(0, 3, 0.4, None), ([8, 3], true));
    assert_eq!(play(0, 3, 0.2, None), ([8, 0], false), "it may be that late");
    assert_eq!(play(0, 2, 0.4, None), ([8, 2], false), "no more than a quarter");
    assert_eq!(play(2, 3, 0.4, None), ([6, 3], true), "what was with a worker did not wait");
    assert_eq!(play(4, 4, 0.4, None), ([4, 4], false), "too few to tell");
    assert_eq!(play(0, 3, 0.4, Some(GateState::Paused)), ([0, 0], false), "one that stands still can't know");
}

#[test]
fn a_request_that_gets_no_answer_is_found_unless_the_lab_took_its_gateway() {
    for outcome in [Outcome::Never, Outcome::Broken] {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.answers(2.5, 1, outcome.clone());
        assert_eq!(tape.breaks(), [Rule::Answers], "{outcome:?}");
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.record(1.1, Event::Gate { gate: 0, state: GateState::Killed });
        tape.answers(2.5, 1, outcome.clone());
        assert_eq!(tape.breaks(), [], "killed by the lab");
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.record(1.1, Event::Gate { gate: 1, state: GateState::Killed });
        tape.answers(2.5, 1, outcome);
        assert_eq!(tape.breaks(), [Rule::Answers], "another gateway's death is no excuse");
    }
}

#[test]
fn an_end_after_its_time_is_found_and_a_cut_off_answer_unless_its_worker_stopped_half_way() {
    let ends = |at_s: f64, outcome: Outcome, how: Option<Ending>| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.sends(1.01, 1, 0);
        if let Some(how) = how {
            tape.ends(1.1, 1, 0, how);
        }
        tape.answers(at_s, 1, outcome);
        tape.breaks()
    };
    let refused = Outcome::Refused { after: 0.1 };
    assert_eq!(ends(2.04, refused.clone(), None), [], "the sockets' slack");
    assert_eq!(ends(2.06, refused, None), [Rule::Answers]);
    assert_eq!(ends(2.06, SERVED, Some(Ending::Served)), [Rule::Answers]);
    assert_eq!(ends(1.9, Outcome::CutOff, Some(Ending::HalfWay)), []);
    assert_eq!(ends(2.06, Outcome::CutOff, Some(Ending::HalfWay)), [Rule::Answers]);
    assert_eq!(ends(1.9, Outcome::CutOff, Some(Ending::Served)), [Rule::Answers]);
}

#[test]
fn two_answers_for_one_request_are_found() {
    let mut tape = Tape::new();
    tape.good(1.0, 1, 0, 0);
    tape.answers(1.2, 1, SERVED);
    assert_eq!(tape.breaks(), [Rule::Answers]);
}

#[test]
fn what_no_worker_made_is_found() {
    let mut tape = Tape::new();
    tape.tries(1.0, 1, READ, 0, 0);
    tape.answers(1.1, 1, Outcome::Served { genuine: false });
    assert_eq!(tape.breaks(), [Rule::Genuine]);
}

#[test]
fn what_no_client_sent_is_found_at_a_worker() {
    let mut tape = Tape::new();
    tape.good(1.0, 1, 0, 0);
    tape.record(2.0, Event::Stranger { gate: 0, worker: 0 });
    assert_eq!(tape.breaks(), [Rule::Strangers]);
    let mut tape = Tape::new();
    tape.good(1.0, 1, 0, 0);
    tape.record(2.0, Event::Attempt { txn: 9, gate: 0, worker: 0, intact: true, link_delay: 0 });
    assert_eq!(tape.breaks(), [Rule::Strangers]);
    let mut tape = Tape::new();
    tape.tries(1.0, 1, READ, 0, 0);
    tape.record(1.1, Event::Attempt { txn: 1, gate: 0, worker: 0, intact: false, link_delay: 0 });
    tape.answers(1.2, 1, SERVED);
    assert_eq!(tape.breaks(), [Rule::Strangers]);
}

#[test]
fn an_unsafe_request_may_go_out_again_only_after_a_worker_turned_it_away() {
    let tape = |how| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, UNSAFE, 0, 0);
        tape.sends(1.1, 1, 0);
        tape.ends(1.2, 1, 0, how);
        tape.sends(1.3, 1, 1);
        tape.ends(1.4, 1, 1, Ending::Served);
        tape.answers(1.5, 1, SERVED);
        tape
    };
    assert_eq!(tape(Ending::TurnedAway).breaks(), []);
    for how in [Ending::Error, Ending::Cancelled { begun: false }, Ending::Died, Ending::Silent] {
        assert_eq!(tape(how).breaks(), [Rule::Unsafe], "{how:?}");
    }
}

#[test]
fn a_refusal_says_that_a_repeat_is_harmless() {
    let tape = |class, how| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, class, 0, 0);
        tape.sends(1.1, 1, 0);
        tape.ends(1.2, 1, 0, how);
        tape.answers(1.3, 1, Outcome::Refused { after: 0.1 });
        tape.breaks()
    };
    assert_eq!(tape(UNSAFE, Ending::TurnedAway), []);
    assert_eq!(tape(UNSAFE, Ending::Error), [Rule::Unsafe]);
    assert_eq!(tape(KEYED, Ending::Error), [Rule::Keyed]);
    assert_eq!(tape(READ, Ending::Error), []);
}

#[test]
fn a_keyed_request_goes_again_only_to_those_that_remember_it() {
    let tape = |worker, later| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, KEYED, 0, 0);
        tape.sends(1.1, 1, 0);
        tape.ends(1.2, 1, 0, Ending::Error);
        tape.sends(1.1 + later, 1, worker);
        tape.answers(1.2 + later, 1, SERVED);
        tape.breaks()
    };
    assert_eq!(tape(2, 0.2), [], "the same zone");
    assert_eq!(tape(1, 0.2), [Rule::Keyed], "another zone");
    assert_eq!(tape(2, 4.5), [Rule::Answers, Rule::Keyed], "after the window, and its own time");
}

#[test]
fn a_send_to_a_draining_worker_is_found_after_the_grace() {
    let tape = |later| {
        let mut tape = Tape::new();
        tape.record(1.0, Event::Told { gate: 0, worker: 0, wanted: false });
        tape.good(1.0 + later, 1, 0, 0);
        tape.breaks()
    };
    assert_eq!(tape(0.3), []);
    assert_eq!(tape(1.0), [Rule::Drain]);
    let mut tape = Tape::new();
    tape.record(1.0, Event::Told { gate: 0, worker: 0, wanted: false });
    tape.record(1.5, Event::Told { gate: 0, worker: 0, wanted: true });
    tape.good(3.0, 1, 0, 0);
    assert_eq!(tape.breaks(), [], "it is back");
}

#[test]
fn a_cold_workers_fall_is_the_fault_of_those_that_knew() {
    let tape = |told: bool| {
        let mut tape = Tape::new();
        tape.record(1.0, Event::Worker { worker: 0, state: WorkerState::Started });
        if told {
            tape.record(1.1, Event::Told { gate: 0, worker: 0, wanted: true });
        }
        (0..20).for_each(|i| tape.good(1.2 + 0.01 * i as f64, i, 0, i as usize));
        tape.record(1.5, Event::Worker { worker: 0, state: WorkerState::Fell });
        tape.breaks()
    };
    assert_eq!(tape(true), [Rule::Cold]);
    assert_eq!(tape(false), []);
}

#[test]
fn a_ceiling_that_is_passed_is_found() {
    // The third plan holds 48 at once, 25 a second, and 4 units of slack with 150 ms of its rate.
    let tape = |n: u64| {
        let mut tape = Tape::new();
        (0..n).for_each(|i| tape.good(1.0 + 1e-4 * i as f64, i, 2, 7));
        tape.breaks()
    };
    assert_eq!(tape(50), []);
    assert_eq!(tape(60), [Rule::Ceiling]);
}

#[test]
fn a_gateway_that_ends_by_itself_is_found() {
    let tape = |wanted| {
        let mut tape = Tape::new();
        tape.good(1.0, 1, 0, 0);
        tape.record(2.0, Event::Gate { gate: 0, state: GateState::Exited { wanted, status: "1".into() } });
        tape.breaks()
    };
    assert_eq!(tape(false), [Rule::Crash]);
    assert_eq!(tape(true), []);
}

#[test]
fn units_beyond_quota_and_refusals_with_room_are_counted_with_their_causes() {
    let mut tape = Tape::new();
    // The first plan holds 3 at once and 0.8 a second: of six at once, three are beyond.
    (0..6).for_each(|i| tape.good(1.0 + 1e-3 * i as f64, i, 0, 7));
    (3..6).for_each(|i| {
        let why = if i < 5 { "even share" } else { "late answer" };
        tape.record(1.0, Event::Reason { gate: 0, txn: i, what: "sent".into(), why: why.into() });
    });
    // Refused with an empty store, and with a full one.
    for (txn, at_s, customer) in [(10, 1.1, 7), (11, 1.1, 8)] {
        tape.tries(at_s, txn, READ, 0, customer);
        tape.answers(at_s + 0.001, txn, Outcome::Refused { after: 0.5 });
    }
    let verdict = tape.judged();
    assert_eq!((verdict.beyond, verdict.worst_beyond, verdict.sent), (3, 3, 6));
    assert_eq!(verdict.beyond_causes, [("even share".into(), 2), ("late answer".into(), 1)].into());
    assert_eq!((verdict.refused_with_room, verdict.refused_causes.values().sum::<u64>()), (1, 1));
    assert!(verdict.refused_causes.contains_key("not told"));
    assert_eq!(verdict.beyond_causes.values().sum::<u64>(), verdict.beyond, "causes add up to the whole");
}

#[test]
fn more_open_than_the_cap_is_beyond_too() {
    let mut tape = Tape::new();
    // Four at once where three may be open.
    for i in 0..4 {
        tape.tries(1.0, i, READ, 2, 7);
        tape.sends(1.01 + 1e-3 * i as f64, i, 0);
    }
    for i in 0..4 {
        tape.ends(1.2, i, 0, Ending::Served);
        tape.answers(1.3, i, SERVED);
    }
    let verdict = tape.judged();
    assert_eq!(verdict.beyond_causes, [("open cap: not told".into(), 1)].into());
}

#[test]
fn a_fleet_that_stays_down_after_the_fault_does_not_pass() {
    let play = |back: Option<f64>| {
        let mut tape = Tape::new();
        tape.rest = "[must]\nrecover_s = 4\n[[fault]]\nwhat = \"counter-down\"\nat_s = 5\nfor_s = 3".into();
        for i in 0..200 {
            let at_s = 0.09 * i as f64;
            if (5.0..back.unwrap_or(30.0)).contains(&at_s) {
                tape.tries(at_s, i, READ, 0, i as usize);
                tape.answers(at_s + 0.01, i, Outcome::Refused { after: 0.5 });
            } else {
                tape.good(at_s, i, 0, i as usize);
            }
        }
        tape.judged()
    };
    let quick = play(Some(9.0));
    assert!(quick.passed(), "{}", quick.line());
    assert_eq!(quick.recovery.and_then(|r| r.after_s), Some(1.0));
    let slow = play(Some(14.0));
    assert!(slow.line().contains("6.0 s to recover"), "{}", slow.line());
    let never = play(None);
    assert!(never.line().contains("does not recover"), "{}", never.line());
}

#[test]
fn what_must_hold_is_held_against_the_play() {
    let play = |must: &str| {
        let mut tape = Tape::new();
        tape.rest = format!("[must]\n{must}");
        // Thirty tries within a second, each of which needs a second attempt.
        for i in 0..30 {
            let at_s = 3.0 + 0.02 * i as f64;
            tape.tries(at_s, i, READ, 0, i as usize);
            tape.sends(at_s + 0.01, i, 0);
            tape.ends(at_s + 0.02, i, 0, Ending::Error);
            tape.sends(at_s + 0.03, i, 1);
            tape.ends(at_s + 0.05, i, 1, Ending::Served);
            tape.answers(at_s + 0.06, i, SERVED);
        }
        tape.judged()
    };
    assert!(play("amplification = 2.0").passed());
    assert!(play("amplification = 1.5").line().contains("amplification is 2.000"));
    assert!(play("goodput = 1.0").passed());
    assert!((play("").wasted - 0.5).abs() < 1e-9, "half of the work was for nothing");
}

#[test]
fn a_late_answer_is_excused_by_what_its_gateway_waited_for_a_processor_meanwhile_and_by_no_more() {
    // Answered 150 ms after its time, of which 50 ms are slack; the gateway waited for `delay_ms` at a time.
    let breaks = |gate: usize, at_s: f64, delay_ms: u64| {
        let mut tape = Tape::new();
        tape.tries(1.0, 1, READ, 0, 0);
        tape.sends(1.01, 1, 0);
        tape.ends(2.1, 1, 0, Ending::Served);
        tape.answers(2.15, 1, SERVED);
        let mut recording = tape.recording();
        let mut series = DelaySeries::default();
        series.add(0, 0);
        series.add(at(at_s), delay_ms * 1_000);
        series.add(at(20.0), 0);
        let mut gates = vec![DelaySeries::default(); 2];
        gates[gate] = series;
        recording.meter.run_delays.gates = gates;
        judge(&recording).broken_by.contains_key(&Rule::Answers)
    };
    assert!(breaks(0, 1.5, 0));
    assert!(breaks(0, 1.5, 90));
    assert!(!breaks(0, 1.5, 110));
    assert!(breaks(1, 1.5, 110), "another gateway waited");
    assert!(breaks(0, 0.5, 110), "it waited before");
}

#[test]
fn a_play_that_ran_late_is_void() {
    let mut tape = Tape::new();
    tape.good(1.0, 1, 0, 0);
    let mut recording = tape.recording();
    recording.meter.void = Some("late".into());
    let verdict = judge(&recording);
    assert!(!verdict.passed());
    assert_eq!(verdict.line(), "VOID: late");
}
