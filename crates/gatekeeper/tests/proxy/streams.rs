//! Tests of requests that are answered by event streams.

use crate::fakes::{
    Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Reader, event, events, not_executed, request, run,
    stream_head,
};
use std::rc::Rc;
use tokio::{io::AsyncWriteExt, sync::Notify};

fn complete_stream(from: u64, to: u64) -> Behaviour {
    Behaviour::Send(stream_head() + &events(from, to) + LAST_CHUNK)
}

fn event_bytes(from: u64, to: u64) -> Vec<u8> {
    (from..=to).map(event).collect::<String>().into_bytes()
}

#[test]
fn events_are_relayed_as_they_are_received() {
    run(async {
        let resume = Rc::new(Notify::new());
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), resume.clone(), events(3, 3) + LAST_CHUNK);
        let worker = FakeWorker::start("w1", vec![behaviour]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let mut socket = gatekeeper.connect().await;
        socket
            .write_all(request("POST", "/stream/a", "id", "", "x").as_bytes())
            .await
            .expect("the proxy reads");
        let mut reader = Reader::new(&mut socket);
        let head = reader.head().await.expect("a head");
        assert_eq!((head.status(), head.header("server-signature")), (200, Some("sig")));
        let mut received = Vec::new();
        while received.len() < event_bytes(1, 2).len() {
            received.extend(reader.chunk().await.expect("before the stream's end"));
        }
        assert_eq!(received, event_bytes(1, 2));
        resume.notify_one();
        assert_eq!(reader.chunk().await.expect("the last event"), event_bytes(3, 3));
        assert!(reader.chunk().await.expect("the end").is_empty());
    });
}

#[test]
fn a_broken_stream_that_is_not_resumable_is_cut_off_and_not_attempted_again() {
    run(async {
        let truncated = stream_head() + &events(1, 2) + "20\r\nid: 3\nda";
        let workers = [
            FakeWorker::start("w1", vec![Behaviour::SendAndClose(truncated.clone())]).await,
            FakeWorker::start("w2", vec![Behaviour::SendAndClose(truncated)]).await,
        ];
        let gatekeeper = Gatekeeper::with_workers(&[&workers[0], &workers[1]]).await;
        let mut socket = gatekeeper.connect().await;
        socket
            .write_all(request("POST", "/stream/a", "id", "", "x").as_bytes())
            .await
            .expect("the proxy reads");
        let rest = Reader::new(&mut socket).rest().await;
        let text = String::from_utf8(rest).expect("text");
        assert!(
            text.contains("piece 2") && !text.contains("id: 3"),
            "only complete events are relayed: {text}"
        );
        assert!(!text.contains("\r\n0\r\n"), "the answer must not appear complete");
        assert_eq!(workers[0].count() + workers[1].count(), 1);
    });
}

#[test]
fn a_stream_that_breaks_before_its_first_event_is_answered_502() {
    run(async {
        let worker = FakeWorker::start("w1", vec![Behaviour::SendAndClose(stream_head())]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let answer = gatekeeper.call(&request("POST", "/stream/a", "id", "", "x")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
    });
}

#[test]
fn a_resumed_stream_is_complete_and_contains_no_event_twice() {
    run(async {
        let truncated = stream_head() + &events(1, 2) + "20\r\nid: 3\nda";
        let breaking = FakeWorker::start("w1", vec![Behaviour::SendAndClose(truncated)]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&breaking]).await;
        let finishing = FakeWorker::start("w2", vec![complete_stream(2, 5)]).await;
        let mut socket = gatekeeper.connect().await;
        socket
            .write_all(request("POST", "/resume/a", "id", "", "x").as_bytes())
            .await
            .expect("the proxy reads");
        breaking.request_received.notified().await;
        gatekeeper.set_ready_workers(&[&breaking, &finishing]);
        let answer = Reader::new(&mut socket).message().await.expect("a complete answer");
        assert_eq!(answer.body, event_bytes(1, 5));
        assert_eq!(finishing.request(0).header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_rejected_stream_is_attempted_elsewhere() {
    run(async {
        let full = FakeWorker::start("w1", vec![not_executed()]).await;
        let healthy = FakeWorker::start("w2", vec![complete_stream(1, 4)]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&full, &healthy]).await;
        for path in ["/stream/a", "/resume/a"] {
            let answer = gatekeeper.call(&request("POST", path, "id", "", "x")).await.expect("an answer");
            assert_eq!(answer.body, event_bytes(1, 4));
        }
    });
}

#[test]
fn the_exchange_with_the_worker_ends_when_the_client_disconnects() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 1), Rc::new(Notify::new()), String::new());
        let worker = FakeWorker::start("w1", vec![behaviour]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let mut socket = gatekeeper.connect().await;
        socket
            .write_all(request("POST", "/stream/a", "id", "", "x").as_bytes())
            .await
            .expect("the proxy reads");
        assert!(Reader::new(&mut socket).head().await.is_some());
        drop(socket);
        while gatekeeper.proxy.in_flight("s", "w1") > 0 {
            tokio::task::yield_now().await;
        }
    });
}
