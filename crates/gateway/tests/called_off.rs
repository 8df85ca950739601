//! Attempts that wait for a connection while their request gets its final answer: the real program, and a worker whose
//! line is full.

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

const SECOND_COPY: Duration = Duration::from_millis(790);

/// A listener on which no further connection comes up until somebody accepts.
fn full() -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    // SAFETY: the descriptor is the listener's, which lives on; listening again only shortens its line.
    assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
    let addr = listener.local_addr().expect("bound");
    let come = |addr: SocketAddr| TcpStream::connect_timeout(&addr, Duration::from_millis(100));
    let mut line = Vec::new();
    while let Ok(socket) = come(addr) {
        line.push(socket);
        assert!(line.len() < 64, "its line never fills");
    }
    (listener, line)
}

/// Takes whoever comes, answers what is asked, and tells the requests' ids in their order.
fn open(listener: TcpListener) -> Receiver<String> {
    let (tell, told) = channel();
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                while let Some(message) = read_message(&mut reader) {
                    let _ = tell.send(message.header("x-txn").to_owned());
                    let _ = (&socket).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        }
    });
    told
}

#[test]
fn what_waits_for_a_connection_when_the_answer_is_given_is_never_sent() {
    let quick = Worker::start(Behaviour::Respond("quick"));
    let (stuck, line) = full();
    let (mut setup, discovery) = NodeSetup::new(&[&quick]);
    setup.has_admin_api = true;
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    // A second copy goes out after 0.8 s, and an attempt ends after 2 s; nothing else takes nearly so long.
    setup.settings["Classes"][0]["Slo"] = json!(2.0);
    let node = setup.start();
    let version = discovery.upsert(discovery_entry("w1", stuck.local_addr().expect("bound"), "SERVING"));
    discovery.wait_for_watch_from(version);
    // Some go to the stuck one first, and the other answers them as a second copy.
    let start = Instant::now();
    let second_copy = |i: usize| {
        let asked = Instant::now();
        assert_eq!(node.request(&ClientRequest::new(&format!("early-{i}"))).status(), 200);
        asked.elapsed() > SECOND_COPY
    };
    for i in 0.. {
        if second_copy(i) {
            break;
        }
        assert!(start.elapsed() < LIMIT, "none went there");
    }
    // Its line moves on: the connection comes up, and whatever waits for it could be written now.
    let told = open(stuck);
    drop(line);
    node.wait_for_pool("w1", |w| w["connecting"].as_u64() == Some(0) && w["idle"].as_u64() > Some(0));
    assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200);
    assert_eq!(node.request(&ClientRequest::new("late")).status(), 200);
    assert_eq!(told.recv_timeout(LIMIT).as_deref(), Ok("late"));
}

/// Where a list is stale an address may belong to nobody: a connect there says nothing, for longer than its request has.
#[test]
fn a_request_to_a_worker_that_is_not_there_has_its_answer_in_its_time_and_is_harmless_to_repeat() {
    let (mut setup, discovery) = NodeSetup::new(&[]);
    let (stuck, _line) = full();
    let entry = discovery_entry("w0", stuck.local_addr().expect("bound"), "SERVING");
    discovery.upsert(entry.clone());
    setup.initial_servers.push(entry);
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    let node = setup.start();
    let (mut soon, mut later) = (node.connect(), node.connect());
    soon.send(&ClientRequest::submit("soon").with_header("X-Remaining", "0.5"));
    later.send(&ClientRequest::submit("later").with_header("X-Remaining", "4.0"));
    let soon = thread::spawn(move || soon.read_response().map(|a| a.status()));
    assert_eq!(later.read_response().map(|a| a.status()), Some(429), "not a byte of it was written");
    assert!(soon.is_finished(), "one with less time still waits");
    assert_eq!(soon.join().expect("no panic"), Some(429));
}
