//! Attempts that still wait for a connection when their request gets its final answer: the built program, and a worker whose
//! accept queue is full.

mod fakes;

use fakes::*;
use serde_json::json;
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

/// An answer that takes longer than this came from the hedged request, which is sent after 0.8 s.
const HEDGE_DELAY: Duration = Duration::from_millis(790);

/// Returns a listener whose accept queue is full, so that no further connect completes, and the connections in its queue.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    // SAFETY: the descriptor belongs to the listener, which outlives the call; listening again only shortens its queue.
    assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
    let addr = listener.local_addr().expect("bound");
    let connect = |addr: SocketAddr| TcpStream::connect_timeout(&addr, Duration::from_millis(100));
    let mut queue = Vec::new();
    while let Ok(socket) = connect(addr) {
        queue.push(socket);
        assert!(queue.len() < 64, "the accept queue never fills");
    }
    (listener, queue)
}

/// Accepts all connections and answers all requests; the channel receives the requests' ids in their order.
fn accept_and_answer(listener: TcpListener) -> Receiver<String> {
    let (sender, requests) = channel();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                while let Some(message) = read_message(&mut reader) {
                    let _ = sender.send(message.header("x-txn").to_owned());
                    let _ = (&socket).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    requests
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_not_sent_after_its_request_is_answered() {
    let quick = Worker::start(Behaviour::Respond("quick"));
    let (stuck, queue) = full_listener();
    let (mut setup, discovery) = NodeSetup::new(&[&quick]);
    setup.has_admin_api = true;
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    // A hedged request is sent after 0.8 s, and an attempt times out after 2 s; nothing else takes nearly as long.
    setup.settings["Classes"][0]["Slo"] = json!(2.0);
    let node = setup.start();
    let version = discovery.upsert(discovery_entry("w1", stuck.local_addr().expect("bound"), "SERVING"));
    discovery.wait_for_watch_from(version);
    // Some requests go to the stuck worker first, and the other worker answers their hedged request.
    let start = Instant::now();
    let is_hedged = |i: usize| {
        let sent = Instant::now();
        assert_eq!(node.request(&ClientRequest::new(&format!("early-{i}"))).status(), 200);
        sent.elapsed() > HEDGE_DELAY
    };
    for i in 0.. {
        if is_hedged(i) {
            break;
        }
        assert!(start.elapsed() < LIMIT, "no request went to the stuck worker");
    }
    // The stuck worker accepts: its connection is established, and an attempt that waits for it could be written now.
    let requests = accept_and_answer(stuck);
    drop(queue);
    node.wait_for_pool("w1", |w| w["connecting"].as_u64() == Some(0) && w["idle"].as_u64() > Some(0));
    assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200);
    assert_eq!(node.request(&ClientRequest::new("late")).status(), 200);
    assert_eq!(requests.recv_timeout(LIMIT).as_deref(), Ok("late"));
}

/// In a stale list an address may belong to no host: a connect there gets no reply for longer than the request's time limit.
#[test]
fn a_request_to_an_unreachable_worker_is_refused_as_safe_to_repeat_within_its_time_limit() {
    let (mut setup, discovery) = NodeSetup::new(&[]);
    let (stuck, _line) = full_listener();
    let entry = discovery_entry("w0", stuck.local_addr().expect("bound"), "SERVING");
    discovery.upsert(entry.clone());
    setup.initial_servers.push(entry);
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    let node = setup.start();
    let (mut short, mut long) = (node.connect(), node.connect());
    short.send(&ClientRequest::submit("soon").with_header("X-Remaining", "0.5"));
    long.send(&ClientRequest::submit("later").with_header("X-Remaining", "4.0"));
    let short = thread::spawn(move || short.read_response().map(|a| a.status()));
    assert_eq!(long.read_response().map(|a| a.status()), Some(429), "no byte of the request was written");
    assert!(short.is_finished(), "the request with the shorter time limit still waits");
    assert_eq!(short.join().expect("no panic"), Some(429));
}
