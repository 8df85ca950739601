//! Inspection by operators: the view of the tier, the data directory of a stopped process, and metrics.

mod support;

use opalrun_control::{inspect, metrics, tier_view::TierView};
use opalrun_metrics::Scrape;
use opalrun_replication::Term;
use opalrun_storage::{DataDirectory, ReadOnlyDisk};
use opalrun_wire::{
    feed::FeedUpdate,
    ids::{Epoch, Generation},
};
use std::sync::Arc;
use support::{
    FeedCaller, Machine, call, configuration, heartbeat, machines, put_configuration, run_local, run_store,
};

async fn view(machine: &Machine) -> TierView {
    let answer = call(&[machine.api()], "GET", "/opalrun/tier", "", "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    facet_json::from_slice(answer.body.as_bytes()).expect("the body is a view of the tier")
}

/// Polls the view until it fulfils the condition.
async fn view_with(machine: &Machine, wanted: impl Fn(&TierView) -> bool) -> TierView {
    loop {
        let view = view(machine).await;
        if wanted(&view) {
            return view;
        }
    }
}

#[test]
fn the_view_includes_all_components_of_the_tier() {
    run_local(async {
        let machines = machines(3, 3, 1);
        let _first = machines[0].start().await;
        let _second = machines[1].start().await;
        let _third = machines[2].start().await;
        let api = [machines[0].api()];
        assert_eq!(put_configuration(&api, 0, &configuration(3, 500)).await, 200);
        assert_eq!(heartbeat(&api, "a", "s", "draining", 1).await, 200);
        let stores: Vec<_> = (1..=3)
            .map(|identity| run_store(machines[0].feed(), identity, &format!("storage-{identity}")))
            .collect();
        // The gatekeeper subscribes at another process than the one that is queried.
        let mut gatekeeper = FeedCaller::gatekeeper(machines[1].feed(), "edge-1").await;
        while !matches!(gatekeeper.next().await, FeedUpdate::Fresh { .. }) {
            gatekeeper.heartbeat(3);
        }
        gatekeeper.heartbeat(3);
        let view = view_with(&machines[0], |view| {
            view.control.len() == 3
                && view.gatekeepers.iter().any(|gatekeeper| gatekeeper.generation == Generation(3))
                && view.stores.iter().any(|store| store.complete_replicas > 0)
                && view.incomplete_partitions.is_empty()
                && view.groups.iter().all(|group| group.owner.is_some() && group.voters.len() == 3)
        })
        .await;
        assert_eq!(view.generation, Generation(3));
        assert_eq!(view.groups.len(), 4);
        assert!(view.control.iter().all(|node| node.is_reachable));
        assert_eq!(view.gatekeepers[0].node_name, "edge-1");
        assert_ne!(view.gatekeepers[0].subscribed_at, view.reported_by);
        assert_eq!(view.workers.len(), 1);
        assert!(view.workers[0].is_draining && view.workers[0].capacity == 32);
        assert_eq!(view.stores.len(), 3);
        assert!(view.stores.iter().all(|store| store.state == "Active" && store.is_live));
        assert!(view.store_epoch > Epoch(0));
        stores.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

#[test]
fn the_data_directory_of_a_stopped_process_shows_its_state() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let control = machine.start().await;
        let identity = control.process().host().identity();
        let api = [machine.api()];
        assert_eq!(put_configuration(&api, 0, &configuration(3, 500)).await, 200);
        assert_eq!(heartbeat(&api, "a", "s", "ready", 1).await, 200);
        control.shut_down().await;
        let folder = machine.settings.data_dir.clone().expect("the data directory is set");
        let disk = ReadOnlyDisk::new();
        let directory =
            DataDirectory::open_on(Arc::new(disk.clone()), &folder).expect("the data directory exists");
        let found = inspect::inspect(&directory);
        assert!(found.problems.is_empty(), "{:?}", found.problems);
        let state = found.state.expect("the data directory holds a state");
        assert_eq!(state.identity, identity);
        assert_eq!((state.first_members, state.log_generation), (1, Generation(3)));
        assert_eq!(state.shards.len(), 4);
        assert_eq!(state.shards.iter().map(|shard| shard.workers).sum::<u64>(), 1);
        assert!(state.shards.iter().all(|shard| shard.term > Term(0) && shard.members.len() == 1));
        assert!(state.journal_bytes > 0);
    });
}

#[test]
fn metrics_are_collected_at_each_scrape() {
    run_local(async {
        let machine = machines(1, 1, 0).remove(0);
        let control = machine.start().await;
        let api = [machine.api()];
        assert_eq!(put_configuration(&api, 0, &configuration(3, 500)).await, 200);
        assert_eq!(heartbeat(&api, "a", "s", "ready", 1).await, 200);
        let mut scrape = Scrape::default();
        metrics::scrape(control.process(), &mut scrape);
        let text = scrape.text().expect("the metrics can be encoded");
        assert!(text.contains("opalrun_configuration_generation 3.0\n"), "{text}");
        assert!(text.contains("opalrun_group_owner{shard=\"0\"} 1.0\n"), "{text}");
        let workers = text.lines().filter(|line| line.starts_with("opalrun_workers{"));
        assert_eq!(workers.filter(|line| line.ends_with(" 1.0")).count(), 1, "{text}");
    });
}
