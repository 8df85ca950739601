//! Planned operations under load: machines are stopped, settings are reloaded, workers leave, routes change.

use crate::support::{LIMIT, run_programs_during, with_deployment};
use fleetlab::tier::{
    configuration::Route,
    deployment::{MODELS, RECORDS, START_LIMIT},
    observation::RouteKind,
};

#[test]
fn a_gatekeeper_stopped_under_load_completes_its_requests() {
    with_deployment(async |mut deployment| {
        run_programs_during(&mut deployment, async |deployment| {
            assert!(
                deployment.tier.terminate("edge-1").await.expect("stopped"),
                "the gatekeeper exits successfully within the grace period"
            );
            deployment.tier.start_machine("edge-1").expect("started");
            deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("ready again");
        })
        .await;
        deployment
    });
}

#[test]
fn stopping_control_processes_and_stores_in_turn_has_no_effect_on_programs() {
    with_deployment(async |mut deployment| {
        for machine in ["core-1", "storage-1", "core-2"] {
            run_programs_during(&mut deployment, async |deployment| {
                assert!(
                    deployment.tier.terminate(machine).await.expect("stopped"),
                    "{machine} exits successfully"
                );
                deployment.tier.start_machine(machine).expect("started");
                deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            })
            .await;
        }
        deployment
    });
}

#[test]
fn reloading_settings_interrupts_no_request() {
    with_deployment(async |mut deployment| {
        run_programs_during(&mut deployment, async |deployment| {
            for machine in deployment.tier.names() {
                deployment.tier.reload(&machine).expect("signalled");
            }
        })
        .await;
        deployment
    });
}

#[test]
fn leaving_workers_get_no_requests_after_the_drain_time() {
    with_deployment(async |mut deployment| {
        run_programs_during(&mut deployment, async |deployment| {
            let leaving: Vec<_> = deployment.workers.iter().take(2).cloned().collect();
            deployment.add_worker(MODELS).expect("a worker");
            deployment.add_worker(RECORDS).expect("a worker");
            let ended = tokio::join!(leaving[0].leave(LIMIT), leaving[1].leave(LIMIT));
            assert_eq!(ended, (true, true), "both departures are acknowledged");
        })
        .await;
        deployment
    });
}

#[test]
fn a_route_is_added_and_removed() {
    with_deployment(async |mut deployment| {
        let first = deployment.configuration.routes.clone();
        let mut more = first.clone();
        more.push(Route::new("added", "/added/", RouteKind::Safe, RECORDS));
        assert_eq!(deployment.configure(more, LIMIT).await, 200);
        deployment.wait_until_serving().await.expect("the added route is served");
        assert_eq!(deployment.configure(first, LIMIT).await, 200);
        deployment.wait_until_serving().await.expect("the remaining routes are served");
        deployment
    });
}
