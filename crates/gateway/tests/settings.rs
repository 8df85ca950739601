//! Invalid settings, changes of settings, and events that don't match the settings or any open request.

mod common;
use common::*;
use opalrun_gateway::*;

/// Returns the error for the default settings with this change.
fn settings_error(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut s = settings();
    change(&mut s);
    Gateway::new(s, 1).expect_err("invalid settings")
}

#[test]
fn invalid_settings_give_a_typed_error() {
    assert_eq!(settings_error(|s| s.gateway_count = 0), SettingsError::NoGateways);
    assert_eq!(settings_error(|s| s.gateway_index = 2), SettingsError::GatewayIndexOutOfRange);
    assert_eq!(settings_error(|s| s.plans[0].rate = -1.0), SettingsError::InvalidNumber("rate"));
    assert_eq!(settings_error(|s| s.counter_timeout = f64::NAN), SettingsError::InvalidNumber("count_limit"));
    assert_eq!(
        settings_error(|s| s.classes[0].latency_target = f64::INFINITY),
        SettingsError::InvalidNumber("aim")
    );
}

#[test]
fn invalid_requests_are_refused_once_and_unexpected_events_are_ignored() {
    let mut harness = Harness::new(settings());
    for (i, change) in [
        (|r: &mut Request| r.class = 9) as fn(&mut Request),
        |r| r.plan = 9,
        |r| r.units = f64::NAN,
        |r| r.expires = 1.0,
    ]
    .iter()
    .enumerate()
    {
        let mut invalid = request(&format!("invalid{i}"), harness.now);
        change(&mut invalid);
        let out = harness.handle_event(Event::Request(invalid));
        assert_eq!((out.len(), refused_count(&out)), (1, 1));
    }
    assert!(harness.handle_event(Event::Timer { token: 999 }).is_empty());
    assert!(harness.counter_answered(5, Status::Ok, 1.0).is_empty());
    assert!(harness.attempt_ended("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(harness.handle_event(Event::ClientDisconnected { job: "never".into() }).is_empty());
}

#[test]
fn a_change_of_settings_is_applied_completely_or_not_at_all() {
    let mut harness = Harness::new(settings());
    let mut invalid = settings();
    (invalid.plans[0].rate, invalid.max_open_requests) = (f64::NAN, 0);
    assert_eq!(apply_settings(&mut harness.gateway, invalid), Err(SettingsError::InvalidNumber("rate")));
    let mut without_plans = settings();
    (without_plans.plans, without_plans.max_open_requests) = (Vec::new(), 0);
    assert_eq!(apply_settings(&mut harness.gateway, without_plans), Err(SettingsError::PlansRemoved));
    assert_eq!(sent_attempts(&harness.request("still")).len(), 1, "neither change is applied");
    let mut no_requests = settings();
    no_requests.max_open_requests = 0;
    assert_eq!(apply_settings(&mut harness.gateway, no_requests), Ok(()));
    assert_eq!(refused_count(&harness.request("now")), 1);
}

#[test]
fn an_open_request_keeps_the_settings_that_it_arrived_under() {
    let mut old = settings();
    old.plans = vec![Plan::default()];
    old.classes = vec![Class::default(), Class::default()];
    (old.classes[0].effect, old.max_attempts) = (Effect::AtMostOnce, 2);
    let mut harness = Harness::new(old.clone());
    let open = |harness: &mut Harness, job: &str, class: usize| {
        let mut request = request(job, harness.now);
        request.class = class;
        sent_attempts(&harness.handle_event(Event::Request(request))).remove(0).1
    };
    let (once, safe) = (open(&mut harness, "once", 0), open(&mut harness, "safe", 1));
    // The first class is removed, the second one becomes the first, and one attempt is the maximum now.
    let mut new = old;
    (new.classes, new.max_attempts) = (vec![Class::default()], 1);
    assert_eq!(apply_settings(&mut harness.gateway, new), Ok(()));
    let out = harness.attempt_ended("once", 0, &once, Status::Reset);
    assert_eq!(
        (sent_attempts(&out).len(), failed_count(&out)),
        (0, 1),
        "it is still limited to one execution"
    );
    assert_eq!(
        sent_attempts(&harness.attempt_ended("safe", 0, &safe, Status::Reset)).len(),
        1,
        "it still has a second attempt"
    );
    let server = open(&mut harness, "later", 0);
    let out = harness.attempt_ended("later", 0, &server, Status::Reset);
    assert_eq!((sent_attempts(&out).len(), refused_count(&out)), (0, 1), "a later request has one attempt");
}
