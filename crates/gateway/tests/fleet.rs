//! Many gateways of little load, driven together: what they do in sum.

mod common;
use common::*;
use opalrun_gateway::*;
use std::collections::BTreeSet;

fn fleet(n: u32, settings: &Settings, servers: &[Server]) -> Vec<Harness> {
    let rig = |me: u32| {
        let mut s = settings.clone();
        (s.gateway_index, s.gateway_count) = (me, n);
        let gateway = Gateway::new(s, u64::from(me) * 7919 + 1).expect("usable settings");
        let mut rig = Harness { gateway, now: 100.0, actions: Vec::new() };
        rig.update_servers(ListKind::Stale, servers.to_vec());
        rig
    };
    (0..n).map(rig).collect()
}

fn servers(n: u32) -> Vec<Server> {
    (0..n).map(|i| server(&format!("s{i:03}"), Lifecycle::Running, 0.0)).collect()
}

/// One request through `rig`, answered in 50 ms if sent; the server it went to.
fn one(rig: &mut Harness, job: &str, spread: u32) -> Option<ServerId> {
    let mut request = request(job, rig.now);
    request.spread = spread;
    let out = rig.handle_event(Event::Request(request));
    let (job, server) = sent_attempts(&out).pop()?;
    rig.attempt_ended(&job, 0, &server, Status::Ok);
    Some(server)
}

#[test]
fn hundreds_told_of_a_cold_server_at_one_instant_do_not_push_it_over() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let (n, warm) = (200, servers(9));
    let mut rigs = fleet(n, &s, &warm);
    let mut sent = 0.0;
    let mut to_cold = 0.0;
    for step in 0..80 {
        let now = 100.0 + f64::from(step) * 0.1;
        for (i, rig) in rigs.iter_mut().enumerate() {
            rig.now = now;
            if step == 70 {
                rig.update_servers(ListKind::Changes, vec![server("s000", Lifecycle::Running, now)]);
            }
            if (i + step as usize).is_multiple_of(5) {
                let server = one(rig, &format!("{i}-{step}"), n);
                sent += f64::from(u8::from(server.is_some() && step < 70));
                to_cold += f64::from(u8::from(server.as_deref() == Some("s000") && step >= 70));
            }
        }
    }
    let each = sent / 7.0 / 9.0; // What a server carried, a second.
    let may = s.overload_factor * s.initial_capacity_share * each * s.overload_window;
    assert!(to_cold > 0.0, "a cold server is not left idle");
    assert!(to_cold <= may, "{to_cold} sent in the fall span, {may} would push it over");
}

#[test]
fn gateways_that_each_use_a_part_of_the_list_give_cold_servers_their_due_together() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let (n, count) = (100, 60);
    let mut rigs = fleet(n, &s, &servers(count));
    let (mut to_warm, mut to_cold) = (0.0, 0.0);
    for step in 0..750 {
        let now = 100.0 + f64::from(step) * 0.02;
        for (i, rig) in rigs.iter_mut().enumerate() {
            rig.now = now;
            if step == 500 {
                let cold = servers(count / 2).into_iter().map(|s| Server { started: now, ..s });
                rig.update_servers(ListKind::Changes, cold.collect());
            }
            if (i + step as usize).is_multiple_of(10) {
                let server = one(rig, &format!("{i}-{step}"), n);
                if step >= 500 {
                    let cold = server.as_deref().is_some_and(|id| id < "s030");
                    *(if cold { &mut to_cold } else { &mut to_warm }) +=
                        f64::from(u8::from(server.is_some()));
                }
            }
        }
    }
    let warmth = s.initial_capacity_share + (1.0 - s.initial_capacity_share) * 2.5 / s.warm_up; // Half way through these 5 s.
    let (least, may) = (0.5 * warmth * to_warm, s.overload_factor * warmth * to_warm);
    assert!(to_cold > least, "{to_cold} sent to the cold half, {to_warm} to the warm half");
    assert!(to_cold < may, "{to_cold} sent to the cold half, {to_warm} to the warm half");
}

#[test]
fn shares_under_one_request_keep_the_ceiling_even_when_most_gateways_restart() {
    let mut s = settings();
    s.has_counter = false;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (18.0, 36.0);
    let n = 60;
    let mut rigs = fleet(n, &s, &servers(9));
    let mut sent = 0.0;
    for step in 0..100 {
        if step == 50 {
            for (old, new) in rigs.iter_mut().zip(fleet(n, &s, &servers(9))).take(50) {
                *old = new;
            }
        }
        for (i, rig) in rigs.iter_mut().enumerate() {
            rig.now = 100.0 + f64::from(step) * 0.1;
            sent += f64::from(u8::from(one(rig, &format!("{i}-{step}"), n).is_some()));
        }
    }
    let room = 16.0 + 8.0 * 10.0; // Between quota and ceiling, in burst and in ten seconds.
    assert!(sent <= room, "{sent} sent off the count, {room} stand between quota and ceiling");
    assert!(sent >= 0.5 * room, "{sent} sent: shares under one request still serve");
}

#[test]
fn a_gateway_of_many_keeps_to_few_servers() {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    let mut rigs = fleet(100, &s, &servers(60));
    let all: BTreeSet<ServerId> = (0..200).filter_map(|i| one(&mut rigs[3], &format!("j{i}"), 1)).collect();
    assert!((2..=12).contains(&all.len()), "{} servers used", all.len());
    let firsts: BTreeSet<ServerId> = rigs.iter_mut().filter_map(|rig| one(rig, "first", 1)).collect();
    assert!(firsts.len() >= 30, "together they use the fleet: {}", firsts.len());
}

/// Of 300 requests at one gateway, how many are turned away at once when `lost` in ten attempts never answer.
fn refused_when_lost(lost: usize) -> usize {
    let mut s = settings();
    (s.plans, s.gateway_count) = (vec![Plan::default()], 20);
    let mut rig = Harness::new(s);
    let mut total = 0;
    for i in 0..300 {
        rig.now += 0.1;
        let out = rig.request(&format!("j{i}"));
        total += refused_count(&out);
        for (job, server) in sent_attempts(&out) {
            let (status, spent) = if i * 3 % 10 < lost { (Status::Timeout, 1.0) } else { (Status::Ok, 0.03) };
            let over = status == Status::Ok;
            let load = Load::default();
            rig.handle_event(Event::AttemptEnded {
                job,
                attempt: 0,
                server,
                status,
                elapsed: spent,
                over,
                settled: None,
                load,
            });
        }
    }
    total
}

#[test]
fn lost_answers_are_no_overload_but_a_fleet_that_times_out_is() {
    assert!(refused_when_lost(4) <= 3, "four lost in ten turn nearly nobody away: {}", refused_when_lost(4));
    let turned_away = refused_when_lost(8);
    assert!(turned_away >= 30, "{turned_away} turned away at once when eight in ten time out");
}

#[test]
fn work_that_itself_takes_long_is_no_sign_of_a_full_fleet() {
    // How many of six at once are sent after answers that took so long.
    let sent_after = |answers: &[f64]| {
        let mut s = settings();
        s.plans[0].rate = 0.0; // No quota: the fleet alone decides.
        let mut rig = Harness::new(s);
        for (i, &spent) in answers.iter().enumerate() {
            rig.now += 0.05;
            for (job, server) in sent_attempts(&rig.request(&format!("a{i}"))) {
                let (attempt, status, over, settled, load) = (0, Status::Ok, true, None, Load::default());
                rig.handle_event(Event::AttemptEnded {
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
        (0..6).map(|i| sent_attempts(&rig.request(&format!("b{i}"))).len()).sum::<usize>()
    };
    assert_eq!(sent_after(&[0.15; 40]), 6, "as long as ever: nothing waits");
    assert!(sent_after(&[[0.15; 40], [0.6; 40]].concat()) < 6, "four times as long: much waits");
}

#[test]
fn a_server_out_by_hand_stays_out_whatever_the_list_and_is_cold_when_back() {
    let mut free = settings();
    free.plans = vec![Plan::default()];
    let mut rig = Harness::new(free);
    assert!(!rig.gateway.set_offline(rig.now, "nonesuch", true), "never listed");
    assert!(!rig.gateway.set_offline(rig.now, "nonesuch", false));
    for id in ["a", "b"] {
        assert!(rig.gateway.set_offline(rig.now, id, true) && rig.gateway.set_offline(rig.now, id, true));
    }
    // Listed anew, restarted, drained and back.
    for (lifecycle, started) in
        [(Lifecycle::Running, 99.0), (Lifecycle::Draining, 99.0), (Lifecycle::Running, 99.5)]
    {
        rig.update_servers(ListKind::Changes, vec![server("a", lifecycle, started)]);
    }
    for i in 0..6 {
        assert!(sent_attempts(&rig.request(&format!("j{i}"))).iter().all(|(_, s)| &**s == "c"));
    }
    assert!(rig.gateway.set_offline(rig.now, "a", false), "one call back ends it");
    assert!(rig.gateway.set_offline(rig.now, "c", false), "one that is not out is left as it is");
    let mut used = std::collections::BTreeMap::<_, u32>::new();
    for i in 0..60 {
        rig.now += 0.05;
        for (job, server) in sent_attempts(&rig.request(&format!("k{i}"))) {
            *used.entry(server.to_string()).or_default() += 1;
            rig.attempt_ended(&job, 0, &server, Status::Ok);
        }
    }
    assert!(used.get("a").is_some_and(|n| *n * 2 < used["c"]), "used, but as a cold one: {used:?}");
    assert!(!used.contains_key("b"));
}

#[test]
fn a_fleet_that_starts_over_and_over_is_not_sent_less_each_time() {
    let mut s = settings();
    (s.plans, s.overload_factor) = (vec![Plan::default()], 3.0);
    let mut rig = fleet(1, &s, &servers(3)).remove(0);
    let mut sent = [0; 13];
    for step in 0..1300 {
        rig.now = 100.0 + f64::from(step) * 0.05;
        // All of them are cold from 5 s on, and never get to be warm.
        if step > 0 && step % 100 == 0 {
            let now = rig.now;
            rig.update_servers(
                ListKind::Full,
                (0..3).map(|i| server(&format!("s{i:03}"), Lifecycle::Running, now)).collect(),
            );
        }
        sent[step as usize / 100] += usize::from(one(&mut rig, &step.to_string(), 1).is_some());
    }
    assert_eq!(sent[0], 100, "all, while they are warm");
    assert!((1..50).contains(&sent[1]), "{sent:?}");
    assert!(sent[12] * 2 > sent[1], "{sent:?}");
}

#[test]
fn a_server_that_answers_what_it_had_when_a_connection_failed_is_not_thought_cold() {
    // How many of twenty it gets, once it may be sent to again.
    let sent = |lived: bool| {
        let mut s = settings();
        s.plans = vec![Plan::default()];
        let mut rig = fleet(1, &s, &servers(1)).remove(0);
        for i in 0..100 {
            rig.now += 0.05;
            one(&mut rig, &format!("warm{i}"), 1);
        }
        let begins = |rig: &mut Harness, job: &str| sent_attempts(&rig.request(job)).remove(0).1;
        let server = begins(&mut rig, "had");
        if !lived {
            rig.attempt_ended("had", 0, &server, Status::Reset);
        }
        begins(&mut rig, "fails");
        rig.attempt_ended("fails", 0, &server, Status::ConnectFailed);
        if lived {
            rig.now += 0.1;
            rig.attempt_ended("had", 0, &server, Status::Ok);
        }
        rig.now += 2.0;
        (0..20).filter(|i| one(&mut rig, &format!("after{i}"), 1).is_some()).count()
    };
    assert_eq!(sent(true), 20);
    assert!(sent(false) < 10, "one that may have restarted gets little at first: {}", sent(false));
}
