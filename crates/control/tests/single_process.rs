//! One control process over loopback: its responses to workers, operators, gatekeepers and stores.

mod support;

use opalrun_wire::{
    feed::{Change, FeedUpdate, STORE_PARTITIONS, WorkerState, shard_of_service},
    ids::FeedOffset,
};
use support::{
    FeedCaller, call, configuration, heartbeat, machines, put_configuration, read_configuration, run_local,
    run_store, try_call,
};

#[test]
fn a_configuration_is_accepted_once_and_read_back_unchanged() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        assert_eq!(read_configuration(&api).await.status, 404);
        assert_eq!(put_configuration(&api, 0, &configuration(3, 500)).await, 200);
        assert_eq!(put_configuration(&api, 0, &configuration(3, 500)).await, 200, "repeated request");
        assert_eq!(
            put_configuration(&api, 0, &configuration(3, 600)).await,
            412,
            "different configuration of the same generation"
        );
        assert_eq!(
            put_configuration(&api, 3, &configuration(3, 600)).await,
            400,
            "generation does not increase"
        );
        assert_eq!(put_configuration(&api, 3, &configuration(5, 600)).await, 200);
        assert_eq!(
            put_configuration(&api, 0, &configuration(3, 500)).await,
            200,
            "repetition of a configuration accepted earlier"
        );
        let read = read_configuration(&api).await;
        assert_eq!((read.status, read.body), (200, configuration(5, 600)));
    });
}

#[test]
fn invalid_configurations_are_rejected() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        let valid = configuration(3, 500);
        let invalid = [
            &valid[..valid.len() - 5],
            "",
            "{}}",
            &configuration(3, 0),
            &valid.replace("\"s\",\"max", "\"t\",\"max"),
        ];
        for body in invalid {
            assert_eq!(put_configuration(&api, 0, body).await, 400, "{body}");
        }
        let no_version = call(&api, "PUT", "/opalrun/config", "", &valid).await;
        assert_eq!(no_version.status, 400);
        assert_eq!(read_configuration(&api).await.status, 404);
    });
}

#[test]
fn oversized_bodies_and_unknown_paths_are_rejected() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        let long = "x".repeat(70 << 10);
        assert_eq!(call(&api, "PUT", "/opalrun/instances/i", "", &long).await.status, 413);
        assert_eq!(call(&api, "PUT", "/opalrun/instances/i", "", "{").await.status, 400);
        assert_eq!(call(&api, "GET", "/opalrun/nothing", "", "").await.status, 404);
    });
}

#[test]
fn gatekeepers_receive_added_draining_and_removed_workers() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        assert_eq!(heartbeat(&api, "a", "alpha", "ready", 1).await, 200);
        let mut gatekeeper = FeedCaller::gatekeeper(machine.feed(), "edge-1").await;
        let state = |wanted: WorkerState| {
            move |change: &Change| match change {
                Change::Worker(worker) if worker.id == "a" && worker.state == wanted => Some(()),
                _ => None,
            }
        };
        gatekeeper.wait_for(state(WorkerState::Ready)).await;
        assert_eq!(heartbeat(&api, "a", "alpha", "ready", 2).await, 200);
        assert_eq!(heartbeat(&api, "a", "alpha", "draining", 3).await, 200);
        gatekeeper.wait_for(state(WorkerState::Draining)).await;
        assert_eq!(call(&api, "DELETE", "/opalrun/instances/a", "", "").await.status, 200);
        gatekeeper
            .wait_for(|change| matches!(change, Change::WorkerGone { id, .. } if id == "a").then_some(()))
            .await;
        assert_eq!(heartbeat(&api, "a", "alpha", "ready", 4).await, 200);
        assert_eq!(heartbeat(&api, "b", "alpha", "ready", 1).await, 200);
        let first = gatekeeper.wait_for(|change| match change {
            Change::Worker(worker) => Some(worker.id.clone()),
            _ => None,
        });
        assert_eq!(first.await, "b", "a removed worker is not added again");
    });
}

#[test]
fn a_subscriber_resumes_from_its_offset_and_receives_fresh() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        let shard = shard_of_service("alpha");
        assert_eq!(heartbeat(&api, "a", "alpha", "ready", 1).await, 200);
        let mut first = FeedCaller::gatekeeper(machine.feed(), "edge-1").await;
        let mut fresh = false;
        let mut offset = FeedOffset(0);
        while !fresh || offset == FeedOffset(0) {
            match first.next().await {
                FeedUpdate::Snapshot { shard: of, offset: at, changes }
                    if of == shard && !changes.is_empty() =>
                {
                    offset = at;
                }
                FeedUpdate::Fresh { .. } => fresh = true,
                _ => {}
            }
        }
        drop(first);
        assert_eq!(heartbeat(&api, "b", "alpha", "ready", 1).await, 200);
        let subscriber = opalrun_wire::feed::Subscriber::Proxy;
        let mut second = FeedCaller::subscribe(machine.feed(), subscriber, &[(shard.0, offset.0)]).await;
        loop {
            match second.next().await {
                FeedUpdate::Changes { changes, .. } => {
                    let ids: Vec<&str> = changes
                        .iter()
                        .filter_map(|change| match change {
                            Change::Worker(worker) => Some(worker.id.as_str()),
                            _ => None,
                        })
                        .collect();
                    assert_eq!(ids, ["b"]);
                    return;
                }
                FeedUpdate::Snapshot { .. } => panic!("the feed sent a snapshot instead of changes"),
                _ => {}
            }
        }
    });
}

#[test]
fn the_acknowledgement_of_a_configuration_waits_for_gatekeepers() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = machine.api();
        let mut gatekeeper = FeedCaller::gatekeeper(machine.feed(), "edge-1").await;
        gatekeeper.next().await;
        let body = configuration(3, 500);
        let put = tokio::task::spawn_local(async move { put_configuration(&[api], 0, &body).await });
        gatekeeper.wait_for(|change| matches!(change, Change::Configuration { .. }).then_some(())).await;
        assert!(!put.is_finished());
        gatekeeper.heartbeat(3);
        assert_eq!(put.await.expect("the task ends"), 200);
    });
}

#[test]
fn stores_are_added_to_the_map_and_a_retired_store_is_removed() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let api = [machine.api()];
        let _one = run_store(machine.feed(), 1, "storage-1");
        let _two = run_store(machine.feed(), 2, "storage-2");
        let mut gatekeeper = FeedCaller::gatekeeper(machine.feed(), "edge-1").await;
        let map = |change: &Change| match change {
            Change::StoreMap(map) => Some(map.clone()),
            _ => None,
        };
        let first = gatekeeper.wait_for(map).await;
        assert_eq!(first.partitions.len(), usize::from(STORE_PARTITIONS));
        assert_eq!(
            call(&api, "POST", "/opalrun/retire/storage-9", "", "{\"deadline_s\":10}").await.status,
            404
        );
        assert_eq!(call(&api, "GET", "/opalrun/retire/storage-9", "", "").await.status, 404);
        let response = call(&api, "POST", "/opalrun/retire/storage-1", "", "{\"deadline_s\":10}").await;
        assert_eq!((response.status, response.body.as_str()), (200, "{\"state\":\"active\"}"));
        assert_eq!(
            call(&api, "POST", "/opalrun/retire/storage-2", "", "{\"deadline_s\":10}").await.status,
            409
        );
        let retired = |change: &Change| match change {
            Change::StoreMap(map) => (map.stores.len() == 1).then_some(()),
            _ => None,
        };
        gatekeeper.wait_for(retired).await;
        let state = call(&api, "GET", "/opalrun/retire/storage-1", "", "").await;
        assert_eq!(state.body, "{\"state\":\"completed\"}");
    });
}

#[test]
fn a_truncated_request_changes_nothing() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let _control = machine.start().await;
        let truncated = try_call(
            machine.api(),
            "PUT",
            "/opalrun/config",
            "If-Match: 0\r\nTransfer-Encoding: chunked\r\n",
            "zz",
        );
        let rejected = truncated.await.is_none_or(|answer| answer.status >= 400);
        assert!(rejected);
        assert_eq!(read_configuration(&[machine.api()]).await.status, 404);
    });
}
