//! The ordinary path of a quota: leases, grants and refusals, also while the counter is slow, unavailable or emptied.

mod common;
use common::*;
use opalrun_gateway::*;

/// Advances to the time `at` and fires every timer that has expired by then; `counter` answers the calls.
fn advance(harness: &mut Harness, counter: &mut InstantCounter, at: Time) {
    let timers = std::mem::take(&mut harness.actions);
    harness.now = at;
    for timer in timers {
        if let Action::Timer { token, at: due } = timer
            && due <= at
        {
            let out = harness.handle_event(Event::Timer { token });
            counter.answer_calls(harness, &out);
        }
    }
}

#[test]
fn a_new_customers_first_request_is_paid_from_the_even_share() {
    let mut harness = Harness::new(settings());
    let out = harness.request("j");
    assert_eq!(
        (sent_attempts(&out).len(), counter_calls(&out).len()),
        (1, 1),
        "sent at once, while the counter is called"
    );
}

#[test]
fn the_burst_is_granted_once_and_further_requests_are_refused_without_a_call() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    assert_eq!(counter.request_many(&mut harness, "a", 60), 20, "exactly the burst");
    let out = harness.request("b");
    assert_eq!(
        (refused_count(&out), counter_calls(&out).len()),
        (1, 0),
        "no call while the known level is zero"
    );
    assert!(matches!(out[0], Action::Refuse { retry_after, .. } if retry_after > 0.0));
}

#[test]
fn two_gateways_share_one_burst() {
    let (mut one, mut two, mut counter) =
        (Harness::new(settings()), Harness::new(settings()), InstantCounter::default());
    let mut sent = 0;
    for i in 0..40 {
        sent += counter.request_many(&mut one, &format!("a{i}-"), 1);
        sent += counter.request_many(&mut two, &format!("b{i}-"), 1);
    }
    assert!((18..=21).contains(&sent), "{sent} sent of a burst of 20 (one unit may be sent without a grant)");
}

#[test]
fn a_unit_that_no_server_received_can_be_spent_again_once() {
    let ends = [
        // The client disconnected while the attempt waited for a connection.
        (true, Status::NotSent, 1),
        (true, Status::ConnectFailed, 1),
        (true, Status::Cancelled, 0),
        // The connection failed, and no further attempt is allowed.
        (false, Status::ConnectFailed, 1),
        // The server has received the whole request, whether it ran or not.
        (false, Status::Rejected, 0),
        (false, Status::Timeout, 0),
    ];
    for (disconnected, status, returned) in ends {
        let mut settings = settings();
        (settings.plans, settings.max_attempts) = (vec![plan(0.01, 1.0)], 1);
        let (mut harness, mut counter) = (Harness::new(settings), InstantCounter::default());
        let out = counter.request(&mut harness, "first");
        let (job, server) = sent_attempts(&out).pop().expect("the counter grants it");
        if disconnected {
            harness.handle_event(Event::ClientDisconnected { job: job.clone() });
        }
        harness.attempt_ended(&job, 0, &server, status);
        let mut sent = 0;
        for job in ["second", "third"] {
            let out = counter.request(&mut harness, job);
            sent += sent_attempts(&out).len();
            sent_attempts(&out)
                .iter()
                .for_each(|(job, server)| drop(harness.attempt_ended(job, 0, server, Status::Ok)));
        }
        assert_eq!(sent, returned, "disconnected: {disconnected}, {status:?}");
    }
}

#[test]
fn a_new_window_grants_no_second_burst() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    let mut sent = 0;
    for step in 0..100 {
        let at = 100.0 + f64::from(step) * 0.1;
        advance(&mut harness, &mut counter, at);
        sent += counter.request_many(&mut harness, &format!("s{step}-"), 4);
    }
    assert!((110..=124).contains(&sent), "{sent} sent; a burst of 20 and 10 per second for 10 s are 120");
}

#[test]
fn an_emptied_counter_grants_no_second_burst() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    counter.request_many(&mut harness, "a", 60);
    counter.0.clear();
    harness.now += 0.3;
    let sent = counter.request_many(&mut harness, "b", 60);
    assert!(sent <= 4, "{sent} sent after 0.3 s at 10 per second");
    assert!(counter.total() > 15.0, "the units used before are added to the count again");
}

#[test]
fn a_request_that_waits_for_a_lost_answer_is_decided() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    counter.request_many(&mut harness, "a", 60);
    harness.now += 1.0;
    let out = harness.request("lost");
    let (name, _) = counter_calls(&out)[0];
    let out = harness.counter_answered(name, Status::Timeout, 0.0);
    assert_eq!(sent_attempts(&out).len() + refused_count(&out), 1);
}

#[test]
fn without_the_counter_the_even_share_is_spent() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    counter.request_many(&mut harness, "a", 60);
    let mut sent = 0;
    for step in 1..=50 {
        harness.now = 100.0 + f64::from(step) * 0.1;
        let mut out = harness.request(&format!("q{step}"));
        for (name, _) in counter_calls(&out) {
            out.extend(harness.counter_answered(name, Status::Timeout, 0.0));
        }
        for (job, server) in sent_attempts(&out) {
            sent += 1;
            harness.attempt_ended(&job, 0, &server, Status::Ok);
        }
    }
    assert!(
        (30..=36).contains(&sent),
        "{sent} sent in 5 s; half of a burst of 20 and of 10 per second is 35"
    );
}

#[test]
fn an_unspent_lease_lapses_with_its_window() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    counter.request_many(&mut harness, "a", 15);
    harness.now += 30.0; // Windows last 8 s here, so the rest of the block belongs to an earlier one.
    let out = harness.request("b");
    assert_eq!(counter_calls(&out).len(), 1, "a lapsed lease covers nothing: the counter is called");
}

#[test]
fn beyond_its_share_of_the_open_attempt_limit_a_gateway_sends_where_the_others_probably_leave_room() {
    // How many of six simultaneous requests are sent under a limit of four at one of two gateways, by latency.
    let sent_at_once = |latency: f64| {
        let mut s = settings();
        s.plans.push(s.plans[0].clone());
        s.plans[0].max_open_attempts = 4;
        s.classes[0].latency_target = 20.0; // All latencies below are far from the target.
        let (mut harness, mut counter) = (Harness::new(s), InstantCounter::default());
        let mut other = request("other", harness.now);
        (other.plan, other.customer) = (1, "other".into());
        for (job, server) in sent_attempts(&harness.handle_event(Event::Request(other))) {
            let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
            harness.handle_event(Event::AttemptEnded {
                job,
                attempt,
                server,
                status,
                elapsed: latency,
                over,
                settled,
                load,
            });
        }
        let asks = (0..6).flat_map(|i| counter.request(&mut harness, &format!("j{i}")));
        sent_attempts(&asks.collect::<Vec<_>>()).len()
    };
    assert_eq!(
        sent_at_once(0.004),
        4,
        "at a low latency the other gateway has hardly any attempts in flight"
    );
    assert_eq!(sent_at_once(0.5), 2, "at 0.5 s the other gateway uses its share");
}

#[test]
fn each_gateway_has_an_even_share_of_the_open_attempt_limit() {
    let mut s = settings();
    s.plans[0].max_open_attempts = 4;
    let (mut harness, mut counter) = (Harness::new(s), InstantCounter::default());
    let mut out = Vec::new();
    for i in 0..6 {
        out.extend(counter.request(&mut harness, &format!("j{i}")));
    }
    assert_eq!(
        (sent_attempts(&out).len(), refused_count(&out)),
        (2, 4),
        "a limit of four, at one of two gateways"
    );
    let (job, server) = sent_attempts(&out).remove(0);
    harness.attempt_ended(&job, 0, &server, Status::Ok);
    assert_eq!(sent_attempts(&counter.request(&mut harness, "k")).len(), 1, "one attempt has ended");
}

#[test]
fn a_call_that_its_connection_cut_off_does_not_lower_the_call_rate() {
    // Calls made for 400 customers with one request each, while every fourth call ends after `lost_after` seconds.
    let calls_made = |lost_after: f64| {
        let mut harness = Harness::new(settings());
        let mut calls = 0;
        for i in 0..400 {
            harness.now += 0.02;
            let mut request = request(&format!("j{i}"), harness.now);
            request.customer = format!("c{i}").into();
            let out = harness.handle_event(Event::Request(request));
            calls += counter_calls(&out).len();
            for (counter, _) in counter_calls(&out) {
                let status = if i % 4 == 0 { Status::Timeout } else { Status::Ok };
                let elapsed = if i % 4 == 0 { lost_after } else { 0.002 };
                harness.handle_event(Event::CounterAnswered { counter, status, total: 1.0, elapsed });
            }
            for (job, server) in sent_attempts(&out) {
                harness.attempt_ended(&job, 0, &server, Status::Ok);
            }
        }
        calls
    };
    let limit = settings().counter_timeout;
    assert_eq!(calls_made(0.1 * limit), 400, "one call for every customer");
    assert!(calls_made(limit) < 200, "calls that time out lower the call rate");
}

#[test]
fn the_call_rate_recovers_at_once_when_an_unavailable_counter_answers_again() {
    // Calls made for the last fifty customers, four seconds after five in which calls ended as given.
    let calls_made = |status: Status, elapsed: f64| {
        let mut harness = Harness::new(settings());
        let mut calls = 0;
        for i in 0..550 {
            harness.now += 0.02;
            let mut request = request(&format!("j{i}"), harness.now);
            request.customer = format!("c{i}").into();
            let out = harness.handle_event(Event::Request(request));
            calls += counter_calls(&out).len() * usize::from(i >= 500);
            for (counter, _) in counter_calls(&out) {
                let faulty = (50..300).contains(&i);
                let (status, elapsed) = if faulty { (status, elapsed) } else { (Status::Ok, 0.002) };
                harness.handle_event(Event::CounterAnswered { counter, status, total: 1.0, elapsed });
            }
            for (job, server) in sent_attempts(&out) {
                harness.attempt_ended(&job, 0, &server, Status::Ok);
            }
        }
        calls
    };
    let limit = settings().counter_timeout;
    assert_eq!(calls_made(Status::ConnectFailed, 0.0), 50, "after refused connections");
    assert_eq!(calls_made(Status::Timeout, limit), 50, "after calls without an answer");
    assert!(calls_made(Status::Ok, 0.9 * limit) < 25, "after slow answers, as of an overloaded counter");
}

#[test]
fn an_estimate_of_units_that_others_sent_does_not_refuse_a_customer_with_an_unused_quota() {
    let mut s = settings();
    (s.gateway_count, s.plans[0]) = (100, plan(0.4, 2.0));
    let mut harness = Harness::new(s);
    let first_request = |harness: &mut Harness, i: u32| {
        let mut request = request(&format!("j{i}"), harness.now);
        (request.spread, request.customer) = (100, format!("c{i}").into());
        let out = harness.handle_event(Event::Request(request));
        for (job, server) in sent_attempts(&out) {
            harness.attempt_ended(&job, 0, &server, Status::Ok);
        }
        out
    };
    // Sixty customers at once: the few calls that the budget allows stay unanswered, the other requests are sent
    // without a grant.
    let uncounted = (0..60).map(|i| sent_attempts(&first_request(&mut harness, i)).len()).sum::<usize>();
    assert!(uncounted >= 20, "{uncounted} sent without a grant");
    harness.now += 2.0;
    let out = first_request(&mut harness, 60);
    let (name, amount) = counter_calls(&out)[0];
    assert!(amount > 1.0, "the call adds a proportional part of the units sent without a grant");
    let out = harness.counter_answered(name, Status::Ok, amount);
    assert_eq!((sent_attempts(&out).len(), refused_count(&out)), (1, 0));
}

#[test]
fn first_attempts_of_a_customer_that_uses_up_its_rate_are_paced_to_its_open_attempt_limit() {
    // Attempts sent for 600 requests at one of 100 gateways, by latency.
    let sent = |latency: f64| {
        let mut s = settings();
        s.gateway_count = 100;
        (s.plans[0].max_open_attempts, s.classes[0].latency_target) = (3, 50.0);
        let (mut harness, mut counter) = (Harness::new(s), InstantCounter::default());
        let mut sent = 0;
        for i in 0..600 {
            harness.now += 0.02;
            let mut request = request(&format!("j{i}"), harness.now);
            request.spread = 100;
            let mut out = harness.handle_event(Event::Request(request));
            out.extend(counter.answer_calls(&mut harness, &out.clone()));
            for (job, server) in sent_attempts(&out) {
                sent += 1;
                let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
                harness.handle_event(Event::AttemptEnded {
                    job,
                    attempt,
                    server,
                    status,
                    elapsed: latency,
                    over,
                    settled,
                    load,
                });
            }
        }
        sent
    };
    let (quick, slow) = (sent(0.05), sent(1.0));
    assert!(quick >= 100, "{quick} sent at a latency of 0.05 s, as many as the rate allows");
    assert!(slow * 2 < quick, "{slow} sent at a latency of 1 s, {quick} at 0.05 s");
}

#[test]
fn units_sent_before_a_late_answer_are_paid_once() {
    let (mut harness, mut counter) = (Harness::new(settings()), InstantCounter::default());
    counter.request_many(&mut harness, "a", 2);
    harness.now += 3.0;
    let out = harness.request("late");
    let (name, amount) = counter_calls(&out)[0];
    assert!(sent_attempts(&out).is_empty(), "waits for the answer");
    let timer = |a: &Action| if let Action::Timer { token, .. } = a { Some(*token) } else { None };
    let token = out.iter().find_map(timer).expect("a waiting request has a timer");
    harness.now += 0.02;
    assert_eq!(
        sent_attempts(&harness.handle_event(Event::Timer { token })).len(),
        1,
        "the even share pays for it"
    );
    let total = counter.0.entry(name).or_default();
    *total += amount;
    let total = *total;
    harness.counter_answered(name, Status::Ok, total);
    let next = harness.request("next");
    assert!(sent_attempts(&next).is_empty(), "the block has paid for the request that was sent ahead");
    assert_eq!(counter_calls(&next), [(name, 1.0)], "and nothing is owed for that request");
}

#[test]
fn requests_are_sent_without_a_grant_only_if_recent_totals_left_enough_of_other_quotas() {
    let mut s = settings();
    s.plans[0].overrun_cost = 0.8;
    // With 100 gateways the even share of a burst is below one unit: a new customer waits for the counter.
    s.gateway_count = 100;
    let sent_uncounted = |used_up: bool| {
        let mut harness = Harness::new(s.clone());
        let request_of = |harness: &Harness, i: usize, client_retry| {
            let customer = format!("c{i}").as_str().into();
            Request { customer, client_retry, spread: 100, ..request(&format!("j{i}"), harness.now) }
        };
        let mut counter = InstantCounter::default();
        for i in 0..40 {
            harness.now += 1.0;
            let asked = request_of(&harness, i, false);
            let out = harness.handle_event(Event::Request(asked));
            for (name, _) in counter_calls(&out) {
                // The units that other gateways have spent are in the count already.
                counter.0.insert(name, if used_up { 1e3 } else { 0.0 });
            }
            let more = counter.answer_calls(&mut harness, &out);
            for (job, server) in sent_attempts(&out).into_iter().chain(sent_attempts(&more)) {
                harness.attempt_ended(&job, 0, &server, Status::Ok);
            }
        }
        // More customers at one moment than the call budget has calls.
        let mut sent = 0;
        for i in 1000..1400 {
            let asked = request_of(&harness, i, false);
            let out = harness.handle_event(Event::Request(asked));
            if counter_calls(&out).is_empty() {
                for (job, server) in sent_attempts(&out) {
                    sent += 1;
                    harness.attempt_ended(&job, 0, &server, Status::Ok);
                }
            } else {
                counter.answer_calls(&mut harness, &out);
            }
        }
        sent
    };
    let (unused, used_up) = (sent_uncounted(false), sent_uncounted(true));
    assert!(unused > 50, "{unused} sent where the quotas were unused");
    assert_eq!(used_up, 0, "none where the quotas were used up");
}
