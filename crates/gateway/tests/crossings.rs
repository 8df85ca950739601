//! Races between the end of a client, connection, time-out or process and an event that is still pending: the built
//! gateway program against fakes that wait, close or respond on a signal.

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

// ---- Fakes ----

/// A worker whose accept queue is full, so that no connection to it is established before [`BlockedWorker::open`].
struct BlockedWorker {
    listener: TcpListener,
    /// Connections that fill the accept queue.
    queued: Vec<TcpStream>,
    addr: SocketAddr,
}

impl BlockedWorker {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // SAFETY: the descriptor is the listener's, which lives on; listening again only shortens its accept queue.
        assert_eq!(unsafe { libc::listen(listener.as_raw_fd(), 0) }, 0);
        let addr = listener.local_addr().expect("bound");
        let connect = || TcpStream::connect_timeout(&addr, Duration::from_millis(100));
        let mut queued = Vec::new();
        while let Ok(socket) = connect() {
            queued.push(socket);
            assert!(queued.len() < 64, "the accept queue never fills");
        }
        Self { listener, queued, addr }
    }

    /// Accepts all queued connections and one more, without reading or writing.
    fn accept_queued(&self) -> Vec<TcpStream> {
        let count = self.queued.len() + 1;
        (0..count).map(|_| self.listener.accept().expect("a connection").0).collect()
    }

    /// Accepts all connections and responds to every request; returns the request ids in order of arrival.
    fn open(self) -> Receiver<String> {
        self.open_with_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    }

    /// Does as [`BlockedWorker::open`] does, with `response` sent to each request.
    fn open_with_response(self, response: &'static str) -> Receiver<String> {
        let (id_sender, ids) = channel();
        thread::spawn(move || {
            for socket in self.listener.incoming().map_while(Result::ok) {
                let id_sender = id_sender.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
                    while let Some(message) = read_message(&mut reader) {
                        let _ = id_sender.send(message.header("x-txn").to_owned());
                        let _ = (&socket).write_all(response.as_bytes());
                    }
                });
            }
        });
        ids
    }
}

/// Adds the blocked worker to the initial server list and to discovery.
fn add_worker(setup: &mut NodeSetup, discovery: &Discovery, id: &str, blocked: &BlockedWorker) {
    let worker = discovery_entry(id, blocked.addr, "SERVING");
    discovery.upsert(worker.clone());
    setup.initial_servers.push(worker);
}

/// Checks that no byte has been received on any of these connections.
fn assert_nothing_received(sockets: Vec<TcpStream>) {
    for mut socket in sockets {
        socket.set_nonblocking(true).expect("a socket");
        assert!(!socket.read(&mut [0; 64]).is_ok_and(|n| n > 0), "the gateway has written to the connection");
    }
}

/// A counter that answers calls once the gate is open; also returns the received calls that request units.
fn start_gated_counter(gate: Arc<Gate>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let (call_sender, calls) = channel();
    thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let (call_sender, gate) = (call_sender.clone(), gate.clone());
            thread::spawn(move || {
                let reader = BufReader::new(socket.try_clone().expect("a socket"));
                for line in reader.lines().map_while(Result::ok) {
                    let amount = line.split(' ').nth(2).map(|a| a.parse::<f64>().expect("an amount"));
                    let answer = match amount {
                        None => "pong\r\n".to_owned(),
                        Some(amount) => {
                            // A call for 0 units only reads the total.
                            let _ = if amount > 0.0 { call_sender.send(line.clone()) } else { Ok(()) };
                            gate.wait();
                            format!("ok {amount}\r\n")
                        }
                    };
                    let _ = socket.write_all(answer.as_bytes());
                }
            });
        }
    });
    (addr, calls)
}

/// Waits for the next request at any of `workers`.
fn next_request_at_any(workers: &[Worker]) -> Message {
    let start = Instant::now();
    loop {
        for worker in workers {
            if let Ok(WorkerEvent::Request(_, message)) = worker.events.try_recv() {
                return message;
            }
        }
        assert!(start.elapsed() < LIMIT, "no worker receives a request");
        thread::yield_now();
    }
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Close {
    Fin,
    Reset,
}

/// Data of the client that precedes the close and that the gateway has not read yet.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Pending {
    Nothing,
    /// A request sent in one piece with the current one.
    Pipelined,
    /// A request sent after the gateway has read the current one.
    Later,
    /// The rest of a body that is too long to buffer, as much of it as the socket buffers take.
    Body,
}

const CLOSE_CASES: [(Close, Pending); 8] = [
    (Close::Fin, Pending::Nothing),
    (Close::Fin, Pending::Pipelined),
    (Close::Fin, Pending::Later),
    (Close::Fin, Pending::Body),
    (Close::Reset, Pending::Nothing),
    (Close::Reset, Pending::Pipelined),
    (Close::Reset, Pending::Later),
    (Close::Reset, Pending::Body),
];

/// Makes closing the socket reset the connection.
fn reset_on_close(socket: &TcpStream) {
    let linger = libc::linger { l_onoff: 1, l_linger: 0 };
    let (fd, size) = (socket.as_raw_fd(), size_of::<libc::linger>() as libc::socklen_t);
    // SAFETY: the descriptor is the socket's, and the option's value and size are those of the call.
    let set =
        unsafe { libc::setsockopt(fd, libc::SOL_SOCKET, libc::SO_LINGER, (&raw const linger).cast(), size) };
    assert_eq!(set, 0);
}

/// A client that sends a request and then disconnects.
struct DisconnectingClient {
    socket: TcpStream,
    close: Close,
    pending: Pending,
}

impl DisconnectingClient {
    /// Sends `request` and the pending data that goes with it.
    fn send(node: &Node, request: &ClientRequest, (close, pending): (Close, Pending)) -> Self {
        let mut socket = TcpStream::connect(node.addr).expect("the gateway listens");
        let mut bytes = match pending {
            Pending::Body => {
                let request =
                    request.clone().with_header("X-Lane", "submit").with_header("Content-Length", "4000000");
                ClientRequest { line: "POST /submit HTTP/1.1".into(), body: vec![b'x'; 100_000], ..request }
                    .bytes()
            }
            _ => request.bytes(),
        };
        if pending == Pending::Pipelined {
            bytes.extend(ClientRequest::new("behind").bytes());
        }
        socket.write_all(&bytes).expect("a socket");
        Self { socket, close, pending }
    }

    fn disconnect(mut self) {
        if self.pending == Pending::Later {
            self.socket.write_all(&ClientRequest::new("behind").bytes()).expect("a socket");
        }
        if self.close == Close::Reset {
            reset_on_close(&self.socket);
        }
    }
}

/// A node with a time-out of 20 s for counter calls and for connecting, so that tests end these waits; its log
/// reports each request.
fn long_timeout_setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    setup.log = Some(json!({"form": "json", "level": "debug"}));
    setup.settings["Domain"]["CountLimit"] = json!(20.0);
    setup.settings["Limits"]["ConnectTimeout"] = json!(20.0);
    // A burst of one unit, so that a customer's first request waits for the counter.
    setup.settings["Plans"][1]["Depth"] = json!(1.0);
    (setup, discovery)
}

/// Waits until the log reports that the client of the request has disconnected.
fn wait_for_disconnect(node: &Node, txn: &str) {
    while !node.wait_for_log("\"left\"").contains(&format!("\"{txn}\"")) {}
}

// ---- Clients that disconnect while their request waits ----

#[test]
fn a_request_waiting_for_the_counter_is_not_sent_after_a_disconnect_and_its_unit_serves_the_next() {
    for case in CLOSE_CASES {
        let (worker, gate) = (Worker::start(Behaviour::Respond("ok")), Arc::new(Gate::default()));
        let (mut setup, _discovery) = long_timeout_setup(&[&worker]);
        let (addr, calls) = start_gated_counter(gate.clone());
        setup.counter = Some(addr);
        let node = setup.start();
        let client = DisconnectingClient::send(
            &node,
            &ClientRequest::new("gone").with_header("X-Plan", "pieni"),
            case,
        );
        calls.recv_timeout(LIMIT).expect("a call for a block of units");
        client.disconnect();
        wait_for_disconnect(&node, "gone");
        gate.open();
        assert_eq!(
            node.request(&ClientRequest::new("next").with_header("X-Plan", "pieni")).status(),
            200,
            "{case:?}"
        );
        assert_eq!(worker.next_request().1.header("x-txn"), "next", "{case:?}");
    }
}

#[test]
fn a_request_waiting_for_a_connection_is_not_sent_after_a_disconnect_and_frees_its_slot_and_unit() {
    for case in CLOSE_CASES {
        let (blocked, gate) = (BlockedWorker::new(), Arc::new(Gate::default()));
        let (mut setup, discovery) = long_timeout_setup(&[]);
        let (addr, calls) = start_gated_counter(gate.clone());
        setup.counter = Some(addr);
        add_worker(&mut setup, &discovery, "w0", &blocked);
        gate.open();
        let node = setup.start();
        let client = DisconnectingClient::send(
            &node,
            &ClientRequest::new("gone").with_header("X-Plan", "pieni"),
            case,
        );
        calls.recv_timeout(LIMIT).expect("a call for a block of units");
        node.wait_for_pool("w0", |p| p["waiting"] == 1);
        client.disconnect();
        wait_for_disconnect(&node, "gone");
        assert_eq!(
            node.wait_for_pool("w0", |_| true)["waiting"],
            0,
            "{case:?}: no request waits for a connection"
        );
        let ids = blocked.open();
        node.wait_for_pool("w0", |p| p["connecting"] == 0 && p["in_use"] == 0);
        // The only unit was granted to the first request, which was not sent.
        assert_eq!(
            node.request(&ClientRequest::new("next").with_header("X-Plan", "pieni")).status(),
            200,
            "{case:?}"
        );
        assert_eq!(ids.recv_timeout(LIMIT).as_deref(), Ok("next"), "{case:?}");
    }
}

#[test]
fn a_request_is_not_retried_after_its_client_has_disconnected() {
    for case in CLOSE_CASES.into_iter().filter(|(_, pending)| *pending != Pending::Body) {
        let gate = Arc::new(Gate::default());
        let workers = [(); 2].map(|()| Worker::start(Behaviour::CloseWhenOpened(gate.clone())));
        let (setup, _discovery) = long_timeout_setup(&[&workers[0], &workers[1]]);
        let node = setup.start();
        let client = DisconnectingClient::send(&node, &ClientRequest::new("gone"), case);
        assert_eq!(next_request_at_any(&workers).header("x-txn"), "gone");
        client.disconnect();
        wait_for_disconnect(&node, "gone");
        workers.iter().for_each(|w| w.set_behaviour(Behaviour::Respond("ok")));
        gate.open();
        for i in 0..2 {
            node.wait_for_pool(&format!("w{i}"), |p| p["in_use"] == 0);
        }
        assert_eq!(node.request(&ClientRequest::new("next")).status(), 200, "{case:?}");
        let received = workers.iter().flat_map(Worker::drain_requests).map(|m| m.header("x-txn").to_owned());
        assert_eq!(received.collect::<Vec<String>>(), ["next"], "{case:?}");
    }
}

#[test]
fn a_request_is_not_hedged_after_its_client_has_disconnected() {
    for case in [(Close::Fin, Pending::Pipelined), (Close::Reset, Pending::Later)] {
        let workers = [(); 2].map(|()| Worker::start(Behaviour::NeverRespond));
        let (mut setup, _discovery) = long_timeout_setup(&[&workers[0], &workers[1]]);
        // The hedged request is sent after 0.8 s.
        setup.settings["Classes"][0]["Slo"] = json!(2.0);
        let node = setup.start();
        let client = DisconnectingClient::send(&node, &ClientRequest::new("gone"), case);
        node.wait_for_log("\"sent\"");
        client.disconnect();
        wait_for_disconnect(&node, "gone");
        // A later request is hedged; a hedged request for the first would have been sent earlier.
        let mut remaining = node.connect();
        remaining.send(&ClientRequest::new("stays"));
        let sends_stays = || node.wait_for_log("\"sent\"").contains("\"stays\"");
        assert!(sends_stays() && sends_stays(), "{case:?}: nothing else is sent meanwhile");
    }
}

// ---- Workers that may receive no new requests ----

#[test]
fn a_request_waiting_for_a_connection_is_not_sent_to_a_worker_that_has_changed_since_it_was_chosen() {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    let unix_ms = now.as_secs_f64() * 1000.0;
    for case in ["DRAINING", "DELETED", "taken offline", "restarted"] {
        let blocked = BlockedWorker::new();
        let (mut setup, discovery) = long_timeout_setup(&[]);
        add_worker(&mut setup, &discovery, "w0", &blocked);
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::submit("waits"));
        node.wait_for_pool("w0", |p| p["waiting"] == 1);
        let mut update = discovery_entry("w0", blocked.addr, "SERVING");
        match case {
            "taken offline" => assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200),
            // The worker that was chosen was warm; a restarted one warms up, under lower limits.
            "restarted" => update["started_ms"] = json!(unix_ms),
            state => update["state"] = json!(state),
        }
        if case != "taken offline" {
            discovery.wait_for_watch_from(discovery.upsert(update));
        }
        // From here on the worker may receive no new request; now the connection is established.
        let ids = blocked.open();
        assert_eq!(
            client.read_response().expect("a response at once").status(),
            429,
            "{case}: the request was not sent"
        );
        node.wait_for_report("pools", |report| {
            let pools = report["workers"].as_array().expect("a list");
            pools.iter().all(|p| p["connecting"] == 0 && p["in_use"] == 0)
        });
        assert!(ids.try_recv().is_err(), "{case}: the worker receives nothing");
    }
}

// ---- Time-outs that expire as an event arrives ----

/// Time-out of the clients. The gateway is paused until it has expired, so that it handles both events at once.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Sets the request's time-out to [`CLIENT_TIMEOUT`], which expires while the gateway is paused.
fn with_client_timeout(request: ClientRequest) -> ClientRequest {
    request.with_header("X-Remaining", &format!("{:.1}", CLIENT_TIMEOUT.as_secs_f64()))
}

#[test]
fn a_counter_answer_that_arrives_as_the_request_times_out_sends_nothing_and_its_unit_serves_the_next() {
    let (worker, gate) = (Worker::start(Behaviour::Respond("ok")), Arc::new(Gate::default()));
    let (mut setup, _discovery) = long_timeout_setup(&[&worker]);
    setup.settings["Domain"]["CountLimit"] = json!(1.2);
    let (addr, calls) = start_gated_counter(gate.clone());
    setup.counter = Some(addr);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&with_client_timeout(ClientRequest::submit("late").with_header("X-Plan", "pieni")));
    calls.recv_timeout(LIMIT).expect("a call for a block of units");
    node.pause();
    gate.open();
    thread::sleep(CLIENT_TIMEOUT);
    node.resume();
    let status = client.read_response().expect("a response").status();
    assert!(status == 429 || status == 502, "{status}");
    assert_eq!(client.request(&ClientRequest::submit("next").with_header("X-Plan", "pieni")).status(), 200);
    assert_eq!(worker.next_request().1.header("x-txn"), "next");
}

#[test]
fn nothing_is_sent_on_a_connection_established_as_the_request_times_out() {
    let blocked = BlockedWorker::new();
    let (mut setup, discovery) = long_timeout_setup(&[]);
    add_worker(&mut setup, &discovery, "w0", &blocked);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&with_client_timeout(ClientRequest::submit("late")));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    node.pause();
    let sockets = blocked.accept_queued();
    thread::sleep(CLIENT_TIMEOUT);
    node.resume();
    assert_eq!(client.read_response().expect("a response").status(), 429, "the request was not sent");
    node.wait_for_pool("w0", |p| p["connecting"] == 0 && p["in_use"] == 0);
    assert_nothing_received(sockets);
}

#[test]
fn the_time_out_sent_to_a_worker_excludes_the_wait_for_its_connection() {
    let blocked = BlockedWorker::new();
    let (mut setup, discovery) = long_timeout_setup(&[]);
    add_worker(&mut setup, &discovery, "w0", &blocked);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("waits").with_header("X-Remaining", "10.0"));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    let connection_wait = Duration::from_millis(300);
    thread::sleep(connection_wait);
    let (timeout_sender, timeouts) = channel();
    for socket in blocked.accept_queued() {
        let timeout_sender = timeout_sender.clone();
        thread::spawn(move || {
            let message = read_message(&mut BufReader::new(socket));
            message.into_iter().for_each(|m| drop(timeout_sender.send(m.header("x-remaining").to_owned())));
        });
    }
    let timeout: f64 = timeouts.recv_timeout(LIMIT).expect("the request").parse().expect("a number");
    assert!(timeout > 0.0 && timeout <= 10.0 - connection_wait.as_secs_f64(), "{timeout}");
}

#[test]
fn the_client_gets_one_response_when_two_arrive_as_the_request_times_out() {
    let gate = Arc::new(Gate::default());
    let workers = [(); 2].map(|()| Worker::start(Behaviour::RespondWhenOpened(gate.clone())));
    let (mut setup, _discovery) = long_timeout_setup(&[&workers[0], &workers[1]]);
    // The hedged request is sent after 0.2 s.
    (setup.settings["Classes"][0]["Slo"], setup.settings["Classes"][0]["LateWorth"]) =
        (json!(0.5), json!(0.5));
    let node = setup.start();
    let mut client = node.connect();
    client.send(&with_client_timeout(ClientRequest::new("late")));
    workers.iter().for_each(|w| assert_eq!(w.next_request().1.header("x-txn"), "late"));
    node.pause();
    gate.open();
    thread::sleep(CLIENT_TIMEOUT);
    node.resume();
    let response = client.read_response().expect("a response");
    assert!(response.status() != 200 || response.body == b"waited", "a complete response");
    // No byte of the other response remains, neither for the client nor on the worker's connection.
    workers.iter().for_each(|w| w.set_behaviour(Behaviour::Respond("next")));
    for i in 0..2 {
        node.wait_for_pool(&format!("w{i}"), |p| p["in_use"] == 0);
    }
    for i in 0..4 {
        assert_eq!(client.request(&ClientRequest::new(&format!("n{i}"))).body, b"next");
    }
}

// ---- Retries of deduplicated requests ----

/// How long workers recognise a request by its idempotency key; also the time a test has for its steps before the
/// window ends.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(3);

/// The setup of [`long_timeout_setup`] with a deduplicated class, which may be retried within
/// [`DEDUPLICATION_WINDOW`].
fn deduplicated_setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = long_timeout_setup(workers);
    let class = json!({"Name": "note", "Effect": "deduplicated", "Group": "all",
        "Window": DEDUPLICATION_WINDOW.as_secs_f64(), "Slo": 0.5, "LateWorth": 0.5, "Deadline": 30.0});
    setup.settings["Classes"].as_array_mut().expect("a list").push(class);
    (setup, discovery)
}

/// A request of the deduplicated class.
fn deduplicated_request(txn: &str) -> ClientRequest {
    let request = ClientRequest::submit(txn)
        .with_header("X-Lane", "note")
        .with_header("Idempotency-Key", "5c0f6e1a2b3d4c59");
    ClientRequest { line: "POST /note HTTP/1.1".into(), ..request }
}

#[test]
fn a_retry_whose_connection_is_established_after_the_deduplication_window_is_not_sent() {
    // The gateway handles the end of the window and the connection one after the other, or both at once.
    for at_once in [false, true] {
        let (gate, blocked) = (Arc::new(Gate::default()), BlockedWorker::new());
        let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
        let (setup, discovery) = deduplicated_setup(&[&worker]);
        let node = setup.start();
        let mut client = node.connect();
        client.send(&deduplicated_request("n"));
        worker.next_request();
        discovery.wait_for_watch_from(discovery.upsert(discovery_entry("w1", blocked.addr, "SERVING")));
        // The first attempt may have run and is retried within the window; the connection for the retry is not
        // established.
        gate.open();
        node.wait_for_pool("w1", |p| p["waiting"] == 1);
        if at_once {
            node.pause();
        }
        // The window has ended after this sleep.
        thread::sleep(DEDUPLICATION_WINDOW);
        let sockets = blocked.accept_queued();
        node.resume();
        assert_eq!(
            client.read_response().expect("a response").status(),
            429,
            "a retry by the client is safe"
        );
        node.wait_for_pool("w1", |p| p["connecting"] == 0 && p["in_use"] == 0);
        assert_nothing_received(sockets);
    }
}

#[test]
fn an_attempt_whose_connection_is_established_after_the_window_of_its_hedged_request_is_not_sent() {
    let (one, other) = (BlockedWorker::new(), BlockedWorker::new());
    let (mut setup, discovery) = deduplicated_setup(&[]);
    add_worker(&mut setup, &discovery, "w0", &one);
    add_worker(&mut setup, &discovery, "w1", &other);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&deduplicated_request("n"));
    node.wait_for_pool("w0", |p| p["waiting"] == 1);
    node.wait_for_pool("w1", |p| p["waiting"] == 1);
    let ids = one.open_with_response("");
    assert_eq!(ids.recv_timeout(LIMIT).as_deref(), Ok("n"));
    thread::sleep(DEDUPLICATION_WINDOW);
    let ids = other.open();
    node.wait_for_pool("w1", |p| p["connecting"] == 0 && p["in_use"] == 0);
    assert!(ids.try_recv().is_err(), "the worker receives nothing");
}

// ---- Shutdown ----

#[test]
fn a_request_partly_read_when_idle_connections_are_closed_is_answered() {
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
    // Idle connections are closed first; from then on no connection is kept open after its response.
    assert_eq!(idle.reader.read(&mut [0]).expect("an orderly close"), 0);
    slow.reader.get_mut().write_all(rest).expect("a connection");
    let response =
        slow.read_response().expect("a response, as the whole request was written to an open connection");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(node.wait_for_exit().success());
}

/// Starts a node with one worker whose response body has `length` bytes.
fn start_with_response_length(length: usize) -> (Node, Discovery) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let response: &'static str = Box::leak((head + &"x".repeat(length)).into_boxed_str());
    let worker = Worker::start(Behaviour::SendRaw(response));
    let (setup, discovery) = NodeSetup::new(&[&worker]);
    (setup.start(), discovery)
}

#[test]
fn a_response_that_its_client_is_still_reading_is_not_cut_off_by_shutdown() {
    let length = 12 << 20;
    let (mut node, _discovery) = start_with_response_length(length);
    let (mut slow, mut idle) = (node.connect(), node.connect());
    assert!(!idle.request(&ClientRequest::new("before")).body.is_empty());
    slow.send(&ClientRequest::new("slow"));
    // The response has begun, and more of it is left than the socket buffers hold.
    assert!(!slow.reader.fill_buf().expect("a response").is_empty());
    node.terminate();
    assert_eq!(idle.reader.read(&mut [0]).expect("an orderly close"), 0);
    let response = slow.read_response().expect("the complete response");
    assert_eq!((response.status(), response.body.len()), (200, length));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_client_that_does_not_read_its_response_does_not_block_shutdown() {
    let (mut node, _discovery) = start_with_response_length(12 << 20);
    let mut client = node.connect();
    client.send(&ClientRequest::new("deaf"));
    assert!(!client.reader.fill_buf().expect("a response").is_empty());
    node.terminate();
    assert!(node.wait_for_exit().success(), "the process exits without being killed");
}

// ---- Discovery ----

/// How the first watch call ends after which the fake discovery has an update.
#[derive(Debug, Clone, Copy)]
enum WatchEnd {
    /// The connection stays open without a response.
    Silent,
    Reset,
    /// Only half of the response is sent.
    Half,
    /// A complete response with a version older than the one in the call.
    Older,
}

/// A fake discovery whose first watch call ends as given; it answers every later call with an update by which `w0` is
/// draining. Also returns the version that each call asks for changes from.
fn start_discovery(watch_end: WatchEnd, worker: SocketAddr) -> (SocketAddr, Receiver<Option<u64>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let (version_sender, versions) = channel();
    let list = move |version: u64, full: bool, state: &str| {
        let body =
            json!({"version": version, "full": full, "servers": [discovery_entry("w0", worker, state)]})
                .to_string();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    thread::spawn(move || {
        let mut open_sockets = Vec::new();
        let mut ended = false;
        // Serves one connection at a time, as the gateway opens only one.
        for mut socket in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
            while let Some(call) = read_message(&mut reader) {
                let from = call.line.split_once("from=").map(|(_, rest)| {
                    rest.split(['&', ' ']).next().and_then(|v| v.parse::<u64>().ok()).expect("a version")
                });
                let _ = version_sender.send(from);
                let response = match (from, ended) {
                    (None, false) => list(7, true, "SERVING"),
                    (None, true) => list(8, true, "DRAINING"),
                    (Some(7), false) => {
                        ended = true;
                        match watch_end {
                            WatchEnd::Silent | WatchEnd::Reset => break,
                            WatchEnd::Half => {
                                let complete = list(8, false, "DRAINING");
                                let _ = socket.write_all(&complete.as_bytes()[..complete.len() / 2]);
                                break;
                            }
                            WatchEnd::Older => list(5, false, "SERVING"),
                        }
                    }
                    (Some(7), true) => list(8, false, "DRAINING"),
                    (Some(_), _) => break,
                };
                let _ = socket.write_all(response.as_bytes());
            }
            if matches!(watch_end, WatchEnd::Reset) {
                reset_on_close(&socket);
            } else {
                open_sockets.push(socket);
            }
        }
    });
    (addr, versions)
}

#[test]
fn draining_missed_by_a_failed_watch_is_received_by_the_next() {
    for watch_end in [WatchEnd::Silent, WatchEnd::Reset, WatchEnd::Half, WatchEnd::Older] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
        let (addr, versions) = start_discovery(watch_end, worker.addr);
        setup.discovery = addr;
        // The initial list has the version of the fake discovery's first list.
        setup.initial_version = 7;
        let node = setup.start();
        // At most two list calls, two watch calls and the following watch call are needed.
        let calls = (0..8).map(|_| versions.recv_timeout(LIMIT).expect("a call"));
        assert!(calls.into_iter().any(|from| from == Some(8)), "{watch_end:?}: the update is received");
        assert_eq!(node.request(&ClientRequest::new("late")).status(), 429, "{watch_end:?}");
        assert!(worker.drain_requests().is_empty(), "{watch_end:?}: the worker receives nothing");
    }
}

// ---- Settings ----

#[test]
fn a_request_whose_class_changes_its_effect_while_its_body_is_received_is_not_sent() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    let bytes = ClientRequest::submit("crosses").with_header("Expect", "100-continue").bytes();
    let (head, body) = bytes.split_at(bytes.len() - b"answer".len());
    client.reader.get_mut().write_all(head).expect("a socket");
    // The head has been read under the old settings, and the gateway waits for the body.
    assert_eq!(client.read_response().expect("100 Continue").status(), 100);
    // The class changes from at most once to idempotent.
    setup.settings["Classes"][1]["Effect"] = json!("idempotent");
    node.reload(&setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    client.reader.get_mut().write_all(body).expect("a socket");
    assert_eq!(
        client.read_response().expect("a response").status(),
        503,
        "the client may retry under the new settings"
    );
    assert!(worker.drain_requests().is_empty(), "the worker receives nothing");
    // The connection stays open and serves a request that is valid under the new settings.
    let mut again = ClientRequest::submit("again");
    (again.line, again.body) = ("GET /submit HTTP/1.1".into(), Vec::new());
    assert_eq!(client.request(&again).status(), 200);
}

// ---- The counter ----

#[test]
fn a_request_waiting_on_a_counter_connection_that_dies_is_decided_at_once_and_the_next_connection_serves() {
    for close in [Close::Fin, Close::Reset] {
        let worker = Worker::start(Behaviour::Respond("ok"));
        let (mut setup, _discovery) = long_timeout_setup(&[&worker]);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        setup.counter = listener.local_addr().ok();
        let node = setup.start();
        let (connection, _) = listener.accept().expect("a connection");
        let mut calls = BufReader::new(connection.try_clone().expect("a socket"));
        let mut read_until = |text: &str| {
            let mut call = String::new();
            while !call.starts_with(text) {
                call.clear();
                assert!(calls.read_line(&mut call).is_ok_and(|n| n > 0), "{close:?}: a call");
            }
        };
        let mut client = node.connect();
        client.send(&ClientRequest::submit("waits").with_header("X-Plan", "pieni"));
        read_until("bump");
        // The call is never answered, and its time-out is far in the future.
        if close == Close::Reset {
            reset_on_close(&connection);
        }
        drop((connection, calls));
        let status = client.read_response().expect("a response").status();
        assert!(status == 200 || status == 429, "{close:?}: decided by the even share: {status}");
        let sent = worker.drain_requests().len();
        assert_eq!(sent, usize::from(status == 200), "{close:?}: one attempt if served, none if refused");
        // The gateway reconnects and calls the counter again.
        let (mut connection, _) = listener.accept().expect("the next connection");
        client.send(
            &ClientRequest::submit("after")
                .with_header("X-Plan", "pieni")
                .with_header("X-Customer", "0000000000000007"),
        );
        let mut calls = BufReader::new(connection.try_clone().expect("a socket"));
        loop {
            let mut call = String::new();
            assert!(calls.read_line(&mut call).is_ok_and(|n| n > 0), "{close:?}: a call");
            let amount = call.split(' ').nth(2).and_then(|a| a.parse::<f64>().ok());
            let answer = amount.map_or("pong\r\n".into(), |total| format!("ok {total}\r\n"));
            connection.write_all(answer.as_bytes()).expect("a socket");
            if amount.is_some_and(|a| a > 0.0) {
                break;
            }
        }
        assert_eq!(client.read_response().expect("a response").status(), 200, "{close:?}");
    }
}
