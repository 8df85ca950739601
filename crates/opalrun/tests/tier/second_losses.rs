//! A machine is replaced, and another machine loses its disk as soon as the tier must tolerate a further failure.

use crate::{
    support::{LIMIT, continue_conversation_after, with_deployment},
    view::{store_identity, wait_for, wait_until_caught_up},
};
use fleetlab::tier::{
    deployment::{Deployment, START_LIMIT},
    settings_file::Class,
};
use opalrun_wire::ids::NodeIdentity;

/// Waits until no partition has a replica on this store, and all replicas are complete.
async fn wait_until_moved(deployment: &Deployment, identity: u64) {
    wait_for(deployment, "a store map without the store", move |view| {
        let is_moved = |partition: &opalrun_wire::feed::PartitionReplicas| {
            partition
                .replicas
                .iter()
                .all(|replica| replica.is_complete && replica.store != NodeIdentity(identity))
        };
        let map = &view.store_map;
        (map.partitions.iter().all(is_moved) && !map.partitions.is_empty()).then_some(())
    })
    .await;
}

#[test]
fn a_terminated_store_moves_its_replicas_before_it_exits() {
    with_deployment(async |mut deployment| {
        continue_conversation_after(&mut deployment, async |deployment| {
            let leaving = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            assert!(
                deployment.tier.terminate("storage-1").await.expect("stopped"),
                "storage-1 exits within the grace period"
            );
            deployment.tier.remove("storage-1").await.expect("removed");
            let lost = store_identity(deployment, "storage-2").await;
            deployment.tier.wipe("storage-2").await.expect("wiped");
            deployment.tier.start_machine("storage-2").expect("started");
            wait_until_caught_up(deployment, "storage-2", lost.0).await;
            wait_until_moved(deployment, leaving.0).await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_restarted_store_gets_replicas_again() {
    with_deployment(async |mut deployment| {
        continue_conversation_after(&mut deployment, async |deployment| {
            let identity = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            assert!(
                deployment.tier.terminate("storage-1").await.expect("stopped"),
                "storage-1 exits within the grace period"
            );
            wait_until_moved(deployment, identity.0).await;
            deployment.tier.start_machine("storage-1").expect("started");
            wait_for(deployment, "a complete replica on the restarted store", move |view| {
                let has_replica = |partition: &opalrun_wire::feed::PartitionReplicas| {
                    partition.replicas.iter().any(|replica| replica.is_complete && replica.store == identity)
                };
                view.store_map.partitions.iter().any(has_replica).then_some(())
            })
            .await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_store_removed_without_notice_is_replaced_before_another_loses_its_disk() {
    with_deployment(async |mut deployment| {
        continue_conversation_after(&mut deployment, async |deployment| {
            let removed = store_identity(deployment, "storage-1").await;
            deployment.tier.add("storage-4", Class::Storage, "zone-1").expect("added");
            store_identity(deployment, "storage-4").await;
            deployment.tier.remove("storage-1").await.expect("removed");
            wait_until_moved(deployment, removed.0).await;
            let lost = store_identity(deployment, "storage-3").await;
            deployment.tier.wipe("storage-3").await.expect("wiped");
            deployment.tier.start_machine("storage-3").expect("started");
            wait_until_caught_up(deployment, "storage-3", lost.0).await;
        })
        .await;
        deployment
    });
}

#[test]
fn a_terminated_control_process_leaves_its_groups_before_it_exits() {
    with_deployment(async |mut deployment| {
        deployment.tier.add("core-4", Class::Core, "zone-1").expect("added");
        deployment.tier.wait_for_log("core-4", "votes=4 groups=4 voters=4", LIMIT).await.expect("a member");
        assert!(
            deployment.tier.terminate("core-1").await.expect("stopped"),
            "core-1 exits within the grace period"
        );
        deployment.tier.remove("core-1").await.expect("removed");
        // Two of three voters remain, a majority. If the terminated process were still a voter, two of four would not be.
        deployment.tier.wipe("core-2").await.expect("wiped");
        deployment.reconfigure(LIMIT).await;
        deployment.tier.start_machine("core-2").expect("started");
        deployment
            .tier
            .wait_for_log_since_start("core-2", "votes=4 groups=4 voters=3", LIMIT)
            .await
            .expect("a voter again");
        deployment.tier.kill("core-3").await.expect("killed");
        deployment.reconfigure(LIMIT).await;
        deployment
    });
}

#[test]
fn a_restarted_control_process_joins_its_groups_again() {
    with_deployment(async |mut deployment| {
        deployment.tier.add("core-4", Class::Core, "zone-1").expect("added");
        deployment.tier.wait_for_log("core-4", "votes=4 groups=4 voters=4", LIMIT).await.expect("a member");
        for core in ["core-1", "core-2"] {
            assert!(
                deployment.tier.terminate(core).await.expect("stopped"),
                "{core} exits within the grace period"
            );
            deployment.tier.start_machine(core).expect("started");
            deployment.tier.wait_for_control(START_LIMIT).await.expect("control is back");
            let all = "votes=4 groups=4 voters=4";
            deployment.tier.wait_for_log_since_start(core, all, LIMIT).await.expect("a voter again");
            deployment.reconfigure(LIMIT).await;
        }
        deployment
    });
}
