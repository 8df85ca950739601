//! The configuration shard (shard 0) under sequences of commands.

use super::{ConfigurationCommand, ConfigurationOutcome, ConfigurationShard};
use opalrun_wire::{
    feed::{Change, ControlNode},
    ids::{Generation, NodeIdentity},
};

fn put(shard: &mut ConfigurationShard, if_match: u64, generation: u64, body: &str) -> ConfigurationOutcome {
    let mut sha256 = [0; 32];
    for (position, byte) in body.bytes().enumerate() {
        sha256[position % 32] ^= byte;
    }
    let command = ConfigurationCommand::PutConfiguration {
        if_match: Generation(if_match),
        generation: Generation(generation),
        body: body.as_bytes().to_vec(),
        sha256,
    };
    shard.apply(command).0
}

fn node(identity: u64, name: &str) -> ControlNode {
    ControlNode {
        identity: NodeIdentity(identity),
        node_name: name.to_owned(),
        peer_address: format!("10.0.0.{identity}:7000"),
        control_address: format!("{name}:8000"),
        zone: "zone".to_owned(),
    }
}

fn admit(shard: &mut ConfigurationShard, node: ControlNode) -> Vec<Change> {
    shard.apply(ConfigurationCommand::AdmitControl { node }).1
}

fn identities(shard: &ConfigurationShard) -> Vec<u64> {
    shard.directory().nodes().iter().map(|node| node.identity.0).collect()
}

#[test]
fn one_of_two_changes_based_on_the_same_generation_wins() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::Accepted);
    assert_eq!(put(&mut shard, 3, 5, "winner"), ConfigurationOutcome::Accepted);
    assert_eq!(put(&mut shard, 3, 5, "loser"), ConfigurationOutcome::Conflict { current: Generation(5) });
    assert_eq!(put(&mut shard, 3, 6, "loser"), ConfigurationOutcome::Conflict { current: Generation(5) });
    assert_eq!(shard.configuration().map(|known| known.body.clone()), Some(b"winner".to_vec()));
}

#[test]
fn retried_change_is_acknowledged_again_without_effect() {
    let mut shard = ConfigurationShard::default();
    put(&mut shard, 0, 3, "first");
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::AlreadyAccepted);
    put(&mut shard, 3, 5, "second");
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::AlreadyAccepted);
    assert_eq!(shard.generation(), Generation(5));
}

#[test]
fn generation_must_increase() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 0, 0, "zero"), ConfigurationOutcome::NotAbove { current: Generation(0) });
    put(&mut shard, 0, 3, "first");
    assert_eq!(put(&mut shard, 3, 3, "same"), ConfigurationOutcome::NotAbove { current: Generation(3) });
    assert_eq!(put(&mut shard, 3, 2, "lower"), ConfigurationOutcome::NotAbove { current: Generation(3) });
    assert_eq!(shard.generation(), Generation(3));
}

#[test]
fn first_change_based_on_an_unknown_generation_is_a_conflict() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 4, 5, "late"), ConfigurationOutcome::Conflict { current: Generation(0) });
    assert!(shard.configuration().is_none());
}

#[test]
fn configuration_is_published_once() {
    let mut shard = ConfigurationShard::default();
    let command = ConfigurationCommand::PutConfiguration {
        if_match: Generation(0),
        generation: Generation(1),
        body: b"body".to_vec(),
        sha256: [1; 32],
    };
    let expected = Change::Configuration { generation: Generation(1), body: b"body".to_vec() };
    let first = shard.apply(command.clone()).1;
    let second = shard.apply(command).1;
    assert!(first.contains(&expected) && second.is_empty());
    assert_eq!(shard.changes(), [expected]);
}

#[test]
fn control_process_that_lost_its_disk_replaces_its_old_identity() {
    let mut shard = ConfigurationShard::default();
    for identity in 1..=3 {
        admit(&mut shard, node(identity, &format!("core-{identity}")));
    }
    admit(&mut shard, node(12, "core-2"));
    assert_eq!(identities(&shard), [1, 3, 12]);
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [1, 3, 12], "a late join request does not restore the old identity");
}

#[test]
fn repeated_join_of_a_control_process_changes_nothing() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(admit(&mut shard, node(1, "core-1")).len(), 1);
    assert!(admit(&mut shard, node(1, "core-1")).is_empty());
    let moved = ControlNode { peer_address: "10.0.0.9:7000".to_owned(), ..node(1, "core-1") };
    assert_eq!(admit(&mut shard, moved.clone()), [Change::ControlNodes(vec![moved])]);
}

#[test]
fn dropped_control_process_may_join_again() {
    let mut shard = ConfigurationShard::default();
    admit(&mut shard, node(1, "core-1"));
    admit(&mut shard, node(2, "core-2"));
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(2), min_members: 0 });
    assert_eq!(identities(&shard), [1]);
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [1, 2]);
}

#[test]
fn second_of_two_simultaneous_drops_is_ignored_at_the_minimum() {
    let mut shard = ConfigurationShard::default();
    for identity in 1..=4 {
        admit(&mut shard, node(identity, &format!("core-{identity}")));
    }
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(2), min_members: 3 });
    assert_eq!(identities(&shard), [1, 3, 4]);
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(3), min_members: 3 });
    assert_eq!(identities(&shard), [1, 3, 4]);
}

/// A machine lost its disk right after its first start, and the join requests of its two identities arrived in reverse
/// order.
#[test]
fn live_process_is_admitted_for_any_order_of_join_requests() {
    let mut shard = ConfigurationShard::default();
    admit(&mut shard, node(12, "core-2"));
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [2], "the identity that joined last counts as the newer one");
    for _ in 0..10 {
        admit(&mut shard, node(12, "core-2"));
    }
    assert_eq!(identities(&shard), [12]);
    for _ in 0..3 {
        admit(&mut shard, node(2, "core-2"));
    }
    assert_eq!(identities(&shard), [12], "late join requests of the old identity change nothing");
}
