//! The admin address of the built program, against fakes on loopback sockets.

mod fakes;
use fakes::*;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::Arc,
};

fn setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    (setup, discovery)
}

/// Status of the health check `GET /up`.
fn health_status(node: &Node) -> u16 {
    let mut check = ClientRequest::new("up");
    check.line = "GET /up HTTP/1.1".into();
    node.request(&check).status()
}

#[test]
fn an_offline_worker_gets_no_requests_whatever_discovery_lists() {
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, discovery) = setup(&[&one, &two]);
    let node = setup.start();
    discovery.wait_for_watch_from(2);
    for _ in 0..2 {
        assert_eq!(
            node.admin_status("POST /control/workers/w0/offline"),
            200,
            "also if it is offline already"
        );
    }
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", one.addr, "DRAINING")));
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", one.addr, "SERVING")));
    (0..8).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("q{i}"))).status(), 200));
    assert_eq!((one.drain_requests().len(), two.drain_requests().len()), (0, 8));
    assert_eq!(node.admin_status("POST /control/workers/w0/online"), 200);
    // With the other worker offline, the one that is online again is used at once, as far as its warm-up allows.
    assert_eq!(node.admin_status("POST /control/workers/w1/offline"), 200);
    let start = std::time::Instant::now();
    while one.drain_requests().is_empty() {
        assert!(start.elapsed() < LIMIT, "the worker is not used again");
        node.request(&ClientRequest::new(&format!("r{}", start.elapsed().as_nanos())));
    }
    assert!(two.drain_requests().is_empty());
}

#[test]
fn invalid_calls_are_refused_and_change_nothing() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    assert_eq!(node.admin_status("GET /control/ready"), 200);
    for (line, status) in [
        ("POST /control/workers/nonesuch/offline", 404),
        ("POST /control/workers/nonesuch/online", 404),
        ("POST /control/workers/%ff/offline", 404),
        ("POST /control/workers/w0", 404),
        ("POST /control/workers/w0/sideways", 404),
        ("GET /control/workers/w0/offline", 405),
        ("POST /control/ready", 405),
        ("GET /control/out-of-service", 405),
        ("POST /control/nonesuch", 404),
        ("GET /up", 404),
    ] {
        assert_eq!(node.admin_status(line), status, "{line}");
    }
    assert_eq!((health_status(&node), node.request(&ClientRequest::new("a")).status()), (200, 200));
    assert_eq!(
        node.admin_status("POST /control/workers/%770/offline"),
        200,
        "a worker id may be percent-encoded"
    );
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 429);
}

#[test]
fn incomplete_calls_block_no_others_and_use_few_descriptors() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, discovery) = setup(&[&worker]);
    let node = setup.start();
    // By then the connection to discovery is open, so both counts include it.
    discovery.wait_for_watch_from(1);
    let before = node.descriptor_count();
    let mut idle: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(node.admin_addr).expect("the gateway listens")).collect();
    idle.iter_mut().for_each(|s| drop(s.write_all(b"POST /control/out-of-ser")));
    assert_eq!(node.admin_status("GET /control/ready"), 200, "a complete call is answered meanwhile");
    assert!(
        node.descriptor_count() <= before + 8,
        "{} descriptors, {before} before",
        node.descriptor_count()
    );
    idle[0].set_read_timeout(Some(LIMIT)).expect("a socket");
    // The connection ends with a close or a reset, and without a response.
    assert!(!idle[0].read(&mut [0]).is_ok_and(|n| n > 0));
    assert_eq!(health_status(&node), 200);
}

#[test]
fn out_of_service_clients_are_served_and_closed_until_the_gateway_is_in_service() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (setup, _discovery) = setup(&[&worker]);
    let mut node = setup.start();
    let (mut idle, mut client) = (node.connect(), node.connect());
    client.send(&ClientRequest::new("held"));
    worker.next_request();
    assert_eq!(node.admin_status("POST /control/out-of-service"), 200);
    assert_eq!(health_status(&node), 503);
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    gate.open();
    let answer = client.read_response().expect("the open request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert_eq!(node.request(&ClientRequest::new("late")).status(), 200, "a new client is still served");
    assert!(node.child.try_wait().expect("a child").is_none(), "the process keeps running");
    assert_eq!(node.admin_status("POST /control/in-service"), 200);
    assert_eq!(health_status(&node), 200);
    let mut client = node.connect();
    (0..2).for_each(|i| assert_eq!(client.request(&ClientRequest::new(&format!("k{i}"))).status(), 200));
}

#[test]
fn a_gateway_that_shuts_down_is_not_ready() {
    let worker = Worker::start(Behaviour::NeverRespond);
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("held"));
    worker.next_request();
    node.terminate();
    node.wait_for_log("shuts down with 1 open requests");
    assert_eq!(node.admin_status("GET /control/ready"), 503);
    client.reader.get_ref().shutdown(Shutdown::Both).expect("a socket");
}
