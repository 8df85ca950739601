//! Handover of the decision state from one process of a gateway to the next, serialized to JSON as on the handover socket.

mod common;
use common::*;
use opalrun_gateway::*;

/// Returns the state after serialization and deserialization.
fn serialized_and_read(state: &State) -> State {
    let text = serde_json::to_string(state).expect("the state is serializable");
    serde_json::from_str(&text).expect("the text is a valid state")
}

/// Returns a newly started process that has taken over the state of `old`.
fn successor(old: &mut Harness, settings: Settings) -> Harness {
    let state = old.gateway.hand_over(old.now);
    let mut new = Harness::new(settings);
    new.now = old.now;
    new.gateway.take_over(serialized_and_read(&state));
    new
}

#[test]
fn both_processes_together_grant_a_quota_once() {
    let mut counter = InstantCounter::default();
    let mut old = Harness::new(settings());
    let before = counter.request_many(&mut old, "a", 12);
    assert!(before >= 10, "{before}");
    let mut new = successor(&mut old, settings());
    // The counter does not answer from now on: only leased units and the rest of the even share are granted.
    let count_sent = |harness: &mut Harness, tag: &str| {
        (0..30).filter(|i| !sent_attempts(&harness.request(&format!("{tag}{i}"))).is_empty()).count()
    };
    let (by_old, by_new) = (count_sent(&mut old, "old"), count_sent(&mut new, "new"));
    assert_eq!(by_old, 0, "the old process has nothing left to grant");
    assert!(before + by_new <= 20, "{before} before and {by_new} after the handover, of a burst of 20");
    old.gateway.resume(old.now);
    old.now += 0.5;
    // The timers of the requests that were queued for the counter's answer expire.
    let timers = old.actions.clone().into_iter().filter_map(|a| match a {
        Action::Timer { token, .. } => Some(token),
        _ => None,
    });
    let sent: usize =
        timers.map(|token| sent_attempts(&old.handle_event(Event::Timer { token })).len()).sum();
    assert!((1..=3).contains(&sent), "{sent} sent: only its share of what the quota has gained since");
}

#[test]
fn attempts_in_flight_at_the_old_process_count_at_the_new_one() {
    let mut s = settings();
    s.plans = vec![plan(100.0, 100.0)];
    (s.plans[0].max_open_attempts, s.plans[0].overrun_cost, s.has_counter, s.gateway_count) =
        (1, 0.8, false, 1);
    let mut old = Harness::new(s.clone());
    let mut request = request("first", old.now);
    request.spread = 1;
    assert_eq!(sent_attempts(&old.handle_event(Event::Request(request.clone()))).len(), 1);
    let mut new = successor(&mut old, s);
    request.job = "second".into();
    assert_eq!(
        refused_count(&new.handle_event(Event::Request(request.clone()))),
        1,
        "one attempt may be in flight, and one is"
    );
    assert_eq!(old.gateway.attempts_in_flight(), [("c".into(), 1)]);
    new.gateway.set_attempts_elsewhere(&[]);
    request.job = "third".into();
    assert_eq!(sent_attempts(&new.handle_event(Event::Request(request))).len(), 1);
}

#[test]
fn servers_stay_offline_draining_or_warming_up() {
    let mut free = settings();
    free.plans = vec![Plan::default()];
    let mut old = Harness::new(free.clone());
    assert!(old.gateway.set_offline(old.now, "a", true));
    let started = old.now - 1.0;
    old.update_servers(
        ListKind::Changes,
        vec![server("b", Lifecycle::Draining, 0.0), server("d", Lifecycle::Running, started)],
    );
    let mut new = successor(&mut old, free);
    for harness in [&mut old, &mut new] {
        harness.actions.clear();
        (0..20).for_each(|i| drop(harness.request(&format!("j{i}"))));
    }
    let to = |harness: &Harness, id: &str| {
        sent_attempts(&harness.actions).iter().filter(|(_, s)| &**s == id).count()
    };
    assert_eq!(
        (to(&new, "a"), to(&new, "b"), to(&old, "d")),
        (0, 0, 0),
        "offline, draining, and warmed up by the new process only"
    );
    assert!(to(&new, "d") * 4 < to(&new, "c"), "{} and {}", to(&new, "d"), to(&new, "c"));
    assert!(
        !new.gateway.set_offline(new.now, "nonesuch", true) && new.gateway.set_offline(new.now, "a", false)
    );
}

#[test]
fn a_state_of_other_settings_is_used_as_far_as_it_matches() {
    let mut more = settings();
    more.plans = vec![plan(10.0, 20.0); 3];
    let mut old = Harness::new(more);
    let mut third = request("third", old.now);
    third.plan = 2;
    old.handle_event(Event::Request(third));
    let mut one = settings();
    one.gateway_count = 1;
    let mut new = successor(&mut old, one);
    assert_eq!(refused_count(&new.request("a")), 0, "a customer of an unknown plan is treated as a new one");
    for broken in ["", "{}", "null", "{\"servers\":7}"] {
        assert!(serde_json::from_str::<State>(broken).is_err());
    }
}
