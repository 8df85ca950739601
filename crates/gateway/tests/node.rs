//! End-to-end tests of the built gateway program against fake workers, counter and discovery on loopback sockets:
//! forwarding, retries, quotas, malformed input, configuration reload and shutdown.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    sync::Arc,
};

/// Refusal by a worker that has not run the request, marked as such.
const MARKED_REFUSAL: &str = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
/// Error of a worker that may have run the request.
const SERVER_ERROR: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
/// Status 503 without the mark that the request has not run.
const UNMARKED_REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

#[test]
fn requests_are_forwarded_unchanged_and_worker_connections_are_reused() {
    let worker = Worker::start(Behaviour::Respond("marked: 7"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.has_admin_api = true;
    let node = setup.start();
    let mut client = node.connect();
    let mut up = ClientRequest::new("up");
    up.line = "GET /up HTTP/1.1".into();
    assert_eq!(client.request(&up).status(), 200, "health check of the load balancer");
    let mut request = ClientRequest::new("9b1f03aa5c7e2d41");
    request.line = "GET /check-answer/5?pupil=3 HTTP/1.1".into();
    let response = client.request(&request);
    assert_eq!((response.status(), response.body.as_slice()), (200, b"marked: 7".as_slice()));
    let (first, received) = worker.next_request();
    assert_eq!(received.line, request.line);
    assert_eq!(received.header("x-txn"), "9b1f03aa5c7e2d41");
    let timeout: f64 = received.header("x-remaining").parse().expect("the gateway's time-out in seconds");
    assert!(timeout > 0.0 && timeout <= 25.0, "{timeout}");
    // A connection becomes idle, and so reusable, a moment after its response.
    node.wait_for_pool("w0", |p| p["idle"] == 1);
    assert_eq!(client.request(&ClientRequest::submit("b")).status(), 200);
    let (second, received) = worker.next_request();
    assert_eq!(
        (received.line.as_str(), received.body.as_slice()),
        ("POST /submit HTTP/1.1", b"answer".as_slice())
    );
    assert_eq!(first, second, "the second request reuses the connection");
}

/// A client disconnects as soon as its time-out expires, so a response at that moment comes too late. Checks the
/// time-out that the gateway sends to the worker, which does not depend on the load of the test machine.
#[test]
fn a_request_times_out_before_its_client_does() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    for remaining in [0.4, 2.0] {
        let request = ClientRequest::new("open").with_header("X-Remaining", &remaining.to_string());
        assert_eq!(node.request(&request).status(), 429);
        let timeout: f64 = worker.next_request().1.header("x-remaining").parse().expect("seconds");
        assert!(timeout < remaining - 0.004, "{timeout} of {remaining}");
    }
}

#[test]
fn the_idempotency_key_is_forwarded() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Classes"][1]["Effect"] = json!("deduplicated");
    let node = setup.start();
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    assert_eq!(node.request(&ClientRequest::submit("k").with_header("Idempotency-Key", key)).status(), 200);
    assert_eq!(worker.next_request().1.header("idempotency-key"), key);
}

#[test]
fn two_gateways_share_one_quota_and_refuse_with_retry_after() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let counter = Counter::start(CounterBehaviour::Answer);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let one = setup.start();
    setup.settings["Me"] = json!(1);
    let two = setup.start();
    let mut served = 0;
    for i in 0..20 {
        for node in [&one, &two] {
            let response = node.request(&ClientRequest::new(&format!("t{i}")).with_header("X-Plan", "pieni"));
            match response.status() {
                200 => served += 1,
                429 => assert!(response.header("retry-after").parse::<f64>().is_ok_and(|s| s > 0.0)),
                other => panic!("answered {other}"),
            }
        }
    }
    // The burst is 8, plus a share of at most 4 that is counted late. Gateways that count separately, for example
    // because their clocks or counter names differ, would serve 16.
    assert!((6..=12).contains(&served), "{served} served of a burst of 8");
    assert!(counter.total() >= 5.0, "total at the counter: {}", counter.total());
}

#[test]
fn an_at_most_once_request_that_may_have_run_is_not_retried() {
    for behaviour in [
        Behaviour::Close,
        Behaviour::SendRaw(SERVER_ERROR),
        Behaviour::SendRaw(UNMARKED_REFUSAL),
        Behaviour::SendRaw("nonsense\r\n\r\n"),
    ] {
        let (one, two) = (Worker::start(behaviour.clone()), Worker::start(behaviour));
        let (setup, _discovery) = NodeSetup::new(&[&one, &two]);
        let node = setup.start();
        // Neither a success nor a refusal: a refusal would promise that the request has not run.
        assert_eq!(node.request(&ClientRequest::submit("once")).status(), 502);
        assert_eq!(one.drain_requests().len() + two.drain_requests().len(), 1, "exactly one attempt");
    }
}

#[test]
fn an_at_most_once_request_that_has_not_run_is_retried() {
    let (refusing, serving) =
        (Worker::start(Behaviour::SendRaw(MARKED_REFUSAL)), Worker::start(Behaviour::Respond("ok")));
    let (mut setup, discovery) = NodeSetup::new(&[&refusing, &serving]);
    // A port without a listener, so that connecting to it is refused.
    let unused_addr = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let unreachable = discovery_entry("w2", unused_addr, "SERVING");
    discovery.upsert(unreachable.clone());
    setup.initial_servers.push(unreachable);
    let node = setup.start();
    // The worker of the first attempt is random and the retry budget limited: repeats until the refusing worker was
    // tried.
    for i in 0.. {
        assert_eq!(node.request(&ClientRequest::submit(&format!("r{i}"))).status(), 200);
        assert_eq!(serving.drain_requests().len(), 1);
        if !refusing.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn an_idempotent_request_is_retried_on_another_worker_after_a_closed_connection() {
    let (closing, serving) = (Worker::start(Behaviour::Close), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = NodeSetup::new(&[&closing, &serving]);
    let node = setup.start();
    for i in 0.. {
        assert_eq!(node.request(&ClientRequest::new(&format!("s{i}"))).status(), 200);
        if !closing.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn an_idempotent_request_is_refused_when_every_attempt_fails() {
    let worker = Worker::start(Behaviour::SendRaw(SERVER_ERROR));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    assert_eq!(setup.start().request(&ClientRequest::new("e")).status(), 429);
}

#[test]
fn a_dead_idle_connection_is_replaced_and_causes_no_error() {
    let worker = Worker::start(Behaviour::RespondThenShutDownWrite);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    // An at-most-once request that was sent is not retried, so an attempt on the dead connection would fail.
    for i in 0..4 {
        assert_eq!(client.request(&ClientRequest::submit(&format!("d{i}"))).status(), 200);
        worker.wait_for_event(|event| matches!(event, WorkerEvent::WriteShutDown));
    }
}

#[test]
fn an_idle_connection_is_closed_after_the_configured_time() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Limits"]["ConnIdle"] = json!(2.0);
    let node = setup.start();
    let mut client = node.connect();
    assert_eq!(client.request(&ClientRequest::submit("i")).status(), 200);
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(0)));
    assert_eq!(
        client.request(&ClientRequest::submit("j")).status(),
        200,
        "the next request opens a new connection"
    );
}

#[test]
fn a_request_to_a_silent_worker_times_out_and_its_connection_is_closed() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("t").with_header("X-Remaining", "0.3")).status(), 429);
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(_)));
    assert_eq!(
        node.request(&ClientRequest::submit("u").with_header("X-Remaining", "0.3")).status(),
        502,
        "the request may have run"
    );
}

#[test]
fn a_request_is_not_retried_after_its_client_has_disconnected() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let other = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let (setup, _discovery) = NodeSetup::new(&[&worker, &other]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("gone"));
    let attempted = loop {
        match [&worker, &other].into_iter().find(|w| !w.drain_requests().is_empty()) {
            Some(worker) => break worker,
            None => std::thread::yield_now(),
        }
    };
    client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert!(client.read_response().is_none(), "the gateway closes the connection without a response");
    // With its client still connected, an idempotent request would be retried after the failed attempt.
    gate.open();
    attempted.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(_)));
    [&worker, &other].into_iter().for_each(|w| w.set_behaviour(Behaviour::Respond("ok")));
    assert_eq!(node.request(&ClientRequest::new("next")).status(), 200);
    let txns: Vec<String> = [worker.drain_requests(), other.drain_requests()]
        .concat()
        .iter()
        .map(|m| m.header("x-txn").to_owned())
        .collect();
    assert_eq!(txns, ["next"]);
}

#[test]
fn malformed_requests_are_rejected_and_never_reach_a_worker() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let good = || ClientRequest::new("x");
    let line = |line: &str| ClientRequest { line: line.into(), ..good() };
    let mut bad = vec![
        good().with_header("X-Lane", "nonesuch"),
        line("GET /submit HTTP/1.1"),
        line("DELETE /check-answer HTTP/1.1"),
        line("POST /check-answer HTTP/1.1"),
        ClientRequest { body: b"more".to_vec(), ..good() },
        ClientRequest { line: "GET /submit HTTP/1.1".into(), ..ClientRequest::submit("x") },
        ClientRequest::submit("x").with_header("Idempotency-Key", "5c0f6e1a2b3d4c59"),
        good().with_header("X-Plan", "nonesuch"),
        good().with_header("X-Customer", "b4d65521"),
        good().with_header("X-Customer", "zzzzzzzzzzzzzzzz"),
        good().with_header("X-Customer", "ffffffffffffffff"),
        good().with_header("X-Customer", "+0000000b4d65521"),
        good().with_header("X-Quota", "units=NaN,spread=2,first=0"),
        good().with_header("X-Quota", "units=-1,spread=2,first=0"),
        good().with_header("X-Quota", "units=1,spread=0,first=0"),
        good().with_header("X-Quota", "units=1,spread=3,first=0"),
        good().with_header("X-Quota", "units=1,spread=2,first=2"),
        good().with_header("X-Quota", "units=1,spread=2"),
        good().with_header("X-Quota", "nonsense"),
    ];
    bad.extend(["soon", "-1", "inf", "NaN", ""].map(|v| good().with_header("X-Remaining", v)));
    bad.extend(
        ["X-Txn", "X-Lane", "X-Plan", "X-Customer", "X-Remaining", "X-Quota"]
            .map(|h| good().without_header(h)),
    );
    for request in &bad {
        assert_eq!(node.request(request).status(), 400, "{} {:?}", request.line, request.headers);
    }
    let mut client = node.connect();
    client.reader.get_mut().write_all(b"\x16\x03 nonsense\r\n\r\n").expect("a socket");
    assert_eq!(client.read_response().map(|a| a.status()), Some(400));
    assert_eq!(node.request(&good().with_header("X-Lane", &"x".repeat(40_000))).status(), 431);
    assert!(worker.drain_requests().is_empty());
    assert_eq!(
        node.request(&good().with_header("X-Remaining", "1e300")).status(),
        200,
        "any positive time-out is valid"
    );
}

#[test]
fn a_client_that_does_not_complete_its_request_is_disconnected() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let incomplete_head = "POST /submit HTTP/1.1\r\nX-Lane: sub";
    // One client sends nothing, one an incomplete head, one a head without its body.
    let mut clients: Vec<Client> = (0..3).map(|_| node.connect()).collect();
    clients[1].reader.get_mut().write_all(incomplete_head.as_bytes()).expect("a socket");
    clients[2].send(&ClientRequest {
        body: Vec::new(),
        ..ClientRequest::submit("x").with_header("Content-Length", "9")
    });
    for client in &mut clients {
        let mut response = String::new();
        client
            .reader
            .read_to_string(&mut response)
            .expect("closed by the gateway before the test's time-out");
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{response}");
    }
    assert!(worker.drain_requests().is_empty());
}

#[test]
fn without_usable_counter_answers_a_gateway_serves_its_even_share() {
    for behaviour in [CounterBehaviour::Silent, CounterBehaviour::Busy, CounterBehaviour::Garbage] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let counter = Counter::start(behaviour);
        let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
        setup.counter = Some(counter.addr);
        let node = setup.start();
        let mut client = node.connect();
        let request = |i: usize| ClientRequest::new(&format!("c{i}")).with_header("X-Plan", "pieni");
        let served = (0..12).filter(|i| client.request(&request(*i)).status() == 200).count();
        counter.next_call();
        assert!((3..=5).contains(&served), "{served} served; half of the burst of 8 expected");
    }
}

#[test]
fn a_late_counter_answer_is_matched_to_its_own_call() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    // The total of the first customer is far above its quota; the second customer's is 0.
    let counter = Counter::starting_at(CounterBehaviour::HoldFirstUntilSecond, 1000.0);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let node = setup.start();
    let request = |n: usize, txn: &str| {
        ClientRequest::new(txn).with_header("X-Plan", "pieni").with_header("X-Customer", &format!("{n:016x}"))
    };
    assert_eq!(
        node.request(&request(1, "a")).status(),
        200,
        "unknown customer: served from the even share while the counter is called"
    );
    counter.next_call();
    // 6 of the second customer's burst of 8 exceed its even share, so its own total must have been read. A request
    // refused while the answer is in flight is repeated; with the first customer's total it would be refused for
    // ever.
    for i in 0..6 {
        let start = std::time::Instant::now();
        while node.request(&request(2, &format!("b{i}"))).status() != 200 {
            assert!(start.elapsed() < LIMIT, "refused by the total of another customer");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
    assert_eq!(node.request(&request(1, "c")).status(), 429, "the late answer applies to the first customer");
}

#[test]
fn a_stuck_counter_connection_does_not_stall_later_calls() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let counter = Counter::start(CounterBehaviour::FirstConnectionSilent);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let node = setup.start();
    let mut client = node.connect();
    let (mut served, mut connections) = (0, std::collections::BTreeSet::new());
    for i in 0..200 {
        let customer = format!("{i:016x}");
        let request = ClientRequest::new(&format!("k{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &customer);
        served += usize::from(client.request(&request).status() == 200);
        connections.extend(counter.calls.try_iter().filter(|c| c.1 != "ping").map(|c| c.0));
        if connections.len() > 1 {
            break;
        }
        // Continues until a call on the first connection has timed out after 50 ms.
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert!(served > 0 && connections.len() > 1, "{served} served, calls on {connections:?}");
}

#[test]
fn a_stuck_connection_to_the_counter_is_replaced_before_it_would_idle() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let counter = Counter::start(CounterBehaviour::FirstConnectionSilent);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let _node = setup.start();
    let next = || counter.calls.recv_timeout(LIMIT).expect("a ping");
    assert_eq!(next(), (0, "ping".to_owned()));
    // A connection with an outstanding answer sends no further ping: the next one is sent on its replacement.
    assert_eq!(next(), (1, "ping".to_owned()));
}

#[test]
fn pings_keep_the_counter_connection_alive() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let counter = Counter::start(CounterBehaviour::Answer);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let _node = setup.start();
    for _ in 0..3 {
        let (connection, line) = counter.calls.recv_timeout(LIMIT).expect("a ping");
        assert_eq!((connection, line.as_str()), (0, "ping"));
    }
}

#[test]
fn no_request_is_sent_to_a_draining_or_deleted_worker() {
    for state in ["DRAINING", "DELETED"] {
        let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
        let (setup, discovery) = NodeSetup::new(&[&one, &two]);
        let node = setup.start();
        discovery.wait_for_watch_from(2);
        // While both are in service, both receive requests.
        let (mut first, mut second) = (0, 0);
        for i in 0.. {
            assert_eq!(node.request(&ClientRequest::new(&format!("p{i}"))).status(), 200);
            (first, second) = (first + one.drain_requests().len(), second + two.drain_requests().len());
            if first > 0 && second > 0 {
                break;
            }
        }
        discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", one.addr, state)));
        (0..8).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("q{i}"))).status(), 200));
        assert_eq!((one.drain_requests().len(), two.drain_requests().len()), (0, 8));
    }
}

#[test]
fn the_gateway_serves_through_a_discovery_outage_and_follows_the_list_afterwards() {
    let (old, new) = (Worker::start(Behaviour::Respond("old")), Worker::start(Behaviour::Respond("new")));
    let (setup, discovery) = NodeSetup::new(&[&old]);
    discovery.set_silent(true);
    let node = setup.start();
    discovery.next_watch();
    assert_eq!(node.request(&ClientRequest::new("a")).body, b"old", "the configured server list is used");
    node.wait_for_log("no answer");
    discovery.set_silent(false);
    discovery.set_malformed(true);
    node.wait_for_log("unreadable");
    discovery.set_malformed(false);
    discovery.upsert(discovery_entry("w1", new.addr, "SERVING"));
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", old.addr, "DELETED")));
    assert_eq!(node.request(&ClientRequest::new("b")).body, b"new");
}

#[test]
fn discovery_is_asked_for_changes_only_after_status_503() {
    let worker = Worker::start(Behaviour::Respond("old"));
    let (mut setup, discovery) = NodeSetup::new(&[&worker]);
    setup.initial_version = 1;
    discovery.set_unavailable(true);
    let node = setup.start();
    node.wait_for_log("status 503");
    assert_eq!(
        (discovery.next_watch(), discovery.next_watch()),
        (1, 1),
        "from the version of the current list, also after an error"
    );
    assert_eq!(node.request(&ClientRequest::new("a")).body, b"old", "the configured server list is used");
    discovery.set_unavailable(false);
    let drained = discovery.upsert(discovery_entry("w0", worker.addr, "DRAINING"));
    discovery.wait_for_watch_from(drained);
    assert_eq!(
        node.request(&ClientRequest::new("b")).status(),
        429,
        "the update is applied once discovery answers"
    );
}

#[test]
fn a_reload_switches_to_the_new_discovery_and_counter_addresses() {
    let (old, new) = (Worker::start(Behaviour::Respond("old")), Worker::start(Behaviour::Respond("new")));
    let (counter, new_counter) =
        (Counter::start(CounterBehaviour::Answer), Counter::start(CounterBehaviour::Answer));
    let (mut setup, _discovery) = NodeSetup::new(&[&old]);
    setup.counter = Some(counter.addr);
    let mut node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("a").with_header("X-Plan", "pieni")).body, b"old");
    counter.next_call();
    let (next, discovery) = NodeSetup::new(&[&new]);
    node.reload("{");
    // A process that dies on SIGHUP logs no such line.
    node.wait_for_log("configuration rejected, the present one stays in force");
    assert_eq!(node.request(&ClientRequest::new("b")).body, b"old");
    setup.discovery = next.discovery;
    setup.counter = Some(new_counter.addr);
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    discovery.wait_for_watch_from(1);
    let customer = "00000000000000c5";
    let request = ClientRequest::new("c").with_header("X-Plan", "pieni").with_header("X-Customer", customer);
    assert_eq!(node.request(&request).body, b"new", "the list of the new discovery is used");
    new_counter.next_call();
    assert!(node.child.try_wait().expect("a child").is_none(), "the process is still running");
}

#[test]
fn an_invalid_configuration_at_reload_changes_nothing() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let good = setup.config().to_string();
    // The valid changes in an invalid file, here a class name and the discovery address, must not be applied either.
    setup.settings["Classes"][0]["Name"] = json!("other");
    setup.discovery = worker.addr;
    let changed = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = setup.config();
        change(&mut config);
        config.to_string()
    };
    let without = |at: &'static str, key: &'static str| {
        changed(&|c| drop(c.pointer_mut(at).and_then(|o| o.as_object_mut()).expect("an object").remove(key)))
    };
    let with = |at: &'static str, value: serde_json::Value| {
        changed(&|c| *c.pointer_mut(at).expect("a key") = value.clone())
    };
    let bad = [
        String::new(),
        good[..good.len() / 2].to_owned(),
        without("/settings", "Plans"),
        without("/settings/Limits", "SendCap"),
        without("/settings/Rules", "Cold"),
        without("/settings/Classes/1", "Deadline"),
        without("", "limits"),
        with("/settings/Classes/0/Deadline", json!(0)),
        with("/settings/Classes/1/Deadline", json!(-1.5)),
        with("/settings/Limits/SendCap", json!(0)),
        with("/settings/Classes", json!([])),
        with("/settings/Plans/1/Name", json!("renamed")),
        with("/settings/Step", json!("soon")),
    ];
    for config in &bad {
        node.reload(config);
        node.wait_for_log("configuration rejected, the present one stays in force");
        assert_eq!(node.request(&ClientRequest::new("a")).status(), 200, "{config}");
        assert_eq!(node.request(&ClientRequest::new("b").with_header("X-Lane", "other")).status(), 400);
    }
}

#[test]
fn reloaded_settings_apply_to_new_requests_and_open_requests_keep_the_old_settings() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::submit("open"));
    worker.next_request();
    let mut new = setup.settings["Classes"][0].clone();
    new["Name"] = json!("submit_new");
    // An idempotent class replaces the at-most-once class.
    setup.settings["Classes"][1] = new;
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    gate.open();
    assert_eq!(
        client.read_response().map(|a| a.status()),
        Some(502),
        "the request may have run, so it fails instead of being refused"
    );
    worker.set_behaviour(Behaviour::Respond("ok"));
    let mut request = ClientRequest::new("new").with_header("X-Lane", "submit_new");
    request.line = "GET /submit_new HTTP/1.1".into();
    assert_eq!(node.request(&request).status(), 200);
    assert_eq!(node.request(&ClientRequest::submit("old")).status(), 400, "the class has been removed");
}

#[test]
fn after_sigterm_open_requests_are_completed_and_the_exit_is_clean() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let mut node = setup.start();
    let mut idle = node.connect();
    let mut client = node.connect();
    client.send(&ClientRequest::new("open"));
    worker.next_request();
    node.terminate();
    node.wait_for_log("shuts down with 1 open requests");
    gate.open();
    let response = client.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "idle connections are closed");
    assert!(node.wait_for_exit().success());
}

#[test]
fn after_sigterm_unanswered_requests_fail_before_the_process_would_be_killed() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let mut node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::submit("open"));
    worker.next_request();
    node.terminate();
    assert_eq!(client.read_response().map(|a| a.status()), Some(502), "before the client's time-out of 25 s");
    assert!(node.wait_for_exit().success());
}

#[test]
fn idle_connections_are_closed_at_the_descriptor_limit() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.max_sockets = 64;
    let node = setup.start();
    let mut idle = Vec::new();
    for i in 0..60 {
        let mut client = node.connect();
        assert_eq!(client.request(&ClientRequest::new(&format!("i{i}"))).status(), 200);
        idle.push(client);
        let open = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("a process").count();
        assert!(open <= 64, "{open} descriptors");
    }
    assert!(idle[0].reader.read(&mut [0]).is_ok_and(|n| n == 0), "the oldest idle connection was closed");
    // With all connections busy, further ones wait to be accepted, and none is lost.
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let request = |i: usize| ClientRequest::new(&format!("b{i}"));
    let mut busy: Vec<Client> = (0..30).map(|_| node.connect()).collect();
    busy.iter_mut().enumerate().for_each(|(i, c)| c.send(&request(i)));
    worker.next_request();
    gate.open();
    for (i, client) in busy.iter_mut().enumerate() {
        // If the connection was closed while the request was in flight, the client sends it again.
        let response = client.read_response().unwrap_or_else(|| node.request(&request(i)));
        assert!(matches!(response.status(), 200 | 429));
    }
    assert_eq!(node.request(&ClientRequest::new("after")).status(), 200);
}

#[test]
fn an_invalid_configuration_at_start_gives_a_one_line_error_and_a_failing_exit() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let broken = |key: &str, value: serde_json::Value| {
        let mut config = setup.config();
        *config.pointer_mut(key).expect("a key") = value;
        config.to_string()
    };
    let bad = [
        "{".to_owned(),
        broken("/listen", json!("nowhere")),
        broken("/listen", json!(worker.addr.to_string())),
        broken("/seed", json!("xyz")),
        broken("/limits/sockets", json!(3)),
        broken("/settings/PeersTotal", json!(0)),
        broken("/settings/Step", json!("soon")),
        broken("/settings/Limits/ConnIdle", json!(-1)),
        broken("/settings/Domain/CountLimit", json!(-1)),
    ];
    for config in bad {
        let output = spawn_gateway(&config).wait_with_output().expect("the process exits");
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && error.lines().count() == 1, "{config}: {error}");
        assert!(error.starts_with("opalrun-gateway: ") && !error.contains("panicked"), "{error}");
    }
}
