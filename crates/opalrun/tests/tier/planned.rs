//! Planned work: gatekeepers are stopped and told of new settings, workers leave, routes change, all under load.

use crate::support::{LIMIT, play_beside, with_deployment};
use fleetlab::tier::{
    configuration::Route,
    deployment::{MODELS, RECORDS, START_LIMIT},
    observation::RouteKind,
};

#[test]
fn a_gatekeeper_stopped_under_load_finishes_what_it_has() {
    with_deployment(async |mut deployment| {
        play_beside(&mut deployment, async |deployment| {
            assert!(
                deployment.tier.terminate("edge-1").await.expect("stopped"),
                "it ends well within the grace"
            );
            deployment.tier.start_machine("edge-1").expect("started");
            deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("ready again");
        })
        .await;
        deployment
    });
}

#[test]
fn control_and_stores_stopped_in_turn_are_not_missed() {
    with_deployment(async |mut deployment| {
        for machine in ["core-1", "storage-1", "core-2"] {
            play_beside(&mut deployment, async |deployment| {
                assert!(deployment.tier.terminate(machine).await.expect("stopped"), "{machine} ends well");
                deployment.tier.start_machine(machine).expect("started");
                deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            })
            .await;
        }
        deployment
    });
}

#[test]
fn new_settings_interrupt_no_request() {
    with_deployment(async |mut deployment| {
        play_beside(&mut deployment, async |deployment| {
            for machine in deployment.tier.names() {
                deployment.tier.reload(&machine).expect("told");
            }
        })
        .await;
        deployment
    });
}

#[test]
fn workers_that_leave_get_nothing_after_their_time() {
    with_deployment(async |mut deployment| {
        play_beside(&mut deployment, async |deployment| {
            let leaving: Vec<_> = deployment.workers.iter().take(2).cloned().collect();
            deployment.add_worker(MODELS).expect("a worker");
            deployment.add_worker(RECORDS).expect("a worker");
            let ended = tokio::join!(leaving[0].leave(LIMIT), leaving[1].leave(LIMIT));
            assert_eq!(ended, (true, true), "both were acknowledged");
        })
        .await;
        deployment
    });
}

#[test]
fn routes_come_and_go() {
    with_deployment(async |mut deployment| {
        let first = deployment.configuration.routes.clone();
        let mut more = first.clone();
        more.push(Route::new("added", "/added/", RouteKind::Safe, RECORDS));
        assert_eq!(deployment.configure(more, LIMIT).await, 200);
        deployment.wait_until_serving().await.expect("the added route is served");
        assert_eq!(deployment.configure(first, LIMIT).await, 200);
        deployment.wait_until_serving().await.expect("the others still are");
        deployment
    });
}
