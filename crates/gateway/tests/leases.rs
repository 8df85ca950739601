//! The ordinary path: leases, grants, refusals, and what happens when the count misbehaves.

mod common;
use common::*;
use opalrun_gateway::*;

/// Fires every timer that has come due by `at`, answering calls through `counter`.
fn pass(rig: &mut Rig, counter: &mut Counter, at: Time) {
    let timers = std::mem::take(&mut rig.actions);
    rig.now = at;
    for timer in timers {
        if let Action::Timer { token, at: due } = timer
            && due <= at
        {
            let out = rig.event(Event::Timer { token });
            counter.answer(rig, &out);
        }
    }
}

#[test]
fn an_unseen_customer_starts_on_the_safe_share() {
    let mut rig = Rig::new(settings());
    let out = rig.ask("j");
    assert_eq!((sends(&out).len(), counts(&out).len()), (1, 1), "sent at once, while the count is asked");
}

#[test]
fn the_burst_is_granted_once_and_the_rest_refused_without_a_call() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    assert_eq!(counter.ask_many(&mut rig, "a", 60), 20, "the burst, to the unit");
    let out = rig.ask("b");
    assert_eq!((refused(&out), counts(&out).len()), (1, 0), "a level known to be nothing needs no call");
    assert!(matches!(out[0], Action::Refuse { retry_after, .. } if retry_after > 0.0));
}

#[test]
fn two_gateways_share_one_burst() {
    let (mut one, mut two, mut counter) = (Rig::new(settings()), Rig::new(settings()), Counter::default());
    let mut sent = 0;
    for i in 0..40 {
        sent += counter.ask_many(&mut one, &format!("a{i}-"), 1);
        sent += counter.ask_many(&mut two, &format!("b{i}-"), 1);
    }
    assert!((18..=21).contains(&sent), "{sent} sent of a burst of 20 (one unit may be off the count)");
}

#[test]
fn a_unit_that_no_worker_has_taken_is_there_for_the_next_and_once() {
    let ends = [
        // Its client left while it waited for a connection.
        (true, Status::NotSent, 1),
        (true, Status::ConnectFailed, 1),
        (true, Status::Cancelled, 0),
        // No connection came up, and no further attempt can be made.
        (false, Status::ConnectFailed, 1),
        // The worker has had it whole, whether it ran or not.
        (false, Status::Rejected, 0),
        (false, Status::Timeout, 0),
    ];
    for (left, status, back) in ends {
        let mut settings = settings();
        (settings.plans, settings.max_attempts) = (vec![plan(0.01, 1.0)], 1);
        let (mut rig, mut counter) = (Rig::new(settings), Counter::default());
        let out = counter.ask(&mut rig, "first");
        let (job, server) = sends(&out).pop().expect("the count grants it");
        if left {
            rig.event(Event::ClientDisconnected { job: job.clone() });
        }
        rig.outcome(&job, 0, &server, status);
        let mut sent = 0;
        for job in ["second", "third"] {
            let out = counter.ask(&mut rig, job);
            sent += sends(&out).len();
            sends(&out).iter().for_each(|(job, server)| drop(rig.outcome(job, 0, server, Status::Ok)));
        }
        assert_eq!(sent, back, "left: {left}, {status:?}");
    }
}

#[test]
fn a_window_turn_brings_no_second_burst() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    let mut sent = 0;
    for step in 0..100 {
        let at = 100.0 + f64::from(step) * 0.1;
        pass(&mut rig, &mut counter, at);
        sent += counter.ask_many(&mut rig, &format!("s{step}-"), 4);
    }
    assert!((110..=124).contains(&sent), "{sent} sent; burst 20 and 10 a second for 10 s make 120");
}

#[test]
fn an_emptied_counter_brings_no_second_burst() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    counter.0.clear();
    rig.now += 0.3;
    let sent = counter.ask_many(&mut rig, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 a second");
    assert!(counter.sum() > 15.0, "what had been used is put back on the count");
}

#[test]
fn a_lost_answer_leaves_no_request_waiting_and_no_debt_paid_twice() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    rig.now += 1.0;
    let out = rig.ask("lost");
    let (name, _) = counts(&out)[0];
    let out = rig.counted(name, Status::Timeout, 0.0);
    assert_eq!(sends(&out).len() + refused(&out), 1);
}

#[test]
fn a_silent_counter_leaves_the_even_share() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 60);
    let mut sent = 0;
    for step in 1..=50 {
        rig.now = 100.0 + f64::from(step) * 0.1;
        let mut out = rig.ask(&format!("q{step}"));
        for (name, _) in counts(&out) {
            out.extend(rig.counted(name, Status::Timeout, 0.0));
        }
        for (job, server) in sends(&out) {
            sent += 1;
            rig.outcome(&job, 0, &server, Status::Ok);
        }
    }
    assert!((30..=36).contains(&sent), "{sent} sent in 5 s; half of burst 20 and of 10 a second makes 35");
}

#[test]
fn an_unspent_lease_lapses_with_its_window() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 15);
    rig.now += 30.0; // Windows are eight seconds here; what is left of the block is of an old one.
    let out = rig.ask("b");
    assert_eq!(counts(&out).len(), 1, "an old lease covers nothing: the count is asked");
}

#[test]
fn past_its_share_of_an_open_cap_a_gateway_goes_where_the_others_leave_room() {
    // How many of six at once go under a cap of four at one of two gateways, as quickly as answers come.
    let out_at_once = |spent: f64| {
        let mut s = settings();
        s.plans.push(s.plans[0].clone());
        s.plans[0].max_open_attempts = 4;
        s.classes[0].latency_target = 20.0; // So that no such answer is slow.
        let (mut rig, mut counter) = (Rig::new(s), Counter::default());
        let mut other = request("other", rig.now);
        (other.plan, other.customer) = (1, "other".into());
        for (job, server) in sends(&rig.event(Event::Request(other))) {
            let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
            rig.event(Event::AttemptEnded {
                job,
                attempt,
                server,
                status,
                elapsed: spent,
                over,
                settled,
                load,
            });
        }
        let asks = (0..6).flat_map(|i| counter.ask(&mut rig, &format!("j{i}")));
        sends(&asks.collect::<Vec<_>>()).len()
    };
    assert_eq!(out_at_once(0.004), 4, "answers come fast, so the other has next to nothing out");
    assert_eq!(out_at_once(0.5), 2, "in half a second the other fills its share");
}

#[test]
fn an_open_cap_is_an_even_share_of_it() {
    let mut s = settings();
    s.plans[0].max_open_attempts = 4;
    let (mut rig, mut counter) = (Rig::new(s), Counter::default());
    let mut out = Vec::new();
    for i in 0..6 {
        out.extend(counter.ask(&mut rig, &format!("j{i}")));
    }
    assert_eq!((sends(&out).len(), refused(&out)), (2, 4), "two of four at one of two gateways");
    let (job, server) = sends(&out).remove(0);
    rig.outcome(&job, 0, &server, Status::Ok);
    assert_eq!(sends(&counter.ask(&mut rig, "k")).len(), 1, "one has ended");
}

#[test]
fn a_call_cut_off_by_its_connection_is_no_sign_of_a_crowded_counter() {
    // How many of as many customers, each with one request, get the counter asked after calls went wrong so.
    let asked_after = |spent: f64| {
        let mut rig = Rig::new(settings());
        let mut asked = 0;
        for i in 0..400 {
            rig.now += 0.02;
            let mut request = request(&format!("j{i}"), rig.now);
            request.customer = format!("c{i}").into();
            let out = rig.event(Event::Request(request));
            asked += counts(&out).len();
            for (counter, _) in counts(&out) {
                let status = if i % 4 == 0 { Status::Timeout } else { Status::Ok };
                let spent = if i % 4 == 0 { spent } else { 0.002 };
                rig.event(Event::CounterAnswered { counter, status, total: 1.0, elapsed: spent });
            }
            for (job, server) in sends(&out) {
                rig.outcome(&job, 0, &server, Status::Ok);
            }
        }
        asked
    };
    let limit = settings().counter_timeout;
    assert_eq!(asked_after(0.1 * limit), 400, "every customer is asked for");
    assert!(asked_after(limit) < 200, "calls that time out slow it down");
}

#[test]
fn calls_come_back_at_once_when_a_counter_that_was_gone_answers_again() {
    // How many of fifty get the counter asked, four seconds after five in which calls went wrong so.
    let asked_after = |status: Status, spent: f64| {
        let mut rig = Rig::new(settings());
        let mut asked = 0;
        for i in 0..550 {
            rig.now += 0.02;
            let mut request = request(&format!("j{i}"), rig.now);
            request.customer = format!("c{i}").into();
            let out = rig.event(Event::Request(request));
            asked += counts(&out).len() * usize::from(i >= 500);
            for (counter, _) in counts(&out) {
                let wrong = (50..300).contains(&i);
                let (status, spent) = if wrong { (status, spent) } else { (Status::Ok, 0.002) };
                rig.event(Event::CounterAnswered { counter, status, total: 1.0, elapsed: spent });
            }
            for (job, server) in sends(&out) {
                rig.outcome(&job, 0, &server, Status::Ok);
            }
        }
        asked
    };
    let limit = settings().counter_timeout;
    assert_eq!(asked_after(Status::ConnectFailed, 0.0), 50, "it was gone");
    assert_eq!(asked_after(Status::Timeout, limit), 50, "it was silent");
    assert!(asked_after(Status::Ok, 0.9 * limit) < 25, "it was crowded");
}

#[test]
fn a_guess_at_what_others_sent_off_the_count_refuses_nobody_whose_count_is_untouched() {
    let mut s = settings();
    (s.gateway_count, s.plans[0]) = (100, plan(0.4, 2.0));
    let mut rig = Rig::new(s);
    let begins = |rig: &mut Rig, i: u32| {
        let mut request = request(&format!("j{i}"), rig.now);
        (request.spread, request.customer) = (100, format!("c{i}").into());
        let out = rig.event(Event::Request(request));
        for (job, server) in sends(&out) {
            rig.outcome(&job, 0, &server, Status::Ok);
        }
        out
    };
    // A crowd at once: the few calls that may go out stay unanswered, the rest is sent off the count.
    let off = (0..60).map(|i| sends(&begins(&mut rig, i)).len()).sum::<usize>();
    assert!(off >= 20, "{off} sent off the count");
    rig.now += 2.0;
    let out = begins(&mut rig, 60);
    let (name, step) = counts(&out)[0];
    assert!(step > 1.0, "what the crowd sent is added for in proportion");
    let out = rig.counted(name, Status::Ok, step);
    assert_eq!((sends(&out).len(), refused(&out)), (1, 0));
}

#[test]
fn a_used_up_customers_first_attempts_go_at_the_pace_that_its_open_cap_can_carry() {
    // How many of a crowd of requests go at one of many gateways when answers take so long.
    let sent = |spent: f64| {
        let mut s = settings();
        s.gateway_count = 100;
        (s.plans[0].max_open_attempts, s.classes[0].latency_target) = (3, 50.0);
        let (mut rig, mut counter) = (Rig::new(s), Counter::default());
        let mut sent = 0;
        for i in 0..600 {
            rig.now += 0.02;
            let mut request = request(&format!("j{i}"), rig.now);
            request.spread = 100;
            let mut out = rig.event(Event::Request(request));
            out.extend(counter.answer(&mut rig, &out.clone()));
            for (job, server) in sends(&out) {
                sent += 1;
                let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
                rig.event(Event::AttemptEnded {
                    job,
                    attempt,
                    server,
                    status,
                    elapsed: spent,
                    over,
                    settled,
                    load,
                });
            }
        }
        sent
    };
    let (quick, slow) = (sent(0.05), sent(1.0));
    assert!(quick >= 100, "{quick} sent: what the rate allows");
    assert!(slow * 2 < quick, "{slow} sent, at a second each, {quick} where answers are quick");
}

#[test]
fn what_is_sent_before_a_late_answer_is_paid_once() {
    let (mut rig, mut counter) = (Rig::new(settings()), Counter::default());
    counter.ask_many(&mut rig, "a", 2);
    rig.now += 3.0;
    let out = rig.ask("late");
    let (name, step) = counts(&out)[0];
    assert!(sends(&out).is_empty(), "held for the answer");
    let timer = |a: &Action| if let Action::Timer { token, .. } = a { Some(*token) } else { None };
    let token = out.iter().find_map(timer).expect("held for so long only");
    rig.now += 0.02;
    assert_eq!(sends(&rig.event(Event::Timer { token })).len(), 1, "the safe share decides");
    let total = counter.0.entry(name).or_default();
    *total += step;
    let total = *total;
    rig.counted(name, Status::Ok, total);
    let next = rig.ask("next");
    assert!(sends(&next).is_empty(), "the block went to the request that it was asked for");
    assert_eq!(counts(&next), [(name, 1.0)], "and nothing is owed for it");
}

#[test]
fn off_the_count_goes_only_what_the_counts_answers_of_late_show_to_be_worth_it() {
    let mut s = settings();
    s.plans[0].overrun_cost = 0.8;
    // So many that none has a whole unit of a customer's burst for its own: an unseen one waits for the count.
    s.gateway_count = 100;
    let sent_off = |used_up: bool| {
        let mut rig = Rig::new(s.clone());
        let of = |rig: &Rig, i: usize, repeat| {
            let customer = format!("c{i}").as_str().into();
            Request { customer, client_retry: repeat, spread: 100, ..request(&format!("j{i}"), rig.now) }
        };
        let mut counter = Counter::default();
        for i in 0..40 {
            rig.now += 1.0;
            let asked = of(&rig, i, false);
            let out = rig.event(Event::Request(asked));
            for (name, _) in counts(&out) {
                // What others have spent of it stands there already.
                counter.0.insert(name, if used_up { 1e3 } else { 0.0 });
            }
            let more = counter.answer(&mut rig, &out);
            for (job, server) in sends(&out).into_iter().chain(sends(&more)) {
                rig.outcome(&job, 0, &server, Status::Ok);
            }
        }
        // At one moment more customers than there are calls.
        let mut sent = 0;
        for i in 1000..1400 {
            let asked = of(&rig, i, false);
            let out = rig.event(Event::Request(asked));
            if counts(&out).is_empty() {
                for (job, server) in sends(&out) {
                    sent += 1;
                    rig.outcome(&job, 0, &server, Status::Ok);
                }
            } else {
                counter.answer(&mut rig, &out);
            }
        }
        sent
    };
    let (owed, used_up) = (sent_off(false), sent_off(true));
    assert!(owed > 50, "{owed} sent where the count had room");
    assert_eq!(used_up, 0, "and none where it had not");
}
