//! Workers that do not answer in time. The clock stands still until a request has reached its worker, and then runs ahead.

use crate::fakes::{
    Behaviour, CONFIGURATION, FakeWorker, Gatekeeper, LAST_CHUNK, Message, Reader, answer, event, events,
    request, run, stream_head,
};
use std::{rc::Rc, time::Duration};
use tokio::{io::AsyncWriteExt, sync::Notify};

/// Sends a request to a gatekeeper whose only worker is `silent`, and lets time run once it is there and `other` has
/// been listed, too.
async fn call(text: &str, silent: &FakeWorker, other: &FakeWorker) -> Option<Message> {
    let gatekeeper = Gatekeeper::with(&[silent]).await;
    let short = CONFIGURATION.replace("\"gap_aim_ms\":5000", "\"gap_aim_ms\":300");
    gatekeeper.configure(2, &short.replace("\"target_latency_ms\":5000", "\"target_latency_ms\":200"));
    let mut socket = gatekeeper.connect().await;
    socket.write_all(text.as_bytes()).await.expect("it reads");
    silent.request_received.notified().await;
    gatekeeper.set_ready_workers(&[silent, other]);
    tokio::time::pause();
    let answer = Reader::new(&mut socket).message().await;
    tokio::time::resume();
    answer
}

#[test]
fn an_idempotent_request_leaves_an_unresponsive_worker_in_time() {
    run(async {
        let silent = FakeWorker::start("w1", vec![Behaviour::NeverAnswer]).await;
        let good = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        let answer = call(&request("GET", "/safe/a", "id", "", ""), &silent, &good).await.expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"served"[..]));
        assert_eq!((silent.count(), good.count()), (1, 1));
    });
}

#[test]
fn an_unsafe_request_waits_for_its_worker_until_its_client_gives_up() {
    run(async {
        let silent = FakeWorker::start("w1", vec![Behaviour::NeverAnswer]).await;
        let good = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        let answer =
            call(&request("POST", "/unsafe/a", "id", "", ""), &silent, &good).await.expect("an answer");
        assert_eq!(answer.status(), 504, "it may have run, or run yet");
        assert_eq!(good.count(), 0);
    });
}

#[test]
fn a_resumable_stream_is_resumed_elsewhere_when_its_next_event_times_out() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), Rc::new(Notify::new()), String::new());
        let silent = FakeWorker::start("w1", vec![behaviour]).await;
        let rest = Behaviour::Send(stream_head() + &events(3, 4) + LAST_CHUNK);
        let good = FakeWorker::start("w2", vec![rest]).await;
        let answer =
            call(&request("POST", "/resume/a", "id", "", ""), &silent, &good).await.expect("an answer");
        assert_eq!(answer.body, (1..=4).map(event).collect::<String>().into_bytes());
        assert_eq!(good.request(0).header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_stream_that_is_not_resumable_stays_with_its_worker() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), Rc::new(Notify::new()), String::new());
        let silent = FakeWorker::start("w1", vec![behaviour]).await;
        let good = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        assert!(
            call(&request("POST", "/stream/a", "id", "", ""), &silent, &good).await.is_none(),
            "it is cut"
        );
        assert_eq!(good.count(), 0);
    });
}

#[test]
fn an_answer_that_is_overdue_counts_against_its_worker_long_before_it_is_given_up() {
    run(async {
        const USUAL: usize = 16;
        let mut behaviours = vec![answer("200 OK", "", "served"); USUAL];
        behaviours.push(Behaviour::NeverAnswer);
        let hangs = FakeWorker::start("w1", behaviours).await;
        let other = FakeWorker::start("w2", vec![Behaviour::NeverAnswer]).await;
        let gatekeeper = Gatekeeper::with(&[&hangs]).await;
        for number in 0..USUAL {
            let text = request("POST", "/unsafe/a", &format!("usual-{number}"), "", "");
            assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 200);
        }
        let mut waits = gatekeeper.connect().await;
        waits.write_all(request("POST", "/unsafe/a", "waits", "", "").as_bytes()).await.expect("it reads");
        while hangs.count() <= USUAL {
            hangs.request_received.notified().await;
        }
        gatekeeper.set_ready_workers(&[&hangs, &other]);
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(1)).await;
        tokio::time::resume();
        // The other worker soon has as many requests as the one that hangs, and is still the better choice.
        let mut sockets = Vec::new();
        for number in 0..2 {
            let mut socket = gatekeeper.connect().await;
            let text = request("POST", "/unsafe/a", &format!("next-{number}"), "", "");
            socket.write_all(text.as_bytes()).await.expect("it reads");
            sockets.push(socket);
            tokio::select! {
                () = other.request_received.notified() => {}
                () = hangs.request_received.notified() => {}
            }
        }
        assert_eq!((hangs.count(), other.count()), (USUAL + 1, 2));
    });
}
