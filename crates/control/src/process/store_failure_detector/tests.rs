//! Tests of the commands that the owner of shard 0 derives from the stores' contacts.

use super::{StoreFailureDetector, StoreLayout};
use crate::store_map::{Liveness, Spread, StoreCommand, StoreTable};
use opalrun_wire::{
    feed::{StoreNode, StoreState},
    ids::NodeIdentity,
};
use std::time::Duration;

const REPLICAS: u16 = 3;

fn layout() -> StoreLayout {
    StoreLayout { replicas: REPLICAS, spread: Spread::over_machines() }
}

fn formed_command() -> StoreCommand {
    StoreCommand::FormMap { replicas: REPLICAS, spread: Spread::over_machines() }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn join(table: &mut StoreTable, identity: u64) {
    let node = StoreNode {
        identity: NodeIdentity(identity),
        node_name: format!("store-{identity}"),
        address: format!("10.0.0.{identity}:7000"),
        zone: "zone".to_owned(),
        state: StoreState::Active,
    };
    table.apply(&StoreCommand::Join { node });
}

/// Evaluates every 250 ms from `from` to `to`, in milliseconds, with a contact of each store in `reachable` at each
/// evaluation, and applies the resulting commands. Returns the commands with their times.
fn evaluate_over(
    detector: &mut StoreFailureDetector,
    table: &mut StoreTable,
    reachable: &[u64],
    from: u64,
    to: u64,
) -> Vec<(u64, StoreCommand)> {
    let mut all = Vec::new();
    for at in (from..to).step_by(250) {
        for identity in reachable {
            detector.record_contact(NodeIdentity(*identity), millis(at));
        }
        for command in detector.evaluate(table, &layout(), millis(at)) {
            table.apply(&command);
            all.push((at, command));
        }
    }
    all
}

#[test]
fn the_first_map_is_formed_a_second_after_the_last_store_has_joined() {
    let (mut detector, mut table) = (StoreFailureDetector::default(), StoreTable::default());
    for identity in 1..=3 {
        join(&mut table, identity);
    }
    assert!(evaluate_over(&mut detector, &mut table, &[], 0, 750).is_empty());
    join(&mut table, 4);
    let formed = evaluate_over(&mut detector, &mut table, &[1, 2, 3, 4], 750, 3000);
    assert_eq!(formed, [(1750, formed_command())]);
}

#[test]
fn with_too_few_stores_the_first_map_is_formed_after_four_seconds() {
    let (mut detector, mut table) = (StoreFailureDetector::default(), StoreTable::default());
    join(&mut table, 1);
    let formed = evaluate_over(&mut detector, &mut table, &[1], 0, 6000);
    assert_eq!(formed, [(4000, formed_command())]);
}

#[test]
fn without_stores_no_map_is_formed() {
    let (mut detector, mut table) = (StoreFailureDetector::default(), StoreTable::default());
    assert!(evaluate_over(&mut detector, &mut table, &[], 0, 20_000).is_empty());
}

fn three_stores() -> (StoreFailureDetector, StoreTable) {
    let (mut detector, mut table) = (StoreFailureDetector::default(), StoreTable::default());
    for identity in 1..=3 {
        join(&mut table, identity);
    }
    evaluate_over(&mut detector, &mut table, &[1, 2, 3], 0, 2000);
    assert!(table.is_formed());
    (detector, table)
}

#[test]
fn a_failed_store_becomes_unavailable_then_dead_and_is_live_after_its_next_contact() {
    let (mut detector, mut table) = three_stores();
    let recorded = evaluate_over(&mut detector, &mut table, &[1, 2], 2000, 14_000);
    let set_liveness = |liveness| StoreCommand::SetLiveness { identity: NodeIdentity(3), liveness };
    assert_eq!(
        recorded.iter().map(|(_, command)| command.clone()).collect::<Vec<_>>(),
        [set_liveness(Liveness::Unavailable), set_liveness(Liveness::Dead)]
    );
    let back = evaluate_over(&mut detector, &mut table, &[1, 2, 3], 14_000, 15_000);
    assert_eq!(back, [(14_000, set_liveness(Liveness::Live))]);
}

#[test]
fn an_owner_that_was_suspended_finds_no_store_unavailable() {
    let (mut detector, mut table) = three_stores();
    assert!(evaluate_over(&mut detector, &mut table, &[], 12_000, 14_000).is_empty());
}

#[test]
fn a_store_marked_unavailable_by_a_former_owner_stays_so_until_its_next_contact() {
    let (_, mut table) = three_stores();
    table.apply(&StoreCommand::SetLiveness { identity: NodeIdentity(3), liveness: Liveness::Unavailable });
    let mut detector = StoreFailureDetector::default();
    assert!(evaluate_over(&mut detector, &mut table, &[1, 2], 0, 5000).is_empty());
    assert_eq!(evaluate_over(&mut detector, &mut table, &[1, 2, 3], 5000, 6000).len(), 1);
}

#[test]
fn a_new_store_is_established_while_all_others_are_live() {
    let (mut detector, mut table) = three_stores();
    join(&mut table, 4);
    let established = evaluate_over(&mut detector, &mut table, &[1, 2, 3, 4], 2000, 7000);
    assert_eq!(established, [(5000, StoreCommand::MarkEstablished { identity: NodeIdentity(4) })]);
}

#[test]
fn a_new_store_replaces_a_failed_one_before_it_is_established() {
    let (mut detector, mut table) = three_stores();
    join(&mut table, 4);
    let recorded = evaluate_over(&mut detector, &mut table, &[1, 2, 4], 2000, 5000);
    assert_eq!(recorded.len(), 1);
    let has_replica_of_every_partition = table
        .map()
        .partitions
        .iter()
        .all(|partition| partition.replicas.iter().any(|replica| replica.store == NodeIdentity(4)));
    assert!(has_replica_of_every_partition);
}
