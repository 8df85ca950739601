//! Pools of connections to the workers: the built gateway program against fakes on loopback sockets.

mod fakes;
use fakes::*;
use serde_json::{Value, json};
use std::sync::Arc;

fn setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    (setup, discovery)
}

fn count(pool: &Value, key: &str) -> u64 {
    pool[key].as_u64().expect("a count")
}

#[test]
fn the_pool_report_counts_connections() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    for i in 0..5 {
        assert_eq!(node.request(&ClientRequest::new(&format!("t{i}"))).status(), 200);
        // A connection becomes idle, and so reusable, a moment after its response.
        node.wait_for_pool("w0", |p| p["idle"] == 1);
    }
    let pool = node.wait_for_pool("w0", |p| p["idle"] == 1);
    assert_eq!(pool["addr"], worker.addr.to_string());
    assert_eq!((count(&pool, "opened"), count(&pool, "reused"), count(&pool, "in_use")), (1, 4, 0));
    assert_eq!(
        (&pool["bound"], &pool["wanted"], &pool["suspect"]),
        (&Value::Null, &json!(true), &json!(false))
    );
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let mut client = node.connect();
    client.send(&ClientRequest::new("open"));
    assert_eq!(count(&node.wait_for_pool("w0", |p| p["in_use"] == 1), "idle"), 0);
    gate.open();
    assert_eq!(client.read_response().map(|a| a.status()), Some(200));
    assert_eq!(node.admin_status("POST /control/pools"), 405);
    assert_eq!(node.admin_call("GET /control/pools").header("content-type"), "application/json");
}

#[test]
fn unsolicited_bytes_on_an_idle_connection_close_it_at_once_and_reach_no_client() {
    let (worker, gate) = (Worker::start(Behaviour::Respond("ok")), Arc::new(Gate::default()));
    worker.set_behaviour(Behaviour::RespondThenSendUnsolicited(gate.clone()));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::submit("a")).body, b"first");
    node.wait_for_pool("w0", |p| p["idle"] == 1);
    worker.set_behaviour(Behaviour::Respond("ok"));
    gate.open();
    // The connection is closed as the bytes arrive, without waiting for a next request.
    let pool = node.wait_for_pool("w0", |p| p["idle"] == 0);
    assert_eq!(pool["closed"], json!({"peer": 1}));
    assert_eq!(node.request(&ClientRequest::submit("b")).body, b"ok");
}

#[test]
fn an_idle_connection_closed_by_its_worker_leaves_the_pool_at_once() {
    let worker = Worker::start(Behaviour::RespondThenShutDownWrite);
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    for i in 1..4 {
        assert_eq!(node.request(&ClientRequest::submit(&format!("e{i}"))).status(), 200);
        node.wait_for_pool("w0", |p| p["idle"] == 0 && p["closed"]["peer"] == i);
    }
    assert_eq!(
        count(&node.wait_for_pool("w0", |_| true), "stale"),
        0,
        "no request was sent on a closed connection"
    );
}

#[test]
fn a_worker_that_closes_new_connections_costs_an_idempotent_request_nothing_and_counts_as_not_sent() {
    let (closing, serving) = (Worker::closing_on_accept(), Worker::start(Behaviour::Respond("ok")));
    let (both, _discovery) = setup(&[&closing, &serving]);
    let node = both.start();
    for i in 0..4 {
        assert_eq!(node.request(&ClientRequest::new(&format!("s{i}"))).status(), 200);
    }
    let (alone, _discovery) = setup(&[&closing]);
    let node = alone.start();
    let status = node.request(&ClientRequest::new("alone")).status();
    assert_eq!(status, 429);
    node.wait_for_pool("w0", |p| p["idle"] == 0 && p["in_use"] == 0 && p["connecting"] == 0);
}

#[test]
fn a_request_with_a_truncated_response_head_may_have_run_and_an_incomplete_head_times_out() {
    let worker = Worker::start(Behaviour::SendRawThenClose("HTTP/1.1 200 OK\r\nContent-Le"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::submit("cut")).status(), 502, "the request is not retried");
    assert_eq!(worker.drain_requests().len(), 1);
    worker.set_behaviour(Behaviour::SendRaw("HTTP/1.1 200 OK\r\nContent-Le"));
    assert_eq!(node.request(&ClientRequest::submit("slow").with_header("X-Remaining", "0.4")).status(), 502);
    let pool = node.wait_for_pool("w0", |p| p["in_use"] == 0);
    assert_eq!((count(&pool, "idle"), &pool["closed"]), (0, &json!({"in_use": 2})));
}

#[test]
fn after_a_time_out_idle_connections_are_suspect_and_a_new_connection_is_preferred() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let mut clients: Vec<Client> = (0..2).map(|_| node.connect()).collect();
    clients.iter_mut().enumerate().for_each(|(i, c)| c.send(&ClientRequest::new(&format!("w{i}"))));
    node.wait_for_pool("w0", |p| p["in_use"] == 2);
    gate.open();
    clients.iter_mut().for_each(|c| assert_eq!(c.read_response().expect("a response").status(), 200));
    node.wait_for_pool("w0", |p| p["idle"] == 2);
    worker.set_behaviour(Behaviour::NeverRespond);
    assert_eq!(node.request(&ClientRequest::new("silent").with_header("X-Remaining", "0.3")).status(), 429);
    let pool = node.wait_for_pool("w0", |p| p["suspect"] == true);
    assert_eq!((count(&pool, "idle"), count(&pool, "opened")), (1, 2));
    worker.set_behaviour(Behaviour::Respond("ok"));
    assert_eq!(node.request(&ClientRequest::submit("next")).status(), 200);
    let pool = node.wait_for_pool("w0", |p| p["idle"] == 1);
    assert_eq!((count(&pool, "opened"), &pool["suspect"]), (3, &json!(false)));
    assert_eq!(pool["closed"], json!({"in_use": 1, "suspect": 1}));
}

#[test]
fn a_restarted_moved_or_draining_worker_loses_its_idle_connections_at_once() {
    let (one, two) = (Worker::start(Behaviour::Respond("one")), Worker::start(Behaviour::Respond("two")));
    let (setup, discovery) = setup(&[&one]);
    let node = setup.start();
    let idle = |n: u64| node.wait_for_pool("w0", |p| p["idle"] == n);
    assert_eq!(node.request(&ClientRequest::new("a")).body, b"one");
    idle(1);
    let mut restarted = discovery_entry("w0", one.addr, "SERVING");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    restarted["started_ms"] = json!(now.as_secs_f64() * 1000.0);
    discovery.upsert(restarted);
    one.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(0)));
    idle(0);
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", two.addr, "SERVING")));
    let start = std::time::Instant::now();
    // During its warm-up a worker receives few requests.
    while node.request(&ClientRequest::new(&format!("b{:?}", start.elapsed()))).body != b"two" {
        assert!(start.elapsed() < LIMIT, "no request reaches the worker's new address");
    }
    idle(1);
    discovery.upsert(discovery_entry("w0", two.addr, "DRAINING"));
    two.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(0)));
    assert_eq!(
        node.wait_for_pool("w0", |p| p["wanted"] == false)["closed"],
        json!({"changed": 1, "unwanted": 1})
    );
}

#[test]
fn workers_that_exchange_addresses_each_receive_their_own_requests() {
    let (one, two) = (Worker::start(Behaviour::Respond("one")), Worker::start(Behaviour::Respond("two")));
    let (setup, discovery) = setup(&[&one, &two]);
    let node = setup.start();
    (0..8).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("x{i}"))).status(), 200));
    discovery.upsert(discovery_entry("w0", two.addr, "SERVING"));
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w1", one.addr, "SERVING")));
    assert_eq!(node.wait_for_pool("w0", |_| true)["addr"], two.addr.to_string());
    assert_eq!(node.admin_status("POST /control/workers/w1/offline"), 200);
    (0..3).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("y{i}"))).body, b"two"));
}

#[test]
fn an_entry_with_an_unreadable_address_keeps_the_previous_address() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, discovery) = setup(&[&worker]);
    let node = setup.start();
    let mut broken = discovery_entry("w0", worker.addr, "SERVING");
    broken["addr"] = json!("here:there");
    discovery.upsert(broken.clone());
    broken["id"] = json!("w9");
    discovery.wait_for_watch_from(discovery.upsert(broken));
    // The new worker w9 has no usable address and fails requests; w0 must not be affected.
    (0..6).for_each(|i| drop(node.request(&ClientRequest::new(&format!("u{i}")))));
    assert_eq!(node.wait_for_pool("w0", |p| p["opened"].as_u64() > Some(0))["addr"], worker.addr.to_string());
}

#[test]
fn a_list_that_replaces_every_worker_takes_effect_at_once() {
    let old: Vec<Worker> = (0..3).map(|_| Worker::start(Behaviour::Respond("old"))).collect();
    let (mut setup, _old) = setup(&old.iter().collect::<Vec<_>>());
    let new = Worker::start(Behaviour::Respond("new"));
    let node = setup.start();
    (0..9).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("o{i}"))).body, b"old"));
    let discovery = Discovery::start(&[discovery_entry("n0", new.addr, "SERVING")]);
    setup.discovery = discovery.addr;
    node.reload(&setup.config().to_string());
    discovery.wait_for_watch_from(1);
    (0..9).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("n{i}"))).body, b"new"));
    let start = std::time::Instant::now();
    loop {
        let report: Value =
            serde_json::from_slice(&node.admin_call("GET /control/pools").body).expect("JSON");
        let idle = |p: &Value| p["id"] != "n0" && p["idle"] != 0;
        if !report["workers"].as_array().expect("a list").iter().any(idle) {
            return;
        }
        assert!(start.elapsed() < LIMIT, "{report}");
    }
}

#[test]
fn a_request_without_a_free_descriptor_for_its_connection_counts_as_not_sent() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start_with_descriptor_limit(40);
    let mut clients: Vec<Client> = Vec::new();
    let mut refused = 0;
    // Each client sends one request and keeps its connection, until no descriptor is left for a connection to the
    // worker or for the next client.
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    while clients.len() < 24 {
        let mut client = node.connect();
        client.send(&ClientRequest::submit(&format!("d{}", clients.len())));
        clients.push(client);
    }
    worker.next_request();
    gate.open();
    for client in &mut clients {
        // A client connection that was not accepted in time is closed without a response.
        if let Some(response) = client.read_response() {
            assert!(
                matches!(response.status(), 200 | 429),
                "{}: a request that was not sent is refused",
                response.status()
            );
            refused += u32::from(response.status() == 429);
        }
    }
    assert!(refused > 0, "there was a descriptor for every connection");
    drop(clients);
    let start = std::time::Instant::now();
    while node.request(&ClientRequest::submit(&format!("after{:?}", start.elapsed()))).status() != 200 {
        assert!(start.elapsed() < LIMIT, "the gateway does not recover");
    }
}

#[test]
fn new_time_limits_apply_to_idle_connections_at_once_and_invalid_ones_change_nothing() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    assert_eq!(node.request(&ClientRequest::new("a")).status(), 200);
    let good = setup.settings.clone();
    for (key, bad) in
        [("ConnIdle", 0.0), ("ConnIdle", 1e-4), ("ConnectTimeout", 0.0), ("ConnectTimeout", -1.0)]
    {
        setup.settings["Limits"][key] = json!(bad);
        node.reload(&setup.config().to_string());
        node.wait_for_log("configuration rejected, the present one stays in force");
        setup.settings = good.clone();
    }
    assert_eq!(count(&node.wait_for_pool("w0", |p| p["in_use"] == 0), "idle"), 1);
    setup.settings["Limits"]["ConnIdle"] = json!(0.01);
    node.reload(&setup.config().to_string());
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(0)));
    assert_eq!(node.wait_for_pool("w0", |p| p["idle"] == 0)["closed"], json!({"idle_limit": 1}));
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 200);
}

#[test]
fn after_sigterm_only_idle_connections_are_closed_until_open_requests_complete() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let mut node = setup.start();
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let mut clients: Vec<Client> = (0..2).map(|_| node.connect()).collect();
    clients.iter_mut().enumerate().for_each(|(i, c)| c.send(&ClientRequest::new(&format!("t{i}"))));
    node.wait_for_pool("w0", |p| p["in_use"] == 2);
    gate.open();
    clients.iter_mut().for_each(|c| assert_eq!(c.read_response().expect("a response").status(), 200));
    node.wait_for_pool("w0", |p| p["idle"] == 2);
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    clients[0].send(&ClientRequest::new("last"));
    node.wait_for_pool("w0", |p| p["in_use"] == 1);
    node.terminate();
    worker.wait_for_event(|event| matches!(event, WorkerEvent::ConnectionClosed(_)));
    gate.open();
    assert_eq!(clients[0].read_response().expect("a response").body, b"waited");
    assert!(node.wait_for_exit().success());
}
