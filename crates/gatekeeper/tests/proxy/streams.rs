//! Streams of events.

use crate::fakes::{
    Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Reader, event, events, not_executed, request, run,
    stream_head,
};
use std::rc::Rc;
use tokio::{io::AsyncWriteExt, sync::Notify};

fn complete_stream(from: u64, to: u64) -> Behaviour {
    Behaviour::Send(stream_head() + &events(from, to) + LAST_CHUNK)
}

fn texts(from: u64, to: u64) -> Vec<u8> {
    (from..=to).map(event).collect::<String>().into_bytes()
}

#[test]
fn events_are_passed_on_as_they_come() {
    run(async {
        let resume = Rc::new(Notify::new());
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), resume.clone(), events(3, 3) + LAST_CHUNK);
        let worker = FakeWorker::start("w1", vec![behaviour]).await;
        let gatekeeper = Gatekeeper::with(&[&worker]).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("POST", "/stream/a", "id", "", "x").as_bytes()).await.expect("it reads");
        let mut reader = Reader::new(&mut socket);
        let head = reader.head().await.expect("a head");
        assert_eq!((head.status(), head.header("server-signature")), (200, Some("sig")));
        let mut received = Vec::new();
        while received.len() < texts(1, 2).len() {
            received.extend(reader.chunk().await.expect("before the stream's end"));
        }
        assert_eq!(received, texts(1, 2));
        resume.notify_one();
        assert_eq!(reader.chunk().await.expect("the last event"), texts(3, 3));
        assert!(reader.chunk().await.expect("the end").is_empty());
    });
}

#[test]
fn a_stream_that_breaks_off_is_cut_and_never_run_again() {
    run(async {
        let half = stream_head() + &events(1, 2) + "20\r\nid: 3\nda";
        let workers = [
            FakeWorker::start("w1", vec![Behaviour::SendAndClose(half.clone())]).await,
            FakeWorker::start("w2", vec![Behaviour::SendAndClose(half)]).await,
        ];
        let gatekeeper = Gatekeeper::with(&[&workers[0], &workers[1]]).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("POST", "/stream/a", "id", "", "x").as_bytes()).await.expect("it reads");
        let rest = Reader::new(&mut socket).rest().await;
        let text = String::from_utf8(rest).expect("text");
        assert!(text.contains("piece 2") && !text.contains("id: 3"), "whole events only: {text}");
        assert!(!text.contains("\r\n0\r\n"), "it must not look complete");
        assert_eq!(workers[0].count() + workers[1].count(), 1);
    });
}

#[test]
fn a_stream_that_broke_before_its_first_event_is_answered_by_a_failure() {
    run(async {
        let worker = FakeWorker::start("w1", vec![Behaviour::SendAndClose(stream_head())]).await;
        let gatekeeper = Gatekeeper::with(&[&worker]).await;
        let answer = gatekeeper.call(&request("POST", "/stream/a", "id", "", "x")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
    });
}

#[test]
fn a_resumed_stream_is_complete_and_holds_no_event_twice() {
    run(async {
        let half = stream_head() + &events(1, 2) + "20\r\nid: 3\nda";
        let breaking = FakeWorker::start("w1", vec![Behaviour::SendAndClose(half)]).await;
        let gatekeeper = Gatekeeper::with(&[&breaking]).await;
        let finishing = FakeWorker::start("w2", vec![complete_stream(2, 5)]).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("POST", "/resume/a", "id", "", "x").as_bytes()).await.expect("it reads");
        breaking.request_received.notified().await;
        gatekeeper.set_ready_workers(&[&breaking, &finishing]);
        let answer = Reader::new(&mut socket).message().await.expect("a whole answer");
        assert_eq!(answer.body, texts(1, 5));
        assert_eq!(finishing.request(0).header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_rejected_stream_is_attempted_elsewhere() {
    run(async {
        let full = FakeWorker::start("w1", vec![not_executed()]).await;
        let good = FakeWorker::start("w2", vec![complete_stream(1, 4)]).await;
        let gatekeeper = Gatekeeper::with(&[&full, &good]).await;
        for path in ["/stream/a", "/resume/a"] {
            let answer = gatekeeper.call(&request("POST", path, "id", "", "x")).await.expect("an answer");
            assert_eq!(answer.body, texts(1, 4));
        }
    });
}

#[test]
fn a_worker_is_left_when_the_client_has_gone() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 1), Rc::new(Notify::new()), String::new());
        let worker = FakeWorker::start("w1", vec![behaviour]).await;
        let gatekeeper = Gatekeeper::with(&[&worker]).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("POST", "/stream/a", "id", "", "x").as_bytes()).await.expect("it reads");
        assert!(Reader::new(&mut socket).head().await.is_some());
        drop(socket);
        while gatekeeper.proxy.in_flight("s", "w1") > 0 {
            tokio::task::yield_now().await;
        }
    });
}
