//! Acknowledged data survives a power loss or a lost disk immediately after the acknowledgement, and budgets are never
//! exceeded meanwhile.

use crate::{
    support::{LIMIT, start_conversation, with_deployment},
    view::{store_identity, wait_until_caught_up},
};
use fleetlab::tier::{
    deployment::{Deployment, START_LIMIT},
    program::{Program, ProgramOutcome, ProgramReport},
    settings_file::Class,
};
use tokio::task::JoinHandle;

/// Starts programs that never complete, each with a small budget, at the gatekeepers of both zones.
fn looping_programs(deployment: &mut Deployment, count: usize) -> Vec<JoinHandle<ProgramReport>> {
    let started = (0..count).map(|number| {
        let route = ["dispute", "trace", "resumable"][number % 3];
        let program = deployment.program(&format!("loop-{number}"), route);
        let program = Program { loops: true, budget: 700, ..program };
        let client = deployment.client(["zone-1", "zone-2"][number % 2]);
        tokio::spawn(async move { program.run(&client).await })
    });
    started.collect()
}

#[test]
fn an_acknowledged_configuration_survives_the_disk_of_any_control_process() {
    with_deployment(async |mut deployment| {
        for core in ["core-1", "core-2", "core-3"] {
            deployment.reconfigure(LIMIT).await;
            deployment.tier.wipe(core).await.expect("wiped");
            let read = deployment.operator.read(LIMIT).await.expect("a configuration");
            assert_eq!(read, deployment.configuration.body(), "after {core} lost its disk");
            deployment.tier.start_machine(core).expect("started");
            deployment
                .tier
                .wait_for_log_since_start(core, "votes=4 groups=4 voters=3", LIMIT)
                .await
                .expect("back");
        }
        deployment
    });
}

#[test]
fn a_stored_turn_survives_the_disk_of_any_store() {
    with_deployment(async |mut deployment| {
        for store in ["storage-1", "storage-2", "storage-3"] {
            let old_identity = store_identity(&deployment, store).await;
            let mut conversation = start_conversation(&mut deployment).await;
            deployment.tier.wipe(store).await.expect("wiped");
            conversation.continue_with_turn(&mut deployment).await;
            deployment.tier.start_machine(store).expect("started");
            wait_until_caught_up(&deployment, store, old_identity.0).await;
            conversation.continue_with_turn(&mut deployment).await;
        }
        deployment
    });
}

#[test]
fn budgets_are_enforced_while_gatekeepers_and_stores_are_killed_and_frozen() {
    with_deployment(async |mut deployment| {
        let programs = looping_programs(&mut deployment, 6);
        deployment.tier.restart_role("edge-1", "proxy").await.expect("restarted");
        deployment.tier.kill("storage-1").await.expect("killed");
        deployment.tier.pause("edge-2").expect("frozen");
        deployment.tier.wait_for_gatekeeper("edge-1", START_LIMIT).await.expect("ready again");
        deployment.tier.start_machine("storage-1").expect("started");
        deployment.tier.resume("edge-2").expect("thawed");
        for program in programs {
            program.await.expect("a program that ends");
        }
        // Spent units stay counted: a program that has used up its budget can't complete further turns.
        let program = Program { turns: 30, budget: 700, ..deployment.program("loop-0", "dispute") };
        let outcome = program.run(&deployment.client("zone-1")).await;
        assert_ne!(outcome.outcome, ProgramOutcome::Completed, "{outcome:?}");
        deployment
    });
}

#[test]
fn budgets_are_enforced_after_a_power_loss_of_all_machines() {
    with_deployment(async |mut deployment| {
        let programs = looping_programs(&mut deployment, 4);
        deployment.tier.lose_power().await.expect("back");
        deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("gatekeepers are back");
        for program in programs {
            program.await.expect("a program that ends");
        }
        deployment
    });
}

#[test]
fn machines_that_are_added_serve_requests() {
    with_deployment(async |mut deployment| {
        let mut conversation = start_conversation(&mut deployment).await;
        deployment.tier.add("edge-3", Class::Edge, "zone-3").expect("added");
        deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
        deployment.tier.add("core-4", Class::Core, "zone-2").expect("added");
        deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("ready");
        deployment.tier.wait_for_control(START_LIMIT).await.expect("control answers");
        // The new gatekeeper is the only one in its zone.
        let outcome = deployment.program("new", "dispute").run(&deployment.client("zone-3")).await;
        assert_eq!(outcome.outcome, ProgramOutcome::Completed, "{}", deployment.tier.log_tails());
        let uses_new_store = |map: &opalrun_wire::feed::StoreMap| {
            let new = map.stores.iter().find(|s| s.node_name == "storage-4").map(|s| s.identity);
            map.partitions.iter().any(|p| p.replicas.iter().any(|r| Some(r.store) == new && r.is_complete))
        };
        crate::view::wait_for(&deployment, "a complete replica on the new store", move |view| {
            uses_new_store(&view.store_map).then_some(())
        })
        .await;
        conversation.continue_with_turn(&mut deployment).await;
        deployment
    });
}
