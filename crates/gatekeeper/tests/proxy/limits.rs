//! Tests of the time limits that the configuration sets for clients.

use crate::fakes::{CONFIGURATION, FakeWorker, Gatekeeper, Reader, answer, request, run};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;

/// Well below the limits that apply when the configuration sets none.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(2500);

/// Starts a gatekeeper whose configuration sets these time limits for clients, in milliseconds.
async fn gatekeeper(worker: &FakeWorker, header_timeout_ms: u32, idle_timeout_ms: u32) -> Gatekeeper {
    let gatekeeper = Gatekeeper::with_workers(&[worker]).await;
    let text = CONFIGURATION
        .replace("\"header_timeout_ms\":3000", &format!("\"header_timeout_ms\":{header_timeout_ms}"))
        .replace("\"idle_timeout_ms\":15000", &format!("\"idle_timeout_ms\":{idle_timeout_ms}"));
    gatekeeper.configure(2, &text);
    gatekeeper
}

#[test]
fn a_connection_is_closed_when_the_head_is_not_complete_within_the_header_timeout() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "served")]).await;
        let gatekeeper = gatekeeper(&worker, 20, 60_000).await;
        let mut socket = gatekeeper.connect().await;
        let started_at = Instant::now();
        socket.write_all(b"GET /safe/a HTTP/1.1\r\nHost: h").await.expect("the proxy reads");
        let rest = Reader::new(&mut socket).rest().await;
        assert!(started_at.elapsed() < MAX_CLOSE_TIME, "{:?}", started_at.elapsed());
        assert!(!rest.starts_with(b"HTTP/1.1 2"), "{}", String::from_utf8_lossy(&rest));
        assert_eq!(worker.count(), 0);
    });
}

#[test]
fn the_header_timeout_also_applies_to_the_second_head_of_a_connection() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "served")]).await;
        let gatekeeper = gatekeeper(&worker, 20, 60_000).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("GET", "/safe/a", "id", "", "").as_bytes()).await.expect("the proxy reads");
        let mut reader = Reader::new(&mut socket);
        assert_eq!(reader.message().await.expect("an answer").status(), 200);
        let started_at = Instant::now();
        reader.socket().write_all(b"GET /safe/a HTTP/1.1\r\nHost: h").await.expect("the proxy reads");
        reader.rest().await;
        assert!(started_at.elapsed() < MAX_CLOSE_TIME, "{:?}", started_at.elapsed());
        assert_eq!(worker.count(), 1);
    });
}

#[test]
fn a_connection_is_closed_after_the_idle_timeout() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "served")]).await;
        let gatekeeper = gatekeeper(&worker, 60_000, 20).await;
        let mut socket = gatekeeper.connect().await;
        socket.write_all(request("GET", "/safe/a", "id", "", "").as_bytes()).await.expect("the proxy reads");
        let mut reader = Reader::new(&mut socket);
        assert_eq!(reader.message().await.expect("an answer").status(), 200);
        let answered = Instant::now();
        assert_eq!(reader.rest().await, b"", "nothing is sent before the connection closes");
        assert!(answered.elapsed() < MAX_CLOSE_TIME, "{:?}", answered.elapsed());
    });
}
