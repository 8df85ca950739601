//! Tests of requests whose answers are not event streams.

use crate::fakes::{Behaviour, CONFIGURATION, FakeWorker, Gatekeeper, answer, not_executed, request, run};
use opalrun_wire::feed::WorkerState;
use std::time::Instant;

#[test]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("201 Created", "X-Own: 1\r\n", "the bytes")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let text =
            request("POST", "/unsafe/a?b=c", "id-1", "X-Other: o\r\nConnection: keep-alive\r\n", "body");
        let answer = gatekeeper.call(&text).await.expect("a complete answer");
        assert_eq!((answer.status(), &answer.body[..]), (201, &b"the bytes"[..]));
        assert_eq!(answer.header("server-signature"), Some("sig"));
        assert_eq!((answer.header("x-own"), answer.header("request-id")), (Some("1"), Some("id-1")));
        let seen = worker.request(0);
        assert_eq!(seen.first_line, "POST /unsafe/a?b=c HTTP/1.1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.header("host"), Some("h.example"));
        assert_eq!(seen.header("request-id"), Some("id-1"));
        assert_eq!(seen.header("x-other"), Some("o"));
        assert_eq!(seen.header("connection"), None);
        assert_eq!(seen.header("expect-instance"), Some("w1"));
        assert_eq!(seen.header("priority"), Some("1"));
        let left: u64 = seen.header("deadline-ms").and_then(|ms| ms.parse().ok()).expect("a deadline");
        assert!((1..=5000).contains(&left));
    });
}

#[test]
fn a_rejected_request_is_attempted_at_another_worker() {
    run(async {
        for path in ["/unsafe/a", "/safe/a"] {
            let full = FakeWorker::start("w1", vec![not_executed()]).await;
            let replaced = FakeWorker::start("w2", vec![answer("421 Misdirected Request", "", "")]).await;
            let healthy = FakeWorker::start("w3", vec![answer("200 OK", "", "served")]).await;
            let gatekeeper = Gatekeeper::with_workers(&[&full, &replaced, &healthy]).await;
            for id in 0..6 {
                let text = request("POST", path, &format!("id-{id}"), "", "");
                let answer = gatekeeper.call(&text).await.expect("a complete answer");
                assert_eq!((answer.status(), &answer.body[..]), (200, &b"served"[..]));
            }
            assert!(replaced.count() <= 1, "a replaced worker receives no further requests");
            assert_eq!(healthy.count(), 6);
        }
    });
}

#[test]
fn a_request_that_may_have_run_is_attempted_again_only_on_a_safe_route() {
    run(async {
        let closing = FakeWorker::start("w1", vec![Behaviour::Close]).await;
        let closing_too = FakeWorker::start("w2", vec![Behaviour::Close]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&closing, &closing_too]).await;
        let answer =
            gatekeeper.call(&request("POST", "/unsafe/a", "id-1", "", "x")).await.expect("an answer");
        assert_eq!(answer.status(), 502, "the status does not state that the request has not run");
        assert_eq!(closing.count() + closing_too.count(), 1);
        let answer = gatekeeper.call(&request("GET", "/safe/a", "id-2", "", "")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert_eq!(closing.count() + closing_too.count(), 3, "the safe request is attempted at two workers");
    });
}

#[test]
fn a_safe_request_is_served_by_a_second_worker_after_a_failure() {
    run(async {
        let closing = FakeWorker::start("w1", vec![Behaviour::Close]).await;
        let truncated_answer = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 50\r\n\r\nhalf";
        let truncated =
            FakeWorker::start("w2", vec![Behaviour::SendAndClose(truncated_answer.to_owned())]).await;
        let healthy = FakeWorker::start("w3", vec![answer("200 OK", "", "served")]).await;
        for failing in [&closing, &truncated] {
            let gatekeeper = Gatekeeper::with_workers(&[failing, &healthy]).await;
            for id in 0..4 {
                let text = request("GET", "/safe/a", &format!("id-{id}"), "", "");
                assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 200);
            }
        }
    });
}

#[test]
fn a_request_without_an_available_worker_is_rejected_with_retry_after() {
    run(async {
        let full = FakeWorker::start("w1", vec![not_executed()]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&full]).await;
        let text = request("POST", "/unsafe/a", "id-1", "", "");
        for _ in 0..2 {
            let answer = gatekeeper.call(&text).await.expect("an answer");
            assert_eq!(answer.status(), 503);
            let retry_after: f64 =
                answer.header("retry-after").and_then(|s| s.parse().ok()).expect("Retry-After in seconds");
            assert!(retry_after > 0.0 && retry_after < 1.0);
            assert_eq!(answer.header("server-signature"), None);
            gatekeeper.set_ready_workers(&[]);
        }
        assert_eq!(full.count(), 1);
    });
}

#[test]
fn an_answer_to_another_request_is_never_forwarded() {
    run(async {
        let foreign = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nstray";
        let worker = FakeWorker::start("w1", vec![Behaviour::Send(foreign.to_owned())]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let answer = gatekeeper.call(&request("POST", "/unsafe/a", "id-1", "", "")).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert!(answer.body.is_empty());
    });
}

#[test]
fn a_server_error_is_forwarded_except_a_503_without_not_executed() {
    run(async {
        let failing = FakeWorker::start("w1", vec![answer("500 Oops", "", "why")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&failing]).await;
        let answered =
            gatekeeper.call(&request("POST", "/unsafe/a", "id-1", "", "")).await.expect("an answer");
        assert_eq!((answered.status(), &answered.body[..]), (500, &b"why"[..]));
        let vague = FakeWorker::start("w2", vec![answer("503 Service Unavailable", "", "")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&vague]).await;
        let answered =
            gatekeeper.call(&request("POST", "/unsafe/a", "id-1", "", "")).await.expect("an answer");
        assert_eq!((answered.status(), answered.header("server-signature")), (502, None));
    });
}

#[test]
fn a_connection_to_a_worker_is_reused() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "x")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        for id in 0..3 {
            gatekeeper
                .call(&request("GET", "/safe/a", &format!("id-{id}"), "", ""))
                .await
                .expect("an answer");
            // A connection becomes reusable some milliseconds after an answer.
            tokio::time::pause();
            tokio::time::advance(std::time::Duration::from_millis(20)).await;
            tokio::time::resume();
        }
        assert_eq!((worker.count(), worker.connections.get()), (3, 1));
    });
}

#[test]
fn invalid_or_unroutable_requests_are_rejected_before_reaching_a_worker() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "x")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let long_body = "x".repeat(1001);
        let long_header = format!("X-Long: {}\r\n", "x".repeat(2000));
        let cases = [
            (request("GET", "/none/a", "id", "", ""), 404),
            (request("GET", "/safe/a", "id", "", "").replace("h.example", "other.example"), 404),
            (request("POST", "/unsafe/a", "id", "", &long_body), 413),
            (request("GET", "/safe/a", "id", &long_header, ""), 431),
            (request("GET", "/safe/a", "id", "Request-Id: second\r\n", ""), 400),
            (request("GET", "/safe/a", "id", "", "").replace("Request-Id: id\r\n", ""), 400),
            ("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nnonsense\r\n\r\n".to_owned(), 400),
        ];
        for (text, status) in cases {
            let answer = gatekeeper.call(&text).await.expect("an answer");
            assert_eq!(answer.status(), status, "{}", &text[..60]);
        }
        assert_eq!(worker.count(), 0);
    });
}

#[test]
fn a_smuggled_request_is_never_run() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "x")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&worker]).await;
        let hidden = request("POST", "/unsafe/hidden", "id-2", "", "");
        let text = format!(
            "POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nContent-Length: {}\r\n\
             Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len()
        );
        gatekeeper.call(&text).await;
        let requests = worker.requests.borrow();
        assert!(requests.iter().all(|request| !request.first_line.contains("hidden")), "{requests:?}");
    });
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    run(async {
        let worker = FakeWorker::start("w1", vec![answer("200 OK", "", "x")]).await;
        let gatekeeper = Gatekeeper::start().await;
        let text = request("GET", "/safe/a", "id", "", "");
        let unconfigured = gatekeeper.call(&text).await.expect("an answer");
        assert_eq!(
            unconfigured.status(),
            503,
            "without a configuration it is unknown whether the route exists"
        );
        gatekeeper.set_ready_workers(&[&worker]);
        gatekeeper.configure(5, CONFIGURATION);
        assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 200);
        gatekeeper.configure(7, &CONFIGURATION.replace("/safe/", "/other/"));
        let stale = gatekeeper.call(&text).await.expect("an answer");
        assert_eq!(stale.status(), 503, "a newer configuration may have the route");
        gatekeeper.proxy.confirm_freshness(Instant::now());
        assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 404);
        gatekeeper.configure(6, CONFIGURATION);
        assert_eq!(gatekeeper.call(&text).await.expect("an answer").status(), 404);
    });
}

#[test]
fn a_draining_worker_receives_no_new_requests() {
    run(async {
        let leaving = FakeWorker::start("w1", vec![answer("200 OK", "", "x")]).await;
        let staying = FakeWorker::start("w2", vec![answer("200 OK", "", "x")]).await;
        let gatekeeper = Gatekeeper::with_workers(&[&leaving, &staying]).await;
        let mut draining = leaving.feed_entry("s");
        draining.state = WorkerState::Draining;
        gatekeeper.set_workers(vec![draining, staying.feed_entry("s")]);
        for id in 0..4 {
            gatekeeper
                .call(&request("GET", "/safe/a", &format!("id-{id}"), "", ""))
                .await
                .expect("an answer");
        }
        assert_eq!((leaving.count(), staying.count()), (0, 4));
    });
}
