//! What a gateway grants after a power loss, from the state that it has on disk: random histories, and boundary cases.

mod common;
use common::*;
use opalrun_gateway::*;

const BURST: f64 = 8.0;
const RATE: f64 = 0.5;

/// Starts gateway `index` of `count`, without a counter.
fn start(index: u32, count: u32, now: Time) -> Harness {
    let mut s = settings();
    (s.gateway_index, s.gateway_count, s.has_counter, s.max_attempts, s.warm_up) =
        (index, count, false, 1, 0.0);
    s.plans = vec![plan(RATE, BURST)];
    let mut harness = Harness::new(s);
    harness.now = now;
    harness
}

/// Sends one request and ends its attempts with success; returns whether any attempt was sent.
fn is_sent(harness: &mut Harness, job: &str, spread: u32) -> bool {
    let request = Request { spread, ..request(job, harness.now) };
    let out = harness.handle_event(Event::Request(request));
    let sends = sent_attempts(&out);
    for (job, server) in &sends {
        harness.attempt_ended(job, 0, server, Status::Ok);
    }
    !sends.is_empty()
}

/// Returns the state of customer `c` as it is written to disk: with one block less of the even share.
fn ledger(harness: &Harness) -> Option<Ledger> {
    Some(harness.gateway.ledger(harness.now, "c", 1.0)?.1)
}

/// Runs a random history of two to five gateways, of which sometimes one or all lose power; `has_disk`: whether they restore
/// their state from disk. Returns the units granted, and the maximum that the quota allows: its burst, or one request at each
/// gateway if that is more, and its rate over the time.
fn history(seed: u64, has_disk: bool) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = rng.u32(2..6);
    let (begin, mut now, mut granted) = (100.0, 100.0, 0.0);
    let mut harnesses: Vec<Harness> = (0..n).map(|me| start(me, n, begin)).collect();
    let mut disks: Vec<Option<Ledger>> = vec![None; n as usize];
    let (mut written_at, mut is_unwritten) = (vec![begin; n as usize], vec![false; n as usize]);
    for step in 0..400 {
        now += rng.f64() * 0.3;
        let at = rng.usize(..n as usize);
        harnesses[at].now = now;
        if is_sent(&mut harnesses[at], &format!("j{step}"), n) {
            granted += 1.0;
            // One send may be missing on a disk that has the customer's state: it is covered by the block by which the
            // even share was written reduced.
            is_unwritten[at] = !is_unwritten[at] && disks[at].is_some() && rng.bool();
            if !is_unwritten[at] {
                (disks[at], written_at[at]) = (ledger(&harnesses[at]), now);
            }
        }
        if rng.u8(..) < 12 {
            let outage = rng.f64() * 20.0;
            let all_lose_power = rng.bool();
            now += outage;
            for at in (0..n as usize).filter(|i| all_lose_power || *i == at) {
                harnesses[at] = start(at as u32, n, now);
                is_unwritten[at] = false;
                let on_disk = disks[at].clone().filter(|_| has_disk).map(|ledger| {
                    // After a reboot the time that has provably passed may be less than the real time.
                    let ago = (now - written_at[at]) * if rng.bool() { 1.0 } else { rng.f64() };
                    ("c".into(), 0, ago, ledger)
                });
                let recovered =
                    RecoveredState { customers: on_disk.into_iter().collect(), ..RecoveredState::default() };
                harnesses[at].gateway.recover(now, recovered);
            }
        }
    }
    let burst = (BURST / f64::from(n)).max(1.0) * f64::from(n);
    (granted, burst + RATE * (now - begin))
}

#[test]
fn gateways_grant_no_more_than_the_quota_with_a_disk_and_sometimes_more_without() {
    let mut exceeded = 0;
    for seed in 0..300 {
        let (granted, max) = history(seed, true);
        assert!(granted <= max + 1e-6, "seed {seed}: {granted} granted of {max}");
        let (granted, max) = history(seed, false);
        exceeded += usize::from(granted > max);
    }
    assert!(exceeded > 30, "{exceeded} of 300 histories without a disk granted more");
}

#[test]
fn a_lease_is_restored_only_within_its_window_and_if_the_downtime_is_bounded() {
    // Windows of 16 s: four bursts divided by the rate; each customer's windows have their own phase.
    let mut s = settings();
    (s.plans, s.warm_up) = (vec![plan(2.0, 8.0)], 0.0);
    let (mut counter, mut harness) = (InstantCounter::default(), Harness::new(s.clone()));
    assert_eq!(counter.request_many(&mut harness, "before", 1), 1);
    let (_, mut ledger) = harness.gateway.ledger(harness.now, "c", 0.0).expect("the customer is known");
    ledger.lease = 3.0;
    let restored_lease = |downtime: f64, max_elapsed: Option<f64>| {
        let mut successor = Harness::new(s.clone());
        successor.now = harness.now + downtime;
        let recovered = RecoveredState {
            customers: vec![("c".into(), 0, downtime, ledger.clone())],
            max_elapsed,
            ..RecoveredState::default()
        };
        successor.gateway.recover(successor.now, recovered);
        successor.gateway.ledger(successor.now, "c", 0.0).expect("the customer is known").1.lease
    };
    let is_same_window = |downtime: f64| {
        let mut other = Harness::new(s.clone());
        other.now = harness.now + downtime;
        InstantCounter::default().request(&mut other, "w");
        other.gateway.ledger(other.now, "c", 0.0).expect("the customer is known").1.window == ledger.window
    };
    let end = (1..400).map(|i| f64::from(i) * 0.1).find(|t| !is_same_window(*t)).expect("the window ends");
    assert_eq!(restored_lease(0.05, Some(0.07)), if end > 0.2 { 3.0 } else { 0.0 });
    assert_eq!(restored_lease(0.05, None), 0.0, "the downtime has no upper bound");
    assert_eq!(restored_lease(end, Some(end + 0.02)), 0.0, "its window is over");
    assert_eq!(restored_lease(end + 16.0, Some(end + 16.02)), 0.0);
    // The wall clock was set back into the lease's window; by the kernel's uptime the window may have ended.
    assert_eq!(restored_lease(0.05, Some(500.0)), 0.0);
}

#[test]
fn customers_with_lost_state_start_with_an_empty_share_and_ceilings_always_start_empty() {
    let mut harness = start(0, 2, 100.0);
    harness.gateway.recover(100.0, RecoveredState { others_spent: Some(0.0), ..RecoveredState::default() });
    assert!(!is_sent(&mut harness, "at once", 2));
    // Each gateway's share of the rate gains half a unit in two seconds.
    harness.now = 104.5;
    assert!(is_sent(&mut harness, "refilled since", 2));
    let mut s = settings();
    (s.has_counter, s.warm_up) = (false, 0.0);
    s.plans = vec![plan(1.0, 4.0)];
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (2.0, 8.0);
    let mut harness = Harness::new(s);
    let ledger = Ledger { spread: 2, share: 4.0, ..Ledger::default() };
    harness.gateway.recover(
        100.0,
        RecoveredState { customers: vec![("c".into(), 0, 50.0, ledger)], ..RecoveredState::default() },
    );
    assert!(!is_sent(&mut harness, "under a ceiling", 2));
}

#[test]
fn state_of_removed_plans_and_gateways_is_ignored() {
    let mut harness = start(0, 2, 100.0);
    let ledger = Ledger { spread: 900, share: 1e9, owed: 2.0, ..Ledger::default() };
    let customers = vec![("c".into(), 0, 1.0, ledger.clone()), ("d".into(), 7, 1.0, ledger)];
    harness.gateway.recover(
        100.0,
        RecoveredState { customers, offline_servers: vec!["a".into()], ..RecoveredState::default() },
    );
    assert_eq!(harness.gateway.customers().map(|id| &**id).collect::<Vec<_>>(), ["c"]);
    let (plan, restored) = harness.gateway.ledger(100.0, "c", 0.0).expect("the customer is known");
    assert_eq!((plan, restored.spread, restored.owed), (0, 2, 2.0));
    assert!(restored.share <= BURST / 2.0, "no more than a new share: {}", restored.share);
    let to_a = (0..20).filter(|i| {
        sent_attempts(
            &harness
                .handle_event(Event::Request(Request { plan: 0, ..request(&format!("x{i}"), harness.now) })),
        )
        .iter()
        .any(|(_, s)| &**s == "a")
    });
    assert_eq!(to_a.count(), 0, "server a is offline");
}
