//! Machines are killed, frozen, wiped, replaced and lose power while programs are running.

use crate::{
    support::{LIMIT, continue_conversation_after, run_programs_during, with_deployment, with_spec},
    view::{store_identity, wait_until_caught_up},
};
use fleetlab::tier::{
    deployment::START_LIMIT, fleet::TierSpec, program::ProgramOutcome, settings_file::Class,
};
use std::{sync::Arc, time::Duration};

#[test]
fn a_killed_control_process_restarts_without_data_loss() {
    with_deployment(async |mut deployment| {
        for core in ["core-1", "core-2", "core-3"] {
            run_programs_during(&mut deployment, async |deployment| {
                deployment.tier.kill(core).await.expect("killed");
                deployment.reconfigure(LIMIT).await;
                deployment.tier.start_machine(core).expect("started");
                deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            })
            .await;
        }
        deployment
    });
}

#[test]
fn conversations_continue_while_a_killed_store_restarts() {
    with_deployment(async |mut deployment| {
        for store in ["storage-1", "storage-2", "storage-3"] {
            continue_conversation_after(&mut deployment, async |deployment| {
                deployment.tier.kill(store).await.expect("killed");
                let outcome = deployment.program("beside", "dispute").run(&deployment.client("zone-1")).await;
                assert_eq!(outcome.outcome, ProgramOutcome::Completed, "two of three stores are enough");
                deployment.tier.start_machine(store).expect("started");
            })
            .await;
        }
        deployment
    });
}

#[test]
fn a_store_that_lost_its_disk_catches_up_before_another_loses_its_disk() {
    with_deployment(async |mut deployment| {
        continue_conversation_after(&mut deployment, async |deployment| {
            for store in ["storage-1", "storage-2"] {
                let old_identity = store_identity(deployment, store).await;
                deployment.tier.wipe(store).await.expect("wiped");
                deployment.tier.start_machine(store).expect("started");
                wait_until_caught_up(deployment, store, old_identity.0).await;
            }
        })
        .await;
        deployment
    });
}

#[test]
fn a_killed_proxy_and_a_killed_agent_restart() {
    with_deployment(async |mut deployment| {
        for role in ["agent", "proxy"] {
            continue_conversation_after(&mut deployment, async |deployment| {
                deployment.tier.restart_role("edge-1", role).await.expect("restarted");
                deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("ready again");
            })
            .await;
        }
        deployment
    });
}

#[test]
fn a_thawed_control_process_does_not_revert_the_configuration() {
    with_deployment(async |mut deployment| {
        for core in ["core-1", "core-2", "core-3"] {
            deployment.tier.pause(core).expect("frozen");
            deployment.reconfigure(LIMIT).await;
            deployment.tier.resume(core).expect("thawed");
            deployment.reconfigure(LIMIT).await;
        }
        let read = deployment.operator.read(LIMIT).await.expect("a configuration");
        assert_eq!(read, deployment.configuration.body());
        deployment
    });
}

#[test]
fn a_power_loss_of_all_machines_loses_nothing() {
    with_deployment(async |mut deployment| {
        deployment.reconfigure(LIMIT).await;
        continue_conversation_after(&mut deployment, async |deployment| {
            deployment.tier.lose_power().await.expect("back");
            deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            let read = deployment.operator.read(LIMIT).await.expect("a configuration");
            assert_eq!(read, deployment.configuration.body());
            deployment.tier.wait_for_gatekeepers(START_LIMIT).await.expect("gatekeepers are back");
        })
        .await;
        deployment
    });
}

#[test]
fn a_control_machine_is_replaced_by_an_empty_one() {
    with_deployment(async |mut deployment| {
        deployment.tier.remove("core-1").await.expect("removed");
        deployment.tier.add("core-4", Class::Core, "zone-1").expect("added");
        deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
        deployment.reconfigure(LIMIT).await;
        // The new process is a voter of all groups, so another control process may fail.
        deployment
            .tier
            .wait_for_log("core-4", "votes=4 groups=4 voters=3", LIMIT)
            .await
            .expect("in place of core-1");
        deployment.tier.kill("core-2").await.expect("killed");
        deployment.reconfigure(LIMIT).await;
        deployment
    });
}

#[test]
fn a_store_is_retired_and_removed() {
    let spec = TierSpec { storages: 4, ..TierSpec::default() };
    with_spec(spec, async |mut deployment| {
        continue_conversation_after(&mut deployment, async |deployment| {
            assert_eq!(deployment.operator.retire("nobody", LIMIT).await, 404);
            assert_eq!(deployment.operator.retire("storage-1", LIMIT).await, 200);
            assert!(
                deployment.operator.wait_until_retired("storage-1", LIMIT).await,
                "the data is moved in time"
            );
            deployment.tier.remove("storage-1").await.expect("removed");
            assert_eq!(
                deployment.operator.retire("storage-2", LIMIT).await,
                409,
                "too few stores would remain"
            );
        })
        .await;
        deployment
    });
}

#[test]
fn a_lost_acknowledgement_and_concurrent_changes_have_one_outcome() {
    with_deployment(async |deployment| {
        let current = deployment.configuration.generation;
        let body = Arc::new(deployment.configuration.at(current + 2).body());
        deployment.operator.configure_and_lose_answer(&body, current).await;
        assert_eq!(deployment.operator.configure(&body, current, true, LIMIT).await, 200, "sent again");
        let without_route = |route: usize| {
            let mut change = deployment.configuration.at(current + 4);
            change.routes.remove(route);
            Arc::new(change.body())
        };
        let (one, two) = (without_route(1), without_route(2));
        let other = fleetlab::tier::operator::Operator::new(
            deployment.tier.log.clone(),
            deployment.tier.controls.clone(),
            1,
        );
        let statuses = tokio::join!(
            deployment.operator.configure(&one, current + 2, true, LIMIT),
            other.configure(&two, current + 2, true, LIMIT)
        );
        assert!(matches!(statuses, (200, 412) | (412, 200)), "{statuses:?}");
        let accepted = if statuses.0 == 200 { one } else { two };
        assert_eq!(deployment.operator.read(LIMIT).await.as_ref(), Some(&*accepted));
        deployment
    });
}

#[test]
fn an_invalid_configuration_is_rejected_and_never_applied() {
    with_deployment(async |mut deployment| {
        let current = deployment.configuration.generation;
        let mut change = deployment.configuration.at(current + 2);
        change.routes[0].timeout = Duration::ZERO;
        let status = deployment.operator.configure(&Arc::new(change.body()), current, false, LIMIT).await;
        assert_eq!(status, 400);
        deployment.reconfigure(LIMIT).await;
        deployment
    });
}
