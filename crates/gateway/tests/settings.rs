//! Impossible settings and odd but legal events.

mod common;
use common::*;
use opalrun_gateway::*;

fn refused_settings(change: impl Fn(&mut Settings)) -> SettingsError {
    let mut s = settings();
    change(&mut s);
    Gateway::new(s, 1).expect_err("impossible settings")
}

#[test]
fn impossible_settings_are_a_typed_error() {
    assert_eq!(refused_settings(|s| s.gateway_count = 0), SettingsError::NoGateways);
    assert_eq!(refused_settings(|s| s.gateway_index = 2), SettingsError::GatewayIndexOutOfRange);
    assert_eq!(refused_settings(|s| s.plans[0].rate = -1.0), SettingsError::InvalidNumber("rate"));
    assert_eq!(
        refused_settings(|s| s.counter_timeout = f64::NAN),
        SettingsError::InvalidNumber("count_limit")
    );
    assert_eq!(
        refused_settings(|s| s.classes[0].latency_target = f64::INFINITY),
        SettingsError::InvalidNumber("aim")
    );
}

#[test]
fn odd_events_end_the_request_once_and_send_nothing() {
    let mut rig = Harness::new(settings());
    for (i, change) in [
        (|r: &mut Request| r.class = 9) as fn(&mut Request),
        |r| r.plan = 9,
        |r| r.units = f64::NAN,
        |r| r.expires = 1.0,
    ]
    .iter()
    .enumerate()
    {
        let mut odd = request(&format!("odd{i}"), rig.now);
        change(&mut odd);
        let out = rig.handle_event(Event::Request(odd));
        assert_eq!((out.len(), refused_count(&out)), (1, 1));
    }
    assert!(rig.handle_event(Event::Timer { token: 999 }).is_empty());
    assert!(rig.counter_answered(5, Status::Ok, 1.0).is_empty());
    assert!(rig.attempt_ended("never", 0, &"nowhere".into(), Status::Reset).is_empty());
    assert!(rig.handle_event(Event::ClientDisconnected { job: "never".into() }).is_empty());
}

#[test]
fn a_change_of_settings_is_all_or_nothing() {
    let mut rig = Harness::new(settings());
    let mut bad = settings();
    (bad.plans[0].rate, bad.max_open_requests) = (f64::NAN, 0);
    assert_eq!(apply_settings(&mut rig.gateway, bad), Err(SettingsError::InvalidNumber("rate")));
    let mut fewer = settings();
    (fewer.plans, fewer.max_open_requests) = (Vec::new(), 0);
    assert_eq!(apply_settings(&mut rig.gateway, fewer), Err(SettingsError::PlansRemoved));
    assert_eq!(sent_attempts(&rig.request("still")).len(), 1, "nothing of either is in force");
    let mut full = settings();
    full.max_open_requests = 0;
    assert_eq!(apply_settings(&mut rig.gateway, full), Ok(()));
    assert_eq!(refused_count(&rig.request("now")), 1);
}

#[test]
fn an_open_request_keeps_the_rules_it_came_under_wherever_its_class_stands_now() {
    let mut old = settings();
    old.plans = vec![Plan::default()];
    old.classes = vec![Class::default(), Class::default()];
    (old.classes[0].effect, old.max_attempts) = (Effect::AtMostOnce, 2);
    let mut rig = Harness::new(old.clone());
    let open = |rig: &mut Harness, job: &str, class: usize| {
        let mut request = request(job, rig.now);
        request.class = class;
        sent_attempts(&rig.handle_event(Event::Request(request))).remove(0).1
    };
    let (once, safe) = (open(&mut rig, "once", 0), open(&mut rig, "safe", 1));
    // What was first is gone, what was second stands first, and one attempt is all that there is now.
    let mut new = old;
    (new.classes, new.max_attempts) = (vec![Class::default()], 1);
    assert_eq!(apply_settings(&mut rig.gateway, new), Ok(()));
    let out = rig.attempt_ended("once", 0, &once, Status::Reset);
    assert_eq!((sent_attempts(&out).len(), failed_count(&out)), (0, 1), "it is still one that runs once");
    assert_eq!(
        sent_attempts(&rig.attempt_ended("safe", 0, &safe, Status::Reset)).len(),
        1,
        "and this has its second attempt"
    );
    let server = open(&mut rig, "later", 0);
    let out = rig.attempt_ended("later", 0, &server, Status::Reset);
    assert_eq!((sent_attempts(&out).len(), refused_count(&out)), (0, 1), "which a later one has not");
}
