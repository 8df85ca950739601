//! Workers fail in every way that the protocol specifies; no guarantee is violated, and resumable streams complete.

use crate::support::with_deployment;
use fleetlab::tier::{
    client::RequestSpec,
    deployment::{Deployment, MODELS, RECORDS},
    worker::{Fault, WorkerSpec},
};
use std::time::Duration;

const FAULTS: [Fault; 6] = [
    Fault::LoseAnswer,
    Fault::ResetMidAnswer,
    Fault::SecondAnswer,
    Fault::Garbage,
    Fault::Silence,
    Fault::Failure,
];

fn ask(deployment: &Deployment, route: &str) -> RequestSpec {
    let route = deployment.configuration.route(route).expect("a route").clone();
    let body = if route.kind.is_idempotent() { Vec::new() } else { b"once".to_vec() };
    RequestSpec {
        route,
        path: "1".to_owned(),
        body,
        deadline: Duration::from_millis(900),
        retries: 2,
        turn: None,
    }
}

/// Makes the next request at every worker of a service fail.
fn fail_next_requests(deployment: &Deployment, service: &str, fault: Fault) {
    let of_service = deployment.workers.iter().filter(|w| w.spec.service == service);
    of_service.for_each(|w| w.inject_fault(fault));
}

#[test]
fn worker_faults_violate_no_guarantee() {
    with_deployment(async |mut deployment| {
        for fault in FAULTS {
            for (route, service) in
                [("redact", RECORDS), ("lookup", RECORDS), ("trace", MODELS), ("resumable", MODELS)]
            {
                fail_next_requests(&deployment, service, fault);
                let client = deployment.client("zone-1");
                for _ in 0..3 {
                    client.send(&ask(&deployment, route)).await;
                }
            }
        }
        deployment
    });
}

#[test]
fn an_interrupted_resumable_stream_is_completed() {
    with_deployment(async |mut deployment| {
        let model_workers = |d: &Deployment| {
            d.workers.iter().filter(|w| w.spec.service == MODELS).cloned().collect::<Vec<_>>()
        };
        // Each worker in turn interrupts its next stream; the other workers complete it.
        for failing in model_workers(&deployment) {
            failing.inject_fault(Fault::ResetMidAnswer);
            let client = deployment.client("zone-1");
            for _ in 0..4 {
                let reply = client.send(&ask(&deployment, "resumable")).await;
                assert_eq!(reply.status(), 200, "{:?}", reply.outcome);
            }
        }
        deployment
    });
}

#[test]
fn a_crashed_worker_and_another_one_at_its_address_are_distinguished() {
    with_deployment(async |mut deployment| {
        let index = deployment.workers.iter().position(|w| w.spec.service == RECORDS).expect("a worker");
        let crashed = deployment.workers[index].clone();
        crashed.crash();
        let other = deployment.workers.iter().find(|w| w.spec.service == MODELS).expect("a worker");
        let successor = WorkerSpec { address: crashed.address, ..other.spec.clone() };
        deployment.take_over(successor).await;
        let client = deployment.client("zone-1");
        for route in ["lookup", "redact", "trace"] {
            for _ in 0..5 {
                client.send(&ask(&deployment, route)).await;
            }
        }
        deployment
    });
}
