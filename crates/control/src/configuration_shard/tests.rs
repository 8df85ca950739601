//! Shard 0 through orders of events.

use super::{ConfigurationCommand, ConfigurationOutcome, ConfigurationShard};
use opalrun_wire::{
    feed::{Change, ControlNode},
    ids::{Generation, NodeIdentity},
};

fn put(shard: &mut ConfigurationShard, if_match: u64, generation: u64, body: &str) -> ConfigurationOutcome {
    let mut sha256 = [0; 32];
    for (place, byte) in body.bytes().enumerate() {
        sha256[place % 32] ^= byte;
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
fn of_two_changes_on_the_same_version_one_wins() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::Accepted);
    assert_eq!(put(&mut shard, 3, 5, "winner"), ConfigurationOutcome::Accepted);
    assert_eq!(put(&mut shard, 3, 5, "loser"), ConfigurationOutcome::Conflict { current: Generation(5) });
    assert_eq!(put(&mut shard, 3, 6, "loser"), ConfigurationOutcome::Conflict { current: Generation(5) });
    assert_eq!(shard.configuration().map(|held| held.body.clone()), Some(b"winner".to_vec()));
}

#[test]
fn a_change_that_is_sent_again_is_acknowledged_again_and_does_nothing() {
    let mut shard = ConfigurationShard::default();
    put(&mut shard, 0, 3, "first");
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::AlreadyAccepted);
    put(&mut shard, 3, 5, "second");
    assert_eq!(put(&mut shard, 0, 3, "first"), ConfigurationOutcome::AlreadyAccepted);
    assert_eq!(shard.generation(), Generation(5));
}

#[test]
fn a_generation_has_to_rise() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 0, 0, "zero"), ConfigurationOutcome::NotAbove { current: Generation(0) });
    put(&mut shard, 0, 3, "first");
    assert_eq!(put(&mut shard, 3, 3, "same"), ConfigurationOutcome::NotAbove { current: Generation(3) });
    assert_eq!(put(&mut shard, 3, 2, "lower"), ConfigurationOutcome::NotAbove { current: Generation(3) });
    assert_eq!(shard.generation(), Generation(3));
}

#[test]
fn a_first_change_on_a_version_that_is_not_there_is_a_conflict() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(put(&mut shard, 4, 5, "late"), ConfigurationOutcome::Conflict { current: Generation(0) });
    assert!(shard.configuration().is_none());
}

#[test]
fn subscribers_learn_of_a_configuration_once() {
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
fn a_control_process_that_lost_its_disk_replaces_its_old_identity() {
    let mut shard = ConfigurationShard::default();
    for identity in 1..=3 {
        admit(&mut shard, node(identity, &format!("core-{identity}")));
    }
    admit(&mut shard, node(12, "core-2"));
    assert_eq!(identities(&shard), [1, 3, 12]);
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [1, 3, 12], "a late hello does not bring the old one back");
}

#[test]
fn a_control_process_that_joins_again_changes_nothing() {
    let mut shard = ConfigurationShard::default();
    assert_eq!(admit(&mut shard, node(1, "core-1")).len(), 1);
    assert!(admit(&mut shard, node(1, "core-1")).is_empty());
    let moved = ControlNode { peer_address: "10.0.0.9:7000".to_owned(), ..node(1, "core-1") };
    assert_eq!(admit(&mut shard, moved.clone()), [Change::ControlNodes(vec![moved])]);
}

#[test]
fn a_dropped_control_process_may_come_back() {
    let mut shard = ConfigurationShard::default();
    admit(&mut shard, node(1, "core-1"));
    admit(&mut shard, node(2, "core-2"));
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(2), min_members: 0 });
    assert_eq!(identities(&shard), [1]);
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [1, 2]);
}

#[test]
fn of_two_control_processes_that_leave_at_once_one_stays_where_both_would_be_too_many() {
    let mut shard = ConfigurationShard::default();
    for identity in 1..=4 {
        admit(&mut shard, node(identity, &format!("core-{identity}")));
    }
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(2), min_members: 3 });
    assert_eq!(identities(&shard), [1, 3, 4]);
    shard.apply(ConfigurationCommand::DropControl { identity: NodeIdentity(3), min_members: 3 });
    assert_eq!(identities(&shard), [1, 3, 4]);
}

/// A machine lost its disk right after its first start, and its two hellos came in the other order.
#[test]
fn the_process_that_lives_is_let_in_in_the_end_whatever_the_order_of_hellos() {
    let mut shard = ConfigurationShard::default();
    admit(&mut shard, node(12, "core-2"));
    admit(&mut shard, node(2, "core-2"));
    assert_eq!(identities(&shard), [2], "the late hello is taken for the newer one");
    for _ in 0..10 {
        admit(&mut shard, node(12, "core-2"));
    }
    assert_eq!(identities(&shard), [12]);
    for _ in 0..3 {
        admit(&mut shard, node(2, "core-2"));
    }
    assert_eq!(identities(&shard), [12], "what comes late of the other one changes nothing");
}
