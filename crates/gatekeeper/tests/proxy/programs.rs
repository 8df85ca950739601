//! Tests of turns of programs: budgets and retained turns.

use crate::{
    fakes::{
        Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Message, Reader, event, events, not_executed, request,
        run, stream_head,
    },
    stores::Stores,
};
use tokio::io::AsyncWriteExt;

pub const ROUTES: &str = r#"{"generation":GENERATION,"routes":[
{"name":"kept","host":"h.example","path_prefix":"/kept/","route_type":"streaming","timeout_ms":5000,
 "target_latency_ms":250,"priority":0,"backend":"s","max_attempts":2,"retained":true,"retention_s":60.0,
 "resumable":false,"gap_aim_ms":5000},
{"name":"free","host":"h.example","path_prefix":"/free/","route_type":"streaming","timeout_ms":5000,
 "target_latency_ms":250,"priority":1,"backend":"s","max_attempts":2,"resumable":true,"gap_aim_ms":5000}],
"services":[{"name":"s","health_path":"/healthz","max_connections":8,"protocol":"h1","tls":false,
 "engine":{"capacity":32,"kv_capacity":200000,"kv_bytes":131072,"bandwidth_mbps":260000.0,"chunk_tokens":3,
 "models":[{"name":"m"}]}}],"limits":{}}"#;

pub async fn gatekeeper(stores: &Stores, workers: &[&FakeWorker]) -> Gatekeeper {
    let gatekeeper = Gatekeeper::with_workers(workers).await;
    gatekeeper.configure(2, ROUTES);
    gatekeeper.proxy.set_store_map(&stores.map);
    gatekeeper
}

pub fn complete_stream(count: u64) -> Behaviour {
    Behaviour::Send(stream_head() + &events(1, count) + LAST_CHUNK)
}

/// Sends a turn that may emit up to 30 tokens.
pub async fn turn(
    gatekeeper: &Gatekeeper,
    path: &str,
    id: &str,
    budget: u64,
    previous: Option<&str>,
    input: &str,
) -> Option<Message> {
    let previous = previous.map(|id| format!("Previous: {id}\r\n")).unwrap_or_default();
    let headers =
        format!("Program: p1\r\nSession: s1\r\nBudget: {budget}\r\nToken-Usage: 100,30\r\n{previous}");
    gatekeeper.call(&request("POST", path, id, &headers, input)).await
}

#[test]
fn a_worker_receives_all_earlier_turns_also_through_another_gatekeeper() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(2)]).await;
        let first = gatekeeper(&stores, &[&worker]).await;
        let second = gatekeeper(&stores, &[&worker]).await;
        let answer = turn(&first, "/kept/a", "t1", 1000, None, "one").await.expect("a complete answer");
        assert_eq!(answer.body, (event(1) + &event(2)).into_bytes());
        turn(&first, "/kept/a", "t2", 1000, Some("t1"), "two").await.expect("a complete answer");
        turn(&second, "/kept/a", "t3", 1000, Some("t2"), "three").await.expect("a complete answer");
        let output = "piece 1\npiece 2\n";
        assert_eq!(worker.request(0).body, b"one");
        assert_eq!(worker.request(1).body, format!("one{output}two").into_bytes());
        assert_eq!(worker.request(2).body, format!("one{output}two{output}three").into_bytes());
    });
}

#[test]
fn an_unknown_previous_turn_is_answered_404_only_while_the_stores_are_available() {
    run(async {
        let mut stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(2)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        let answer = turn(&gatekeeper, "/kept/a", "t2", 1000, Some("never"), "two").await.expect("an answer");
        assert_eq!(answer.status(), 404);
        stores.stop_all_but(1);
        let answer = turn(&gatekeeper, "/kept/a", "t3", 1000, Some("other"), "two").await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(worker.count(), 0);
    });
}

#[test]
fn the_answer_of_a_turn_that_was_not_stored_is_cut_off() {
    run(async {
        let mut stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(2)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        stores.stop_all_but(1);
        let text = request("POST", "/kept/a", "t1", "", "one");
        assert!(gatekeeper.call(&text).await.is_none(), "the answer is cut off");
        assert_eq!(worker.count(), 1);
    });
}

#[test]
fn a_program_spends_no_more_than_its_budget() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(10)]).await;
        let first = gatekeeper(&stores, &[&worker]).await;
        let second = gatekeeper(&stores, &[&worker]).await;
        let mut spent = 0;
        for number in 0..5 {
            let gatekeeper = if number % 2 == 0 { &first } else { &second };
            let answer = turn(gatekeeper, "/free/a", &format!("t{number}"), 70, None, "x").await;
            let answer = answer.expect("an answer");
            match answer.status() {
                200 => spent += 30,
                status => assert_eq!(status, 402, "turn {number}"),
            }
        }
        assert_eq!(spent, 60, "each turn emits 30 tokens");
        assert_eq!(worker.count(), 2);
    });
}

#[test]
fn units_unused_by_a_turn_can_be_spent_by_the_next() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![not_executed(), complete_stream(1)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        for number in 0..8 {
            let answer = turn(&gatekeeper, "/free/a", &format!("t{number}"), 50, None, "x").await;
            let expected = if number == 0 { 503 } else { 200 };
            assert_eq!(answer.expect("an answer").status(), expected, "turn {number}");
        }
        let answer = turn(&gatekeeper, "/free/a", "t8", 50, None, "x").await.expect("an answer");
        assert_eq!(answer.status(), 402, "29 of 50 tokens are left after 7 events of 3 tokens");
    });
}

#[test]
fn turns_are_answered_503_rather_than_402_while_the_stores_are_unavailable() {
    run(async {
        let mut stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(1)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        stores.stop_all_but(1);
        let answer = turn(&gatekeeper, "/free/a", "t1", 50, None, "x").await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.header("retry-after").is_some());
        assert_eq!(worker.count(), 0);
    });
}

/// Guards against a program that gets more than its budget when a configuration moves its route to another service while the
/// body of a turn is being received: each event counted as one token.
#[test]
fn a_turn_is_counted_by_the_configuration_at_its_arrival() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(10)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        let headers = "Program: p1\r\nSession: s1\r\nBudget: 50\r\nToken-Usage: 100,30\r\n";
        let slow = request("POST", "/free/a", "slow", headers, "input");
        let (head, rest) = slow.split_at(slow.len() - 4);
        let mut socket = gatekeeper.connect().await;
        socket.write_all(head.as_bytes()).await.expect("the proxy reads");
        // The proxy has read the head by the time it has answered a later request.
        let missing = gatekeeper.call(&request("GET", "/missing/a", "other", "", "")).await;
        assert_eq!(missing.expect("an answer").status(), 404);
        gatekeeper.configure(3, &ROUTES.replace("\"s\"", "\"t\""));
        socket.write_all(rest.as_bytes()).await.expect("the proxy reads");
        let answer = Reader::new(&mut socket).message().await.expect("a complete answer");
        assert_eq!((answer.status(), worker.count()), (200, 1), "the service at its arrival runs the turn");
        let next = turn(&gatekeeper, "/free/a", "next", 50, None, "x").await.expect("an answer");
        assert_eq!(next.status(), 402, "20 of 50 tokens are left after 10 events of 3 tokens");
    });
}
