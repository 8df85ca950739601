//! What a gateway grants that lost its power, from what it had written down: over random histories, and at the edges.

mod common;
use common::*;
use opalrun_gateway::*;

const BURST: f64 = 8.0;
const RATE: f64 = 0.5;

/// Gateway `me` of `n`, with the counter silent.
fn start(me: u32, n: u32, now: Time) -> Harness {
    let mut s = settings();
    (s.gateway_index, s.gateway_count, s.has_counter, s.max_attempts, s.warm_up) = (me, n, false, 1, 0.0);
    s.plans = vec![plan(RATE, BURST)];
    let mut rig = Harness::new(s);
    rig.now = now;
    rig
}

/// Asks once and ends what is sent; whether it was.
fn sent(rig: &mut Harness, job: &str, spread: u32) -> bool {
    let request = Request { spread, ..request(job, rig.now) };
    let out = rig.handle_event(Event::Request(request));
    let sends = sent_attempts(&out);
    for (job, server) in &sends {
        rig.attempt_ended(job, 0, server, Status::Ok);
    }
    !sends.is_empty()
}

fn ledger(rig: &Harness) -> Option<Ledger> {
    Some(rig.gateway.ledger(rig.now, "c", 1.0)?.1)
}

/// A random history of `n` gateways, of which now and then one or all lose power; what they granted, and the most
/// that a quota of burst and rate over that time and the floor of one request at each gives.
fn history(seed: u64, keeps: bool) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = rng.u32(2..6);
    let (begin, mut now, mut granted) = (100.0, 100.0, 0.0);
    let mut rigs: Vec<Harness> = (0..n).map(|me| start(me, n, begin)).collect();
    let mut disks: Vec<Option<Ledger>> = vec![None; n as usize];
    let (mut written, mut missing) = (vec![begin; n as usize], vec![false; n as usize]);
    for step in 0..400 {
        now += rng.f64() * 0.3;
        let at = rng.usize(..n as usize);
        rigs[at].now = now;
        if sent(&mut rigs[at], &format!("j{step}"), n) {
            granted += 1.0;
            // One send may be missing on a disk that knows the customer: the block written ahead covers it.
            missing[at] = !missing[at] && disks[at].is_some() && rng.bool();
            if !missing[at] {
                (disks[at], written[at]) = (ledger(&rigs[at]), now);
            }
        }
        if rng.u8(..) < 12 {
            let outage = rng.f64() * 20.0;
            let whole = rng.bool();
            now += outage;
            for at in (0..n as usize).filter(|i| whole || *i == at) {
                rigs[at] = start(at as u32, n, now);
                missing[at] = false;
                let kept = disks[at].clone().filter(|_| keeps).map(|ledger| {
                    // Another boot may prove less than what has passed.
                    let ago = (now - written[at]) * if rng.bool() { 1.0 } else { rng.f64() };
                    ("c".into(), 0, ago, ledger)
                });
                let kept =
                    RecoveredState { customers: kept.into_iter().collect(), ..RecoveredState::default() };
                rigs[at].gateway.recover(now, kept);
            }
        }
    }
    let floor = (BURST / f64::from(n)).max(1.0) * f64::from(n);
    (granted, floor + RATE * (now - begin))
}

#[test]
fn no_history_of_power_losses_grants_more_than_the_shares_with_a_disk_and_some_do_without() {
    let mut passed = 0;
    for seed in 0..300 {
        let (granted, most) = history(seed, true);
        assert!(granted <= most + 1e-6, "seed {seed}: {granted} of {most}");
        let (granted, most) = history(seed, false);
        passed += usize::from(granted > most);
    }
    assert!(passed > 30, "{passed} of 300 histories without a disk granted more");
}

#[test]
fn a_lease_is_spent_again_only_within_its_window_and_if_the_time_away_is_known() {
    // Windows of 16 s: four bursts over the rate, at the customer's own phase.
    let mut s = settings();
    (s.plans, s.warm_up) = (vec![plan(2.0, 8.0)], 0.0);
    let (mut counter, mut rig) = (InstantCounter::default(), Harness::new(s.clone()));
    assert_eq!(counter.request_many(&mut rig, "before", 1), 1);
    let (_, mut ledger) = rig.gateway.ledger(rig.now, "c", 0.0).expect("it is known");
    ledger.lease = 3.0;
    let spent = |away: f64, most: Option<f64>| {
        let mut heir = Harness::new(s.clone());
        heir.now = rig.now + away;
        let kept = RecoveredState {
            customers: vec![("c".into(), 0, away, ledger.clone())],
            max_elapsed: most,
            ..RecoveredState::default()
        };
        heir.gateway.recover(heir.now, kept);
        heir.gateway.ledger(heir.now, "c", 0.0).expect("it is known").1.lease
    };
    let same = |away: f64| {
        let mut other = Harness::new(s.clone());
        other.now = rig.now + away;
        InstantCounter::default().request(&mut other, "w");
        other.gateway.ledger(other.now, "c", 0.0).expect("it is known").1.window == ledger.window
    };
    let end = (1..400).map(|i| f64::from(i) * 0.1).find(|away| !same(*away)).expect("windows turn");
    assert_eq!(spent(0.05, Some(0.07)), if end > 0.2 { 3.0 } else { 0.0 });
    assert_eq!(spent(0.05, None), 0.0, "nobody knows how long it was");
    assert_eq!(spent(end, Some(end + 0.02)), 0.0, "its window is over");
    assert_eq!(spent(end + 16.0, Some(end + 16.02)), 0.0);
    // The wall clock was set back, so that it looks like the same window: the kernel knows better.
    assert_eq!(spent(0.05, Some(500.0)), 0.0);
}

#[test]
fn customers_of_whom_all_is_lost_begin_at_nothing_and_ceilings_always_do() {
    let mut rig = start(0, 2, 100.0);
    rig.gateway.recover(100.0, RecoveredState { others_spent: Some(0.0), ..RecoveredState::default() });
    assert!(!sent(&mut rig, "at once", 2));
    // A share of half a unit in two seconds.
    rig.now = 104.5;
    assert!(sent(&mut rig, "refilled since", 2));
    let mut s = settings();
    (s.has_counter, s.warm_up) = (false, 0.0);
    s.plans = vec![plan(1.0, 4.0)];
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (2.0, 8.0);
    let mut rig = Harness::new(s);
    let ledger = Ledger { spread: 2, share: 4.0, ..Ledger::default() };
    rig.gateway.recover(
        100.0,
        RecoveredState { customers: vec![("c".into(), 0, 50.0, ledger)], ..RecoveredState::default() },
    );
    assert!(!sent(&mut rig, "under a ceiling", 2));
}

#[test]
fn what_is_on_disk_of_plans_and_gateways_that_are_gone_is_passed_over() {
    let mut rig = start(0, 2, 100.0);
    let ledger = Ledger { spread: 900, share: 1e9, owed: 2.0, ..Ledger::default() };
    let customers = vec![("c".into(), 0, 1.0, ledger.clone()), ("d".into(), 7, 1.0, ledger)];
    rig.gateway.recover(
        100.0,
        RecoveredState { customers, offline_servers: vec!["a".into()], ..RecoveredState::default() },
    );
    assert_eq!(rig.gateway.customers().map(|id| &**id).collect::<Vec<_>>(), ["c"]);
    let (plan, kept) = rig.gateway.ledger(100.0, "c", 0.0).expect("it is known");
    assert_eq!((plan, kept.spread, kept.owed), (0, 2, 2.0));
    assert!(kept.share <= BURST / 2.0, "no more than a fresh share: {}", kept.share);
    let to_a = (0..20).filter(|i| {
        sent_attempts(
            &rig.handle_event(Event::Request(Request { plan: 0, ..request(&format!("x{i}"), rig.now) })),
        )
        .iter()
        .any(|(_, s)| &**s == "a")
    });
    assert_eq!(to_a.count(), 0, "it is out by hand");
}
