//! Ends that cross with something still owed: the real program, and stand-ins that hold, close or answer on a signal.

mod fakes;

use fakes::*;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc,
        mpsc::{Receiver, channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---- Stand-ins ----

/// A worker on which no connection comes up before it is opened.
struct Shut {
    listener: TcpListener,
    _line: Vec<TcpStream>,
    addr: SocketAddr,
}

impl Shut {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // SAFETY: the descriptor is the listener's, which lives on; listening again only shortens its line.
        assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
        let addr = listener.local_addr().expect("bound");
        let come = || TcpStream::connect_timeout(&addr, Duration::from_millis(100));
        let mut line = Vec::new();
        while let Ok(socket) = come() {
            line.push(socket);
            assert!(line.len() < 64, "its line never fills");
        }
        Self { listener, _line: line, addr }
    }

    /// Takes whoever has come, all of its line and one more, and says nothing.
    fn admit(&self) -> Vec<TcpStream> {
        let most = self._line.len() + 1;
        (0..most).map(|_| self.listener.accept().expect("somebody comes").0).collect()
    }

    /// Takes whoever comes and answers what is asked; tells the requests' ids in their order.
    fn open(self) -> Receiver<String> {
        self.open_and_say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    }

    /// The same, with this as the answer to each.
    fn open_and_say(self, answer: &'static str) -> Receiver<String> {
        let (tell, told) = channel();
        thread::spawn(move || {
            for socket in self.listener.incoming().map_while(Result::ok) {
                let tell = tell.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                    while let Some(message) = read_message(&mut reader) {
                        let _ = tell.send(message.header("x-txn").to_owned());
                        let _ = (&socket).write_all(answer.as_bytes());
                    }
                });
            }
        });
        told
    }
}

/// Has the worker behind `shut` known at the start and to discovery.
fn list(setup: &mut NodeSetup, discovery: &Discovery, id: &str, shut: &Shut) {
    let worker = discovery_entry(id, shut.addr, "SERVING");
    discovery.upsert(worker.clone());
    setup.initial_servers.push(worker);
}

/// No byte was written on any of these.
fn nothing_came(line: Vec<TcpStream>) {
    for mut socket in line {
        socket.set_nonblocking(true).expect("a socket");
        assert!(!socket.read(&mut [0; 64]).is_ok_and(|n| n > 0), "something was written");
    }
}

/// A counter that answers what has come once the gate is open, and tells of each call for units.
fn counter(gate: Arc<Gate>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let (tell, told) = channel();
    thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let (tell, gate) = (tell.clone(), gate.clone());
            thread::spawn(move || {
                let reader = BufReader::new(socket.try_clone().expect("a socket"));
                for line in reader.lines().map_while(Result::ok) {
                    let amount = line.split(' ').nth(2).map(|a| a.parse::<f64>().expect("an amount"));
                    let answer = match amount {
                        None => "pong\r\n".to_owned(),
                        Some(amount) => {
                            // One of nothing only reads.
                            let _ = if amount > 0.0 { tell.send(line.clone()) } else { Ok(()) };
                            gate.wait();
                            format!("ok {amount}\r\n")
                        }
                    };
                    let _ = socket.write_all(answer.as_bytes());
                }
            });
        }
    });
    (addr, told)
}

/// The next request that any of them sees.
fn first(workers: &[Worker]) -> Message {
    let start = Instant::now();
    loop {
        for worker in workers {
            if let Ok(WorkerEvent::Request(_, message)) = worker.events.try_recv() {
                return message;
            }
        }
        assert!(start.elapsed() < LIMIT, "none sees a request");
        thread::yield_now();
    }
}

/// How a client goes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Goes {
    Fin,
    Reset,
}

/// What of its own stands before its end, as yet unread.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Before {
    Nothing,
    /// A request that came in one piece with the one in hand.
    Pipelined,
    /// A request that came once the one in hand was taken.
    Later,
    /// The rest of a body that is too long to gather, as much as sockets hold.
    Body,
}

const WAYS: [(Goes, Before); 8] = [
    (Goes::Fin, Before::Nothing),
    (Goes::Fin, Before::Pipelined),
    (Goes::Fin, Before::Later),
    (Goes::Fin, Before::Body),
    (Goes::Reset, Before::Nothing),
    (Goes::Reset, Before::Pipelined),
    (Goes::Reset, Before::Later),
    (Goes::Reset, Before::Body),
];

/// Closing it resets the connection.
fn resets(socket: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let (fd, size) = (socket.as_raw_fd(), size_of::<libc::linger>() as libc::socklen_t);
    // SAFETY: the descriptor is the socket's, and the option's value and size are those of the call.
    let set =
        unsafe { libc::setsockopt(fd, libc::SOL_SOCKET, libc::SO_LINGER, (&raw const linger).cast(), size) };
    assert_eq!(set, 0);
}

/// A client that is about to go.
struct Leaver {
    socket: TcpStream,
    goes: Goes,
    before: Before,
}

impl Leaver {
    /// Sends `ask` and what comes with it.
    fn send(node: &Node, ask: &ClientRequest, (goes, before): (Goes, Before)) -> Self {
        let mut socket = TcpStream::connect(node.addr).expect("it listens");
        let mut bytes = match before {
            Before::Body => {
                let ask =
                    ask.clone().with_header("X-Lane", "submit").with_header("Content-Length", "4000000");
                ClientRequest { line: "POST /submit HTTP/1.1".into(), body: vec![b'x'; 100_000], ..ask }
                    .bytes()
            }
            _ => ask.bytes(),
        };
        if before == Before::Pipelined {
            bytes.extend(ClientRequest::new("behind").bytes());
        }
        socket.write_all(&bytes).expect("a socket");
        Self { socket, goes, before }
    }

    fn go(mut self) {
        if self.before == Before::Later {
            self.socket.write_all(&ClientRequest::new("behind").bytes()).expect("a socket");
        }
        if self.goes == Goes::Reset {
            resets(&self.socket);
        }
    }
}

/// A node whose waits end by a signal only: the counter's answers and connections may take 20 s, and its log tells
/// of each request.
fn patient(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    setup.settings["Domain"]["CountLimit"] = json!(20.0);
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    // A burst of one unit, so that a customer's first request waits for the count.
    setup.settings["Plans"][1]["Depth"] = json!(1.0);
    (setup, discovery)
}

/// Waits until the log says that the request's client has left.
fn left(node: &Node, txn: &str) {
    while !node.wait_for_log("\"left\"").contains(&format!("\"{txn}\"")) {}
}

// ---- Clients that leave while their request waits ----

#[test]
fn what_waits_for_the_counter_when_its_client_leaves_is_not_sent_on_and_its_unit_is_there_for_the_next() {
    for way in WAYS {
        let (worker, gate) = (Worker::start(Behaviour::Respond("ok")), Arc::new(Gate::default()));
        let (mut setup, _discovery) = patient(&[&worker]);
        let (addr, calls) = counter(gate.clone());
        setup.counter = Some(addr);
        let node = setup.start();
        let leaver = Leaver::send(&node, &ClientRequest::new("gone").with_header("X-Plan", "pieni"), way);
        calls.recv_timeout(LIMIT).expect("it asks for a block");
        leaver.go();
        left(&node, "gone");
        gate.open();
        assert_eq!(
            node.request(&ClientRequest::new("next").with_header("X-Plan", "pieni")).status(),
            200,
            "{way:?}"
        );
        assert_eq!(worker.next_request().1.header("x-txn"), "next", "{way:?}");
    }
}

#[test]
fn what_waits_for_a_connection_when_its_client_leaves_is_not_sent_on_and_its_place_and_unit_go_back() {
    for way in WAYS {
        let (shut, gate) = (Shut::new(), Arc::new(Gate::default()));
        let (mut setup, discovery) = patient(&[]);
        let (addr, calls) = counter(gate.clone());
        setup.counter = Some(addr);
        list(&mut setup, &discovery, "w0", &shut);
        gate.open();
        let node = setup.start();
        let leaver = Leaver::send(&node, &ClientRequest::new("gone").with_header("X-Plan", "pieni"), way);
        calls.recv_timeout(LIMIT).expect("it asks for a block");
        node.wait_for_pool("w0", |p| p["waiting"] == 1);
        leaver.go();
        left(&node, "gone");
        assert_eq!(node.wait_for_pool("w0", |_| true)["waiting"], 0, "{way:?}: its place is free");
        let told = shut.open();
        node.wait_for_pool("w0", |p| p["connecting"] == 0 && p["in_use"] == 0);
        // The one unit that there is has been granted, and was not sent.
        assert_eq!(
            node.request(&ClientRequest::new("next").with_header("X-Plan", "pieni")).status(),
            200,
            "{way:?}"
        );
        assert_eq!(told.recv_timeout(LIMIT).as_deref(), Ok("next"), "{way:?}");
    }
}

#[test]
fn after_its_client_has_left_a_request_has_no_further_attempt() {
    for way in WAYS.into_iter().filter(|(_, before)| *before != Before::Body) {
        let gate = Arc::new(Gate::default());
        let workers = [(); 2].map(|()| Worker::start(Behaviour::CloseWhenOpened(gate.clone())));
        let (setup, _discovery) = patient(&[&workers[0], &workers[1]]);
        let node = setup.start();
        let leaver = Leaver::send(&node, &ClientRequest::new("gone"), way);
        assert_eq!(first(&workers).header("x-txn"), "gone");
        leaver.go();
        left(&node, "gone");
        workers.iter().for_each(|w| w.set_behaviour(Behaviour::Respond("ok")));
        gate.open();
        for i in 0..2 {
            node.wait_for_pool(&format!("w{i}"), |p| p["in_use"] == 0);
        }
        assert_eq!(node.request(&ClientRequest::new("next")).status(), 200, "{way:?}");
        let seen = workers.iter().flat_map(Worker::drain_requests).map(|m| m.header("x-txn").to_owned());
        assert_eq!(seen.collect::<Vec<String>>(), ["next"], "{way:?}");
    }
}

#[test]
fn after_its_client_has_left_a_request_has_no_second_copy() {
    for way in [(Goes::Fin, Before::Pipelined), (Goes::Reset, Before::Later)] {
        let workers = [(); 2].map(|()| Worker::start(Behaviour::NeverRespond));
        let (mut setup, _discovery) = patient(&[&workers[0], &workers[1]]);
        // A second copy goes out after 0.8 s.
        setup.settings["Classes"][0]["Slo"] = json!(2.0);
        let node = setup.start();
        let leaver = Leaver::send(&node, &ClientRequest::new("gone"), way);
        node.wait_for_log("\"sent\"");
        leaver.go();
        left(&node, "gone");
        // One that came after it has its second copy: that of the first would have gone before.
        let mut stays = node.connect();
        stays.send(&ClientRequest::new("stays"));
        let copies = || node.wait_for_log("\"sent\"").contains("\"stays\"");
        assert!(copies() && copies(), "{way:?}: nothing else is sent meanwhile");
    }
}

// ---- Workers to which nothing new may go ----

#[test]
fn who_waits_for_a_connection_to_a_worker_that_is_no_longer_what_was_chosen_is_not_carried_there_later() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    let unix_ms = now.as_secs_f64() * 1000.0;
    for way in ["DRAINING", "DELETED", "by hand", "started anew"] {
        let shut = Shut::new();
        let (mut setup, discovery) = patient(&[]);
        list(&mut setup, &discovery, "w0", &shut);
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::submit("waits"));
        node.wait_for_pool("w0", |p| p["waiting"] == 1);
        let mut news = discovery_entry("w0", shut.addr, "SERVING");
        match way {
            "by hand" => assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200),
            // A cold one was not chosen, and has its own bounds.
            "started anew" => news["started_ms"] = json!(unix_ms),
            state => news["state"] = json!(state),
        }
        if way != "by hand" {
            discovery.wait_for_watch_from(discovery.upsert(news));
        }
        // From here on nothing new may reach it, and the connection comes up now.
        let told = shut.open();
        assert_eq!(
            client.read_response().expect("an answer at once").status(),
            429,
            "{way}: it was not sent"
        );
        node.wait_for_report("pools", |report| {
            let pools = report["workers"].as_array().expect("a list");
            pools.iter().all(|p| p["connecting"] == 0 && p["in_use"] == 0)
        });
        assert!(told.try_recv().is_err(), "{way}: nothing reaches it");
    }
}

// ---- Times that end as something comes ----

/// How long these clients wait. The process stands still meanwhile, so that it meets both at once.
const TIME: Duration = Duration::from_millis(1500);

/// One whose client's time ends, whatever it waits for, while the process stands still.
fn short(ask: ClientRequest) -> ClientRequest {
    ask.with_header("X-Remaining", &format!("{:.1}", TIME.as_secs_f64()))
}

#[test]
fn a_counters_answer_that_comes_as_the_requests_time_ends_sends_nothing_and_its_unit_is_there_for_the_next() {
    let (worker, gate) = (Worker::start(Behaviour::Respond("ok")), Arc::new(Gate::default()));
    let (mut setup, _discovery) = patient(&[&worker]);
    setup.settings["Domain"]["CountLimit"] = json!(1.2);
    let (addr, calls) = counter(gate.clone());
    setup.counter = Some(addr);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&short(ClientRequest::submit("late").with_header("X-Plan", "pieni")));
    calls.recv_timeout(LIMIT).expect("it asks for a block");
    node.pause();
    gate.open();
    thread::sleep(TIME);
    node.resume();
    let status = client.read_response().expect("one answer").status();
    assert!(status == 429 || status == 502, "{status}");
    assert_eq!(client.request(&ClientRequest::submit("next").with_header("X-Plan", "pieni")).status(), 200);
    assert_eq!(worker.next_request().1.header("x-txn"), "next");
}

#[test]
fn a_connection_that_comes_up_as_the_requests_time_ends_carries_nothing() {
    let shut = Shut::new();
    let (mut setup, discovery) = patient(&[]);
    list(&mut setup, &discovery, "w0", &shut);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&short(ClientRequest::submit("late")));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    node.pause();
    let line = shut.admit();
    thread::sleep(TIME);
    node.resume();
    assert_eq!(client.read_response().expect("one answer").status(), 429, "it was not sent");
    node.wait_for_pool("w0", |p| p["connecting"] == 0 && p["in_use"] == 0);
    nothing_came(line);
}

#[test]
fn a_worker_is_told_the_time_that_is_left_when_its_connection_is_there() {
    let shut = Shut::new();
    let (mut setup, discovery) = patient(&[]);
    list(&mut setup, &discovery, "w0", &shut);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("waits").with_header("X-Remaining", "10.0"));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    let waits = Duration::from_millis(300);
    thread::sleep(waits);
    let (tell, told) = channel();
    for socket in shut.admit() {
        let tell = tell.clone();
        thread::spawn(move || {
            let message = read_message(&mut BufReader::new(socket));
            message.into_iter().for_each(|m| drop(tell.send(m.header("x-remaining").to_owned())));
        });
    }
    let left: f64 = told.recv_timeout(LIMIT).expect("the request").parse().expect("a number");
    assert!(left > 0.0 && left <= 10.0 - waits.as_secs_f64(), "{left}");
}

#[test]
fn of_two_answers_that_come_as_the_requests_time_ends_its_client_gets_one_end() {
    let gate = Arc::new(Gate::default());
    let workers = [(); 2].map(|()| Worker::start(Behaviour::RespondWhenOpened(gate.clone())));
    let (mut setup, _discovery) = patient(&[&workers[0], &workers[1]]);
    // A second copy goes out after 0.2 s.
    (setup.settings["Classes"][0]["Slo"], setup.settings["Classes"][0]["LateWorth"]) =
        (json!(0.5), json!(0.5));
    let node = setup.start();
    let mut client = node.connect();
    client.send(&short(ClientRequest::new("late")));
    workers.iter().for_each(|w| assert_eq!(w.next_request().1.header("x-txn"), "late"));
    node.pause();
    gate.open();
    thread::sleep(TIME);
    node.resume();
    let answer = client.read_response().expect("one answer");
    assert!(answer.status() != 200 || answer.body == b"waited", "a whole one");
    // Nothing is left of the other: not for its client, and not on its connection.
    workers.iter().for_each(|w| w.set_behaviour(Behaviour::Respond("next")));
    for i in 0..2 {
        node.wait_for_pool(&format!("w{i}"), |p| p["in_use"] == 0);
    }
    for i in 0..4 {
        assert_eq!(client.request(&ClientRequest::new(&format!("n{i}"))).body, b"next");
    }
}

// ---- Repeats ----

/// How long workers know a keyed request again. What is to come before its end has all of it.
const WINDOW: Duration = Duration::from_secs(3);

/// A node as [`patient`] makes it, with a keyed class that is repeated within [`WINDOW`].
fn repeats(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = patient(workers);
    let class = json!({"Name": "note", "Effect": "deduplicated", "Group": "all", "Window": WINDOW.as_secs_f64(),
        "Slo": 0.5, "LateWorth": 0.5, "Deadline": 30.0});
    setup.settings["Classes"].as_array_mut().expect("a list").push(class);
    (setup, discovery)
}

fn note(txn: &str) -> ClientRequest {
    let ask = ClientRequest::submit(txn)
        .with_header("X-Lane", "note")
        .with_header("Idempotency-Key", "5c0f6e1a2b3d4c59");
    ClientRequest { line: "POST /note HTTP/1.1".into(), ..ask }
}

#[test]
fn a_further_attempt_whose_connection_comes_up_after_the_window_for_repeats_is_not_sent() {
    // Met one after the other, and both at once.
    for at_once in [false, true] {
        let (gate, shut) = (Arc::new(Gate::default()), Shut::new());
        let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
        let (setup, discovery) = repeats(&[&worker]);
        let node = setup.start();
        let mut client = node.connect();
        client.send(&note("n"));
        worker.next_request();
        discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w1", shut.addr, "SERVING")));
        // It may have run, and goes elsewhere in time; the connection there does not come up.
        gate.open();
        node.wait_for_pool("w1", |p| p["waiting"] == 1);
        if at_once {
            node.pause();
        }
        // However long this takes, the window is over then.
        thread::sleep(WINDOW);
        let line = shut.admit();
        node.resume();
        assert_eq!(
            client.read_response().expect("an answer").status(),
            429,
            "a client's repeat does no harm"
        );
        node.wait_for_pool("w1", |p| p["connecting"] == 0 && p["in_use"] == 0);
        nothing_came(line);
    }
}

#[test]
fn a_first_attempt_whose_connection_comes_up_after_the_window_of_its_second_copy_is_not_sent() {
    let (one, other) = (Shut::new(), Shut::new());
    let (mut setup, discovery) = repeats(&[]);
    list(&mut setup, &discovery, "w0", &one);
    list(&mut setup, &discovery, "w1", &other);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&note("n"));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    node.wait_for_pool("w1", |p| p["waiting"] == 1);
    let told = one.open_and_say("");
    assert_eq!(told.recv_timeout(LIMIT).as_deref(), Ok("n"));
    thread::sleep(WINDOW);
    let told = other.open();
    node.wait_for_pool("w1", |p| p["connecting"] == 0 && p["in_use"] == 0);
    assert!(told.try_recv().is_err(), "nothing reaches it");
}

// ---- The way out ----

#[test]
fn a_request_whose_head_is_half_read_when_idle_connections_close_has_its_answer() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let mut node = setup.start();
    let (mut slow, mut idle) = (node.connect(), node.connect());
    for client in [&mut slow, &mut idle] {
        assert_eq!(client.request(&ClientRequest::new("before")).status(), 200);
    }
    let bytes = ClientRequest::submit("slow").bytes();
    let (half, rest) = bytes.split_at(bytes.len() / 3);
    slow.reader.get_mut().write_all(half).expect("a socket");
    node.terminate();
    // Those that bring nothing close first: from then on no connection is kept.
    assert_eq!(idle.reader.read(&mut [0]).expect("an end in good order"), 0);
    slow.reader.get_mut().write_all(rest).expect("a connection");
    let answer =
        slow.read_response().expect("an answer, as the whole request was written to an open connection");
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(node.wait_for_exit().success());
}

/// A worker whose answer is this long, and a node before it.
fn gives(length: usize) -> (Node, Discovery) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let answer: &'static str = Box::leak((head + &"x".repeat(length)).into_boxed_str());
    let worker = Worker::start(Behaviour::SendRaw(answer));
    let (setup, discovery) = NodeSetup::new(&[&worker]);
    (setup.start(), discovery)
}

#[test]
fn an_answer_that_its_client_has_not_taken_yet_is_not_cut_off_by_the_end() {
    let length = 12 << 20;
    let (mut node, _discovery) = gives(length);
    let (mut slow, mut idle) = (node.connect(), node.connect());
    assert!(!idle.request(&ClientRequest::new("before")).body.is_empty());
    slow.send(&ClientRequest::new("slow"));
    // It has begun to come, and more is left than the sockets hold.
    assert!(!slow.reader.fill_buf().expect("an answer").is_empty());
    node.terminate();
    assert_eq!(idle.reader.read(&mut [0]).expect("an end in good order"), 0);
    let answer = slow.read_response().expect("the whole of it");
    assert_eq!((answer.status(), answer.body.len()), (200, length));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_client_that_takes_nothing_of_its_answer_does_not_keep_the_process_from_its_end() {
    let (mut node, _discovery) = gives(12 << 20);
    let mut client = node.connect();
    client.send(&ClientRequest::new("deaf"));
    assert!(!client.reader.fill_buf().expect("an answer").is_empty());
    node.terminate();
    assert!(node.wait_for_exit().success(), "before it is killed, which nobody does here");
}

// ---- Discovery ----

/// How a watch ends whose agent has something to tell.
#[derive(Debug, Clone, Copy)]
enum Watch {
    /// The connection stays up and says nothing.
    Silent,
    Reset,
    /// Half of the answer comes, and no more.
    Half,
    /// The whole answer, of a version older than the one it was asked from.
    Older,
}

/// An agent whose first watch ends so: from then on it tells, on any other call, that `w0` drains. Tells the version
/// that each call asks from.
fn agent(ends: Watch, worker: SocketAddr) -> (SocketAddr, Receiver<Option<u64>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let (tell, told) = channel();
    let list = move |version: u64, full: bool, state: &str| {
        let body =
            json!({"version": version, "full": full, "servers": [discovery_entry("w0", worker, state)]})
                .to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    thread::spawn(move || {
        let mut held = Vec::new();
        let mut ended = false;
        // One connection after the other, as the gateway calls.
        for mut socket in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
            while let Some(call) = read_message(&mut reader) {
                let from = call.line.split_once("from=").map(|(_, rest)| {
                    rest.split(['&', ' ']).next().and_then(|v| v.parse::<u64>().ok()).expect("a version")
                });
                let _ = tell.send(from);
                let answer = match (from, ended) {
                    (None, false) => list(7, true, "SERVING"),
                    (None, true) => list(8, true, "DRAINING"),
                    (Some(7), false) => {
                        ended = true;
                        match ends {
                            Watch::Silent | Watch::Reset => break,
                            Watch::Half => {
                                let whole = list(8, false, "DRAINING");
                                let _ = socket.write_all(&whole.as_bytes()[..whole.len() / 2]);
                                break;
                            }
                            Watch::Older => list(5, false, "SERVING"),
                        }
                    }
                    (Some(7), true) => list(8, false, "DRAINING"),
                    (Some(_), _) => break,
                };
                let _ = socket.write_all(answer.as_bytes());
            }
            if matches!(ends, Watch::Reset) {
                resets(&socket);
            } else {
                held.push(socket);
            }
        }
    });
    (addr, told)
}

#[test]
fn a_drain_that_a_broken_watch_missed_is_learned_from_the_next() {
    for ends in [Watch::Silent, Watch::Reset, Watch::Half, Watch::Older] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
        let (addr, told) = agent(ends, worker.addr);
        setup.discovery = addr;
        // The list that is known at the start is the agent's.
        setup.initial_version = 7;
        let node = setup.start();
        // A handful of calls: two lists, two watches, and the first of what follows.
        let calls = (0..8).map(|_| told.recv_timeout(LIMIT).expect("a call"));
        assert!(calls.into_iter().any(|from| from == Some(8)), "{ends:?}: it is told");
        assert_eq!(node.request(&ClientRequest::new("late")).status(), 429, "{ends:?}");
        assert!(worker.drain_requests().is_empty(), "{ends:?}: nothing reaches it");
    }
}

// ---- Settings ----

#[test]
fn a_request_whose_class_changes_its_effect_while_its_body_comes_is_not_sent_under_the_other_rules() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    let bytes = ClientRequest::submit("crosses").with_header("Expect", "100-continue").bytes();
    let (head, body) = bytes.split_at(bytes.len() - b"answer".len());
    client.reader.get_mut().write_all(head).expect("a socket");
    // Its head has been read by the old rules, and its body is waited for.
    assert_eq!(client.read_response().expect("the word to go on").status(), 100);
    // What was never to be repeated may be from now on.
    setup.settings["Classes"][1]["Effect"] = json!("idempotent");
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    client.reader.get_mut().write_all(body).expect("a socket");
    assert_eq!(
        client.read_response().expect("an answer").status(),
        503,
        "it may come again, under the new rules"
    );
    assert!(worker.drain_requests().is_empty(), "nothing reaches it");
    // As it would now: the connection goes on.
    let mut again = ClientRequest::submit("again");
    (again.line, again.body) = ("GET /submit HTTP/1.1".into(), Vec::new());
    assert_eq!(client.request(&again).status(), 200);
}

// ---- The counter ----

#[test]
fn a_request_that_waits_for_an_answer_on_a_line_that_dies_has_its_own_at_once_and_the_next_line_serves() {
    for goes in [Goes::Fin, Goes::Reset] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let (mut setup, _discovery) = patient(&[&worker]);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        setup.counter = listener.local_addr().ok();
        let node = setup.start();
        let (line, _) = listener.accept().expect("a line");
        let mut calls = BufReader::new(line.try_clone().expect("a socket"));
        let mut next = |text: &str| {
            let mut said = String::new();
            while !said.starts_with(text) {
                said.clear();
                assert!(calls.read_line(&mut said).is_ok_and(|n| n > 0), "{goes:?}: it calls");
            }
        };
        let mut client = node.connect();
        client.send(&ClientRequest::submit("waits").with_header("X-Plan", "pieni"));
        next("bump");
        // Its add is written and will never be answered, and the limit for calls is far off.
        if goes == Goes::Reset {
            resets(&line);
        }
        drop((line, calls));
        let status = client.read_response().expect("one answer").status();
        assert!(status == 200 || status == 429, "{goes:?}: by the even share: {status}");
        let sent = worker.drain_requests().len();
        assert_eq!(sent, usize::from(status == 200), "{goes:?}: sent once, or not at all");
        // It comes again and is asked again.
        let (mut line, _) = listener.accept().expect("the next line");
        client.send(
            &ClientRequest::submit("after")
                .with_header("X-Plan", "pieni")
                .with_header("X-Customer", "0000000000000007"),
        );
        let mut calls = BufReader::new(line.try_clone().expect("a socket"));
        loop {
            let mut said = String::new();
            assert!(calls.read_line(&mut said).is_ok_and(|n| n > 0), "{goes:?}: it calls");
            let amount = said.split(' ').nth(2).and_then(|a| a.parse::<f64>().ok());
            let answer = amount.map_or("pong\r\n".into(), |total| format!("ok {total}\r\n"));
            line.write_all(answer.as_bytes()).expect("a socket");
            if amount.is_some_and(|a| a > 0.0) {
                break;
            }
        }
        assert_eq!(client.read_response().expect("an answer").status(), 200, "{goes:?}");
    }
}
