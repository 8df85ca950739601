//! How the targets of heartbeats are spread, and how they move.

use super::*;
use std::collections::HashMap;

const WORKERS: u64 = 3_000;

fn nodes(count: u64) -> Vec<ControlNode> {
    let node = |identity: u64| ControlNode {
        identity: NodeIdentity(identity),
        node_name: format!("core-{identity}"),
        peer_address: format!("10.0.0.{identity}:7380"),
        control_address: format!("10.0.0.{identity}:8144"),
        zone: "z".to_owned(),
    };
    (1..=count).map(node).collect()
}

fn targets(nodes: &[ControlNode], silent: &[u64]) -> HashMap<u64, NodeIdentity> {
    let since_last_contact =
        |identity: NodeIdentity| if silent.contains(&identity.0) { TARGET_TIMEOUT } else { Duration::ZERO };
    let of = |worker: u64| {
        heartbeat_target(&format!("i-{worker:08x}"), nodes, since_last_contact)
            .map(|node| (worker, node.identity))
    };
    (0..WORKERS).filter_map(of).collect()
}

#[test]
fn each_process_is_the_target_of_about_as_many_workers() {
    let nodes = nodes(5);
    let targets = targets(&nodes, &[]);
    for node in &nodes {
        let count = targets.values().filter(|target| **target == node.identity).count() as u64;
        assert!((WORKERS / 6..=WORKERS / 4).contains(&count), "{}: {count}", node.identity);
    }
}

#[test]
fn only_the_workers_of_a_silent_process_move() {
    let nodes = nodes(5);
    let (before, after) = (targets(&nodes, &[]), targets(&nodes, &[2]));
    for (worker, target) in &before {
        assert_ne!(after[worker], NodeIdentity(2), "it is silent");
        assert!(
            *target == NodeIdentity(2) || after[worker] == *target,
            "worker {worker} had no reason to move"
        );
    }
}

#[test]
fn no_worker_has_a_target_where_all_are_silent() {
    assert!(targets(&nodes(3), &[1, 2, 3]).is_empty());
}
