//! Upgrade under load: two processes of the built program on one listening socket.

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

/// The inherited listening socket, and the temporary folder that all processes of one gateway share.
struct Host {
    listener: TcpListener,
    folder: PathBuf,
}

impl Host {
    fn new() -> Self {
        Self {
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            folder: create_temp_folder(),
        }
    }
    fn start(&self, setup: &NodeSetup) -> Node {
        setup.start_on_listener(&self.listener, &self.folder)
    }
    fn socket_path(&self) -> PathBuf {
        self.folder.join("yardspur-handover.sock")
    }
}

impl Drop for Host {
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
fn the_new_process_keeps_the_old_one_s_state_and_open_requests_are_answered() {
    let gate = Arc::new(Gate::default());
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = setup(&[&one, &two]);
    let host = Host::new();
    let mut old = host.start(&setup);
    assert_eq!(old.admin_status("GET /control/ready"), 200);
    assert_eq!(old.admin_status("POST /control/workers/w0/offline"), 200);
    // Spends all of this gateway's even share: half of a burst of 8, as there are two gateways.
    let quota = |txn: &str| ClientRequest::new(txn).with_header("X-Plan", "pieni");
    while old.request(&quota("spends")).status() == 200 {}
    two.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    two.drain_requests();
    let (mut idle, mut waiting) = (old.connect(), old.connect());
    waiting.send(&ClientRequest::submit("held"));
    two.next_request();
    let new = host.start(&setup);
    assert_eq!(new.admin_status("GET /control/ready"), 200);
    old.wait_for_log("another process has taken over");
    assert_eq!(old.admin_status("GET /control/ready"), 503, "only the new process accepts clients");
    gate.open();
    let answer = waiting.read_response().expect("the open request is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(idle.read_response().is_none(), "an idle connection is closed");
    assert!(old.wait_for_exit().success(), "the old process exits after its last client");
    new.wait_for_log("the previous process has exited");
    assert_eq!(new.request(&quota("again")).status(), 429, "the spent share stays spent");
    let mut client = new.connect();
    (0..8).for_each(|i| {
        assert_eq!(
            client.request(&ClientRequest::new(&format!("n{i}"))).status(),
            200,
            "the connection is kept open"
        )
    });
    assert!(one.drain_requests().is_empty(), "the worker is still offline");
    assert_eq!(new.admin_status("POST /control/workers/w0/online"), 200);
    assert_eq!(
        host.start(&setup).admin_status("POST /control/workers/w0/offline"),
        200,
        "a third process takes over"
    );
}

#[test]
fn a_worker_taken_offline_during_the_handover_is_offline_for_both_processes() {
    let (one, two) = (Worker::start(Behaviour::Respond("ok")), Worker::start(Behaviour::Respond("ok")));
    let (setup, _discovery) = setup(&[&one, &two]);
    let host = Host::new();
    let old = host.start(&setup);
    // These clients send their first request to the old process after the handover.
    let mut clients: Vec<Client> = (0..8).map(|_| old.connect()).collect();
    let mut last = old.connect();
    assert_eq!(last.request(&ClientRequest::new("accepted after those")).status(), 200);
    let new = host.start(&setup);
    old.wait_for_log("another process has taken over");
    assert_eq!(new.admin_status("POST /control/workers/w0/offline"), 200);
    old.wait_for_log("worker \"w0\" offline: done");
    one.drain_requests();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&ClientRequest::new(&format!("k{i}")));
        // The old process may close the connection before the request arrives; a real client would send it again.
        assert!(client.read_response().is_none_or(|a| a.status() == 200));
    }
    assert!(one.drain_requests().is_empty());
}

#[test]
fn if_the_new_process_ends_the_old_one_accepts_clients_again() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let host = Host::new();
    let old = host.start(&setup);
    // The old process does not exit while it has a client.
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate));
    let mut waiting = old.connect();
    waiting.send(&ClientRequest::new("held"));
    worker.next_request();
    worker.set_behaviour(Behaviour::Respond("ok"));
    let assert_old_serves = || {
        old.wait_for_log("accepts clients again");
        assert_eq!(
            (old.admin_status("GET /control/ready"), old.request(&ClientRequest::new("a")).status()),
            (200, 200)
        );
    };
    drop(host.start(&setup));
    assert_old_serves();
    // A peer that closes the connection, or sends no valid message, does not take over.
    for bytes in [&b""[..], b"nonsense\n"] {
        let mut peer = loop {
            match UnixStream::connect(host.socket_path()) {
                Ok(peer) => break peer,
                Err(_) => thread::yield_now(), // The old process is not listening again yet.
            }
        };
        peer.write_all(bytes).expect("a socket");
        let mut state = String::new();
        BufReader::new(&peer).read_line(&mut state).expect("a line");
        assert!(state.starts_with('{'));
        drop(peer);
        assert_old_serves();
    }
}

#[test]
fn a_gateway_starts_whatever_stale_or_invalid_peer_is_at_the_socket() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let stale = |path: &Path| drop(UnixListener::bind(path).expect("the socket is bound"));
    let file = |path: &Path| std::fs::write(path, "{\"form\":1}").expect("the file is written");
    let sends = |text: &'static str| {
        move |path: &Path| {
            let listener = UnixListener::bind(path).expect("the socket is bound");
            thread::spawn(move || {
                let (mut socket, _) = listener.accept().expect("a connection");
                let _ = socket.write_all(text.as_bytes());
            });
        }
    };
    let sends_nothing = |path: &Path| {
        let listener = UnixListener::bind(path).expect("the socket is bound");
        thread::spawn(move || {
            listener.accept().map(|(s, _)| BufReader::new(s).read_line(&mut String::new()))
        });
    };
    let peers: [&dyn Fn(&Path); 7] = [
        &|_| {},
        &stale,
        &file,
        &sends(""),
        &sends("{\"form\":1,\"state\":{}}\n"),
        &sends("{\"form\":99,\"state\":null,\"addrs\":{},\"away\":false,\"held\":0}\n"),
        &sends_nothing,
    ];
    for set_up_peer in peers {
        let host = Host::new();
        set_up_peer(&host.socket_path());
        let node = host.start(&setup);
        assert_eq!(
            (node.admin_status("GET /control/ready"), node.request(&ClientRequest::new("a")).status()),
            (200, 200)
        );
        let _new = host.start(&setup);
        node.wait_for_log("another process has taken over");
    }
}
