//! A new version under load: two processes of the built program on one listening socket.

mod fakes;
use fakes::*;
use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    os::unix::net::{UnixListener, UnixStream},
    path::{Path, PathBuf},
    sync::Arc,
    thread,
};

struct Platform {
    listener: TcpListener,
    folder: PathBuf,
}

impl Platform {
    fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            folder: create_temp_folder(),
        }
    }
    fn start(&self, setup: &NodeSetup) -> Node {
        setup.start_on_listener(&self.listener, &self.folder)
    }
    fn place(&self) -> PathBuf {
        self.folder.join("yardspur-handover.sock")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    (setup, discovery)
}

#[test]
fn what_the_old_process_held_to_the_new_one_holds_to_and_nothing_in_hand_is_lost() {
    let gate = Arc::new(Gate::default());
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = setup(&[&one, &two]);
    let platform = Platform::new();
    let mut old = platform.start(&setup);
    assert_eq!(old.admin_status("GET /control/ready"), 200);
    assert_eq!(old.admin_status("POST /control/workers/w0/offline"), 200);
    // All of the even share of a burst of 8 that two gateways have.
    let quota = |txn: &str| ClientRequest::new(txn).with_header("X-Plan", "pieni");
    while old.request(&quota("spends")).status() == 200 {}
    two.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    two.drain_requests();
    let (mut idle, mut held) = (old.connect(), old.connect());
    held.send(&ClientRequest::submit("held"));
    two.next_request();
    let new = platform.start(&setup);
    assert_eq!(new.admin_status("GET /control/ready"), 200);
    old.wait_for_log("another process has taken over");
    assert_eq!(old.admin_status("GET /control/ready"), 503, "one of them takes clients");
    gate.open();
    let answer = held.read_response().expect("it is not cut off");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    assert!(old.wait_for_exit().success(), "it leaves once its last client has");
    new.wait_for_log("has left");
    assert_eq!(new.request(&quota("again")).status(), 429, "what was spent stays spent");
    let mut client = new.connect();
    (0..8).for_each(|i| {
        assert_eq!(client.request(&ClientRequest::new(&format!("n{i}"))).status(), 200, "and it is kept")
    });
    assert!(one.drain_requests().is_empty(), "the worker is still out");
    assert_eq!(new.admin_status("POST /control/workers/w0/online"), 200);
    assert_eq!(platform.start(&setup).admin_status("POST /control/workers/w0/offline"), 200, "and a third");
}

#[test]
fn a_worker_taken_out_meanwhile_is_out_for_both() {
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = setup(&[&one, &two]);
    let platform = Platform::new();
    let old = platform.start(&setup);
    // Each brings its first request to the old process later.
    let mut kept: Vec<Client> = (0..8).map(|_| old.connect()).collect();
    let mut last = old.connect();
    assert_eq!(last.request(&ClientRequest::new("accepted after those")).status(), 200);
    let new = platform.start(&setup);
    old.wait_for_log("another process has taken over");
    assert_eq!(new.admin_status("POST /control/workers/w0/offline"), 200);
    old.wait_for_log("worker \"w0\" offline: done");
    one.drain_requests();
    for (i, client) in kept.iter_mut().enumerate() {
        client.send(&ClientRequest::new(&format!("k{i}")));
        // Where the closing crossed the request, a client sends it once more.
        assert!(client.read_response().is_none_or(|a| a.status() == 200));
    }
    assert!(one.drain_requests().is_empty());
}

#[test]
fn if_the_new_process_ends_the_old_one_takes_clients_again() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let platform = Platform::new();
    let old = platform.start(&setup);
    // One that has a client left does not leave.
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate));
    let mut held = old.connect();
    held.send(&ClientRequest::new("held"));
    worker.next_request();
    worker.set_behaviour(Behaviour::Respond("ok"));
    let back = || {
        old.wait_for_log("takes clients again");
        assert_eq!(
            (old.admin_status("GET /control/ready"), old.request(&ClientRequest::new("a")).status()),
            (200, 200)
        );
    };
    drop(platform.start(&setup));
    back();
    // One that comes and says nothing of use, or only goes, takes nothing with it.
    for said in [&b""[..], b"nonsense\n"] {
        let mut peer = loop {
            match UnixStream::connect(platform.place()) {
                Ok(peer) => break peer,
                Err(_) => thread::yield_now(), // It is about to listen there again.
            }
        };
        peer.write_all(said).expect("a socket");
        let mut estate = String::new();
        BufReader::new(&peer).read_line(&mut estate).expect("a line");
        assert!(estate.starts_with('{'));
        drop(peer);
        back();
    }
}

#[test]
fn broken_or_stale_remains_are_no_reason_not_to_start() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let stale = |place: &Path| drop(UnixListener::bind(place).expect("a place"));
    let file = |place: &Path| std::fs::write(place, "{\"form\":1}").expect("a place");
    let says = |text: &'static str| {
        move |place: &Path| {
            let listener = UnixListener::bind(place).expect("a place");
            thread::spawn(move || {
                let (mut socket, _) = listener.accept().expect("a caller");
                let _ = socket.write_all(text.as_bytes());
            });
        }
    };
    let silent = |place: &Path| {
        let listener = UnixListener::bind(place).expect("a place");
        thread::spawn(move || {
            listener.accept().map(|(s, _)| BufReader::new(s).read_line(&mut String::new()))
        });
    };
    let remains: [&dyn Fn(&Path); 7] = [
        &|_| {},
        &stale,
        &file,
        &says(""),
        &says("{\"form\":1,\"state\":{}}\n"),
        &says("{\"form\":99,\"state\":null,\"addrs\":{},\"away\":false,\"held\":0}\n"),
        &silent,
    ];
    for remains in remains {
        let platform = Platform::new();
        remains(&platform.place());
        let node = platform.start(&setup);
        assert_eq!(
            (node.admin_status("GET /control/ready"), node.request(&ClientRequest::new("a")).status()),
            (200, 200)
        );
        let _new = platform.start(&setup);
        node.wait_for_log("another process has taken over");
    }
}
