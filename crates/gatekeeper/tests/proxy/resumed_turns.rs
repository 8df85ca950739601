//! Tests of retained turns whose clients take the stream up again with `Last-Event-Id`, at a gatekeeper that has not
//! relayed the events before it.

use crate::{
    fakes::{
        Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, Message, Reader, event, events, request, run,
        stream_head,
    },
    programs::complete_stream,
    stores::Stores,
};
use tokio::io::AsyncWriteExt;

/// A route whose turns are retained and whose streams can be resumed.
const ROUTES: &str = r#"{"generation":GENERATION,"routes":[
{"name":"kept","host":"h.example","path_prefix":"/kept/","route_type":"streaming","timeout_ms":5000,
 "target_latency_ms":250,"priority":0,"backend":"s","max_attempts":2,"retained":true,"retention_s":60.0,
 "resumable":true,"gap_aim_ms":5000}],
"services":[{"name":"s","health_path":"/healthz","max_connections":8,"protocol":"h1","tls":false,
 "engine":{"capacity":32,"kv_capacity":200000,"kv_bytes":131072,"bandwidth_mbps":260000.0,"chunk_tokens":3,
 "models":[{"name":"m"}]}}],"limits":{}}"#;

async fn gatekeeper(stores: &Stores, workers: &[&FakeWorker]) -> Gatekeeper {
    let gatekeeper = Gatekeeper::with_workers(workers).await;
    gatekeeper.configure(2, ROUTES);
    gatekeeper.proxy.set_store_map(&stores.map);
    gatekeeper
}

/// Returns a turn that continues `previous`, and whose client has the events up to `last_event`.
fn turn_request(id: &str, previous: Option<&str>, last_event: Option<&str>, input: &str) -> String {
    let previous = previous.map(|id| format!("Previous: {id}\r\n")).unwrap_or_default();
    let last_event = last_event.map(|id| format!("Last-Event-Id: {id}\r\n")).unwrap_or_default();
    let headers =
        format!("Program: p1\r\nSession: s1\r\nBudget: 66\r\nToken-Usage: 100,30\r\n{previous}{last_event}");
    request("POST", "/kept/a", id, &headers, input)
}

async fn continue_turn(gatekeeper: &Gatekeeper, previous: &str) -> Message {
    let next = turn_request("next", Some(previous), None, "two");
    gatekeeper.call(&next).await.expect("a complete answer")
}

fn event_bytes(from: u64, to: u64) -> Vec<u8> {
    (from..=to).map(event).collect::<String>().into_bytes()
}

/// Guards against a conversation that loses the events that its client had before it took the stream up again.
#[test]
fn a_turn_taken_up_by_its_client_is_stored_from_its_first_event() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(4)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        let taken_up = turn_request("t1", None, Some("2"), "one");
        let answer = gatekeeper.call(&taken_up).await.expect("a complete answer");
        assert_eq!(answer.body, event_bytes(3, 4), "the client gets only what it has not");
        assert_eq!(worker.request(0).header("last-event-id"), None);
        continue_turn(&gatekeeper, "t1").await;
        assert_eq!(worker.request(1).body, b"onepiece 1\npiece 2\npiece 3\npiece 4\ntwo");
    });
}

/// Guards against a stored turn without the first events when the worker fails as well and the stream is resumed, also
/// before the event that the client stated.
#[test]
fn a_turn_taken_up_by_its_client_and_resumed_at_another_worker_is_stored_from_its_first_event() {
    for received in [1, 3] {
        run(async {
            let stores = Stores::start().await;
            let broken = Behaviour::SendAndClose(stream_head() + &events(1, received));
            let killed = FakeWorker::start("w1", vec![broken]).await;
            let gatekeeper = gatekeeper(&stores, &[&killed]).await;
            let rest = Behaviour::Send(stream_head() + &events(received + 1, 4) + LAST_CHUNK);
            let finishing = FakeWorker::start("w2", vec![rest, complete_stream(1)]).await;
            let mut socket = gatekeeper.connect().await;
            let taken_up = turn_request("t1", None, Some("2"), "one");
            socket.write_all(taken_up.as_bytes()).await.expect("the proxy reads");
            killed.request_received.notified().await;
            gatekeeper.set_ready_workers(&[&killed, &finishing]);
            let answer = Reader::new(&mut socket).message().await.expect("a complete answer");
            assert_eq!(answer.body, event_bytes(3, 4), "{received} events received");
            assert_eq!(finishing.request(0).header("last-event-id"), Some(&*received.to_string()));
            gatekeeper.set_ready_workers(&[&finishing]);
            continue_turn(&gatekeeper, "t1").await;
            assert_eq!(finishing.request(1).body, b"onepiece 1\npiece 2\npiece 3\npiece 4\ntwo");
        });
    }
}

/// Guards against a worker that reads an id which the gatekeeper can't read, and begins after it.
#[test]
fn a_retained_turn_with_an_unreadable_last_event_is_relayed_and_stored_from_its_first_event() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(2)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        let taken_up = turn_request("t1", None, Some("e-1"), "one");
        let answer = gatekeeper.call(&taken_up).await.expect("a complete answer");
        assert_eq!(answer.body, event_bytes(1, 2));
        assert_eq!(worker.request(0).header("last-event-id"), None);
    });
}

/// The client of a turn that was taken up receives only the later events, so only these count against the budget.
#[test]
fn events_that_the_client_already_had_are_not_counted_again() {
    run(async {
        let stores = Stores::start().await;
        let worker = FakeWorker::start("w1", vec![complete_stream(10)]).await;
        let gatekeeper = gatekeeper(&stores, &[&worker]).await;
        for id in ["t1", "t2"] {
            let taken_up = turn_request(id, None, Some("4"), "one");
            assert_eq!(gatekeeper.call(&taken_up).await.expect("an answer").status(), 200);
        }
        assert_eq!(continue_turn(&gatekeeper, "t2").await.status(), 200, "30 of 66 tokens are left");
        let spent = turn_request("t4", None, None, "one");
        assert_eq!(gatekeeper.call(&spent).await.expect("an answer").status(), 402);
    });
}
