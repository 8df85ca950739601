//! The second address of the built program, against fakes on loopback sockets.

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

fn up(node: &Node) -> u16 {
    let mut up = ClientRequest::new("up");
    up.line = "GET /up HTTP/1.1".into();
    node.request(&up).status()
}

#[test]
fn a_worker_out_by_hand_gets_nothing_whatever_discovery_lists() {
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, discovery) = setup(&[&one, &two]);
    let node = setup.start();
    discovery.wait_for_watch_from(2);
    for _ in 0..2 {
        assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200, "also when it is out already");
    }
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", one.addr, "DRAINING")));
    discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w0", one.addr, "SERVING")));
    (0..8).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("q{i}"))).status(), 200));
    assert_eq!((one.drain_requests().len(), two.drain_requests().len()), (0, 8));
    assert_eq!(node.admin_status("POST /control/workers/w0/online"), 200);
    // The other is out now, so the one that is back is used at once, as far as a cold one may be.
    assert_eq!(node.admin_status("POST /control/workers/w1/offline"), 200);
    let start = std::time::Instant::now();
    while one.drain_requests().is_empty() {
        assert!(start.elapsed() < LIMIT, "it is not used again");
        node.request(&ClientRequest::new(&format!("r{}", start.elapsed().as_nanos())));
    }
    assert!(two.drain_requests().is_empty());
}

#[test]
fn what_is_no_call_is_refused_and_changes_nothing() {
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
    assert_eq!((up(&node), node.request(&ClientRequest::new("a")).status()), (200, 200));
    assert_eq!(node.admin_status("POST /control/workers/%770/offline"), 200, "an id may be percent-encoded");
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 429);
}

#[test]
fn callers_that_complete_no_call_block_nobody_and_hold_few_descriptors() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, discovery) = setup(&[&worker]);
    let node = setup.start();
    // Its own line to discovery is open by then, and counts on both sides.
    discovery.wait_for_watch_from(1);
    let before = node.descriptor_count();
    let mut idle: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(node.admin_addr).expect("it listens")).collect();
    idle.iter_mut().for_each(|s| drop(s.write_all(b"POST /control/out-of-ser")));
    assert_eq!(node.admin_status("GET /control/ready"), 200, "while all of them wait");
    assert!(
        node.descriptor_count() <= before + 8,
        "{} descriptors, {before} before",
        node.descriptor_count()
    );
    idle[0].set_read_timeout(Some(LIMIT)).expect("a socket");
    // Ended by a close or a reset, in either case without a word.
    assert!(!idle[0].read(&mut [0]).is_ok_and(|n| n > 0));
    assert_eq!(up(&node), 200);
}

#[test]
fn clients_sent_away_are_served_on_and_then_closed_until_the_drain_ends() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (setup, _discovery) = setup(&[&worker]);
    let mut node = setup.start();
    let (mut idle, mut client) = (node.connect(), node.connect());
    client.send(&ClientRequest::new("held"));
    worker.next_request();
    assert_eq!(node.admin_status("POST /control/out-of-service"), 200);
    assert_eq!(up(&node), 503);
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    gate.open();
    let answer = client.read_response().expect("it was not cut off");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert_eq!(
        node.request(&ClientRequest::new("late")).status(),
        200,
        "one that comes all the same is served"
    );
    assert!(node.child.try_wait().expect("a child").is_none(), "it goes on");
    assert_eq!(node.admin_status("POST /control/in-service"), 200);
    assert_eq!(up(&node), 200);
    let mut kept = node.connect();
    (0..2).for_each(|i| assert_eq!(kept.request(&ClientRequest::new(&format!("k{i}"))).status(), 200));
}

#[test]
fn a_process_that_stops_is_not_ready() {
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
