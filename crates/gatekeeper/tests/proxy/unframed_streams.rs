//! Tests of event streams without a length, which end with the worker's connection. The connection of a worker that is
//! killed ends in the same way, so only the events tell whether the stream is complete.

use crate::{
    fakes::{Behaviour, FakeWorker, Gatekeeper, Reader, event, request, run, unframed_stream_head},
    programs::{complete_stream, gatekeeper, turn},
    stores::Stores,
};
use tokio::io::AsyncWriteExt;

/// Bytes with which a worker that is killed may leave an event.
const EVENT_BEGINNINGS: [&str; 4] =
    ["i", "id: 3\nda", "id: 3\ndata: piece 3\n", "id: 3\r\ndata: piece 3\r\n\r"];

/// Sends the events with the ids `from` to `to` in a stream without a length, then these bytes, and closes the connection.
fn unframed_stream(from: u64, to: u64, rest: &str) -> Behaviour {
    let events: String = (from..=to).map(event).collect();
    Behaviour::SendAndClose(unframed_stream_head() + &events + rest)
}

fn event_bytes(from: u64, to: u64) -> Vec<u8> {
    (from..=to).map(event).collect::<String>().into_bytes()
}

#[test]
fn a_stream_that_ends_with_a_complete_event_is_complete() {
    run(async {
        for line_ends in ["", "\n", "\r\n"] {
            let worker = FakeWorker::start("w1", vec![unframed_stream(1, 3, line_ends)]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
            for path in ["/stream/a", "/resume/a"] {
                let answer = gatekeeper.call(&request("POST", path, "id", "", "x")).await;
                let body = answer.expect("a complete answer").body;
                assert!(body.starts_with(&event_bytes(1, 3)));
            }
        }
    });
}

/// Guards against a stream whose worker was killed inside an event and which looks complete to its client.
#[test]
fn a_stream_that_ends_inside_an_event_does_not_appear_complete() {
    run(async {
        for rest in EVENT_BEGINNINGS {
            let worker = FakeWorker::start("w1", vec![unframed_stream(1, 2, rest)]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
            let mut socket = gatekeeper.connect().await;
            let request = request("POST", "/stream/a", "id", "", "x");
            socket.write_all(request.as_bytes()).await.expect("the proxy reads");
            let received = String::from_utf8(Reader::new(&mut socket).rest().await).expect("text");
            assert!(received.contains("piece 2") && !received.contains("id: 3"), "{rest:?}: {received}");
            assert!(!received.contains("\r\n0\r\n"), "{rest:?}: the answer must not appear complete");
            assert_eq!(worker.count(), 1, "the request may have run");
        }
    });
}

/// Guards against a stream that could have been resumed at another worker and ended inside an event.
#[test]
fn a_resumable_stream_that_ends_inside_an_event_is_resumed_at_another_worker() {
    run(async {
        for rest in EVENT_BEGINNINGS {
            let killed = FakeWorker::start("w1", vec![unframed_stream(1, 2, rest)]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&killed]).await;
            let finishing = FakeWorker::start("w2", vec![unframed_stream(3, 5, "")]).await;
            let mut socket = gatekeeper.connect().await;
            let request = request("POST", "/resume/a", "id", "", "x");
            socket.write_all(request.as_bytes()).await.expect("the proxy reads");
            killed.request_received.notified().await;
            gatekeeper.set_ready_workers(&[&killed, &finishing]);
            let answer = Reader::new(&mut socket).message().await.expect("a complete answer");
            assert_eq!(answer.body, event_bytes(1, 5), "{rest:?}");
            assert_eq!(finishing.request(0).header("last-event-id"), Some("2"));
        }
    });
}

/// Guards against a stream that was resumed once and whose second worker was killed as well.
#[test]
fn a_resumed_stream_that_ends_inside_an_event_does_not_appear_complete() {
    run(async {
        let first = FakeWorker::start("w1", vec![unframed_stream(1, 2, "id: 3")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&first]).await;
        let second = FakeWorker::start("w2", vec![unframed_stream(3, 3, "id: 4")]).await;
        let mut socket = gatekeeper.connect().await;
        let request = request("POST", "/resume/a", "id", "", "x");
        socket.write_all(request.as_bytes()).await.expect("the proxy reads");
        first.request_received.notified().await;
        gatekeeper.set_ready_workers(&[&first, &second]);
        assert!(Reader::new(&mut socket).message().await.is_none(), "the answer must not appear complete");
    });
}

/// Guards against an empty answer that looks complete: the worker was killed before or inside its first event.
#[test]
fn a_stream_that_ends_before_its_first_event_is_complete_is_answered_502() {
    run(async {
        for rest in EVENT_BEGINNINGS.into_iter().chain([""]) {
            let worker = FakeWorker::start("w1", vec![unframed_stream(1, 0, rest)]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
            let answer = gatekeeper.call(&request("POST", "/stream/a", "id", "", "x")).await;
            assert_eq!(answer.expect("an answer").status(), 502, "{rest:?}");
        }
    });
}

/// A client that names the last event of a stream asks for what follows, which may be nothing.
#[test]
fn an_empty_stream_after_the_last_event_is_complete() {
    run(async {
        let worker = FakeWorker::start("w1", vec![unframed_stream(1, 0, "")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let request = request("POST", "/resume/a", "id", "Last-Event-Id: 5\r\n", "x");
        let answer = gatekeeper.call(&request).await.expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, Vec::new()));
    });
}

/// Guards against a conversation that is continued on a turn whose answer broke off.
#[test]
fn a_turn_whose_stream_ends_inside_an_event_is_not_stored() {
    run(async {
        let stores = Stores::start().await;
        let behaviours = vec![unframed_stream(1, 2, "id: 3"), complete_stream(2)];
        let worker = FakeWorker::start("w1", behaviours).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        assert!(turn(&gatekeeper, "/kept/a", "t1", 1000, None, "one").await.is_none());
        let next = turn(&gatekeeper, "/kept/a", "t2", 1000, Some("t1"), "two").await;
        assert_eq!(next.expect("an answer").status(), 404);
    });
}
