//! Tests of conversations whose earlier turns take much of the proxy's memory.

use crate::{
    fakes::{Behaviour, FakeWorker, Gatekeeper, LAST_CHUNK, request, run, settings, stream_head},
    programs::{ROUTES, complete_stream, turn},
    stores::Stores,
};
use std::{fmt::Write, time::Instant};
use tokio::io::AsyncWriteExt;

/// Memory of the proxy, of which a quarter is for turns, in megabytes.
const MEMORY_MB: f64 = 8.0;
/// Length of each input; three turns fit into the memory for turns.
const INPUT_BYTES: usize = 600_000;

async fn gatekeeper(stores: &Stores, worker: &FakeWorker) -> Gatekeeper {
    let mut settings = settings();
    settings.limits.memory_mb = MEMORY_MB;
    let gatekeeper = Gatekeeper::start_with(settings).await;
    gatekeeper.configure(1, ROUTES);
    gatekeeper.set_ready_workers(&[worker]);
    gatekeeper.proxy.confirm_freshness(Instant::now());
    gatekeeper.proxy.set_store_map(&stores.map);
    gatekeeper
}

/// Sends two turns of a conversation. Returns the id of the second.
async fn hold_conversation(gatekeeper: &Gatekeeper, name: &str) -> String {
    let input = "x".repeat(INPUT_BYTES);
    let (first, second) = (format!("{name}-1"), format!("{name}-2"));
    turn(gatekeeper, "/kept/a", &first, 1000, None, &input).await.expect("a complete answer");
    turn(gatekeeper, "/kept/a", &second, 1000, Some(&first), &input).await.expect("a complete answer");
    second
}

/// Guards against a proxy that exceeds its memory by the conversations of its requests: those that find no memory are
/// rejected, and served once others have ended.
#[test]
fn a_turn_is_rejected_while_other_conversations_take_the_memory_for_turns() {
    run(async {
        let stores = Stores::start().await;
        let mut behaviours = vec![complete_stream(1); 4];
        behaviours.extend([Behaviour::NeverAnswer, complete_stream(1)]);
        let worker = FakeWorker::start("w1", behaviours).await;
        let gatekeeper = gatekeeper(&stores, &worker).await;
        let first = hold_conversation(&gatekeeper, "a").await;
        let second = hold_conversation(&gatekeeper, "b").await;

        let headers = format!("Previous: {first}\r\n");
        let waiting = request("POST", "/kept/a", "waits", &headers, "x");
        let mut socket = gatekeeper.connect().await;
        socket.write_all(waiting.as_bytes()).await.expect("the proxy reads");
        while worker.count() < 5 {
            worker.request_received.notified().await;
        }
        let rejected = turn(&gatekeeper, "/kept/a", "t1", 1000, Some(&second), "x").await.expect("an answer");
        assert_eq!(rejected.status(), 503);
        assert!(rejected.header("retry-after").is_some());
        assert_eq!(worker.count(), 5, "a rejected turn is not run");

        let sharing = turn(&gatekeeper, "/kept/a", "t2", 1000, Some(&first), "x").await.expect("an answer");
        assert_eq!(sharing.status(), 200, "the same conversation takes no further memory");

        drop(socket);
        let mut number = 3;
        loop {
            let answer = turn(&gatekeeper, "/kept/a", &format!("t{number}"), 1000, Some(&second), "x").await;
            if answer.expect("an answer").status() == 200 {
                break;
            }
            number += 1;
            assert!(number < 10_000, "the memory of a request that has ended is free");
        }
    });
}

/// Guards against a proxy that exceeds its memory by the answers of retained turns, which it keeps until they are stored.
#[test]
fn the_answer_of_a_turn_whose_output_exceeds_the_memory_for_turns_is_cut_off() {
    run(async {
        const EVENTS: u64 = 12;
        const EVENT_BYTES: usize = 200_000;
        let stores = Stores::start().await;
        let data = "x".repeat(EVENT_BYTES);
        let mut stream = stream_head();
        for id in 1..=EVENTS {
            let event = format!("id: {id}\ndata: {data}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len()).expect("a string takes all");
        }
        let long = Behaviour::Send(stream + LAST_CHUNK);
        let worker = FakeWorker::start("w1", vec![long, complete_stream(1)]).await;
        let gatekeeper = gatekeeper(&stores, &worker).await;
        assert!(turn(&gatekeeper, "/kept/a", "t1", 1000, None, "x").await.is_none(), "the answer is cut off");
        let next = turn(&gatekeeper, "/kept/a", "t2", 1000, None, "x").await.expect("an answer");
        assert_eq!(next.status(), 200, "the memory of the turn is free again");
    });
}
