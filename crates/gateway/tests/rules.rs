//! Rules that a single gateway has to keep: one final answer in time, no unsafe repeat, attempts at running servers
//! only, a slow start of cold servers, and no spending above a ceiling.

mod common;
use common::*;
use opalrun_gateway::*;

/// Settings with one class of this effect and one plan without a quota.
fn without_quota(effect: Effect) -> Settings {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    s.classes[0].effect = effect;
    s
}

#[test]
fn a_request_has_one_final_answer_whatever_happens_later() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    let (_, server) = sent_attempts(&harness.request("j")).remove(0);
    assert!(harness.request("j").is_empty(), "a second request with the same id is ignored");
    harness.attempt_ended("j", 0, &server, Status::Ok);
    assert!(
        harness.attempt_ended("j", 0, &server, Status::Error).is_empty(),
        "a late outcome leads to no action"
    );
    assert!(harness.handle_event(Event::ClientDisconnected { job: "j".into() }).is_empty());
}

#[test]
fn a_request_that_waits_for_the_counter_is_decided_before_the_call_times_out() {
    let mut s = settings();
    s.plans[0].ceiling_rate = 20.0; // The even share of a new customer starts empty under a ceiling.
    s.plans[0].ceiling_burst = 40.0;
    let limit = s.counter_timeout;
    let mut harness = Harness::new(s);
    let out = harness.request("j");
    assert!(sent_attempts(&out).is_empty() && refused_count(&out) == 0, "waits for the counter");
    let timer = out.iter().find_map(|a| match a {
        Action::Timer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a waiting request has a timer");
    assert!(at - harness.now < limit, "it waits for less than the counter's time-out");
    harness.now = at;
    let out = harness.handle_event(Event::Timer { token });
    assert_eq!(
        sent_attempts(&out).len() + refused_count(&out),
        1,
        "it is decided without the counter's answer"
    );
}

#[test]
fn a_request_that_expires_before_any_answer_is_refused_at_once() {
    let mut harness = Harness::new(settings());
    let mut near = request("j", harness.now);
    near.expires = harness.now + 0.003;
    assert_eq!(refused_count(&harness.handle_event(Event::Request(near))), 1);
}

#[test]
fn a_request_that_expires_before_the_counter_answers_is_decided_at_once_and_the_counter_still_called() {
    let mut s = settings();
    s.counter_timeout = 0.05;
    let mut harness = Harness::new(s);
    let ask = |harness: &mut Harness, job: &str| {
        let mut near = request(job, harness.now);
        near.expires = harness.now + 0.04;
        harness.handle_event(Event::Request(near))
    };
    let first = ask(&mut harness, "j");
    assert_eq!((sent_attempts(&first).len(), refused_count(&first)), (1, 0), "the even share covers it");
    let [(counter, amount)] = counter_calls(&first)[..] else { panic!("one call") };
    assert!(amount >= 1.0, "the call asks for the units that were sent");
    // Requests do not wait while the call is in flight either.
    let second = ask(&mut harness, "k");
    assert_eq!(sent_attempts(&second).len() + refused_count(&second), 1);
    harness.counter_answered(counter, Status::Ok, amount);
    let third = ask(&mut harness, "l");
    assert_eq!(sent_attempts(&third).len(), 1, "the granted units cover it");
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let mut harness = Harness::new(without_quota(Effect::AtMostOnce));
    let (_, server) = sent_attempts(&harness.request("j")).remove(0);
    let out = harness.attempt_ended("j", 0, &server, Status::Reset);
    assert_eq!((sent_attempts(&out).len(), refused_count(&out), failed_count(&out)), (0, 0, 1));
    let (_, server) = sent_attempts(&harness.request("k")).remove(0);
    let out = harness.attempt_ended("k", 0, &server, Status::Rejected);
    assert_eq!(sent_attempts(&out).len(), 1, "one that certainly has not run is sent again");
}

#[test]
fn a_deduplicated_request_is_repeated_only_in_its_group_and_window() {
    let mut s = without_quota(Effect::Deduplicated { group: Group::Zone, window: 1.0 });
    s.max_attempts = 9;
    let mut harness = Harness::without_servers(s);
    let mut list: Vec<Server> =
        ["a", "b", "c", "d"].map(|n| server(n, Lifecycle::Running, 0.0)).into_iter().collect();
    (list[2].zone, list[3].zone) = (1, 1);
    harness.update_servers(ListKind::Stale, list);
    let zone = |id: &ServerId| usize::from(id.as_ref() >= "c");
    let (_, first) = sent_attempts(&harness.request("j")).remove(0);
    let (_, second) = sent_attempts(&harness.attempt_ended("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only servers of the group discard the repeat");
    harness.now += 2.0;
    let out = harness.attempt_ended("j", 1, &second, Status::Error);
    assert_eq!(
        (sent_attempts(&out).len(), refused_count(&out), failed_count(&out)),
        (0, 0, 1),
        "the group no longer recognises a repeat"
    );
}

#[test]
fn attempts_of_a_deduplicated_request_must_be_sent_within_the_window_of_the_first() {
    let send_by = |out: &[Action]| match out.iter().find(|a| matches!(a, Action::Send { .. })) {
        Some(Action::Send { send_by, server, .. }) => (*send_by, server.clone()),
        _ => panic!("no attempt was sent"),
    };
    let mut harness = Harness::new(without_quota(Effect::Deduplicated { group: Group::All, window: 1.0 }));
    let start = harness.now;
    let (first, server) = send_by(&harness.request("j"));
    assert_eq!(first, start + 1.0, "a hedged attempt may run before it");
    harness.now += 0.5;
    assert_eq!(send_by(&harness.attempt_ended("j", 0, &server, Status::Reset)).0, first);
    for effect in
        [Effect::Deduplicated { group: Group::All, window: 0.0 }, Effect::Idempotent, Effect::AtMostOnce]
    {
        let mut harness = Harness::new(without_quota(effect));
        assert_eq!(send_by(&harness.request("j")).0, f64::INFINITY, "{effect:?}");
    }
}

#[test]
fn no_hedged_attempt_where_hedging_is_not_allowed() {
    let mut s = without_quota(Effect::Idempotent);
    s.hedging_allowed = false;
    let mut harness = Harness::new(s);
    let out = harness.request("j");
    assert_eq!(sent_attempts(&out).len(), 1);
    assert!(!out.iter().any(|a| matches!(a, Action::Timer { .. })), "no timer for a hedged attempt");
}

#[test]
fn a_draining_or_unlisted_server_gets_no_new_attempts() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    harness.update_servers(ListKind::Changes, vec![server("a", Lifecycle::Draining, 0.0)]);
    harness.update_servers(
        ListKind::Full,
        vec![server("a", Lifecycle::Draining, 0.0), server("b", Lifecycle::Running, 0.0)],
    );
    for i in 0..20 {
        for (job, to) in sent_attempts(&harness.request(&format!("j{i}"))) {
            assert_eq!(to.as_ref(), "b");
            harness.attempt_ended(&job, 0, &to, Status::Ok);
        }
    }
    harness.update_servers(ListKind::Full, vec![]);
    assert_eq!(refused_count(&harness.request("last")), 1, "without servers a request is refused at once");
}

#[test]
fn a_cold_server_gets_a_small_share_of_the_attempts() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    harness.update_servers(ListKind::Changes, vec![server("a", Lifecycle::Running, 99.9)]);
    let mut sent_to_cold = 0;
    for i in 0..90 {
        harness.now += 0.01;
        for (job, to) in sent_attempts(&harness.request(&format!("j{i}"))) {
            sent_to_cold += usize::from(to.as_ref() == "a");
            harness.attempt_ended(&job, 0, &to, Status::Ok);
        }
    }
    assert!(sent_to_cold <= 12, "{sent_to_cold} of 90 attempts were sent to the cold one of three servers");
}

#[test]
fn a_server_that_answers_after_failed_connections_starts_slowly_without_a_list_entry() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    harness.update_servers(ListKind::Full, vec![server("a", Lifecycle::Running, 0.0)]);
    harness.request("j0");
    harness.attempt_ended("j0", 0, &"a".into(), Status::ConnectFailed);
    harness.now += 2.0;
    harness.request("j1");
    harness.attempt_ended("j1", 0, &"a".into(), Status::Ok);
    let sent = (2..20).map(|i| sent_attempts(&harness.request(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} attempts sent at once to a server that may be cold");
}

#[test]
fn without_the_counter_a_restarted_gateway_has_no_even_share_under_a_ceiling_at_first() {
    let mut s = settings();
    s.has_counter = false;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (17.0, 34.0);
    let mut harness = Harness::new(s);
    let at_once = (0..30).map(|i| sent_attempts(&harness.request(&format!("a{i}"))).len()).sum::<usize>();
    assert_eq!(at_once, 0);
    harness.now += 100.0;
    let later = (0..30).map(|i| sent_attempts(&harness.request(&format!("b{i}"))).len()).sum::<usize>();
    assert!(later <= 7, "{later}: the even share of the room between quota and ceiling is at most 7");
}

#[test]
fn time_outs_in_an_overload_do_not_eject_the_fleet() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    for i in 0..12 {
        for (job, to) in sent_attempts(&harness.request(&format!("j{i}"))) {
            harness.attempt_ended(&job, 0, &to, Status::Timeout);
        }
    }
    harness.now += 0.1;
    assert_eq!(sent_attempts(&harness.request("after")).len(), 1);
}

#[test]
fn an_unrepeatable_request_has_no_hedged_attempt_and_no_retry() {
    let mut harness = Harness::new(without_quota(Effect::Idempotent));
    let (_, server) = sent_attempts(&harness.request("j")).remove(0);
    assert!(harness.handle_event(Event::Unrepeatable { job: "j".into() }).is_empty());
    let timers = harness.actions.clone().into_iter().filter_map(|a| match a {
        Action::Timer { token, .. } => Some(token),
        _ => None,
    });
    harness.now += 0.9;
    let out: Vec<Action> = timers.flat_map(|token| harness.handle_event(Event::Timer { token })).collect();
    assert!(sent_attempts(&out).is_empty(), "a hedged attempt was sent");
    let out = harness.attempt_ended("j", 0, &server, Status::Rejected);
    assert_eq!((sent_attempts(&out).len(), refused_count(&out)), (0, 1));
}

#[test]
fn a_server_that_rejects_is_ejected_for_a_time_that_differs_between_gateways() {
    // Seconds until a gateway sends to the rejecting server again, while the other servers are equally loaded.
    let ejection_time = |seed: u64| {
        let gateway = Gateway::new(without_quota(Effect::Idempotent), seed).expect("usable settings");
        let mut harness = Harness { gateway, now: 100.0, actions: Vec::new() };
        let servers = ["a", "b", "c"].map(|n| server(n, Lifecycle::Running, 0.0)).to_vec();
        harness.update_servers(ListKind::Stale, servers);
        let (job, rejecting) = sent_attempts(&harness.request("rejected")).remove(0);
        harness.attempt_ended(&job, 0, &rejecting, Status::Rejected);
        for i in 0..400 {
            harness.now += 0.01;
            for (job, server) in sent_attempts(&harness.request(&format!("j{i}"))) {
                if server == rejecting {
                    return harness.now - 100.0;
                }
                harness.attempt_ended(&job, 0, &server, Status::Ok);
            }
        }
        f64::INFINITY
    };
    let times: Vec<f64> = (0..20).map(ejection_time).collect();
    let (first, last) =
        times.iter().fold((f64::INFINITY, 0.0), |(a, b): (f64, f64), t| (a.min(*t), b.max(*t)));
    assert!(first > 0.3 && last < 2.0, "{times:?}");
    assert!(last - first > 0.3, "the gateways return at different times: {times:?}");
}
