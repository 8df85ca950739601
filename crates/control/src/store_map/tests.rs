//! The table of stores under sequences of commands.

use super::{Liveness, RetireState, Spread, StoreCommand, StoreOutcome, StoreTable, placement};
use opalrun_wire::{
    feed::{STORE_PARTITIONS, StoreMap, StoreNode, StoreState},
    ids::{Epoch, NodeIdentity, Partition},
};
use std::collections::BTreeSet;

const REPLICAS: u16 = 3;

fn node(identity: u64, name: &str) -> StoreNode {
    StoreNode {
        identity: NodeIdentity(identity),
        node_name: name.to_owned(),
        address: format!("10.0.0.{identity}:7000"),
        zone: format!("zone-{}", identity % 10),
        state: StoreState::Active,
    }
}

fn join(table: &mut StoreTable, identity: u64, name: &str) {
    table.apply(&StoreCommand::Join { node: node(identity, name) });
}

fn set_liveness(table: &mut StoreTable, identity: u64, liveness: Liveness) {
    table.apply(&StoreCommand::SetLiveness { identity: NodeIdentity(identity), liveness });
}

fn table_with_map(stores: u64) -> StoreTable {
    let mut table = StoreTable::default();
    for identity in 1..=stores {
        join(&mut table, identity, &format!("store-{identity}"));
    }
    table.apply(&StoreCommand::FormMap { replicas: REPLICAS, spread: Spread::over_machines() });
    table
}

fn retire(table: &mut StoreTable, name: &str) -> StoreOutcome {
    table.apply(&StoreCommand::Retire { node_name: name.to_owned() })
}

/// Reports each incomplete replica as complete; returns whether there was one.
fn report_all_complete(table: &mut StoreTable) -> bool {
    let epoch = table.map().epoch;
    let copying: BTreeSet<NodeIdentity> = table
        .map()
        .partitions
        .iter()
        .flat_map(|partition| {
            partition.replicas.iter().filter(|replica| !replica.is_complete).map(|replica| replica.store)
        })
        .collect();
    for store in &copying {
        let partitions = (0..STORE_PARTITIONS).map(Partition).collect();
        table.apply(&StoreCommand::ReplicasComplete { store: *store, epoch, partitions });
    }
    !copying.is_empty()
}

fn complete_all_moves(table: &mut StoreTable) {
    for _ in 0..100 {
        if !report_all_complete(table) {
            return;
        }
    }
    panic!("the table does not become stable: {:?}", table.map());
}

fn stores_with_replicas(map: &StoreMap) -> BTreeSet<NodeIdentity> {
    map.partitions
        .iter()
        .flat_map(|partition| partition.replicas.iter().map(|replica| replica.store))
        .collect()
}

fn all_quorums_complete(map: &StoreMap) -> bool {
    map.partitions.iter().all(|partition| {
        partition.replicas.iter().filter(|replica| replica.is_complete).count() >= partition.quorum()
    })
}

#[test]
fn first_map_is_complete_with_three_replicas_per_partition() {
    let table = table_with_map(4);
    assert_eq!(table.map().epoch, Epoch(1));
    assert_eq!(table.map().partitions.len(), usize::from(STORE_PARTITIONS));
    for partition in &table.map().partitions {
        let stores: BTreeSet<NodeIdentity> = partition.replicas.iter().map(|replica| replica.store).collect();
        assert_eq!(stores.len(), 3);
        assert!(partition.replicas.iter().all(|replica| replica.is_complete));
    }
    assert_eq!(stores_with_replicas(table.map()).len(), 4);
}

#[test]
fn too_few_stores_get_all_partitions_until_another_joins() {
    let mut table = table_with_map(2);
    assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 2));
    join(&mut table, 3, "store-3");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(3) });
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 3));
}

#[test]
fn first_map_is_formed_only_once() {
    let mut table = table_with_map(3);
    let map = table.map().clone();
    table.apply(&StoreCommand::FormMap { replicas: 1, spread: Spread::over_machines() });
    assert_eq!(*table.map(), map);
}

#[test]
fn restarted_store_does_not_change_the_map() {
    let mut table = table_with_map(3);
    let map = table.map().clone();
    set_liveness(&mut table, 2, Liveness::Unavailable);
    join(&mut table, 2, "store-2");
    assert_eq!(*table.map(), map);
}

#[test]
fn unavailable_store_keeps_its_slots_without_a_replacement() {
    let mut table = table_with_map(3);
    let map = table.map().clone();
    set_liveness(&mut table, 2, Liveness::Unavailable);
    set_liveness(&mut table, 2, Liveness::Dead);
    assert_eq!(*table.map(), map);
}

#[test]
fn store_that_lost_its_disk_gets_its_slots_as_incomplete() {
    let mut table = table_with_map(3);
    join(&mut table, 12, "store-2");
    assert!(!stores_with_replicas(table.map()).contains(&NodeIdentity(2)));
    for partition in &table.map().partitions {
        let replica = partition
            .replicas
            .iter()
            .find(|replica| replica.store == NodeIdentity(12))
            .expect("the slot is kept");
        assert!(!replica.is_complete);
        assert!(partition.sources.is_empty(), "a lost disk is no catch-up source");
    }
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(super::plan::all_complete));
}

#[test]
fn late_join_request_of_a_replaced_identity_is_rejected() {
    let mut table = table_with_map(3);
    join(&mut table, 12, "store-2");
    complete_all_moves(&mut table);
    let map = table.map().clone();
    join(&mut table, 2, "store-2");
    assert_eq!(*table.map(), map);
    assert!(table.store(NodeIdentity(2)).is_none());
}

#[test]
fn catch_up_from_before_a_change_of_replicas_does_not_count() {
    let mut table = table_with_map(3);
    join(&mut table, 12, "store-2");
    let stale = Epoch(table.map().epoch.0 - 1);
    table.apply(&StoreCommand::ReplicasComplete {
        store: NodeIdentity(12),
        epoch: stale,
        partitions: vec![Partition(0)],
    });
    assert!(!super::plan::all_complete(&table.map().partitions[0]));
}

#[test]
fn new_store_takes_the_slots_of_an_unavailable_one() {
    let mut table = table_with_map(3);
    join(&mut table, 4, "store-4");
    assert_eq!(stores_with_replicas(table.map()), BTreeSet::from([1, 2, 3].map(NodeIdentity)));
    set_liveness(&mut table, 2, Liveness::Unavailable);
    assert_eq!(stores_with_replicas(table.map()), BTreeSet::from([1, 3, 4].map(NodeIdentity)));
    assert!(all_quorums_complete(table.map()));
    assert!(table.map().partitions.iter().all(|partition| partition.sources == [NodeIdentity(2)]));
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(|partition| partition.sources.is_empty()));
}

#[test]
fn established_new_store_gets_its_share_and_quorums_stay_complete() {
    let mut table = table_with_map(3);
    join(&mut table, 4, "store-4");
    let epoch = table.map().epoch;
    assert_eq!(epoch, Epoch(1), "a store without replicas does not change the map");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(4) });
    for _ in 0..100 {
        assert!(all_quorums_complete(table.map()));
        if !report_all_complete(&mut table) {
            break;
        }
    }
    let share = table
        .map()
        .partitions
        .iter()
        .filter(|partition| partition.replicas.iter().any(|replica| replica.store == NodeIdentity(4)))
        .count();
    assert!((16..32).contains(&share), "the new store holds {share} partitions");
}

#[test]
fn adding_or_removing_a_store_changes_at_most_one_replica_of_a_partition() {
    let nodes: Vec<StoreNode> =
        (1..=6).map(|identity| node(identity, &format!("store-{identity}"))).collect();
    for partition in 0..STORE_PARTITIONS {
        let all: Vec<&StoreNode> = nodes.iter().collect();
        let fewer: Vec<&StoreNode> = nodes.iter().take(5).collect();
        let with: BTreeSet<NodeIdentity> =
            placement::select_stores(Partition(partition), &all, 3, &Spread::over_machines())
                .into_iter()
                .collect();
        let without: BTreeSet<NodeIdentity> =
            placement::select_stores(Partition(partition), &fewer, 3, &Spread::over_machines())
                .into_iter()
                .collect();
        assert!(with.difference(&without).count() <= 1);
    }
}

#[test]
fn replicas_are_in_different_zones_where_there_are_enough() {
    let mut nodes: Vec<StoreNode> =
        (1..=6).map(|identity| node(identity, &format!("store-{identity}"))).collect();
    for node in &mut nodes {
        node.zone = format!("zone-{}", node.identity.0 % 3);
    }
    let candidates: Vec<&StoreNode> = nodes.iter().collect();
    for partition in 0..STORE_PARTITIONS {
        let chosen = placement::select_stores(Partition(partition), &candidates, 3, &Spread::over_machines());
        let zones: BTreeSet<u64> = chosen.iter().map(|identity| identity.0 % 3).collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn retirement_moves_all_replicas_and_then_completes() {
    let mut table = table_with_map(4);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Active));
    for _ in 0..100 {
        assert!(all_quorums_complete(table.map()));
        if !report_all_complete(&mut table) {
            break;
        }
        let named = stores_with_replicas(table.map()).contains(&NodeIdentity(1));
        assert!(!(named && table.retire_state("store-1") == Some(RetireState::Completed)));
    }
    assert_eq!(stores_with_replicas(table.map()), BTreeSet::from([2, 3, 4].map(NodeIdentity)));
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
}

#[test]
fn completed_retirement_remains_completed_without_its_machine() {
    let mut table = table_with_map(4);
    retire(&mut table, "store-1");
    complete_all_moves(&mut table);
    set_liveness(&mut table, 1, Liveness::Dead);
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
    assert!(table.store(NodeIdentity(1)).is_none());
}

#[test]
fn retirement_is_rejected_with_too_few_stores_or_an_unknown_machine() {
    let mut table = table_with_map(3);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::TooFewStores);
    assert_eq!(retire(&mut table, "store-9"), StoreOutcome::UnknownNode);
    assert_eq!(table.retire_state("store-9"), None);
    let mut table = table_with_map(4);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
    assert_eq!(retire(&mut table, "store-2"), StoreOutcome::TooFewStores);
}

#[test]
fn retiring_store_that_lost_its_disk_gets_no_replicas() {
    let mut table = table_with_map(4);
    retire(&mut table, "store-1");
    join(&mut table, 11, "store-1");
    complete_all_moves(&mut table);
    assert_eq!(stores_with_replicas(table.map()), BTreeSet::from([2, 3, 4].map(NodeIdentity)));
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
}

#[test]
fn replaced_store_that_returns_has_to_catch_up() {
    let mut table = table_with_map(3);
    join(&mut table, 4, "store-4");
    set_liveness(&mut table, 2, Liveness::Unavailable);
    complete_all_moves(&mut table);
    set_liveness(&mut table, 2, Liveness::Live);
    for partition in &table.map().partitions {
        assert!(
            partition.replicas.iter().all(|replica| replica.store != NodeIdentity(2) || !replica.is_complete)
        );
    }
    complete_all_moves(&mut table);
    assert!(all_quorums_complete(table.map()));
}

#[test]
fn partitions_without_any_data_are_reset() {
    let mut table = table_with_map(3);
    for identity in 1..=3 {
        join(&mut table, identity + 10, &format!("store-{identity}"));
    }
    assert!(table.map().partitions.iter().all(super::plan::all_complete));
}

/// Checks invariants over random sequences of commands: the epoch of the map never decreases, a partition never has two
/// replicas on one store, and a replica becomes complete only by a catch-up or when all data is lost. In the end, with
/// all stores live, the table becomes stable.
#[test]
fn invariants_hold_for_random_orders_of_commands() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let mut table = table_with_map(3);
        let mut next_identity = 100;
        let mut epoch = table.map().epoch;
        for (kind, choice) in events {
            let identities: Vec<(u64, String)> = table
                .stores()
                .iter()
                .map(|entry| (entry.node.identity.0, entry.node.node_name.clone()))
                .collect();
            let (identity, name) = identities[usize::from(*choice) % identities.len()].clone();
            let before = table.map().clone();
            let mut reported = None;
            match kind % 9 {
                0 => {
                    next_identity += 1;
                    join(&mut table, next_identity, &name);
                }
                1 if identities.len() < 6 => {
                    next_identity += 1;
                    join(&mut table, next_identity, &format!("store-{next_identity}"));
                }
                2 => set_liveness(&mut table, identity, Liveness::Unavailable),
                3 => set_liveness(&mut table, identity, Liveness::Dead),
                4 => set_liveness(&mut table, identity, Liveness::Live),
                5 => {
                    retire(&mut table, &name);
                }
                6 => {
                    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(identity) });
                }
                _ => {
                    reported = Some(identity);
                    let partitions = (0..STORE_PARTITIONS).map(Partition).collect();
                    table.apply(&StoreCommand::ReplicasComplete {
                        store: NodeIdentity(identity),
                        epoch,
                        partitions,
                    });
                }
            }
            assert!(table.map().epoch >= epoch);
            epoch = table.map().epoch;
            check_step(&before, table.map(), reported);
        }
        let identities: Vec<u64> = table.stores().iter().map(|entry| entry.node.identity.0).collect();
        for identity in identities {
            set_liveness(&mut table, identity, Liveness::Live);
            table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(identity) });
        }
        complete_all_moves(&mut table);
    });
}

fn check_step(before: &StoreMap, after: &StoreMap, reported: Option<u64>) {
    for (number, partition) in after.partitions.iter().enumerate() {
        let stores: BTreeSet<NodeIdentity> = partition.replicas.iter().map(|replica| replica.store).collect();
        assert_eq!(stores.len(), partition.replicas.len(), "a store has two replicas of one partition");
        assert!(partition.sources.iter().all(|source| !stores.contains(source)));
        let old = &before.partitions[number];
        let had_data = old.replicas.iter().any(|replica| replica.is_complete) || !old.sources.is_empty();
        for replica in partition.replicas.iter().filter(|replica| replica.is_complete) {
            let was_complete = old.replicas.iter().any(|old| old.store == replica.store && old.is_complete);
            let has_reported = reported == Some(replica.store.0);
            assert!(
                was_complete || has_reported || !had_data || all_lost(old, after),
                "a replica became complete without a catch-up"
            );
        }
    }
}

/// Whether none of the stores that had data of a partition is still registered.
fn all_lost(old: &opalrun_wire::feed::PartitionReplicas, after: &StoreMap) -> bool {
    let complete = old.replicas.iter().filter(|replica| replica.is_complete).map(|replica| replica.store);
    let mut had_data = complete.chain(old.sources.iter().copied());
    had_data.all(|identity| after.stores.iter().all(|store| store.identity != identity))
}

fn request_shutdown(table: &mut StoreTable, identity: u64) -> StoreOutcome {
    table.apply(&StoreCommand::RequestShutdown { identity: NodeIdentity(identity) })
}

fn epoch(table: &StoreTable) -> u64 {
    (table.map().epoch).0
}

#[test]
fn restart_without_a_successor_moves_no_replicas() {
    for stores in [3, 4, 6] {
        let mut table = table_with_map(stores);
        assert_eq!(request_shutdown(&mut table, 1), StoreOutcome::NoSuccessor, "{stores} stores");
        assert_eq!(epoch(&table), 1);
    }
    assert_eq!(request_shutdown(&mut StoreTable::default(), 1), StoreOutcome::NoSuccessor);
}

#[test]
fn shutdown_with_a_successor_moves_replicas_first() {
    for stores in [3, 4] {
        let mut table = table_with_map(stores);
        join(&mut table, 9, "store-9");
        assert_eq!(request_shutdown(&mut table, 1), StoreOutcome::Done);
        for _ in 0..100 {
            assert!(all_quorums_complete(table.map()));
            if !report_all_complete(&mut table) {
                break;
            }
        }
        assert!(!stores_with_replicas(table.map()).contains(&NodeIdentity(1)));
        assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 3));
    }
}

#[test]
fn store_that_joins_again_is_no_longer_shutting_down() {
    let mut table = table_with_map(3);
    join(&mut table, 9, "store-9");
    request_shutdown(&mut table, 1);
    join(&mut table, 1, "store-1");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(9) });
    complete_all_moves(&mut table);
    assert!(stores_with_replicas(table.map()).contains(&NodeIdentity(1)));
}

/// A store is replaced permanently, and another one loses its disk as soon as the fault tolerance promises to survive
/// that. The successor already has replicas at that time, so it is no spare store; the slots of the replaced store must
/// move nevertheless.
#[test]
fn unavailable_store_with_an_established_successor_is_replaced_at_once() {
    for stores in [3, 4] {
        let mut table = table_with_map(stores);
        join(&mut table, 9, "store-9");
        table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(9) });
        complete_all_moves(&mut table);
        assert!(stores_with_replicas(table.map()).contains(&NodeIdentity(9)));
        set_liveness(&mut table, 1, Liveness::Unavailable);
        complete_all_moves(&mut table);
        assert!(!stores_with_replicas(table.map()).contains(&NodeIdentity(1)), "{stores} stores");
        // At the second loss, two stores have all the data of each partition.
        join(&mut table, 12, "store-2");
        for partition in &table.map().partitions {
            let complete = partition.replicas.iter().filter(|replica| replica.is_complete).count();
            assert!(complete + partition.sources.len() >= 2);
        }
        complete_all_moves(&mut table);
    }
}

#[test]
fn unavailable_store_without_a_successor_keeps_its_slots() {
    let mut table = table_with_map(4);
    set_liveness(&mut table, 1, Liveness::Unavailable);
    assert_eq!(epoch(&table), 1);
}

#[test]
fn retirement_lowers_the_expected_number_of_stores() {
    let mut table = table_with_map(4);
    retire(&mut table, "store-1");
    complete_all_moves(&mut table);
    set_liveness(&mut table, 1, Liveness::Dead);
    join(&mut table, 9, "store-9");
    assert_eq!(request_shutdown(&mut table, 2), StoreOutcome::Done);
}

#[test]
fn source_does_not_take_the_slot_of_another_replica() {
    let mut table = table_with_map(4);
    join(&mut table, 9, "store-9");
    set_liveness(&mut table, 1, Liveness::Unavailable);
    let before = table.map().clone();
    set_liveness(&mut table, 1, Liveness::Live);
    set_liveness(&mut table, 2, Liveness::Dead);
    for (old, new) in before.partitions.iter().zip(&table.map().partitions) {
        let second_store_was_complete =
            old.replicas.iter().any(|replica| replica.store == NodeIdentity(2) && replica.is_complete);
        if old.sources.contains(&NodeIdentity(1)) && second_store_was_complete {
            assert!(new.sources.contains(&NodeIdentity(1)), "other replicas catch up from this source");
        }
    }
}

/// Returns a table with `each` stores in each of three zones.
fn table_with_map_over_zones(each: u64, spread: &Spread) -> StoreTable {
    let mut table = StoreTable::default();
    for identity in 1..=3 * each {
        let zone = format!("zone-{}", identity % 3);
        let node = StoreNode { zone, ..node(identity, &format!("store-{identity}")) };
        table.apply(&StoreCommand::Join { node });
    }
    table.apply(&StoreCommand::FormMap { replicas: REPLICAS, spread: spread.clone() });
    table
}

fn zones_of(table: &StoreTable, partition: &opalrun_wire::feed::PartitionReplicas) -> BTreeSet<String> {
    let zone = |replica: &opalrun_wire::feed::Replica| {
        table.store(replica.store).map(|entry| entry.node.zone.clone()).unwrap_or_default()
    };
    partition.replicas.iter().map(zone).collect()
}

#[test]
fn replicas_never_share_a_zone_where_a_zone_may_be_lost() {
    let mut table = table_with_map_over_zones(2, &Spread::over_zones(1, 1));
    let in_separate_zones = |table: &StoreTable| {
        table.map().partitions.iter().all(|partition| zones_of(table, partition).len() == 3)
    };
    assert!(in_separate_zones(&table));
    // All stores of one zone are dead: their slots wait for them, since another zone may fail as well.
    for identity in [3, 6] {
        set_liveness(&mut table, identity, Liveness::Dead);
    }
    assert!(in_separate_zones(&table));
    // One of the two stores of a zone is lost: the other one takes over all its slots.
    let mut table = table_with_map_over_zones(2, &Spread::over_zones(1, 1));
    set_liveness(&mut table, 3, Liveness::Dead);
    complete_all_moves(&mut table);
    assert!(in_separate_zones(&table));
    assert!(!stores_with_replicas(table.map()).contains(&NodeIdentity(3)));
}

#[test]
fn last_store_of_a_zone_cannot_be_retired_where_a_zone_may_be_lost() {
    let mut table = table_with_map_over_zones(2, &Spread::over_zones(1, 1));
    assert_eq!(retire(&mut table, "store-3"), StoreOutcome::Done);
    complete_all_moves(&mut table);
    assert_eq!(retire(&mut table, "store-6"), StoreOutcome::TooFewStores);
    assert_eq!(retire(&mut table, "store-3"), StoreOutcome::Done, "a repeated request succeeds");
}

#[test]
fn too_few_regions_fall_back_to_separate_machines() {
    let regions = (0..3).map(|zone| (format!("zone-{zone}"), format!("region-{}", zone / 2))).collect();
    let spread = Spread::over_regions(regions, 1, 1);
    let two_regions = table_with_map_over_zones(2, &spread);
    let in_three_zones = |table: &StoreTable| {
        table.map().partitions.iter().all(|partition| zones_of(table, partition).len() == 3)
    };
    assert!(
        in_three_zones(&two_regions),
        "two regions cannot hold three replicas apart, but the zones differ"
    );
}

/// With five replicas, enough others are complete to release a source, but its data would be missing after the loss of
/// two more disks.
#[test]
fn source_is_kept_with_five_replicas() {
    let mut table = StoreTable::default();
    for identity in 1..=7 {
        join(&mut table, identity, &format!("store-{identity}"));
    }
    table.apply(&StoreCommand::FormMap { replicas: 5, spread: Spread::over_machines() });
    set_liveness(&mut table, 1, Liveness::Dead);
    set_liveness(&mut table, 1, Liveness::Live);
    let before = table.map().clone();
    set_liveness(&mut table, 2, Liveness::Dead);
    let mut sources = 0;
    for (old, new) in before.partitions.iter().zip(&table.map().partitions) {
        let second_store_was_complete =
            old.replicas.iter().any(|replica| replica.store == NodeIdentity(2) && replica.is_complete);
        if old.sources.contains(&NodeIdentity(1)) && second_store_was_complete {
            assert!(new.sources.contains(&NodeIdentity(1)), "other replicas catch up from this source");
            sources += 1;
        }
    }
    assert!(sources > 5, "only {sources} partitions have such a source");
}

#[test]
fn live_store_is_admitted_for_any_order_of_join_requests() {
    let mut table = table_with_map(3);
    join(&mut table, 22, "store-2");
    join(&mut table, 12, "store-2");
    assert!(
        stores_with_replicas(table.map()).contains(&NodeIdentity(12)),
        "the identity that joined last counts as the newer one"
    );
    for _ in 0..10 {
        join(&mut table, 22, "store-2");
    }
    assert_eq!(stores_with_replicas(table.map()), BTreeSet::from([1, 3, 22].map(NodeIdentity)));
    complete_all_moves(&mut table);
    assert!(all_quorums_complete(table.map()));
}
