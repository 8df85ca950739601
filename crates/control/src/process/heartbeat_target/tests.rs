//! Tests of the spread of heartbeat targets, and of their changes after a failure.

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

/// Returns the target of each worker while the processes with the identities in `failed` are without contact.
fn targets(nodes: &[ControlNode], failed: &[u64]) -> HashMap<u64, NodeIdentity> {
    let since_last_contact =
        |identity: NodeIdentity| if failed.contains(&identity.0) { TARGET_TIMEOUT } else { Duration::ZERO };
    let target = |worker: u64| {
        heartbeat_target(&format!("i-{worker:08x}"), nodes, since_last_contact)
            .map(|node| (worker, node.identity))
    };
    (0..WORKERS).filter_map(target).collect()
}

#[test]
fn workers_are_spread_evenly_over_the_processes() {
    let nodes = nodes(5);
    let targets = targets(&nodes, &[]);
    for node in &nodes {
        let count = targets.values().filter(|target| **target == node.identity).count() as u64;
        assert!((WORKERS / 6..=WORKERS / 4).contains(&count), "{}: {count}", node.identity);
    }
}

#[test]
fn only_the_workers_of_an_unreachable_process_get_another_target() {
    let nodes = nodes(5);
    let (before, after) = (targets(&nodes, &[]), targets(&nodes, &[2]));
    for (worker, target) in &before {
        assert_ne!(after[worker], NodeIdentity(2), "worker {worker} has an unreachable target");
        assert!(
            *target == NodeIdentity(2) || after[worker] == *target,
            "worker {worker} got another target although its target is reachable"
        );
    }
}

#[test]
fn no_worker_has_a_target_while_all_processes_are_unreachable() {
    assert!(targets(&nodes(3), &[1, 2, 3]).is_empty());
}
