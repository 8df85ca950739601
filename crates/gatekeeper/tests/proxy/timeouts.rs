//! Tests of workers that do not answer in time. Once a request has reached its worker, the clock is paused, so that
//! time-outs elapse without waiting.

use crate::fakes::{
    Behaviour, CONFIGURATION, FakeWorker, Gatekeeper, LAST_CHUNK, Message, Reader, answer, event, events,
    request, run, stream_head,
};
use std::{rc::Rc, time::Duration};
use tokio::{io::AsyncWriteExt, sync::Notify};

/// Sends a request to a gatekeeper whose only worker is `unresponsive`. Once that worker has received it, adds `other` to the
/// workers and lets the time-outs elapse.
async fn call(text: &str, unresponsive: &FakeWorker, other: &FakeWorker) -> Option<Message> {
    let gatekeeper = Gatekeeper::with_workers(&[unresponsive]).await;
    let short = CONFIGURATION.replace("\"gap_aim_ms\":5000", "\"gap_aim_ms\":300");
    gatekeeper.configure(2, &short.replace("\"target_latency_ms\":5000", "\"target_latency_ms\":200"));
    let mut socket = gatekeeper.connect().await;
    socket.write_all(text.as_bytes()).await.expect("the proxy reads");
    unresponsive.request_received.notified().await;
    gatekeeper.set_ready_workers(&[unresponsive, other]);
    tokio::time::pause();
    let answer = Reader::new(&mut socket).message().await;
    tokio::time::resume();
    answer
}

#[test]
fn an_idempotent_request_is_attempted_elsewhere_when_its_worker_is_unresponsive() {
    run(async {
        let unresponsive = FakeWorker::start("w1", vec![Behaviour::NeverAnswer]).await;
        let healthy = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        let answer =
            call(&request("GET", "/safe/a", "id", "", ""), &unresponsive, &healthy).await.expect("an answer");
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"served"[..]));
        assert_eq!((unresponsive.count(), healthy.count()), (1, 1));
    });
}

#[test]
fn an_unsafe_request_waits_for_its_worker_until_its_deadline() {
    run(async {
        let unresponsive = FakeWorker::start("w1", vec![Behaviour::NeverAnswer]).await;
        let healthy = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        let answer = call(&request("POST", "/unsafe/a", "id", "", ""), &unresponsive, &healthy)
            .await
            .expect("an answer");
        assert_eq!(answer.status(), 504, "the request may have run or may still run");
        assert_eq!(healthy.count(), 0);
    });
}

#[test]
fn a_resumable_stream_is_resumed_elsewhere_when_its_next_event_times_out() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), Rc::new(Notify::new()), String::new());
        let unresponsive = FakeWorker::start("w1", vec![behaviour]).await;
        let rest = Behaviour::Send(stream_head() + &events(3, 4) + LAST_CHUNK);
        let healthy = FakeWorker::start("w2", vec![rest]).await;
        let answer = call(&request("POST", "/resume/a", "id", "", ""), &unresponsive, &healthy)
            .await
            .expect("an answer");
        assert_eq!(answer.body, (1..=4).map(event).collect::<String>().into_bytes());
        assert_eq!(healthy.request(0).header("last-event-id"), Some("2"));
    });
}

#[test]
fn a_stream_that_is_not_resumable_stays_with_its_worker() {
    run(async {
        let behaviour =
            Behaviour::SendWaitSend(stream_head() + &events(1, 2), Rc::new(Notify::new()), String::new());
        let unresponsive = FakeWorker::start("w1", vec![behaviour]).await;
        let healthy = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
        assert!(
            call(&request("POST", "/stream/a", "id", "", ""), &unresponsive, &healthy).await.is_none(),
            "the answer is cut off"
        );
        assert_eq!(healthy.count(), 0);
    });
}

#[test]
fn an_overdue_answer_counts_against_its_worker_before_the_attempt_times_out() {
    run(async {
        const ANSWERED_REQUESTS: usize = 16;
        let mut behaviours = vec![answer("200 OK", "", "served"); ANSWERED_REQUESTS];
        behaviours.push(Behaviour::NeverAnswer);
        let hanging = FakeWorker::start("w1", behaviours).await;
        let other = FakeWorker::start("w2", vec![Behaviour::NeverAnswer]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&hanging]).await;
        for number in 0..ANSWERED_REQUESTS {
            let text = request("POST", "/unsafe/a", &format!("answered-{number}"), "", "");
            assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 200);
        }
        let mut waiting_socket = gatekeeper.connect().await;
        waiting_socket
            .write_all(request("POST", "/unsafe/a", "waits", "", "").as_bytes())
            .await
            .expect("the proxy reads");
        while hanging.count() <= ANSWERED_REQUESTS {
            hanging.request_received.notified().await;
        }
        gatekeeper.set_ready_workers(&[&hanging, &other]);
        tokio::time::pause();
        tokio::time::advance(Duration::from_secs(1)).await;
        tokio::time::resume();
        // The other worker soon has as many requests in flight as the hanging one, and is still selected.
        let mut sockets = Vec::new();
        for number in 0..2 {
            let mut socket = gatekeeper.connect().await;
            let text = request("POST", "/unsafe/a", &format!("next-{number}"), "", "");
            socket.write_all(text.as_bytes()).await.expect("the proxy reads");
            sockets.push(socket);
            tokio::select! {
                () = other.request_received.notified() => {}
                () = hanging.request_received.notified() => {}
            }
        }
        assert_eq!((hanging.count(), other.count()), (ANSWERED_REQUESTS + 1, 2));
    });
}
