//! Long bodies, slow peers and every form of HTTP/1.1, through the built program.

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

/// A body whose every place can be told from the others.
fn long(n: usize) -> Vec<u8> {
    (0..n).map(|i| (i / 251 + i % 251) as u8).collect()
}

/// Adds one more name for the worker that is there.
fn again(setup: &mut NodeSetup, discovery: &Discovery, id: &str) {
    let mut other = setup.initial_servers[0].clone();
    other["id"] = json!(id);
    discovery.upsert(other.clone());
    setup.initial_servers.push(other);
}

/// A worker that does with each connection what `serve` does.
fn worker(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> (NodeSetup, Discovery) {
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

fn head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// A body in chunks, to its end.
fn chunks(reader: &mut impl BufRead) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a chunk's length");
        let n = usize::from_str_radix(line.trim_end(), 16).expect("a chunk's length");
        let at = body.len();
        body.resize(at + n, 0);
        reader.read_exact(&mut body[at..]).expect("a chunk");
        reader.read_line(&mut String::new()).expect("its end");
        if n == 0 {
            return body;
        }
    }
}

fn plain(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
}

#[test]
fn a_long_answer_goes_out_as_it_comes_and_outlasts_time_out_and_drain() {
    for chunked in [false, true] {
        let gate = Arc::new(Gate::default());
        let opens = gate.clone();
        let (mut setup, _discovery) = worker(move |mut socket| {
            let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
            if head(&mut reader).is_none_or(|h| h.contains("silent")) {
                let _ = reader.read(&mut [0]);
                return;
            }
            let body = long(MIB);
            let (first, rest) = body.split_at(100_000);
            if chunked {
                let _ = write!(
                    socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x};a=b\r\n",
                    100_000
                );
                let _ = socket.write_all(first);
                opens.wait();
                let _ = write!(socket, "\r\n{:X}\r\n", rest.len());
                let _ = socket.write_all(rest);
                let _ = write!(socket, "\r\n0\r\nX-Trailer: 1\r\n\r\n");
            } else {
                let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {MIB}\r\n\r\n");
                let _ = socket.write_all(first);
                opens.wait();
                let _ = socket.write_all(rest);
            }
            let _ = reader.read(&mut [0]);
        });
        (setup.has_admin_api, setup.settings["Classes"][0]["Slo"]) = (true, json!(2.0));
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::new("long").with_header("X-Remaining", "2.0"));
        let first = head(&mut client.reader).expect("an answer, before its worker has all of it");
        assert!(first.starts_with("HTTP/1.1 200"), "{first}");
        assert_eq!(node.admin_status("POST /control/out-of-service"), 200);
        // A later one of the same time has its time-out before the first goes on.
        assert_eq!(
            node.request(&ClientRequest::new("silent").with_header("X-Remaining", "2.0")).status(),
            429
        );
        gate.open();
        let mut body = vec![0; MIB];
        if chunked {
            body = chunks(&mut client.reader);
        } else {
            client.reader.read_exact(&mut body).expect("the rest");
        }
        assert!(body == long(MIB), "unchanged");
        assert!(client.read_response().is_none(), "closed after the answer, as clients are sent away");
    }
}

#[test]
fn a_long_answer_that_breaks_off_can_be_told_from_a_whole_one() {
    let (setup, _discovery) = worker(|mut socket| {
        head(&mut BufReader::new(&socket)).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n");
        let _ = socket.write_all(&long(0x20000));
    });
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::new("broken"));
    assert!(head(&mut client.reader).expect("an answer").starts_with("HTTP/1.1 200"));
    let mut rest = Vec::new();
    // Ended by a close or a reset.
    let _ = client.reader.read_to_end(&mut rest);
    assert!(!rest.ends_with(b"0\r\n\r\n") && rest.len() >= 0x10000, "{} bytes", rest.len());
    assert_eq!(
        node.request(&ClientRequest::new("x").with_header("X-Remaining", "x")).status(),
        400,
        "it goes on"
    );
}

#[test]
fn of_a_long_answer_that_breaks_off_at_once_the_client_sees_the_beginning() {
    let (setup, _discovery) = worker(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while head(&mut reader).is_some_and(|h| !h.contains("ends")) {
            let part = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart";
            let _ = socket.write_all(part);
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    });
    // Beginning and end may reach the gateway together or one after the other. A gateway of its own for each, as one
    // leaves a worker alone that fails often.
    for i in 0..20 {
        let node = setup.start();
        let mut client = node.connect();
        client.send(&ClientRequest::submit(&format!("b{i}")));
        let mut seen = Vec::new();
        // Ended by a close or a reset.
        let _ = client.reader.read_to_end(&mut seen);
        let seen = String::from_utf8_lossy(&seen);
        assert!(seen.starts_with("HTTP/1.1 200") && seen.ends_with("\r\n\r\npart"), "{i}: {seen:?}");
    }
}

#[test]
fn a_short_answer_that_breaks_off_is_made_good() {
    let first = std::sync::atomic::AtomicBool::new(true);
    let (mut setup, discovery) = worker(move |mut socket| {
        head(&mut BufReader::new(&socket)).expect("a request");
        let whole = !first.swap(false, std::sync::atomic::Ordering::SeqCst);
        let _ = write!(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}",
            if whole { "good" } else { "go" }
        );
    });
    // The same under another name, as a further attempt goes to another worker.
    again(&mut setup, &discovery, "w1");
    assert_eq!(setup.start().request(&ClientRequest::new("a")).body, b"good");
}

/// A worker that tells the head and then the body of each request as it comes, and answers its end.
fn taker(chunked: bool, length: usize) -> (NodeSetup, Discovery, Receiver<String>, Receiver<Vec<u8>>) {
    let ((tell_head, heads), (tell_body, bodies)) = (channel(), channel());
    let (setup, discovery) = worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while let Some(head) = head(&mut reader) {
            let _ = tell_head.send(head);
            let body = if chunked {
                chunks(&mut reader)
            } else {
                let mut body = vec![0; length];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body
            };
            let _ = tell_body.send(body);
            let _ = socket.write_all(plain("taken").as_bytes());
        }
    });
    (setup, discovery, heads, bodies)
}

#[test]
fn a_long_request_goes_on_as_it_comes_and_its_time_runs_from_its_last_byte() {
    for chunked in [false, true] {
        let (mut setup, _discovery, heads, bodies) = taker(chunked, MIB);
        setup.settings["Classes"][1]["Slo"] = json!(2.0);
        let node = setup.start();
        let mut client = node.connect();
        let body = long(MIB);
        let framing = if chunked { ("Transfer-Encoding", "chunked") } else { ("Content-Length", "1048576") };
        let ask =
            ClientRequest::submit("long").with_header(framing.0, framing.1).with_header("X-Remaining", "2.0");
        client.send(&ClientRequest { body: Vec::new(), ..ask });
        let socket = client.reader.get_mut();
        let piece = |socket: &mut TcpStream, part: &[u8]| {
            if chunked {
                write!(socket, "{:x}\r\n", part.len()).expect("a socket");
            }
            socket.write_all(part).expect("a socket");
            if chunked {
                socket.write_all(b"\r\n").expect("a socket");
            }
        };
        let (first, rest) = body.split_at(MIB / 2);
        piece(socket, first);
        let seen = heads.recv_timeout(LIMIT).expect("the worker gets it before its client has sent it all");
        assert!(seen.starts_with("POST /submit HTTP/1.1\r\n"), "{seen}");
        // For longer in all than the request would have, did its time run from the first byte.
        for part in rest.chunks(MIB / 8) {
            thread::sleep(std::time::Duration::from_millis(600));
            piece(socket, part);
        }
        if chunked {
            socket.write_all(b"0\r\nX-Trailer: 1\r\n\r\n").expect("a socket");
        }
        assert!(bodies.recv_timeout(LIMIT).expect("the body") == body, "unchanged");
        assert_eq!(client.read_response().map(|a| (a.status(), a.body)), Some((200, b"taken".to_vec())));
        assert_eq!(
            client.request(&ClientRequest::new("x").without_header("X-Txn")).status(),
            400,
            "the connection is kept"
        );
    }
}

#[test]
fn a_long_request_is_not_sent_again_once_it_is_not_held_in_full() {
    let (tell, tried) = channel();
    let (mut setup, discovery) = worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        while let Some(head) = head(&mut reader) {
            let _ = tell.send(head);
            // Turned away before the body has come.
            let turned_away =
                "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = socket.write_all(turned_away.as_bytes());
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
        }
    });
    again(&mut setup, &discovery, "w1");
    again(&mut setup, &discovery, "w2"); // One that has turned away is left alone for a while.
    let node = setup.start();
    let mut ask = ClientRequest::submit("long");
    ask.body = long(MIB);
    assert_eq!(node.request(&ask).status(), 429, "it never ran, so its client may send it again");
    assert_eq!(tried.try_iter().count(), 1);
    ask.body.truncate(1000);
    assert_eq!(node.request(&ask).status(), 429);
    assert_eq!(tried.try_iter().count(), 2, "a short one has its further attempt");
}

#[test]
fn a_request_that_is_refused_early_is_read_to_its_end_so_that_its_client_gets_the_answer() {
    let (setup, _discovery) = worker(|_| {});
    let node = setup.start();
    let mut client = node.connect();
    // No class of that method: refused by its head. Its body is far more than the sockets hold.
    let mut ask = ClientRequest::submit("early").with_header("Idempotency-Key", "5c0f6e1a2b3d4c59");
    ask.body = long(16 * MIB);
    assert_eq!(client.request(&ask).status(), 400);
    ask = ClientRequest::submit("far");
    ask.headers.push(("Content-Length", (33 * MIB).to_string()));
    assert_eq!(node.request(&ask).status(), 413);
}

#[test]
fn the_rest_of_a_refused_request_is_not_taken_for_a_slow_head() {
    let (setup, _discovery) = worker(drop);
    let node = setup.start();
    let mut client = node.connect();
    let piece = vec![b'x'; 128 * 1024];
    client.send(&ClientRequest {
        body: piece.clone(),
        ..ClientRequest::submit("slow").with_header("Content-Length", "4194304")
    });
    // Its only worker ends every connection at once, so it is answered long before all of it has come, and a
    // head would have had its time twice.
    for _ in 1..32 {
        thread::sleep(std::time::Duration::from_millis(150));
        client.reader.get_mut().write_all(&piece).expect("the connection is kept");
    }
    assert!(client.read_response().is_some_and(|a| a.status() >= 400));
    assert_eq!(
        client.request(&ClientRequest::new("x").without_header("X-Txn")).status(),
        400,
        "and serves the next"
    );
}

#[test]
fn the_end_of_a_refused_request_does_not_end_the_long_answer_after_it() {
    let (setup, _discovery) = worker(|mut socket| {
        let asked = head(&mut BufReader::new(&socket)).expect("a request");
        if asked.contains("spends") {
            let _ = socket.write_all(plain("ok").as_bytes());
            return;
        }
        let body = long(MIB);
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {MIB}\r\n\r\n");
        let _ = socket.write_all(&body[..MIB / 2]);
        // For longer than a connection may stand idle.
        thread::sleep(std::time::Duration::from_secs(3));
        let _ = socket.write_all(&body[MIB / 2..]);
    });
    let node = setup.start();
    let quota = |ask: ClientRequest| {
        ask.with_header("X-Plan", "pieni").with_header("X-Quota", "units=100,spread=2,first=0")
    };
    assert_eq!(node.request(&quota(ClientRequest::new("spends"))).status(), 200);
    let mut client = node.connect();
    let piece = vec![b'x'; 128 * 1024];
    let ask = quota(ClientRequest::submit("refused")).with_header("Content-Length", "262144");
    client.send(&ClientRequest { body: piece.clone(), ..ask });
    assert_eq!(client.read_response().map(|a| a.status()), Some(429), "before all of it has come");
    // Its end and the next request come together, so the one ends when the other is in hand already.
    client
        .reader
        .get_mut()
        .write_all(&[piece, ClientRequest::new("next").bytes()].concat())
        .expect("a socket");
    assert!(head(&mut client.reader).expect("an answer").starts_with("HTTP/1.1 200"));
    let mut body = vec![0; MIB];
    assert!(client.reader.read_exact(&mut body).is_ok() && body == long(MIB), "it is not cut off");
}

#[test]
fn a_client_that_stops_half_way_is_owed_an_end() {
    let (setup, _discovery, heads, bodies) = taker(false, MIB);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest {
        body: long(MIB / 2),
        ..ClientRequest::submit("half").with_header("Content-Length", "1048576")
    });
    heads.recv_timeout(LIMIT).expect("it has begun");
    let status = client.read_response().map(|a| a.status());
    assert!(status.is_none_or(|s| s >= 400), "{status:?}");
    assert!(bodies.try_recv().is_err(), "the worker never has it whole");
}

#[test]
fn a_client_that_only_trickles_is_owed_an_end_too() {
    for length in ["60000", "1048576"] {
        let (setup, _discovery, _heads, bodies) = taker(false, MIB);
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
            assert!(start.elapsed() < LIMIT, "it goes on for ever");
            thread::sleep(std::time::Duration::from_millis(20));
        }
        let status = ended.join().expect("no panic");
        assert!(status.is_none_or(|s| s >= 400), "{status:?}");
        assert!(bodies.try_recv().is_err());
    }
}

#[test]
fn long_answers_that_nobody_reads_do_not_fill_the_memory() {
    let (mut setup, discovery) = worker(move |mut socket| {
        head(&mut BufReader::new(&socket)).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 * MIB);
        let _ = socket.write_all(&vec![7; 32 * MIB]);
    });
    // The module lets so many be out only where there are many workers.
    (1..12).for_each(|i| again(&mut setup, &discovery, &format!("w{i}")));
    let node = setup.start();
    let mut clients: Vec<Client> = (0..12).map(|_| node.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&ClientRequest::new(&format!("l{i}")));
        assert!(head(&mut client.reader).is_some_and(|h| h.starts_with("HTTP/1.1 200")), "the answer begins");
    }
    // The last one is read to its end: by then all others stand as far as they get.
    let mut last = vec![0; 32 * MIB];
    clients[11].reader.read_exact(&mut last).expect("all of it");
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("a process");
    let most = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its memory");
    let most: usize = most.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(most < 32 * 1024, "{most} kB for 12 answers of 32 MB");
}

#[test]
fn every_form_of_a_request_passes() {
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
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"ok".as_slice()), "{form}");
        let (_, seen) = worker.next_request();
        let is_get = form.contains("GET");
        assert_eq!(
            seen.line,
            if is_get { "GET /check-answer?a=b HTTP/1.1" } else { "POST /submit HTTP/1.1" }
        );
        assert_eq!(seen.body, if is_get { &b""[..] } else { b"answer" });
    };
    let mut kept = node.connect();
    for form in &forms {
        // In one piece, byte by byte, and one behind another.
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
    assert!(head(&mut kept.reader).is_some_and(|h| h.starts_with("HTTP/1.1 100")));
    kept.reader.get_mut().write_all(b"answer").expect("a socket");
    check(&mut kept, &expects);
    kept.reader.get_mut().write_all(format!("{get}Content-Length: 1\r\n\r\nx").as_bytes()).expect("a socket");
    assert_eq!(kept.read_response().map(|a| a.status()), Some(400), "a body where none may be");
}

#[test]
fn every_form_of_an_answer_passes() {
    for said in [
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "HTTP/1.1 200\r\ncontent-length:4\r\n\r\nbody",
        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Folded: a\r\n b\r\n\r\n1\r\nb\r\n3;e\r\nody\r\n0\r\nT: 1\r\n\r\n",
    ] {
        let (setup, _discovery) = worker(move |mut socket| {
            head(&mut BufReader::new(&socket)).expect("a request");
            said.as_bytes().iter().for_each(|byte| drop(socket.write_all(&[*byte])));
        });
        let answer = setup.start().request(&ClientRequest::submit("a"));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"body".as_slice()), "{said}");
    }
}

/// A worker that gives the head and a part of a short answer in chunks to what is asked for as `stalls`, and then
/// neither the rest nor an end; it keeps `waits` waiting.
fn stalling() -> (NodeSetup, Discovery) {
    worker(|mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        let asked = head(&mut reader).expect("a request");
        if asked.contains("stalls") {
            let part = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
            let _ = socket.write_all(part.as_bytes());
        }
        let _ = reader.read(&mut [0]);
    })
}

#[test]
fn a_short_answer_that_stops_half_way_has_its_end_within_its_time() {
    let (setup, _discovery) = stalling();
    let node = setup.start();
    let (mut stalls, mut waits) = (node.connect(), node.connect());
    stalls.send(&ClientRequest::new("stalls").with_header("X-Remaining", "1.0"));
    assert!(head(&mut stalls.reader).expect("its beginning").starts_with("HTTP/1.1 200"));
    // Taken later, and for a longer time, so its answer comes after that end.
    waits.send(&ClientRequest::new("waits").with_header("X-Remaining", "4.0"));
    let ended = thread::spawn(move || {
        let mut rest = Vec::new();
        // Ended by a close or a reset.
        let _ = stalls.reader.read_to_end(&mut rest);
        rest
    });
    assert!(waits.read_response().is_some_and(|a| a.status() >= 400));
    assert!(ended.is_finished(), "its client still waits for the rest of it");
    let rest = ended.join().expect("no panic");
    assert!(!rest.ends_with(b"0\r\n\r\n"), "its client can tell that it is not whole");
}

#[test]
fn a_long_answer_whose_beginning_takes_longer_than_its_time_is_not_cut_off() {
    let body = long(2 * 65536);
    let given = body.clone();
    let (setup, _discovery) = worker(move |mut socket| {
        let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
        head(&mut reader).expect("a request");
        let _ = write!(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // In pieces that come without a pause as long as one that has stopped would make, for twice its time.
        for part in given.chunks(given.len() / 100) {
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
    assert!(head(&mut client.reader).expect("its beginning").starts_with("HTTP/1.1 200"));
    assert!(chunks(&mut client.reader) == body, "unchanged");
}

#[test]
fn a_request_that_fills_the_gathering_to_the_byte_has_its_time() {
    // Its worker takes it and says nothing.
    let (setup, _discovery) = worker(|socket| {
        let _ = std::io::copy(&mut &socket, &mut std::io::sink());
    });
    let node = setup.start();
    let (mut full, mut less) = (node.connect(), node.connect());
    let ask = |n: usize| ClientRequest {
        body: long(n),
        ..ClientRequest::submit(&format!("b{n}")).with_header("X-Remaining", "0.5")
    };
    full.send(&ask(65536));
    less.send(&ask(65535).with_header("X-Remaining", "4.0"));
    let ended = thread::spawn(move || full.read_response().map(|a| a.status()));
    assert_eq!(less.read_response().map(|a| a.status()), Some(502));
    assert!(ended.is_finished(), "one of 64 KiB still waits");
    assert_eq!(ended.join().expect("no panic"), Some(502));
}
