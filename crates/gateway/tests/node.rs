//! The built program against fakes on loopback sockets: each test guards against one failure.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    sync::Arc,
};

const TURNED_AWAY: &str = "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
const UNMARKED: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_request_goes_on_unchanged_and_connections_are_kept() {
    let worker = Worker::start(Behaviour::Respond("marked: 7"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.has_admin_api = true;
    let node = setup.start();
    let mut client = node.connect();
    let mut up = ClientRequest::new("up");
    up.line = "GET /up HTTP/1.1".into();
    assert_eq!(client.request(&up).status(), 200, "the front takes it in");
    let mut ask = ClientRequest::new("9b1f03aa5c7e2d41");
    ask.line = "GET /check-answer/5?pupil=3 HTTP/1.1".into();
    let answer = client.request(&ask);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"marked: 7".as_slice()));
    let (first, seen) = worker.next_request();
    assert_eq!(seen.line, ask.line);
    assert_eq!(seen.header("x-txn"), "9b1f03aa5c7e2d41");
    let wait: f64 = seen.header("x-remaining").parse().expect("how long the gateway waits");
    assert!(wait > 0.0 && wait <= 25.0, "{wait}");
    // After its answer a connection rests before another request may have it.
    node.wait_for_pool("w0", |p| p["idle"] == 1);
    assert_eq!(client.request(&ClientRequest::submit("b")).status(), 200);
    let (second, seen) = worker.next_request();
    assert_eq!((seen.line.as_str(), seen.body.as_slice()), ("POST /submit HTTP/1.1", b"answer".as_slice()));
    assert_eq!(first, second, "on the connection that was kept");
}

/// A client has gone as soon as its time is up, so an answer at that moment comes too late. What the worker is told is
/// how long the gateway waits, which shows this whatever the test's machine is busy with.
#[test]
fn a_request_ends_before_its_client_has_gone() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    for remaining in [0.4, 2.0] {
        let ask = ClientRequest::new("held").with_header("X-Remaining", &remaining.to_string());
        assert_eq!(node.request(&ask).status(), 429);
        let told: f64 = worker.next_request().1.header("x-remaining").parse().expect("seconds");
        assert!(told < remaining - 0.004, "{told} of {remaining}");
    }
}

#[test]
fn the_key_of_a_keyed_request_goes_on() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Classes"][1]["Effect"] = json!("deduplicated");
    let node = setup.start();
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    assert_eq!(node.request(&ClientRequest::submit("k").with_header("Idempotency-Key", key)).status(), 200);
    assert_eq!(worker.next_request().1.header("idempotency-key"), key);
}

#[test]
fn two_gateways_hold_one_quota_and_refuse_with_advice() {
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
            let answer = node.request(&ClientRequest::new(&format!("t{i}")).with_header("X-Plan", "pieni"));
            match answer.status() {
                200 => served += 1,
                429 => assert!(answer.header("retry-after").parse::<f64>().is_ok_and(|s| s > 0.0)),
                other => panic!("answered {other}"),
            }
        }
    }
    // A burst of eight, and at most a share of four that the count hears of late; kept apart, as with clocks
    // or names that differ, they would serve sixteen.
    assert!((6..=12).contains(&served), "{served} served of a burst of 8");
    assert!(counter.total() >= 5.0, "the count knows: {}", counter.total());
}

#[test]
fn what_may_have_run_is_not_sent_again_where_a_repeat_would_do_harm() {
    for does in [
        Behaviour::Close,
        Behaviour::SendRaw(ERROR),
        Behaviour::SendRaw(UNMARKED),
        Behaviour::SendRaw("nonsense\r\n\r\n"),
    ] {
        let (one, two) = (Worker::start(does.clone()), Worker::start(does));
        let (setup, _discovery) = NodeSetup::new(&[&one, &two]);
        let node = setup.start();
        // Neither served nor refused: a refusal would promise that it has not run.
        assert_eq!(node.request(&ClientRequest::submit("once")).status(), 502);
        assert_eq!(one.drain_requests().len() + two.drain_requests().len(), 1, "one attempt");
    }
}

#[test]
fn what_never_ran_is_sent_again_even_then() {
    let (full, well) =
        (Worker::start(Behaviour::SendRaw(TURNED_AWAY)), Worker::start(Behaviour::Respond("ok")));
    let (mut setup, discovery) = NodeSetup::new(&[&full, &well]);
    // A port that was free a moment ago and that nobody listens on.
    let nobody = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let refused = discovery_entry("w2", nobody, "SERVING");
    discovery.upsert(refused.clone());
    setup.initial_servers.push(refused);
    let node = setup.start();
    // Who comes first is chance, and the module saves up only so many further attempts: until it was full.
    for i in 0.. {
        assert_eq!(node.request(&ClientRequest::submit(&format!("r{i}"))).status(), 200);
        assert_eq!(well.drain_requests().len(), 1);
        if !full.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn a_reset_of_a_safe_request_is_made_good_elsewhere() {
    let (breaks, well) = (Worker::start(Behaviour::Close), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = NodeSetup::new(&[&breaks, &well]);
    let node = setup.start();
    for i in 0.. {
        assert_eq!(node.request(&ClientRequest::new(&format!("s{i}"))).status(), 200);
        if !breaks.drain_requests().is_empty() {
            break;
        }
    }
}

#[test]
fn when_every_attempt_ends_badly_a_safe_request_is_refused() {
    let worker = Worker::start(Behaviour::SendRaw(ERROR));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    assert_eq!(setup.start().request(&ClientRequest::new("e")).status(), 429);
}

#[test]
fn a_kept_connection_that_is_dead_is_replaced_not_reported() {
    let worker = Worker::start(Behaviour::RespondThenShutDownWrite);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    // Unsafe, so that an attempt on the dead connection would show as a failure.
    for i in 0..4 {
        assert_eq!(client.request(&ClientRequest::submit(&format!("d{i}"))).status(), 200);
        worker.wait_for_event(|event| matches!(event, WorkerEvent::WriteShutDown));
    }
}

#[test]
fn an_idle_connection_is_closed_before_the_workers_limit() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.settings["Limits"]["ConnIdle"] = json!(2.0);
    let node = setup.start();
    let mut client = node.connect();
    assert_eq!(client.request(&ClientRequest::submit("i")).status(), 200);
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(0)));
    assert_eq!(client.request(&ClientRequest::submit("j")).status(), 200, "the next has a new one");
}

#[test]
fn a_silent_worker_times_out_and_the_connection_is_closed() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("t").with_header("X-Remaining", "0.3")).status(), 429);
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(_)));
    assert_eq!(
        node.request(&ClientRequest::submit("u").with_header("X-Remaining", "0.3")).status(),
        502,
        "it may have run"
    );
}

#[test]
fn a_client_that_leaves_is_owed_nothing_more() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let other = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let (setup, _discovery) = NodeSetup::new(&[&worker, &other]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("gone"));
    let tried = loop {
        match [&worker, &other].into_iter().find(|w| !w.drain_requests().is_empty()) {
            Some(worker) => break worker,
            None => std::thread::yield_now(),
        }
    };
    client.reader.get_ref().shutdown(Shutdown::Write).expect("a socket");
    assert!(client.read_response().is_none(), "it closes too, without an answer");
    // A safe request whose attempt breaks would be tried again, were the client still there.
    gate.open();
    tried.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(_)));
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
fn bad_input_is_answered_and_never_reaches_a_worker() {
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
    for ask in &bad {
        assert_eq!(node.request(ask).status(), 400, "{} {:?}", ask.line, ask.headers);
    }
    let mut client = node.connect();
    client.reader.get_mut().write_all(b"\x16\x03 nonsense\r\n\r\n").expect("a socket");
    assert_eq!(client.read_response().map(|a| a.status()), Some(400));
    assert_eq!(node.request(&good().with_header("X-Lane", &"x".repeat(40_000))).status(), 431);
    assert!(worker.drain_requests().is_empty());
    assert_eq!(
        node.request(&good().with_header("X-Remaining", "1e300")).status(),
        200,
        "however long it would wait"
    );
}

#[test]
fn a_peer_that_brings_no_whole_request_is_not_waited_for() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let part = "POST /submit HTTP/1.1\r\nX-Lane: sub";
    // One sends nothing, one half a head, one a head without its body.
    let mut peers: Vec<Client> = (0..3).map(|_| node.connect()).collect();
    peers[1].reader.get_mut().write_all(part.as_bytes()).expect("a socket");
    peers[2].send(&ClientRequest {
        body: Vec::new(),
        ..ClientRequest::submit("x").with_header("Content-Length", "9")
    });
    for peer in &mut peers {
        let mut said = String::new();
        peer.reader.read_to_string(&mut said).expect("closed before this test's own limit");
        assert!(said.is_empty() || said.starts_with("HTTP/1.1 4"), "{said}");
    }
    assert!(worker.drain_requests().is_empty());
}

#[test]
fn a_counter_that_is_silent_busy_or_mad_leaves_the_even_share() {
    for how in [CounterBehaviour::Silent, CounterBehaviour::Busy, CounterBehaviour::Garbage] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let counter = Counter::start(how);
        let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
        setup.counter = Some(counter.addr);
        let node = setup.start();
        let mut client = node.connect();
        let ask = |i: usize| ClientRequest::new(&format!("c{i}")).with_header("X-Plan", "pieni");
        let served = (0..12).filter(|i| client.request(&ask(*i)).status() == 200).count();
        counter.next_call();
        assert!((3..=5).contains(&served), "{served} served; half of a burst of 8");
    }
}

#[test]
fn a_late_answer_of_the_counter_is_not_taken_for_another_calls() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    // The first customer's count stands far beyond its quota; the second's is new.
    let counter = Counter::starting_at(CounterBehaviour::HoldFirstUntilSecond, 1000.0);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let node = setup.start();
    let ask = |n: usize, txn: &str| {
        ClientRequest::new(txn).with_header("X-Plan", "pieni").with_header("X-Customer", &format!("{n:016x}"))
    };
    assert_eq!(node.request(&ask(1, "a")).status(), 200, "unseen: the share serves while the count is asked");
    counter.next_call();
    // Six of the second's eight are more than its share, so its count must have been read. One refused while
    // an answer is still on its way asks again; with the first's total in hand it would ask for ever.
    for i in 0..6 {
        let start = std::time::Instant::now();
        while node.request(&ask(2, &format!("b{i}"))).status() != 200 {
            assert!(start.elapsed() < LIMIT, "refused by another's count");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
    assert_eq!(node.request(&ask(1, "c")).status(), 429, "the first has had its own late answer");
}

#[test]
fn one_stuck_connection_to_the_counter_does_not_stall_the_rest() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let counter = Counter::start(CounterBehaviour::FirstConnectionSilent);
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.counter = Some(counter.addr);
    let node = setup.start();
    let mut client = node.connect();
    let (mut served, mut connections) = (0, std::collections::BTreeSet::new());
    for i in 0..200 {
        let customer = format!("{i:016x}");
        let ask = ClientRequest::new(&format!("k{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &customer);
        served += usize::from(client.request(&ask).status() == 200);
        connections.extend(counter.calls.try_iter().filter(|c| c.1 != "ping").map(|c| c.0));
        if connections.len() > 1 {
            break;
        }
        // Until a call on the first has waited for its 50 ms.
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
    // A line that owes an answer sends no more pings: the next is its replacement's.
    assert_eq!(next(), (1, "ping".to_owned()));
}

#[test]
fn the_line_to_the_counter_is_kept_from_idling_out() {
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
fn nothing_goes_to_a_worker_that_drains_or_is_gone() {
    for state in ["DRAINING", "DELETED"] {
        let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
        let (setup, discovery) = NodeSetup::new(&[&one, &two]);
        let node = setup.start();
        discovery.wait_for_watch_from(2);
        // Unhindered, both would be used.
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
fn discovery_may_be_silent_or_mad_and_is_followed_when_it_is_back() {
    let (old, new) = (Worker::start(Behaviour::Respond("old")), Worker::start(Behaviour::Respond("new")));
    let (setup, discovery) = NodeSetup::new(&[&old]);
    discovery.set_silent(true);
    let node = setup.start();
    discovery.next_watch();
    assert_eq!(node.request(&ClientRequest::new("a")).body, b"old", "what was known at the start serves");
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
fn an_overbooked_discovery_is_asked_for_changes_only() {
    let worker = Worker::start(Behaviour::Respond("old"));
    let (mut setup, discovery) = NodeSetup::new(&[&worker]);
    setup.initial_version = 1;
    discovery.set_unavailable(true);
    let node = setup.start();
    node.wait_for_log("status 503");
    assert_eq!(
        (discovery.next_watch(), discovery.next_watch()),
        (1, 1),
        "from the list that is held, also after an error"
    );
    assert_eq!(node.request(&ClientRequest::new("a")).body, b"old", "what was known at the start serves");
    discovery.set_unavailable(false);
    let drained = discovery.upsert(discovery_entry("w0", worker.addr, "DRAINING"));
    discovery.wait_for_watch_from(drained);
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 429, "followed again");
}

#[test]
fn after_sighup_discovery_and_the_counter_are_where_the_new_configuration_says() {
    let (old, new) = (Worker::start(Behaviour::Respond("old")), Worker::start(Behaviour::Respond("new")));
    let (counter, moved) =
        (Counter::start(CounterBehaviour::Answer), Counter::start(CounterBehaviour::Answer));
    let (mut setup, _discovery) = NodeSetup::new(&[&old]);
    setup.counter = Some(counter.addr);
    let mut node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("a").with_header("X-Plan", "pieni")).body, b"old");
    counter.next_call();
    let (next, discovery) = NodeSetup::new(&[&new]);
    node.reload("{");
    // Ended by the signal, it never says so.
    node.wait_for_log("configuration rejected, the present one stays in force");
    assert_eq!(node.request(&ClientRequest::new("b")).body, b"old");
    setup.discovery = next.discovery;
    setup.counter = Some(moved.addr);
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    discovery.wait_for_watch_from(1);
    let customer = "00000000000000c5";
    let ask = ClientRequest::new("c").with_header("X-Plan", "pieni").with_header("X-Customer", customer);
    assert_eq!(node.request(&ask).body, b"new", "the new list is followed");
    moved.next_call();
    assert!(node.child.try_wait().expect("a child").is_none(), "it goes on");
}

#[test]
fn a_bad_configuration_at_sighup_changes_nothing_at_all() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let good = setup.config().to_string();
    // Whatever else a bad file says, such as other classes and another discovery, must not be taken in.
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
fn new_settings_hold_from_sighup_on_and_open_requests_keep_the_old_rules() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::submit("open"));
    worker.next_request();
    let mut new = setup.settings["Classes"][0].clone();
    new["Name"] = json!("submit_new");
    // The unsafe class is gone, and a safe one stands in its place.
    setup.settings["Classes"][1] = new;
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    gate.open();
    assert_eq!(
        client.read_response().map(|a| a.status()),
        Some(502),
        "it may have run, so it is not refused"
    );
    worker.set_behaviour(Behaviour::Respond("ok"));
    let mut ask = ClientRequest::new("new").with_header("X-Lane", "submit_new");
    ask.line = "GET /submit_new HTTP/1.1".into();
    assert_eq!(node.request(&ask).status(), 200);
    assert_eq!(node.request(&ClientRequest::submit("old")).status(), 400, "no client's request any more");
}

#[test]
fn after_sigterm_what_is_in_hand_is_answered_and_the_end_is_clean() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let mut node = setup.start();
    let mut idle = node.connect();
    let mut client = node.connect();
    client.send(&ClientRequest::new("held"));
    worker.next_request();
    node.terminate();
    node.wait_for_log("shuts down with 1 open requests");
    gate.open();
    let answer = client.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "idle connections are closed");
    assert!(node.wait_for_exit().success());
}

#[test]
fn after_sigterm_what_no_worker_answers_is_failed_before_the_kill() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let mut node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::submit("held"));
    worker.next_request();
    node.terminate();
    assert_eq!(
        client.read_response().map(|a| a.status()),
        Some(502),
        "though its client would wait for 25 s"
    );
    assert!(node.wait_for_exit().success());
}

#[test]
fn at_the_limit_of_descriptors_idle_connections_make_room() {
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
    assert!(idle[0].reader.read(&mut [0]).is_ok_and(|n| n == 0), "the first was closed");
    // All busy: more than there is room for wait their turn, and none is lost.
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let ask = |i: usize| ClientRequest::new(&format!("b{i}"));
    let mut busy: Vec<Client> = (0..30).map(|_| node.connect()).collect();
    busy.iter_mut().enumerate().for_each(|(i, c)| c.send(&ask(i)));
    worker.next_request();
    gate.open();
    for (i, client) in busy.iter_mut().enumerate() {
        // Where the closing crossed the request, a client sends it once more.
        let answer = client.read_response().unwrap_or_else(|| node.request(&ask(i)));
        assert!(matches!(answer.status(), 200 | 429));
    }
    assert_eq!(node.request(&ClientRequest::new("after")).status(), 200);
}

#[test]
fn a_bad_configuration_is_one_plain_line_and_a_failing_exit() {
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
        let output = spawn_gateway(&config).wait_with_output().expect("it ends");
        let said = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && said.lines().count() == 1, "{config}: {said}");
        assert!(said.starts_with("opalrun-gateway: ") && !said.contains("panicked"), "{said}");
    }
}
