//! Streamed bodies, slow peers and all HTTP/1.1 message forms, through the built gateway program.

mod fakes;
use fakes::*;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        mpsc::{Receiver, channel},
    },
    thread,
};

const MIB: usize = 1 << 20;

/// A body of `n` bytes without a short period, so that lost or repeated parts show.
fn long_body(n: usize) -> Vec<u8> {
    (0..n).map(|i| (i / 251 + i % 251) as u8).collect()
}

/// Lists the first worker a second time, under `id`.
fn add_alias(setup: &mut NodeSetup, discovery: &Discovery, id: &str) {
    let mut other = setup.initial_servers[0].clone();
    other["id"] = json!(id);
    discovery.upsert(other.clone());
    setup.initial_servers.push(other);
}

/// A worker that runs `serve` for each connection.
fn start_worker(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> (NodeSetup, Discovery) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let entry = discovery_entry("w0", listener.local_addr().expect("bound"), "SERVING");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(socket));
        }
    });
    let (mut setup, discovery) = NodeSetup::new(&[]);
    discovery.upsert(entry.clone());
    setup.initial_servers.push(entry);
    (setup, discovery)
}

/// Reads a message head up to its empty line; `None` at the end of the stream.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Reads a chunked body to its last chunk.
fn read_chunked_body(reader: &mut impl BufRead) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a chunk's length");
        let n = usize::from_str_radix(line.trim_end(), 16).expect("a chunk's length");
        let at = body.len();
        body.resize(at + n, 0);
        reader.read_exact(&mut body[at..]).expect("a chunk");
        reader.read_line(&mut String::new()).expect("the end of the chunk");
        if n == 0 {
            return body;
        }
    }
}

/// A response with status 200 and the body `text`.
fn ok_response(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

#[test]
fn a_long_response_is_streamed_and_is_not_cut_off_by_time_out_or_draining() {
    for chunked in [false, true] {
        let gate = Arc::new(Gate::default());
        let worker_gate = gate.clone();
        let (mut setup, _discovery) = start_worker(move |mut socket| {
            let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
            if read_head(&mut reader).is_none_or(|h| h.contains("silent")) {
                let _ = reader.read(&mut [0]);
                return;
            }
            let body = long_body(MIB);
            let (first, rest) = body.split_at(100_000);
            if chunked {
                let _ = write!(
                    socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x};a=b\r\n",
                    100_000
                );
                let _ = socket.write_all(first);
                worker_gate.wait();
                let _ = write!(socket, "\r\n{:X}\r\n", rest.len());
                let _ = socket.write_all(rest);
                let _ = write!(socket, "\r\n0\r\nX-Trailer: 1\r\n\r\n");
            } else {
                let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {MIB}\r\n\r\n");
                let _ = socket.write_all(first);
                worker_gate.wait();
                let _ = socket.write_all(rest);
            }
            let _ = reader.read(&mut [0]);
        });
        (setup.has_admin_api, setup.settings["Classes"][0]["Slo"]) = (true, json!(2.0));
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::new("long").with_header("X-Remaining", "2.0"));
        let first =
            read_head(&mut client.reader).expect("a response head before the worker has sent the whole body");
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        assert_eq!(node.admin_status("POST /control/out-of-service"), 200);
        // A later request with the same time-out expires before the first response continues.
        assert_eq!(
            node.request(&ClientRequest::new("silent").with_header("X-Remaining", "2.0")).status(),
            429
        );
        gate.open();
        let mut body = vec![0; MIB];
        if chunked {
            body = read_chunked_body(&mut client.reader);
        } else {
            client.reader.read_exact(&mut body).expect("the rest of the body");
        }
        assert!(body == long_body(MIB), "unchanged");
        assert!(
            client.read_response().is_none(),
            "the connection is closed after the response, as the gateway is out of service"
        );
    }
}

#[test]
fn a_truncated_long_response_is_recognisable_as_incomplete() {
    let (setup, _discovery) = start_worker(|mut socket| {
        read_head(&mut BufReader::new(&socket)).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n");
        let _ = socket.write_all(&long_body(0x20000));
    });
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("broken"));
    assert!(read_head(&mut client.reader).expect("a response").starts_with("HTTP/1.1 200"));
    let mut rest = Vec::new();
    // The connection ends with a close or a reset.
    let _ = client.reader.read_to_end(&mut rest);
    assert!(!rest.ends_with(b"0\r\n\r\n") && rest.len() >= 0x10000, "{} bytes", rest.len());
    assert_eq!(
        node.request(&ClientRequest::new("x").with_header("X-Remaining", "x")).status(),
        400,
        "the gateway still serves"
    );
}

#[test]
fn the_beginning_of_a_truncated_long_response_reaches_the_client() {
    let (setup, _discovery) = start_worker(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while read_head(&mut reader).is_some_and(|h| !h.contains("ends")) {
            let partial_response = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart";
            let _ = socket.write_all(partial_response);
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    });
    // The data and the end of the connection may reach the gateway together or one after the other. Each try starts a
    // new gateway, since a gateway ejects a worker that fails often.
    for i in 0..20 {
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::submit(&format!("b{i}")));
        let mut received = Vec::new();
        // The connection ends with a close or a reset.
        let _ = client.reader.read_to_end(&mut received);
        let received = String::from_utf8_lossy(&received);
        assert!(
            received.starts_with("HTTP/1.1 200") && received.ends_with("\r\n\r\npart"),
            "{i}: {received:?}"
        );
    }
}

#[test]
fn a_truncated_short_response_is_retried() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let (mut setup, discovery) = start_worker(move |mut socket| {
        read_head(&mut BufReader::new(&socket)).expect("a request");
        let complete = !first.swap(false, std::sync::atomic::Ordering::SeqCst);
        let _ = write!(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}",
            if complete { "good" } else { "go" }
        );
    });
    // A second entry for the same worker, as a retry goes to another entry.
    add_alias(&mut setup, &discovery, "w1");
    assert_eq!(setup.start().request(&ClientRequest::new("a")).body, b"good");
}

/// A worker that reports the head and then the body of each request as received, and responds after the body.
fn start_recording_worker(
    chunked: bool,
    length: usize,
) -> (NodeSetup, Discovery, Receiver<String>, Receiver<Vec<u8>>) {
    let ((head_sender, heads), (body_sender, bodies)) = (channel(), channel());
    let (setup, discovery) = start_worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while let Some(head) = read_head(&mut reader) {
            let _ = head_sender.send(head);
            let body = if chunked {
                read_chunked_body(&mut reader)
            } else {
                let mut body = vec![0; length];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body
            };
            let _ = body_sender.send(body);
            let _ = socket.write_all(ok_response("received").as_bytes());
        }
    });
    (setup, discovery, heads, bodies)
}

#[test]
fn a_long_request_is_streamed_and_its_time_out_runs_from_its_last_byte() {
    for chunked in [false, true] {
        let (mut setup, _discovery, heads, bodies) = start_recording_worker(chunked, MIB);
        setup.settings["Classes"][1]["Slo"] = json!(2.0);
        let node = setup.start();
        let mut client = node.connect();
        let body = long_body(MIB);
        let framing = if chunked { ("Transfer-Encoding", "chunked") } else { ("Content-Length", "1048576") };
        let request =
            ClientRequest::submit("long").with_header(framing.0, framing.1).with_header("X-Remaining", "2.0");
        client.send(&ClientRequest { body: Vec::new(), ..request });
        let socket = client.reader.get_mut();
        let write_block = |socket: &mut TcpStream, block: &[u8]| {
            if chunked {
                write!(socket, "{:x}\r\n", block.len()).expect("a socket");
            }
            socket.write_all(block).expect("a socket");
            if chunked {
                socket.write_all(b"\r\n").expect("a socket");
            }
        };
        let (first, rest) = body.split_at(MIB / 2);
        write_block(socket, first);
        let received = heads
            .recv_timeout(LIMIT)
            .expect("the worker receives the head before the client has sent the whole body");
        assert!(received.starts_with("POST /submit HTTP/1.1\r\n"), "{received}");
        // Sending takes longer than the time-out, which would expire if it ran from the first byte.
        for block in rest.chunks(MIB / 8) {
            thread::sleep(std::time::Duration::from_millis(600));
            write_block(socket, block);
        }
        if chunked {
            socket.write_all(b"0\r\nX-Trailer: 1\r\n\r\n").expect("a socket");
        }
        assert!(bodies.recv_timeout(LIMIT).expect("the body") == body, "unchanged");
        assert_eq!(client.read_response().map(|a| (a.status(), a.body)), Some((200, b"received".to_vec())));
        assert_eq!(
            client.request(&ClientRequest::new("x").without_header("X-Txn")).status(),
            400,
            "the connection is kept"
        );
    }
}

#[test]
fn a_long_request_that_is_not_buffered_in_full_is_not_retried() {
    let (head_sender, attempts) = channel();
    let (mut setup, discovery) = start_worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while let Some(head) = read_head(&mut reader) {
            let _ = head_sender.send(head);
            // Refuses before it has received the body.
            let refusal =
                "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = socket.write_all(refusal.as_bytes());
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
        }
    });
    add_alias(&mut setup, &discovery, "w1");
    add_alias(&mut setup, &discovery, "w2"); // An entry that has refused is not used for a while.
    let node = setup.start();
    let mut request = ClientRequest::submit("long");
    request.body = long_body(MIB);
    assert_eq!(node.request(&request).status(), 429, "it has not run, so its client may retry");
    assert_eq!(attempts.try_iter().count(), 1);
    request.body.truncate(1000);
    assert_eq!(node.request(&request).status(), 429);
    assert_eq!(attempts.try_iter().count(), 2, "a short request is retried");
}

#[test]
fn the_body_of_a_request_rejected_early_is_read_so_that_its_client_gets_the_response() {
    let (setup, _discovery) = start_worker(|_| {});
    let node = setup.start();
    let mut client = node.connect();
    // Rejected as soon as the head is read, as its class takes no idempotency key. The body far exceeds the socket
    // buffers.
    let mut request = ClientRequest::submit("early").with_header("Idempotency-Key", "5c0f6e1a2b3d4c59");
    request.body = long_body(16 * MIB);
    assert_eq!(client.request(&request).status(), 400);
    request = ClientRequest::submit("far");
    request.headers.push(("Content-Length", (33 * MIB).to_string()));
    assert_eq!(node.request(&request).status(), 413);
}

#[test]
fn the_remaining_body_of_a_refused_request_does_not_count_as_a_slow_head() {
    let (setup, _discovery) = start_worker(drop);
    let node = setup.start();
    let mut client = node.connect();
    let block = vec![b'x'; 128 * 1024];
    client.send(&ClientRequest {
        body: block.clone(),
        ..ClientRequest::submit("slow").with_header("Content-Length", "4194304")
    });
    // The only worker closes every connection at once, so the response is ready long before the body is complete, and
    // sending the body takes more than twice the time-out of a head.
    for _ in 1..32 {
        thread::sleep(std::time::Duration::from_millis(150));
        client.reader.get_mut().write_all(&block).expect("the connection is kept");
    }
    assert!(client.read_response().is_some_and(|a| a.status() >= 400));
    assert_eq!(
        client.request(&ClientRequest::new("x").without_header("X-Txn")).status(),
        400,
        "the connection serves the next request"
    );
}

#[test]
fn the_end_of_a_refused_request_does_not_cut_off_the_long_response_after_it() {
    let (setup, _discovery) = start_worker(|mut socket| {
        let head = read_head(&mut BufReader::new(&socket)).expect("a request");
        if head.contains("spends") {
            let _ = socket.write_all(ok_response("ok").as_bytes());
            return;
        }
        let body = long_body(MIB);
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {MIB}\r\n\r\n");
        let _ = socket.write_all(&body[..MIB / 2]);
        // Longer than the limit for idle connections.
        thread::sleep(std::time::Duration::from_secs(3));
        let _ = socket.write_all(&body[MIB / 2..]);
    });
    let node = setup.start();
    let with_quota = |request: ClientRequest| {
        request.with_header("X-Plan", "pieni").with_header("X-Quota", "units=100,spread=2,first=0")
    };
    assert_eq!(node.request(&with_quota(ClientRequest::new("spends"))).status(), 200);
    let mut client = node.connect();
    let block = vec![b'x'; 128 * 1024];
    let request = with_quota(ClientRequest::submit("refused")).with_header("Content-Length", "262144");
    client.send(&ClientRequest { body: block.clone(), ..request });
    assert_eq!(
        client.read_response().map(|a| a.status()),
        Some(429),
        "responded to before the whole body is received"
    );
    // The end of the body and the next request arrive together, so the refused request ends when the next one is
    // already open.
    client
        .reader
        .get_mut()
        .write_all(&[block, ClientRequest::new("next").bytes()].concat())
        .expect("a socket");
    assert!(read_head(&mut client.reader).expect("a response").starts_with("HTTP/1.1 200"));
    let mut body = vec![0; MIB];
    assert!(
        client.reader.read_exact(&mut body).is_ok() && body == long_body(MIB),
        "the long response is not cut off"
    );
}

#[test]
fn a_request_whose_client_stops_sending_is_ended() {
    let (setup, _discovery, heads, bodies) = start_recording_worker(false, MIB);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest {
        body: long_body(MIB / 2),
        ..ClientRequest::submit("half").with_header("Content-Length", "1048576")
    });
    heads.recv_timeout(LIMIT).expect("the head");
    let status = client.read_response().map(|a| a.status());
    assert!(status.is_none_or(|s| s >= 400), "{status:?}");
    assert!(bodies.try_recv().is_err(), "the worker never receives the whole body");
}

#[test]
fn a_request_whose_client_sends_a_few_bytes_at_a_time_is_ended() {
    for length in ["60000", "1048576"] {
        let (setup, _discovery, _heads, bodies) = start_recording_worker(false, MIB);
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest {
            body: Vec::new(),
            ..ClientRequest::submit("drops").with_header("Content-Length", length)
        });
        let mut socket = client.reader.get_ref().try_clone().expect("a socket");
        let ended = thread::spawn(move || client.read_response().map(|a| a.status()));
        let start = std::time::Instant::now();
        while !ended.is_finished() && socket.write_all(b"x").is_ok() {
            assert!(start.elapsed() < LIMIT, "the gateway waits for ever");
            thread::sleep(std::time::Duration::from_millis(20));
        }
        let status = ended.join().expect("no panic");
        assert!(status.is_none_or(|s| s >= 400), "{status:?}");
        assert!(bodies.try_recv().is_err());
    }
}

#[test]
fn unread_long_responses_use_bounded_memory() {
    let (mut setup, discovery) = start_worker(move |mut socket| {
        read_head(&mut BufReader::new(&socket)).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 * MIB);
        let _ = socket.write_all(&vec![7; 32 * MIB]);
    });
    // The gateway admits this many concurrent requests only with many workers.
    (1..12).for_each(|i| add_alias(&mut setup, &discovery, &format!("w{i}")));
    let node = setup.start();
    let mut clients: Vec<Client> = (0..12).map(|_| node.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&ClientRequest::new(&format!("l{i}")));
        assert!(
            read_head(&mut client.reader).is_some_and(|h| h.starts_with("HTTP/1.1 200")),
            "the response begins"
        );
    }
    // The last response is read to its end; by then the gateway has buffered as much of the others as it accepts.
    let mut last = vec![0; 32 * MIB];
    clients[11].reader.read_exact(&mut last).expect("the whole body");
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the peak of resident memory");
    let peak_kb: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak_kb < 32 * 1024, "{peak_kb} kB for 12 responses of 32 MiB");
}

#[test]
fn all_request_forms_are_forwarded() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = NodeSetup::new(&[&worker]);
    let node = setup.start();
    let common = "x-plan:free\r\nX-CUSTOMER:  00000000b4d65521  \r\nx-remaining: 25\r\nX-Quota: first=0, units=1 ,spread=2\r\n";
    let get =
        format!("GET /check-answer?a=b HTTP/1.1\r\nhost: b\r\nx-txn: t\r\nx-lane: check-answer\r\n{common}");
    let post = format!("POST /submit HTTP/1.1\r\nHost: b\r\nX-Txn: t\r\nX-Lane: submit\r\n{common}");
    let forms = [
        format!("{get}\r\n"),
        format!("\r\n{get}\r\n"),
        format!("{}\r\n", get.replace("/check-answer?", "http://backend.local/check-answer?")),
        format!("{get}Content-Length: 0\r\n\r\n"),
        format!("{get}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{post}Content-Length: 6\r\n\r\nanswer"),
        format!(
            "{post}transfer-encoding: Chunked\r\n\r\n2;x=\"y\"\r\nan\r\n0004\r\nswer\r\n0\r\nT: 1\r\n\r\n"
        ),
    ];
    let check = |client: &mut Client, form: &str| {
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.body.as_slice()), (200, b"ok".as_slice()), "{form}");
        let (_, received) = worker.next_request();
        let is_get = form.contains("GET");
        assert_eq!(
            received.line,
            if is_get { "GET /check-answer?a=b HTTP/1.1" } else { "POST /submit HTTP/1.1" }
        );
        assert_eq!(received.body, if is_get { &b""[..] } else { b"answer" });
    };
    let mut kept = node.connect();
    for form in &forms {
        // In one piece, byte by byte, and pipelined.
        kept.reader.get_mut().write_all(form.as_bytes()).expect("a socket");
        check(&mut kept, form);
        for byte in form.as_bytes() {
            kept.reader.get_mut().write_all(&[*byte]).expect("a socket");
        }
        check(&mut kept, form);
        kept.reader.get_mut().write_all(form.repeat(2).as_bytes()).expect("a socket");
        (0..2).for_each(|_| check(&mut kept, form));
    }
    let expects = format!("{post}Content-Length: 6\r\nExpect: 100-continue\r\n\r\n");
    kept.reader.get_mut().write_all(expects.as_bytes()).expect("a socket");
    assert!(read_head(&mut kept.reader).is_some_and(|h| h.starts_with("HTTP/1.1 100")));
    kept.reader.get_mut().write_all(b"answer").expect("a socket");
    check(&mut kept, &expects);
    kept.reader.get_mut().write_all(format!("{get}Content-Length: 1\r\n\r\nx").as_bytes()).expect("a socket");
    assert_eq!(kept.read_response().map(|a| a.status()), Some(400), "a body that the class does not allow");
}

#[test]
fn all_response_forms_are_forwarded() {
    for raw_response in [
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "HTTP/1.1 200\r\ncontent-length:4\r\n\r\nbody",
        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Folded: a\r\n b\r\n\r\n1\r\nb\r\n3;e\r\nody\r\n0\r\nT: 1\r\n\r\n",
    ] {
        let (setup, _discovery) = start_worker(move |mut socket| {
            read_head(&mut BufReader::new(&socket)).expect("a request");
            raw_response.as_bytes().iter().for_each(|byte| drop(socket.write_all(&[*byte])));
        });
        let response = setup.start().request(&ClientRequest::submit("a"));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"body".as_slice()),
            "{raw_response}"
        );
    }
}

/// A worker that responds to the request `stalls` with the head and a part of a short chunked body and then neither
/// continues nor closes; it does not respond to any other request.
fn start_stalling_worker() -> (NodeSetup, Discovery) {
    start_worker(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        let head = read_head(&mut reader).expect("a request");
        if head.contains("stalls") {
            let partial_response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
            let _ = socket.write_all(partial_response.as_bytes());
        }
        let _ = reader.read(&mut [0]);
    })
}

#[test]
fn a_stalled_short_response_is_ended_within_the_time_out() {
    let (setup, _discovery) = start_stalling_worker();
    let node = setup.start();
    let (mut stalls, mut waits) = (node.connect(), node.connect());
    stalls.send(&ClientRequest::new("stalls").with_header("X-Remaining", "1.0"));
    assert!(read_head(&mut stalls.reader).expect("the response head").starts_with("HTTP/1.1 200"));
    // A later request with a longer time-out, so its response comes after the first one's time-out.
    waits.send(&ClientRequest::new("waits").with_header("X-Remaining", "4.0"));
    let ended = thread::spawn(move || {
        let mut rest = Vec::new();
        // The connection ends with a close or a reset.
        let _ = stalls.reader.read_to_end(&mut rest);
        rest
    });
    assert!(waits.read_response().is_some_and(|a| a.status() >= 400));
    assert!(ended.is_finished(), "the client still waits for the rest of the response");
    let rest = ended.join().expect("no panic");
    assert!(!rest.ends_with(b"0\r\n\r\n"), "the client can tell that the body is incomplete");
}

#[test]
fn a_long_response_whose_first_part_takes_longer_than_the_time_out_is_not_cut_off() {
    let body = long_body(2 * 65536);
    let worker_body = body.clone();
    let (setup, _discovery) = start_worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        read_head(&mut reader).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // The chunks take more than twice the time-out in all, without a pause long enough to count as a stall.
        for part in worker_body.chunks(worker_body.len() / 100) {
            thread::sleep(std::time::Duration::from_millis(10));
            let _ = write!(socket, "{:x}\r\n", part.len());
            let _ = socket.write_all(part);
            let _ = socket.write_all(b"\r\n");
        }
        let _ = socket.write_all(b"0\r\n\r\n");
    });
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("slow").with_header("X-Remaining", "0.4"));
    assert!(read_head(&mut client.reader).expect("the response head").starts_with("HTTP/1.1 200"));
    assert!(read_chunked_body(&mut client.reader) == body, "unchanged");
}

#[test]
fn a_request_of_exactly_the_buffer_size_has_its_time_out() {
    // A worker that reads requests and never responds.
    let (setup, _discovery) = start_worker(|socket| {
        let _ = std::io::copy(&mut &socket, &mut std::io::sink());
    });
    let node = setup.start();
    let (mut exact, mut smaller) = (node.connect(), node.connect());
    let request = |n: usize| ClientRequest {
        body: long_body(n),
        ..ClientRequest::submit(&format!("b{n}")).with_header("X-Remaining", "0.5")
    };
    exact.send(&request(65536));
    smaller.send(&request(65535).with_header("X-Remaining", "4.0"));
    let ended = thread::spawn(move || exact.read_response().map(|a| a.status()));
    assert_eq!(smaller.read_response().map(|a| a.status()), Some(502));
    assert!(ended.is_finished(), "the request of 64 KiB still waits");
    assert_eq!(ended.join().expect("no panic"), Some(502));
}
