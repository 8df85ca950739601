//! Tests of workers that state in the head of an answer that they did not run the request, and never send the rest.

use crate::fakes::{
    Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Message, Reader, answer, event, events, not_executed,
    request, run, stream_head,
};
use std::time::Duration;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

/// Time-out of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the head of a rejection and some of its body, and keeps the connection open.
fn cut_rejection(status: &str, headers: &str) -> Behaviour {
    Behaviour::Send(format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\n{headers}Content-Length: 16\r\n\r\nno slot"
    ))
}

/// All rejections that state that the request was not run.
fn cut_rejections() -> [Behaviour; 3] {
    [
        cut_rejection("503 Service Unavailable", "Not-Executed: 1\r\n"),
        cut_rejection("429 Too Many Requests", "Not-Executed: 1\r\n"),
        cut_rejection("421 Misdirected Request", ""),
    ]
}

/// Waits for a complete answer, at most until the routes' time-out.
async fn answer_in_time(socket: &mut TcpStream) -> Message {
    let answer = timeout(ROUTE_TIMEOUT, Reader::new(socket).message()).await;
    answer.expect("an answer before the route's time-out").expect("a complete answer")
}

/// Sends a request to a gatekeeper whose only worker is `rejecting`. Once that worker has received it, adds `other` to the
/// workers.
async fn call(text: &str, rejecting: &FakeWorker, other: &FakeWorker) -> Message {
    let gatekeeper = Gatekeeper::with_workers(&[rejecting]).await;
    let mut socket = gatekeeper.connect().await;
    socket.write_all(text.as_bytes()).await.expect("the proxy reads");
    rejecting.request_received.notified().await;
    gatekeeper.set_ready_workers(&[rejecting, other]);
    answer_in_time(&mut socket).await
}

/// Guards against a request that is neither attempted elsewhere nor answered since the rest of a rejection does not come.
#[test]
fn a_request_whose_rejection_is_cut_short_is_attempted_elsewhere() {
    run(async {
        for behaviour in cut_rejections() {
            for (method, path) in [("POST", "/unsafe/a"), ("GET", "/safe/a"), ("POST", "/stream/a")] {
                let rejecting = FakeWorker::start("w1", vec![behaviour.clone()]).await;
                let other = FakeWorker::start("w2", vec![answer("200 OK", "", "served")]).await;
                let answer = call(&request(method, path, "id", "", "x"), &rejecting, &other).await;
                assert_eq!(answer.body, b"served", "{path}");
            }
        }
    });
}

/// Guards against a client that waits beyond its time-out when no other worker is left.
#[test]
fn a_request_whose_only_worker_cuts_its_rejection_short_is_answered_503() {
    run(async {
        for behaviour in cut_rejections() {
            let rejecting = FakeWorker::start("w1", vec![behaviour]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&rejecting]).await;
            let mut socket = gatekeeper.connect().await;
            let text = request("POST", "/unsafe/a", "id", "", "x");
            socket.write_all(text.as_bytes()).await.expect("the proxy reads");
            assert_eq!(answer_in_time(&mut socket).await.status(), 503);
        }
    });
}

/// Guards against a broken stream that is not resumed since the next worker cuts its rejection short.
#[test]
fn a_stream_is_resumed_at_a_third_worker_when_the_second_cuts_its_rejection_short() {
    run(async {
        let broken = Behaviour::SendAndClose(stream_head() + &events(1, 2));
        let killed = FakeWorker::start("w1", vec![broken]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&killed]).await;
        let [rejection, ..] = cut_rejections();
        let rest = Behaviour::Send(stream_head() + &events(3, 4) + LAST_CHUNK);
        let rejecting = FakeWorker::start("w2", vec![rejection]).await;
        let finishing = FakeWorker::start("w3", vec![rest]).await;
        let mut socket = gatekeeper.connect().await;
        let text = request("POST", "/resume/a", "id", "", "x");
        socket.write_all(text.as_bytes()).await.expect("the proxy reads");
        killed.request_received.notified().await;
        gatekeeper.set_ready_workers(&[&killed, &rejecting]);
        rejecting.request_received.notified().await;
        gatekeeper.set_ready_workers(&[&killed, &rejecting, &finishing]);
        let answer = answer_in_time(&mut socket).await;
        assert_eq!(answer.body, (1..=4).map(event).collect::<String>().into_bytes());
    });
}

/// A complete rejection leaves its connection usable, which an attempt that does not wait for the rest must not spoil.
#[test]
fn the_connection_of_a_complete_rejection_is_used_again() {
    run(async {
        let worker = FakeWorker::start("w1", vec![not_executed(), answer("200 OK", "", "served")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let rejected = gatekeeper.call(&request("POST", "/unsafe/a", "first", "", "x")).await;
        assert_eq!(rejected.expect("an answer").status(), 503);
        // A connection becomes reusable some milliseconds after an answer.
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(20)).await;
        tokio::time::resume();
        let served = gatekeeper.call(&request("POST", "/unsafe/a", "second", "", "x")).await;
        assert_eq!(served.expect("an answer").status(), 200);
        assert_eq!(worker.connections.get(), 1);
    });
}
