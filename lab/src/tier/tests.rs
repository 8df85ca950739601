//! Tests of the simulated participants without a tier: clients connect to workers as if these were gatekeepers.

use super::{
    client::{Client, RequestSpec},
    configuration::{Configuration, Route},
    judge::{Bounds, Rule, judge},
    observation::{Departure, Log, Observation, Outcome, RouteKind},
    operator::Operator,
    peer::Peer,
    platform::{Entry, Platform},
    worker::{Fault, Work, Worker, WorkerSpec, engine::EngineSpec, registration::ControlAddresses},
};
use crate::http;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::net::TcpListener;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;
const LIMIT: Duration = Duration::from_secs(5);
const STREAMING: RouteKind = RouteKind::Streaming { resumable: false };
const ENGINE: EngineSpec = EngineSpec {
    capacity: 2,
    queue: 1,
    kv_capacity: 1000,
    chunk_tokens: 3,
    step: Duration::from_millis(1),
    step_per_running: Duration::ZERO,
    prefill_per_step: 100,
};
const PLAIN: Work = Work::Plain { capacity: 1, queue: 1, work: Duration::from_millis(5), answer_bytes: 200 };

/// Starts a control process that acknowledges every request and records it.
async fn control() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("a port");
    let (address, received) = (listener.local_addr().expect("an address"), Arc::new(Mutex::new(Vec::new())));
    let lines = received.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut peer = Peer::new(stream);
            let Ok(Some(message)) = peer.read_message().await else { continue };
            let text = String::from_utf8_lossy(&message.body).into_owned();
            lines.lock().expect("the list").push(format!("{} {text}", message.line));
            let _ = peer.write(&http::answer(200, "", b"{}")).await;
        }
    });
    (address, received)
}

/// A worker to which clients connect directly.
struct World {
    log: Log,
    worker: Arc<Worker>,
    platform: Platform,
    route: Route,
    received: Arc<Mutex<Vec<String>>>,
}

impl World {
    async fn new(kind: RouteKind, work: Work) -> Self {
        let (control, received) = control().await;
        let (log, controls) = (Log::default(), ControlAddresses::default());
        controls.set(vec![control]);
        let spec = WorkerSpec {
            service: "service".to_owned(),
            zone: "zone-1".to_owned(),
            address: (LOCAL, 0).into(),
            work,
            max_connections: 8,
            heartbeat: Duration::from_millis(20),
            drain: Duration::ZERO,
        };
        let worker = Worker::start("i-1", spec, controls.clone(), log.clone()).expect("a worker");
        let platform = Platform::new();
        let (machine, zone) = ("edge-1".to_owned(), "zone-1".to_owned());
        platform.add(Entry { machine, zone, frontend: worker.address, readiness: worker.address });
        let route = Route::new("route", "/route/", kind, "service");
        let configuration =
            Configuration { generation: 1, routes: vec![route.clone()], services: Vec::new() };
        let operator = Operator::new(log.clone(), controls, 0);
        assert_eq!(operator.configure(&Arc::new(configuration.body()), 0, true, LIMIT).await, 200);
        Self { log, worker, platform, route, received }
    }

    fn client(&self) -> Client {
        Client::new(self.log.clone(), self.platform.clone(), "zone-1", 1)
    }

    fn request_spec(&self) -> RequestSpec {
        let (route, path, body) = (self.route.clone(), "1".to_owned(), b"what?".to_vec());
        RequestSpec { route, path, body, deadline: Duration::from_millis(500), retries: 0, turn: None }
    }

    async fn outcome(&self, fault: Option<Fault>) -> Outcome {
        if let Some(fault) = fault {
            self.worker.inject_fault(fault);
        }
        self.client().send(&self.request_spec()).await.outcome
    }

    fn rules(&self) -> Vec<Rule> {
        judge(&self.log.observations(), &Bounds::default()).into_iter().map(|b| b.rule).collect()
    }
}

fn status(outcome: &Outcome) -> u16 {
    if let Outcome::Answered { status, .. } = outcome { *status } else { 0 }
}

#[tokio::test]
async fn a_plain_worker_responds_and_injects_each_fault() {
    let world = World::new(RouteKind::Unsafe, PLAIN).await;
    assert_eq!(status(&world.outcome(None).await), 200);
    assert_eq!(status(&world.outcome(Some(Fault::Failure)).await), 500);
    assert_eq!(status(&world.outcome(Some(Fault::SecondAnswer)).await), 200);
    let closed = Outcome::Closed { request_written: true };
    assert_eq!(world.outcome(Some(Fault::LoseAnswer)).await, closed);
    assert_eq!(world.outcome(Some(Fault::Garbage)).await, Outcome::Malformed);
    assert_eq!(world.outcome(Some(Fault::Silence)).await, Outcome::TimedOut);
    assert!(matches!(world.outcome(Some(Fault::ResetMidAnswer)).await, Outcome::Interrupted { .. }));
    assert_eq!(world.rules(), []);
}

#[tokio::test]
async fn a_model_worker_streams_and_interrupts_its_stream_on_injected_faults() {
    let world = World::new(STREAMING, Work::Model(ENGINE)).await;
    let reply = world.client().send(&world.request_spec()).await;
    assert_eq!(reply.status(), 200);
    let ids: Vec<u64> = reply.events.iter().map(|e| e.id).collect();
    assert!(!ids.is_empty() && ids.iter().zip(1..).all(|(id, wanted)| *id == wanted), "{ids:?}");
    assert!(matches!(world.outcome(Some(Fault::ResetMidAnswer)).await, Outcome::Interrupted { .. }));
    assert!(matches!(world.outcome(Some(Fault::LoseAnswer)).await, Outcome::Interrupted { .. }));
    assert_eq!(world.rules(), []);
}

#[tokio::test]
async fn a_full_worker_rejects_requests_without_running_them() {
    let world = World::new(RouteKind::Unsafe, PLAIN).await;
    let client = world.client();
    let requests = (0..6).map(|_| {
        let (client, request) = (client.clone(), world.request_spec());
        tokio::spawn(async move { client.send(&request).await.status() })
    });
    let mut statuses = Vec::new();
    for request in requests.collect::<Vec<_>>() {
        statuses.push(request.await.expect("a status"));
    }
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    assert_eq!(world.rules(), []);
}

#[tokio::test]
async fn a_leaving_worker_announces_draining_and_then_deregisters() {
    let world = World::new(RouteKind::Safe, PLAIN).await;
    assert!(world.worker.leave(LIMIT).await);
    let leaves = world.log.observations().into_iter().filter_map(|s| match s.observation {
        Observation::DepartureAcknowledged { departure, .. } => Some(departure),
        _ => None,
    });
    assert_eq!(leaves.collect::<Vec<_>>(), [Departure::Draining, Departure::Deregistered]);
    let received = world.received.lock().expect("the list");
    let last = received.iter().rev().take(2).map(String::as_str).collect::<Vec<_>>();
    assert!(last[0].starts_with("DELETE /opalrun/instances/i-1"), "{last:?}");
    assert!(last[1].contains("\"state\":\"draining\""), "{last:?}");
}

#[tokio::test]
async fn a_worker_rejects_requests_for_an_earlier_worker_at_its_address() {
    let world = World::new(RouteKind::Safe, PLAIN).await;
    let headers = [("Request-Id", "a".to_owned()), ("Expect-Instance", "i-0".to_owned())];
    let answer = super::peer::call(world.worker.address, "GET", "/route/1", &headers, b"", LIMIT).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status(), answer.header("instance-id")), (421, Some("i-1")));
    let ran =
        |seen: &super::observation::TimedObservation| matches!(seen.observation, Observation::Ran { .. });
    assert!(!world.log.observations().iter().any(ran));
}

#[tokio::test]
async fn the_platform_uses_all_gatekeepers_of_a_zone_without_a_ready_one() {
    let world = World::new(RouteKind::Safe, PLAIN).await;
    // A worker has no readiness endpoint: it responds 404 or 400, not 200, so the check fails.
    world.platform.check(LIMIT).await;
    assert!(world.platform.ready().is_empty());
    assert!(
        world.platform.choose("zone-1", 7).is_some(),
        "with less than half of a zone ready, all its gatekeepers are used"
    );
    assert!(
        world.platform.choose("zone-9", 7).is_none(),
        "no gatekeeper in the zone and no ready one elsewhere"
    );
}
