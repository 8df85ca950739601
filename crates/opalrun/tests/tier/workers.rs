//! Workers fail in every way that the protocol names; no rule is broken, and programs go on where they may.

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

/// Has the next request at every worker of a service go wrong.
fn all_fail(deployment: &Deployment, service: &str, fault: Fault) {
    let of_service = deployment.workers.iter().filter(|w| w.spec.service == service);
    of_service.for_each(|w| w.inject_fault(fault));
}

#[test]
fn faults_of_workers_break_no_rule() {
    with_deployment(async |mut deployment| {
        for fault in FAULTS {
            for (route, service) in
                [("redact", RECORDS), ("lookup", RECORDS), ("trace", MODELS), ("resumable", MODELS)]
            {
                all_fail(&deployment, service, fault);
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
fn a_broken_stream_that_may_be_resumed_is_complete_at_the_client() {
    with_deployment(async |mut deployment| {
        let worker = |d: &Deployment| {
            d.workers.iter().filter(|w| w.spec.service == MODELS).cloned().collect::<Vec<_>>()
        };
        // Only one of the workers breaks off, whichever gets the stream first.
        for breaking in worker(&deployment) {
            breaking.inject_fault(Fault::ResetMidAnswer);
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
fn a_worker_that_crashes_and_another_one_at_its_address_are_distinguished() {
    with_deployment(async |mut deployment| {
        let plain = deployment.workers.iter().position(|w| w.spec.service == RECORDS).expect("a worker");
        let crashed = deployment.workers[plain].clone();
        crashed.crash();
        let other = deployment.workers.iter().find(|w| w.spec.service == MODELS).expect("a worker");
        let taken = WorkerSpec { address: crashed.address, ..other.spec.clone() };
        deployment.take_over(taken).await;
        let client = deployment.client("zone-1");
        for route in ["lookup", "redact", "trace"] {
            for _ in 0..5 {
                client.send(&ask(&deployment, route)).await;
            }
        }
        deployment
    });
}
