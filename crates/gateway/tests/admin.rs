//! The second address of the built program, against fakes on loopback sockets.

mod fakes;
use fakes::*;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::Arc,
};

fn setup(workers: &[&Worker]) -> (Setup, Discovery) {
    let (mut setup, discovery) = Setup::new(workers);
    setup.admin = true;
    (setup, discovery)
}

fn up(node: &Node) -> u16 {
    let mut up = Ask::new("up");
    up.line = "GET /up HTTP/1.1".into();
    node.ask(&up).status()
}

#[test]
fn a_worker_out_by_hand_gets_nothing_whatever_discovery_lists() {
    let (one, two) = (Worker::start(Does::Serves("ok")), Worker::start(Does::Serves("ok")));
    let (setup, discovery) = setup(&[&one, &two]);
    let node = setup.start();
    discovery.told(2);
    for _ in 0..2 {
        assert_eq!(node.call("POST /control/workers/w0/offline"), 200, "also when it is out already");
    }
    discovery.told(discovery.change(entry("w0", one.addr, "DRAINING")));
    discovery.told(discovery.change(entry("w0", one.addr, "SERVING")));
    (0..8).for_each(|i| assert_eq!(node.ask(&Ask::new(&format!("q{i}"))).status(), 200));
    assert_eq!((one.rest().len(), two.rest().len()), (0, 8));
    assert_eq!(node.call("POST /control/workers/w0/online"), 200);
    // The other is out now, so the one that is back is used at once, as far as a cold one may be.
    assert_eq!(node.call("POST /control/workers/w1/offline"), 200);
    let start = std::time::Instant::now();
    while one.rest().is_empty() {
        assert!(start.elapsed() < LIMIT, "it is not used again");
        node.ask(&Ask::new(&format!("r{}", start.elapsed().as_nanos())));
    }
    assert!(two.rest().is_empty());
}

#[test]
fn what_is_no_call_is_refused_and_changes_nothing() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    assert_eq!(node.call("GET /control/ready"), 200);
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
        assert_eq!(node.call(line), status, "{line}");
    }
    assert_eq!((up(&node), node.ask(&Ask::new("a")).status()), (200, 200));
    assert_eq!(node.call("POST /control/workers/%770/offline"), 200, "an id may be percent-encoded");
    assert_eq!(node.ask(&Ask::new("b")).status(), 429);
}

#[test]
fn callers_that_complete_no_call_block_nobody_and_hold_few_descriptors() {
    let worker = Worker::start(Does::Serves("ok"));
    let (setup, discovery) = setup(&[&worker]);
    let node = setup.start();
    // Its own line to discovery is open by then, and counts on both sides.
    discovery.told(1);
    let before = node.descriptors();
    let mut idle: Vec<TcpStream> =
        (0..40).map(|_| TcpStream::connect(node.admin).expect("it listens")).collect();
    idle.iter_mut().for_each(|s| drop(s.write_all(b"POST /control/out-of-ser")));
    assert_eq!(node.call("GET /control/ready"), 200, "while all of them wait");
    assert!(node.descriptors() <= before + 8, "{} descriptors, {before} before", node.descriptors());
    idle[0].set_read_timeout(Some(LIMIT)).expect("a socket");
    // Ended by a close or a reset, in either case without a word.
    assert!(!idle[0].read(&mut [0]).is_ok_and(|n| n > 0));
    assert_eq!(up(&node), 200);
}

#[test]
fn clients_sent_away_are_served_on_and_then_closed_until_the_drain_ends() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Does::Waits(gate.clone()));
    let (setup, _discovery) = setup(&[&worker]);
    let mut node = setup.start();
    let (mut idle, mut client) = (node.client(), node.client());
    client.send(&Ask::new("held"));
    worker.request();
    assert_eq!(node.call("POST /control/out-of-service"), 200);
    assert_eq!(up(&node), 503);
    assert!(idle.answer().is_none(), "an idle connection is closed");
    gate.open();
    let answer = client.answer().expect("it was not cut off");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert_eq!(node.ask(&Ask::new("late")).status(), 200, "one that comes all the same is served");
    assert!(node.child.try_wait().expect("a child").is_none(), "it goes on");
    assert_eq!(node.call("POST /control/in-service"), 200);
    assert_eq!(up(&node), 200);
    let mut kept = node.client();
    (0..2).for_each(|i| assert_eq!(kept.ask(&Ask::new(&format!("k{i}"))).status(), 200));
}

#[test]
fn a_process_that_stops_is_not_ready() {
    let worker = Worker::start(Does::Holds);
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let mut client = node.client();
    client.send(&Ask::new("held"));
    worker.request();
    node.terminate();
    node.says("shuts down with 1 open requests");
    assert_eq!(node.call("GET /control/ready"), 503);
    client.reader.get_ref().shutdown(Shutdown::Both).expect("a socket");
}
