//! Several control processes over loopback, in one test process: requests and heartbeats at any of them, stopped processes,
//! lost disks and new machines.

mod support;

use opalrun_control::{Control, shards::SHARDS};
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, Change, FeedUpdate, PartitionReplicas, WorkerState},
    ids::{NodeIdentity, Shard},
};
use std::{collections::BTreeSet, net::SocketAddr};
use support::{
    FeedCaller, Machine, call, configuration, heartbeat, heartbeat_answer, machines, put_configuration,
    read_configuration, run_local, run_store,
};

async fn start_all(machines: &[Machine]) -> Vec<Control> {
    let mut controls = Vec::new();
    for machine in machines {
        controls.push(machine.start().await);
    }
    controls
}

fn addresses(machines: &[Machine]) -> Vec<SocketAddr> {
    machines.iter().map(Machine::api).collect()
}

fn owner_of_configuration(controls: &[Control]) -> Option<usize> {
    controls.iter().position(|control| control.process().host().is_owner(CONFIGURATION_SHARD))
}

/// Waits until the voters of all groups are exactly these processes. The condition is checked at each update of the feed.
async fn wait_for_voters(observer: &Control, gatekeeper: &mut FeedCaller, wanted: &[&Control]) {
    let identity = |control: &&Control| control.process().host().identity();
    let wanted: BTreeSet<NodeIdentity> = wanted.iter().map(identity).collect();
    let host = observer.process().host();
    while !(0..SHARDS)
        .all(|shard| host.voters(Shard(shard)).into_iter().collect::<BTreeSet<NodeIdentity>>() == wanted)
    {
        gatekeeper.next().await;
        gatekeeper.heartbeat(0);
    }
}

#[test]
fn a_configuration_is_accepted_and_read_at_any_process() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        let mut current = 1;
        for address in &all {
            let next = current + 2;
            assert_eq!(put_configuration(&[*address], current, &configuration(next, 500)).await, 200);
            assert_eq!(put_configuration(&[*address], current, &configuration(next, 600)).await, 412);
            current = next;
            for reader in &all {
                assert_eq!(read_configuration(&[*reader]).await.body, configuration(current, 500));
            }
        }
    });
}

#[test]
fn of_two_concurrent_configurations_one_is_accepted_and_the_other_rejected() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        for generation in (1..20).step_by(2) {
            let (one, two) = ([all[0]], [all[1]]);
            let (first, second) = (configuration(generation + 2, 501), configuration(generation + 2, 502));
            let (a, b) = tokio::join!(
                put_configuration(&one, generation, &first),
                put_configuration(&two, generation, &second)
            );
            let winner = match (a, b) {
                (200, 412) => first,
                (412, 200) => second,
                other => panic!("expected one 200 and one 412, got {other:?}"),
            };
            assert_eq!(read_configuration(&[all[2]]).await.body, winner);
        }
    });
}

#[test]
fn a_worker_registered_at_any_process_is_known_to_all() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(heartbeat(&all, "w", "alpha", "ready", 1).await, 200);
        let mut gatekeeper = FeedCaller::gatekeeper(machines[2].feed(), "edge-1").await;
        gatekeeper
            .wait_for(|change| matches!(change, Change::Worker(worker) if worker.id == "w").then_some(()))
            .await;
        assert_eq!(heartbeat(&all[1..], "w", "alpha", "draining", 2).await, 200);
        let draining = |change: &Change| match change {
            Change::Worker(worker) => (worker.state == WorkerState::Draining).then_some(()),
            _ => None,
        };
        gatekeeper.wait_for(draining).await;
        assert_eq!(call(&all[2..], "DELETE", "/opalrun/instances/w", "", "").await.status, 200);
        gatekeeper.wait_for(|change| matches!(change, Change::WorkerGone { .. }).then_some(())).await;
    });
}

#[test]
fn workers_receive_their_heartbeat_address_once() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _controls = start_all(&machines).await;
        let all = addresses(&machines);
        let mut targets = BTreeSet::new();
        for number in 0..64 {
            let id = format!("w{number}");
            let answer = heartbeat_answer(&all[..1], &id, "alpha", "ready", 1).await;
            assert_eq!(answer.status, 200);
            let Some(rest) = answer.body.strip_prefix("{\"heartbeat_url\":\"http://") else { continue };
            let (address, path) = rest.trim_end_matches("\"}").split_once('/').expect("the URL has a path");
            assert_eq!(path, format!("opalrun/instances/{id}"));
            let target: SocketAddr = address.parse().expect("the URL has a socket address");
            assert!(all[1..].contains(&target), "{target} is another process");
            let again = heartbeat_answer(&[target], &id, "alpha", "ready", 2).await;
            assert_eq!((again.status, &*again.body), (200, "{}"), "the target process sends no address");
            let elsewhere = heartbeat_answer(&all[..1], &id, "alpha", "ready", 3).await;
            assert_eq!(
                (elsewhere.status, &*elsewhere.body),
                (200, "{}"),
                "later heartbeats get no address either"
            );
            targets.insert(target);
        }
        assert_eq!(targets.len(), 2, "workers are assigned to both other processes: {targets:?}");
        assert_eq!(heartbeat_answer(&all[..1], "w64", "alpha", "draining", 1).await.body, "{}");
    });
}

#[test]
fn a_configuration_survives_the_owner_and_a_restart_of_all_processes() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let mut controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        let owner = owner_of_configuration(&controls).expect("a process owns the configuration");
        controls.remove(owner).shut_down().await;
        assert_eq!(put_configuration(&all, 1, &configuration(4, 500)).await, 200);
        for control in controls {
            control.shut_down().await;
        }
        let _controls = start_all(&machines).await;
        assert_eq!(read_configuration(&all).await.body, configuration(4, 500));
        assert_eq!(put_configuration(&all, 4, &configuration(6, 500)).await, 200);
    });
}

#[test]
fn a_process_that_lost_its_disk_joins_under_a_new_identity() {
    run_local(async {
        let mut machines = machines(3, 3, 1);
        let mut controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        let old = controls[0].process().host().identity();
        controls.remove(0).shut_down().await;
        machines[0].wipe();
        let back = machines[0].start().await;
        let new = back.process().host().identity();
        assert_ne!(old, new);
        let mut gatekeeper = FeedCaller::gatekeeper(machines[1].feed(), "edge-1").await;
        let replaced = |change: &Change| match change {
            Change::ControlNodes(nodes) => {
                let has = |identity| nodes.iter().any(|node| node.identity == identity);
                (has(new) && !has(old)).then_some(())
            }
            _ => None,
        };
        gatekeeper.wait_for(replaced).await;
        assert_eq!(read_configuration(&all[..1]).await.body, configuration(1, 500));
        wait_for_voters(&controls[0], &mut gatekeeper, &[&controls[0], &controls[1], &back]).await;
        // The new process has caught up, so another process may be lost.
        controls.remove(0).shut_down().await;
        assert_eq!(put_configuration(&all, 1, &configuration(2, 500)).await, 200);
        assert_eq!(read_configuration(&all[..1]).await.body, configuration(2, 500));
    });
}

#[test]
fn a_new_process_replaces_one_that_is_lost_permanently() {
    run_local(async {
        let machines = machines(4, 3, 1);
        let mut controls = start_all(&machines[..3]).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all[..3], 0, &configuration(1, 500)).await, 200);
        controls.remove(0).shut_down().await;
        let new = machines[3].start().await;
        let mut gatekeeper = FeedCaller::gatekeeper(machines[1].feed(), "edge-1").await;
        let replaced = |change: &Change| match change {
            Change::ControlNodes(nodes) => {
                let has = |name: &str| nodes.iter().any(|node| node.node_name == name);
                (has("core-4") && !has("core-1")).then_some(())
            }
            _ => None,
        };
        gatekeeper.wait_for(replaced).await;
        wait_for_voters(&controls[0], &mut gatekeeper, &[&controls[0], &controls[1], &new]).await;
        controls.remove(0).shut_down().await;
        assert_eq!(put_configuration(&all[2..], 1, &configuration(2, 500)).await, 200);
    });
}

#[test]
fn without_a_majority_requests_fail_with_503_within_a_second() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let alone = machines[0].start().await;
        let begun = std::time::Instant::now();
        let body = configuration(1, 500);
        let put = support::try_call(machines[0].api(), "PUT", "/opalrun/config", "If-Match: 0\r\n", &body);
        let answer = put.await.expect("the process responds");
        assert_eq!(answer.status, 503);
        assert!(begun.elapsed().as_millis() < 1000);
        alone.shut_down().await;
    });
}

#[test]
fn a_removed_process_joins_again_with_its_disk() {
    run_local(async {
        let machines = machines(4, 3, 1);
        let mut controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        let mut gatekeeper = FeedCaller::gatekeeper(machines[1].feed(), "edge-1").await;
        let names = |wanted: &'static [&'static str]| {
            move |change: &Change| match change {
                Change::ControlNodes(nodes) => {
                    let mut names: Vec<&str> = nodes.iter().map(|node| node.node_name.as_str()).collect();
                    names.sort_unstable();
                    (names == wanted).then_some(())
                }
                _ => None,
            }
        };
        gatekeeper.wait_for(names(&["core-1", "core-2", "core-3", "core-4"])).await;
        let dropped = controls.remove(3);
        let identity = dropped.process().host().identity();
        dropped.shut_down().await;
        gatekeeper.wait_for(names(&["core-1", "core-2", "core-3"])).await;
        let back = machines[3].start().await;
        assert_eq!(back.process().host().identity(), identity);
        gatekeeper.wait_for(names(&["core-1", "core-2", "core-3", "core-4"])).await;
        assert_eq!(read_configuration(&all[3..]).await.body, configuration(1, 500));
    });
}

#[test]
fn subscribers_are_redirected_when_their_process_shuts_down() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let mut controls = start_all(&machines).await;
        let all = addresses(&machines);
        assert_eq!(put_configuration(&all, 0, &configuration(1, 500)).await, 200);
        let mut gatekeeper = FeedCaller::gatekeeper(machines[0].feed(), "edge-1").await;
        gatekeeper.next().await;
        let ending = tokio::task::spawn_local(controls.remove(0).shut_down());
        while gatekeeper.next().await != FeedUpdate::Unavailable {}
        ending.await.expect("the shutdown task ends");
        assert_eq!(put_configuration(&all[1..], 1, &configuration(2, 500)).await, 200);
    });
}

/// A store loses its disk while another one is being retired. The retirement completes, and every partition has complete
/// replicas on the remaining stores.
#[test]
fn a_store_loses_its_disk_while_another_one_retires() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _controls = start_all(&machines).await;
        let all = addresses(&machines);
        let feed = machines[0].feed();
        let mut stores: Vec<_> =
            (1..=4).map(|identity| run_store(feed, identity, &format!("storage-{identity}"))).collect();
        let mut gatekeeper = FeedCaller::gatekeeper(machines[2].feed(), "edge-1").await;
        let formed = |change: &Change| match change {
            Change::StoreMap(map) => (map.stores.len() == 4).then_some(()),
            _ => None,
        };
        gatekeeper.wait_for(formed).await;
        let response = call(&all, "POST", "/opalrun/retire/storage-1", "", "{\"deadline_s\":10}").await;
        assert_eq!(response.status, 200);
        stores.remove(1).abort();
        stores.push(run_store(machines[1].feed(), 12, "storage-2"));
        let done = |change: &Change| match change {
            Change::StoreMap(map) => {
                let is_complete = |partition: &PartitionReplicas| {
                    partition.replicas.iter().all(|replica| replica.is_complete)
                };
                let gone = map.stores.iter().all(|store| store.identity != NodeIdentity(1));
                (gone && map.partitions.iter().all(is_complete)).then(|| map.clone())
            }
            _ => None,
        };
        let map = gatekeeper.wait_for(done).await;
        let identities: BTreeSet<NodeIdentity> = map.stores.iter().map(|store| store.identity).collect();
        assert_eq!(identities, BTreeSet::from([3, 4, 12].map(NodeIdentity)));
        let state = call(&all, "GET", "/opalrun/retire/storage-1", "", "").await;
        assert_eq!(state.body, "{\"state\":\"completed\"}");
    });
}
