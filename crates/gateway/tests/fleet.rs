//! Behaviour of many gateways together, each with little load.

mod common;
use common::*;
use opalrun_gateway::*;
use std::collections::BTreeSet;

/// Creates `n` gateways with the same settings and servers.
fn fleet(n: u32, settings: &Settings, servers: &[Server]) -> Vec<Harness> {
    let harness = |index: u32| {
        let mut s = settings.clone();
        (s.gateway_index, s.gateway_count) = (index, n);
        let gateway = Gateway::new(s, u64::from(index) * 7919 + 1).expect("usable settings");
        let mut harness = Harness { gateway, now: 100.0, actions: Vec::new() };
        harness.update_servers(ListKind::Stale, servers.to_vec());
        harness
    };
    (0..n).map(harness).collect()
}

fn servers(n: u32) -> Vec<Server> {
    (0..n).map(|i| server(&format!("s{i:03}"), Lifecycle::Running, 0.0)).collect()
}

/// Sends one request through `harness` and answers it with success after 100 ms if it is sent; returns the server it was sent to.
fn send_one(harness: &mut Harness, job: &str, spread: u32) -> Option<ServerId> {
    let mut request = request(job, harness.now);
    request.spread = spread;
    let out = harness.handle_event(Event::Request(request));
    let (job, server) = sent_attempts(&out).pop()?;
    harness.attempt_ended(&job, 0, &server, Status::Ok);
    Some(server)
}

#[test]
fn hundreds_of_gateways_that_learn_of_a_new_server_at_once_do_not_overload_it() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let (n, warmed_up) = (200, servers(9));
    let mut harnesses = fleet(n, &s, &warmed_up);
    let mut sent = 0.0;
    let mut to_new = 0.0;
    for step in 0..80 {
        let now = 100.0 + f64::from(step) * 0.1;
        for (i, harness) in harnesses.iter_mut().enumerate() {
            harness.now = now;
            if step == 70 {
                harness.update_servers(ListKind::Changes, vec![server("s000", Lifecycle::Running, now)]);
            }
            if (i + step as usize).is_multiple_of(5) {
                let server = send_one(harness, &format!("{i}-{step}"), n);
                sent += f64::from(u8::from(server.is_some() && step < 70));
                to_new += f64::from(u8::from(server.as_deref() == Some("s000") && step >= 70));
            }
        }
    }
    let rate_per_server = sent / 7.0 / 9.0; // Requests a second in the first 7 s, by 9 servers.
    let max_sent = s.overload_factor * s.initial_capacity_share * rate_per_server * s.overload_window;
    assert!(to_new > 0.0, "the new server gets no requests");
    assert!(
        to_new <= max_sent,
        "{to_new} sent in the overload window, more than {max_sent} overload the server"
    );
}

#[test]
fn gateways_with_subsets_of_the_servers_together_give_servers_in_warm_up_their_share() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let (n, count) = (100, 60);
    let mut harnesses = fleet(n, &s, &servers(count));
    let (mut to_warmed_up, mut to_warming_up) = (0.0, 0.0);
    for step in 0..750 {
        let now = 100.0 + f64::from(step) * 0.02;
        for (i, harness) in harnesses.iter_mut().enumerate() {
            harness.now = now;
            if step == 500 {
                let restarted = servers(count / 2).into_iter().map(|s| Server { started: now, ..s });
                harness.update_servers(ListKind::Changes, restarted.collect());
            }
            if (i + step as usize).is_multiple_of(10) {
                let server = send_one(harness, &format!("{i}-{step}"), n);
                if step >= 500 {
                    let is_warming_up = server.as_deref().is_some_and(|id| id < "s030");
                    *(if is_warming_up { &mut to_warming_up } else { &mut to_warmed_up }) +=
                        f64::from(u8::from(server.is_some()));
                }
            }
        }
    }
    // Mean capacity share of the restarted servers in the 5 s after the restart: that at 2.5 s.
    let capacity_share = s.initial_capacity_share + (1.0 - s.initial_capacity_share) * 2.5 / s.warm_up;
    let (min_sent, max_sent) =
        (0.5 * capacity_share * to_warmed_up, s.overload_factor * capacity_share * to_warmed_up);
    assert!(
        to_warming_up > min_sent,
        "{to_warming_up} sent to the restarted half, {to_warmed_up} to the other"
    );
    assert!(
        to_warming_up < max_sent,
        "{to_warming_up} sent to the restarted half, {to_warmed_up} to the other"
    );
}

#[test]
fn shares_below_one_request_stay_within_the_ceiling_even_if_most_gateways_restart() {
    let mut s = settings();
    s.has_counter = false;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (18.0, 36.0);
    let n = 60;
    let mut harnesses = fleet(n, &s, &servers(9));
    let mut sent = 0.0;
    for step in 0..100 {
        if step == 50 {
            for (old, new) in harnesses.iter_mut().zip(fleet(n, &s, &servers(9))).take(50) {
                *old = new;
            }
        }
        for (i, harness) in harnesses.iter_mut().enumerate() {
            harness.now = 100.0 + f64::from(step) * 0.1;
            sent += f64::from(u8::from(send_one(harness, &format!("{i}-{step}"), n).is_some()));
        }
    }
    let headroom = 16.0 + 8.0 * 10.0; // Burst and rate between quota and ceiling, over 10 s.
    assert!(sent <= headroom, "{sent} sent without the counter, {headroom} are between quota and ceiling");
    assert!(sent >= 0.5 * headroom, "{sent} sent: shares below one request still grant requests");
}

#[test]
fn one_of_many_gateways_uses_few_servers_and_all_together_use_most() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let mut harnesses = fleet(100, &s, &servers(60));
    let used: BTreeSet<ServerId> =
        (0..200).filter_map(|i| send_one(&mut harnesses[3], &format!("j{i}"), 1)).collect();
    assert!((2..=12).contains(&used.len()), "{} servers used", used.len());
    let first_servers: BTreeSet<ServerId> =
        harnesses.iter_mut().filter_map(|harness| send_one(harness, "first", 1)).collect();
    assert!(first_servers.len() >= 30, "all gateways together use {} servers", first_servers.len());
}

/// Returns how many of 300 requests at one gateway are refused at once if `lost` of ten attempts time out.
fn refused_when_lost(lost: usize) -> usize {
    let mut s = settings();
    (s.plans, s.gateway_count) = (vec![Plan::default()], 20);
    let mut harness = Harness::new(s);
    let mut total = 0;
    for i in 0..300 {
        harness.now += 0.1;
        let out = harness.request(&format!("j{i}"));
        total += refused_count(&out);
        for (job, server) in sent_attempts(&out) {
            let (status, elapsed) =
                if i * 3 % 10 < lost { (Status::Timeout, 1.0) } else { (Status::Ok, 0.03) };
            let over = status == Status::Ok;
            let load = Load::default();
            harness.handle_event(Event::AttemptEnded {
                job,
                attempt: 0,
                server,
                status,
                elapsed,
                over,
                settled: None,
                load,
            });
        }
    }
    total
}

#[test]
fn four_in_ten_time_outs_are_no_overload_but_eight_in_ten_are() {
    assert!(refused_when_lost(4) <= 3, "{} refused when four in ten attempts time out", refused_when_lost(4));
    let refused = refused_when_lost(8);
    assert!(refused >= 30, "{refused} refused when eight in ten attempts time out");
}

#[test]
fn constantly_long_answers_are_no_sign_of_overload_but_longer_ones_are() {
    // Returns how many of six concurrent requests are sent after answers that took these times, in seconds.
    let sent_after = |answers: &[f64]| {
        let mut s = settings();
        s.plans[0].rate = 0.0; // No quota: only the fleet's load limits requests.
        let mut harness = Harness::new(s);
        for (i, &elapsed) in answers.iter().enumerate() {
            harness.now += 0.05;
            for (job, server) in sent_attempts(&harness.request(&format!("a{i}"))) {
                let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
                harness.handle_event(Event::AttemptEnded {
                    job,
                    attempt,
                    server,
                    status,
                    elapsed,
                    over,
                    settled,
                    load,
                });
            }
        }
        (0..6).map(|i| sent_attempts(&harness.request(&format!("b{i}"))).len()).sum::<usize>()
    };
    assert_eq!(sent_after(&[0.15; 40]), 6, "answers take as long as before: nothing is queued");
    assert!(
        sent_after(&[[0.15; 40], [0.6; 40]].concat()) < 6,
        "answers take four times as long: requests are queued"
    );
}

#[test]
fn an_offline_server_stays_offline_whatever_discovery_lists_and_warms_up_once_online() {
    let mut free = settings();
    free.plans = vec![Plan::default()];
    let mut harness = Harness::new(free);
    assert!(!harness.gateway.set_offline(harness.now, "nonesuch", true), "never listed");
    assert!(!harness.gateway.set_offline(harness.now, "nonesuch", false));
    for id in ["a", "b"] {
        assert!(
            harness.gateway.set_offline(harness.now, id, true)
                && harness.gateway.set_offline(harness.now, id, true)
        );
    }
    // Discovery lists server a as running, draining, and restarted.
    for (lifecycle, started) in
        [(Lifecycle::Running, 99.0), (Lifecycle::Draining, 99.0), (Lifecycle::Running, 99.5)]
    {
        harness.update_servers(ListKind::Changes, vec![server("a", lifecycle, started)]);
    }
    for i in 0..6 {
        assert!(sent_attempts(&harness.request(&format!("j{i}"))).iter().all(|(_, s)| &**s == "c"));
    }
    assert!(
        harness.gateway.set_offline(harness.now, "a", false),
        "one online call undoes several offline calls"
    );
    assert!(
        harness.gateway.set_offline(harness.now, "c", false),
        "an online call for an online server changes nothing"
    );
    let mut used = std::collections::BTreeMap::<_, u32>::new();
    for i in 0..60 {
        harness.now += 0.05;
        for (job, server) in sent_attempts(&harness.request(&format!("k{i}"))) {
            *used.entry(server.to_string()).or_default() += 1;
            harness.attempt_ended(&job, 0, &server, Status::Ok);
        }
    }
    assert!(used.get("a").is_some_and(|n| *n * 2 < used["c"]), "used, but less while it warms up: {used:?}");
    assert!(!used.contains_key("b"));
}

#[test]
fn repeated_restarts_of_all_servers_do_not_reduce_what_is_sent_further_each_time() {
    let mut s = settings();
    (s.plans, s.overload_factor) = (vec![Plan::default()], 3.0);
    let mut harness = fleet(1, &s, &servers(3)).remove(0);
    let mut sent = [0; 13];
    for step in 0..1300 {
        harness.now = 100.0 + f64::from(step) * 0.05;
        // All servers restart every 5 s, so they never complete their warm-up.
        if step > 0 && step % 100 == 0 {
            let now = harness.now;
            harness.update_servers(
                ListKind::Full,
                (0..3).map(|i| server(&format!("s{i:03}"), Lifecycle::Running, now)).collect(),
            );
        }
        sent[step as usize / 100] += usize::from(send_one(&mut harness, &step.to_string(), 1).is_some());
    }
    assert_eq!(sent[0], 100, "all requests before the first restart");
    assert!((1..50).contains(&sent[1]), "{sent:?}");
    assert!(sent[12] * 2 > sent[1], "{sent:?}");
}

#[test]
fn a_server_that_answers_an_open_request_after_a_failed_connect_has_not_restarted() {
    // Returns how many of twenty requests the server gets once its back-off is over. `has_answered`: whether it answers the
    // request that was open when the connect failed.
    let sent = |has_answered: bool| {
        let mut s = settings();
        s.plans = vec![Plan::default()];
        let mut harness = fleet(1, &s, &servers(1)).remove(0);
        for i in 0..100 {
            harness.now += 0.05;
            send_one(&mut harness, &format!("warm{i}"), 1);
        }
        let send = |harness: &mut Harness, job: &str| sent_attempts(&harness.request(job)).remove(0).1;
        let server = send(&mut harness, "open");
        if !has_answered {
            harness.attempt_ended("open", 0, &server, Status::Reset);
        }
        send(&mut harness, "fails");
        harness.attempt_ended("fails", 0, &server, Status::ConnectFailed);
        if has_answered {
            harness.now += 0.1;
            harness.attempt_ended("open", 0, &server, Status::Ok);
        }
        harness.now += 2.0;
        (0..20).filter(|i| send_one(&mut harness, &format!("after{i}"), 1).is_some()).count()
    };
    assert_eq!(sent(true), 20);
    assert!(sent(false) < 10, "a server that may have restarted gets few requests at first: {}", sent(false));
}
