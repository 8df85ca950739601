//! A machine is replaced, and another one loses its disk as soon as that has to be borne again.

use crate::{
    support::{LIMIT, continues_after, with_deployment},
    view::{store_identity, wait_for, wait_until_copied},
};
use fleetlab::tier::{
    deployment::{Deployment, START_LIMIT},
    settings_file::Class,
};
use opalrun_wire::ids::NodeIdentity;

/// Waits until no partition names this store, and all replicas are whole.
async fn wait_until_moved_away(deployment: &Deployment, identity: u64) {
    wait_for(deployment, "a store that holds nothing", move |view| {
        let is_elsewhere = |partition: &opalrun_wire::feed::PartitionReplicas| {
            partition
                .replicas
                .iter()
                .all(|replica| replica.is_complete && replica.store != NodeIdentity(identity))
        };
        let map = &view.store_map;
        (map.partitions.iter().all(is_elsewhere) && !map.partitions.is_empty()).then_some(())
    })
    .await;
}

#[test]
fn a_store_that_ends_as_planned_has_handed_over_before() {
    with_deployment(async |mut deployment| {
        continues_after(&mut deployment, async |deployment| {
            let leaving = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            assert!(
                deployment.tier.terminate("storage-1").await.expect("stopped"),
                "it ends within the grace"
            );
            deployment.tier.remove("storage-1").await.expect("removed");
            let lost = store_identity(deployment, "storage-2").await;
            deployment.tier.wipe("storage-2").await.expect("wiped");
            deployment.tier.start_machine("storage-2").expect("started");
            wait_until_copied(deployment, "storage-2", lost.0).await;
            wait_until_moved_away(deployment, leaving.0).await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_restarted_store_serves_its_partitions_again() {
    with_deployment(async |mut deployment| {
        continues_after(&mut deployment, async |deployment| {
            let identity = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            assert!(
                deployment.tier.terminate("storage-1").await.expect("stopped"),
                "it ends within the grace"
            );
            wait_until_moved_away(deployment, identity.0).await;
            deployment.tier.start_machine("storage-1").expect("started");
            wait_for(deployment, "a store that holds its share again", move |view| {
                let holds = |partition: &opalrun_wire::feed::PartitionReplicas| {
                    partition.replicas.iter().any(|replica| replica.is_complete && replica.store == identity)
                };
                view.store_map.partitions.iter().any(holds).then_some(())
            })
            .await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_store_that_is_gone_without_notice_is_replaced_by_one_that_has_its_partitions_already() {
    with_deployment(async |mut deployment| {
        continues_after(&mut deployment, async |deployment| {
            let gone = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            deployment.tier.remove("storage-1").await.expect("removed");
            wait_until_moved_away(deployment, gone.0).await;
            let lost = store_identity(deployment, "storage-3").await;
            deployment.tier.wipe("storage-3").await.expect("wiped");
            deployment.tier.start_machine("storage-3").expect("started");
            wait_until_copied(deployment, "storage-3", lost.0).await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_control_process_that_ends_as_planned_has_left_its_groups_before() {
    with_deployment(async |mut deployment| {
        deployment.tier.add("core-4", Class::Core, "zone-1").expect("added");
        deployment.tier.wait_for_log("core-4", "votes=4 groups=4 voters=4", LIMIT).await.expect("a member");
        assert!(deployment.tier.terminate("core-1").await.expect("stopped"), "it ends within the grace");
        deployment.tier.remove("core-1").await.expect("removed");
        // Two of three are left. With the one that ended still counted, two of four would decide nothing.
        deployment.tier.wipe("core-2").await.expect("wiped");
        deployment.reconfigure(LIMIT).await;
        deployment.tier.start_machine("core-2").expect("started");
        deployment
            .tier
            .wait_for_log_since_start("core-2", "votes=4 groups=4 voters=3", LIMIT)
            .await
            .expect("let in");
        deployment.tier.kill("core-3").await.expect("killed");
        deployment.reconfigure(LIMIT).await;
        deployment
    });
}

#[test]
fn a_control_process_that_is_only_started_again_is_let_in_again() {
    with_deployment(async |mut deployment| {
        deployment.tier.add("core-4", Class::Core, "zone-1").expect("added");
        deployment.tier.wait_for_log("core-4", "votes=4 groups=4 voters=4", LIMIT).await.expect("a member");
        for core in ["core-1", "core-2"] {
            assert!(deployment.tier.terminate(core).await.expect("stopped"), "{core} ends within the grace");
            deployment.tier.start_machine(core).expect("started");
            deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            let all = "votes=4 groups=4 voters=4";
            deployment.tier.wait_for_log_since_start(core, all, LIMIT).await.expect("let in again");
            deployment.reconfigure(LIMIT).await;
        }
        deployment
    });
}
