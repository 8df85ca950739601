//! The table of stores through orders of events.

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

fn formed(stores: u64) -> StoreTable {
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

/// Every replica that is not complete reports that it is; returns whether there was one.
fn all_report(table: &mut StoreTable) -> bool {
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
        if !all_report(table) {
            return;
        }
    }
    panic!("the table never becomes stable: {:?}", table.map());
}

fn holders(map: &StoreMap) -> BTreeSet<NodeIdentity> {
    map.partitions
        .iter()
        .flat_map(|partition| partition.replicas.iter().map(|replica| replica.store))
        .collect()
}

fn complete_quorum_everywhere(map: &StoreMap) -> bool {
    map.partitions.iter().all(|partition| {
        partition.replicas.iter().filter(|replica| replica.is_complete).count() >= partition.quorum()
    })
}

#[test]
fn the_first_map_is_complete_and_has_three_replicas_of_each_partition() {
    let table = formed(4);
    assert_eq!(table.map().epoch, Epoch(1));
    assert_eq!(table.map().partitions.len(), usize::from(STORE_PARTITIONS));
    for partition in &table.map().partitions {
        let stores: BTreeSet<NodeIdentity> = partition.replicas.iter().map(|replica| replica.store).collect();
        assert_eq!(stores.len(), 3);
        assert!(partition.replicas.iter().all(|replica| replica.is_complete));
    }
    assert_eq!(holders(table.map()).len(), 4);
}

#[test]
fn fewer_stores_than_replicas_hold_everything_and_a_later_one_is_added() {
    let mut table = formed(2);
    assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 2));
    join(&mut table, 3, "store-3");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(3) });
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 3));
}

#[test]
fn a_map_is_formed_once() {
    let mut table = formed(3);
    let map = table.map().clone();
    table.apply(&StoreCommand::FormMap { replicas: 1, spread: Spread::over_machines() });
    assert_eq!(*table.map(), map);
}

#[test]
fn a_store_that_starts_again_changes_nothing() {
    let mut table = formed(3);
    let map = table.map().clone();
    set_liveness(&mut table, 2, Liveness::Unavailable);
    join(&mut table, 2, "store-2");
    assert_eq!(*table.map(), map);
}

#[test]
fn an_unavailable_store_keeps_its_slots_while_no_other_could_take_them() {
    let mut table = formed(3);
    let map = table.map().clone();
    set_liveness(&mut table, 2, Liveness::Unavailable);
    set_liveness(&mut table, 2, Liveness::Dead);
    assert_eq!(*table.map(), map);
}

#[test]
fn a_store_that_lost_its_disk_takes_its_old_slots_and_is_not_complete() {
    let mut table = formed(3);
    join(&mut table, 12, "store-2");
    assert!(!holders(table.map()).contains(&NodeIdentity(2)));
    for partition in &table.map().partitions {
        let replica = partition
            .replicas
            .iter()
            .find(|replica| replica.store == NodeIdentity(12))
            .expect("it has its place");
        assert!(!replica.is_complete);
        assert!(partition.sources.is_empty(), "what it stored is gone");
    }
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(super::plan::all_complete));
}

#[test]
fn a_late_join_request_of_a_replaced_identity_is_rejected() {
    let mut table = formed(3);
    join(&mut table, 12, "store-2");
    complete_all_moves(&mut table);
    let map = table.map().clone();
    join(&mut table, 2, "store-2");
    assert_eq!(*table.map(), map);
    assert!(table.store(NodeIdentity(2)).is_none());
}

#[test]
fn a_catch_up_that_began_before_the_replicas_changed_does_not_count() {
    let mut table = formed(3);
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
fn a_new_store_takes_the_slots_of_one_that_is_unavailable() {
    let mut table = formed(3);
    join(&mut table, 4, "store-4");
    assert_eq!(holders(table.map()), BTreeSet::from([1, 2, 3].map(NodeIdentity)));
    set_liveness(&mut table, 2, Liveness::Unavailable);
    assert_eq!(holders(table.map()), BTreeSet::from([1, 3, 4].map(NodeIdentity)));
    assert!(complete_quorum_everywhere(table.map()));
    assert!(table.map().partitions.iter().all(|partition| partition.sources == [NodeIdentity(2)]));
    complete_all_moves(&mut table);
    assert!(table.map().partitions.iter().all(|partition| partition.sources.is_empty()));
}

#[test]
fn an_established_new_store_gets_its_share_and_quorums_stay_complete() {
    let mut table = formed(3);
    join(&mut table, 4, "store-4");
    let epoch = table.map().epoch;
    assert_eq!(epoch, Epoch(1), "a store without replicas does not change the map");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(4) });
    for _ in 0..100 {
        assert!(complete_quorum_everywhere(table.map()));
        if !all_report(&mut table) {
            break;
        }
    }
    let share = table
        .map()
        .partitions
        .iter()
        .filter(|partition| partition.replicas.iter().any(|replica| replica.store == NodeIdentity(4)))
        .count();
    assert!((16..32).contains(&share), "it holds {share} partitions");
}

#[test]
fn a_coming_or_going_store_changes_one_replica_of_a_partition_at_most() {
    let nodes: Vec<StoreNode> =
        (1..=6).map(|identity| node(identity, &format!("store-{identity}"))).collect();
    for partition in 0..STORE_PARTITIONS {
        let all: Vec<&StoreNode> = nodes.iter().collect();
        let fewer: Vec<&StoreNode> = nodes.iter().take(5).collect();
        let with: BTreeSet<NodeIdentity> =
            placement::choose(Partition(partition), &all, 3, &Spread::over_machines()).into_iter().collect();
        let without: BTreeSet<NodeIdentity> =
            placement::choose(Partition(partition), &fewer, 3, &Spread::over_machines())
                .into_iter()
                .collect();
        assert!(with.difference(&without).count() <= 1);
    }
}

#[test]
fn replicas_lie_in_other_zones_where_there_are_enough() {
    let mut nodes: Vec<StoreNode> =
        (1..=6).map(|identity| node(identity, &format!("store-{identity}"))).collect();
    for node in &mut nodes {
        node.zone = format!("zone-{}", node.identity.0 % 3);
    }
    let candidates: Vec<&StoreNode> = nodes.iter().collect();
    for partition in 0..STORE_PARTITIONS {
        let chosen = placement::choose(Partition(partition), &candidates, 3, &Spread::over_machines());
        let zones: BTreeSet<u64> = chosen.iter().map(|identity| identity.0 % 3).collect();
        assert_eq!(zones.len(), 3);
    }
}

#[test]
fn retiring_moves_all_replicas_and_then_completes() {
    let mut table = formed(4);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Active));
    for _ in 0..100 {
        assert!(complete_quorum_everywhere(table.map()));
        if !all_report(&mut table) {
            break;
        }
        let named = holders(table.map()).contains(&NodeIdentity(1));
        assert!(!(named && table.retire_state("store-1") == Some(RetireState::Completed)));
    }
    assert_eq!(holders(table.map()), BTreeSet::from([2, 3, 4].map(NodeIdentity)));
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
}

#[test]
fn a_completed_store_stays_completed_when_its_machine_is_gone() {
    let mut table = formed(4);
    retire(&mut table, "store-1");
    complete_all_moves(&mut table);
    set_liveness(&mut table, 1, Liveness::Dead);
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
    assert!(table.store(NodeIdentity(1)).is_none());
}

#[test]
fn retiring_is_rejected_where_too_few_would_be_left_or_the_machine_is_unknown() {
    let mut table = formed(3);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::TooFewStores);
    assert_eq!(retire(&mut table, "store-9"), StoreOutcome::UnknownNode);
    assert_eq!(table.retire_state("store-9"), None);
    let mut table = formed(4);
    assert_eq!(retire(&mut table, "store-1"), StoreOutcome::Done);
    assert_eq!(retire(&mut table, "store-2"), StoreOutcome::TooFewStores);
}

#[test]
fn a_retiring_store_that_lost_its_disk_gets_nothing_back() {
    let mut table = formed(4);
    retire(&mut table, "store-1");
    join(&mut table, 11, "store-1");
    complete_all_moves(&mut table);
    assert_eq!(holders(table.map()), BTreeSet::from([2, 3, 4].map(NodeIdentity)));
    assert_eq!(table.retire_state("store-1"), Some(RetireState::Completed));
}

#[test]
fn a_store_that_comes_back_after_it_was_replaced_has_to_catch_up() {
    let mut table = formed(3);
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
    assert!(complete_quorum_everywhere(table.map()));
}

#[test]
fn partitions_whose_every_replica_was_lost_begin_anew() {
    let mut table = formed(3);
    for identity in 1..=3 {
        join(&mut table, identity + 10, &format!("store-{identity}"));
    }
    assert!(table.map().partitions.iter().all(super::plan::all_complete));
}

/// Random orders of events: the map's epoch never falls, a partition never has a store twice, a complete replica has had
/// its partition without a break since it became complete, and in the end, with all stores live, the table is stable.
#[test]
fn random_orders_keep_the_map_sound() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let mut table = formed(3);
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
        assert_eq!(stores.len(), partition.replicas.len(), "a store twice in one partition");
        assert!(partition.sources.iter().all(|source| !stores.contains(source)));
        let old = &before.partitions[number];
        let something_was_left =
            old.replicas.iter().any(|replica| replica.is_complete) || !old.sources.is_empty();
        for replica in partition.replicas.iter().filter(|replica| replica.is_complete) {
            let was_complete = old.replicas.iter().any(|old| old.store == replica.store && old.is_complete);
            let has_reported = reported == Some(replica.store.0);
            assert!(
                was_complete || has_reported || !something_was_left || all_lost(old, after),
                "whole without a copy"
            );
        }
    }
}

/// None of the stores that had data of a partition is known any more.
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
fn a_store_that_is_restarted_moves_nothing() {
    for stores in [3, 4, 6] {
        let mut table = formed(stores);
        assert_eq!(request_shutdown(&mut table, 1), StoreOutcome::NoSuccessor, "{stores} stores");
        assert_eq!(epoch(&table), 1);
    }
    assert_eq!(request_shutdown(&mut StoreTable::default(), 1), StoreOutcome::NoSuccessor);
}

#[test]
fn a_store_that_ends_when_its_successor_is_there_moves_its_replicas_first() {
    for stores in [3, 4] {
        let mut table = formed(stores);
        join(&mut table, 9, "store-9");
        assert_eq!(request_shutdown(&mut table, 1), StoreOutcome::Done);
        for _ in 0..100 {
            assert!(complete_quorum_everywhere(table.map()));
            if !all_report(&mut table) {
                break;
            }
        }
        assert!(!holders(table.map()).contains(&NodeIdentity(1)));
        assert!(table.map().partitions.iter().all(|partition| partition.replicas.len() == 3));
    }
}

#[test]
fn a_store_that_was_shutting_down_and_joins_again_stays() {
    let mut table = formed(3);
    join(&mut table, 9, "store-9");
    request_shutdown(&mut table, 1);
    join(&mut table, 1, "store-1");
    table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(9) });
    complete_all_moves(&mut table);
    assert!(holders(table.map()).contains(&NodeIdentity(1)));
}

/// As on a day on which a store is replaced for good, and another one loses its disk as soon as that must be borne again.
#[test]
fn an_unavailable_store_whose_successor_has_replicas_already_is_replaced_at_once() {
    for stores in [3, 4] {
        let mut table = formed(stores);
        join(&mut table, 9, "store-9");
        table.apply(&StoreCommand::MarkEstablished { identity: NodeIdentity(9) });
        complete_all_moves(&mut table);
        assert!(holders(table.map()).contains(&NodeIdentity(9)));
        set_liveness(&mut table, 1, Liveness::Unavailable);
        complete_all_moves(&mut table);
        assert!(!holders(table.map()).contains(&NodeIdentity(1)), "{stores} stores");
        // At the second loss two stores have everything.
        join(&mut table, 12, "store-2");
        for partition in &table.map().partitions {
            let complete = partition.replicas.iter().filter(|replica| replica.is_complete).count();
            assert!(complete + partition.sources.len() >= 2);
        }
        complete_all_moves(&mut table);
    }
}

#[test]
fn an_unavailable_store_without_a_successor_keeps_its_slots_for_long() {
    let mut table = formed(4);
    set_liveness(&mut table, 1, Liveness::Unavailable);
    assert_eq!(epoch(&table), 1);
}

#[test]
fn after_one_was_emptied_on_purpose_fewer_stores_are_expected() {
    let mut table = formed(4);
    retire(&mut table, "store-1");
    complete_all_moves(&mut table);
    set_liveness(&mut table, 1, Liveness::Dead);
    join(&mut table, 9, "store-9");
    assert_eq!(request_shutdown(&mut table, 2), StoreOutcome::Done);
}

#[test]
fn a_source_does_not_take_the_slot_of_another_replica() {
    let mut table = formed(4);
    join(&mut table, 9, "store-9");
    set_liveness(&mut table, 1, Liveness::Unavailable);
    let before = table.map().clone();
    set_liveness(&mut table, 1, Liveness::Live);
    set_liveness(&mut table, 2, Liveness::Dead);
    for (old, new) in before.partitions.iter().zip(&table.map().partitions) {
        let second_was_complete =
            old.replicas.iter().any(|replica| replica.store == NodeIdentity(2) && replica.is_complete);
        if old.sources.contains(&NodeIdentity(1)) && second_was_complete {
            assert!(new.sources.contains(&NodeIdentity(1)), "others copy from it");
        }
    }
}

/// Stores of three zones, `each` in every zone.
fn formed_over_zones(each: u64, spread: &Spread) -> StoreTable {
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
    let mut table = formed_over_zones(2, &Spread::over_zones(1, 1));
    let all_apart = |table: &StoreTable| {
        table.map().partitions.iter().all(|partition| zones_of(table, partition).len() == 3)
    };
    assert!(all_apart(&table));
    // A complete zone is dead: its slots wait for it, as the others may be lost with their zones.
    for identity in [3, 6] {
        set_liveness(&mut table, identity, Liveness::Dead);
    }
    assert!(all_apart(&table));
    // One of two stores of a zone is gone: the other one takes all.
    let mut table = formed_over_zones(2, &Spread::over_zones(1, 1));
    set_liveness(&mut table, 3, Liveness::Dead);
    complete_all_moves(&mut table);
    assert!(all_apart(&table));
    assert!(!holders(table.map()).contains(&NodeIdentity(3)));
}

#[test]
fn the_last_store_of_a_zone_is_not_emptied_where_a_zone_may_be_lost() {
    let mut table = formed_over_zones(2, &Spread::over_zones(1, 1));
    assert_eq!(retire(&mut table, "store-3"), StoreOutcome::Done);
    complete_all_moves(&mut table);
    assert_eq!(retire(&mut table, "store-6"), StoreOutcome::TooFewStores);
    assert_eq!(retire(&mut table, "store-3"), StoreOutcome::Done, "the same order again");
}

#[test]
fn replicas_are_spread_over_regions_where_a_region_may_be_lost() {
    let regions = (0..3).map(|zone| (format!("zone-{zone}"), format!("region-{}", zone / 2))).collect();
    let spread = Spread::over_regions(regions, 1, 1);
    let two_regions = formed_over_zones(2, &spread);
    let apart = |table: &StoreTable| {
        table.map().partitions.iter().all(|partition| zones_of(table, partition).len() == 3)
    };
    assert!(apart(&two_regions), "two regions can't be kept apart three times, zones still are");
}

/// With five replicas enough others are complete to release a source; it would be missed when two more disks are lost.
#[test]
fn a_source_of_five_replicas_stays_one_too() {
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
        let second_was_complete =
            old.replicas.iter().any(|replica| replica.store == NodeIdentity(2) && replica.is_complete);
        if old.sources.contains(&NodeIdentity(1)) && second_was_complete {
            assert!(new.sources.contains(&NodeIdentity(1)), "others copy from it");
            sources += 1;
        }
    }
    assert!(sources > 5, "{sources} partitions show it");
}

#[test]
fn the_store_that_is_alive_is_admitted_in_the_end_whatever_the_order_of_join_requests() {
    let mut table = formed(3);
    join(&mut table, 22, "store-2");
    join(&mut table, 12, "store-2");
    assert!(holders(table.map()).contains(&NodeIdentity(12)), "the late hello is taken for the newer one");
    for _ in 0..10 {
        join(&mut table, 22, "store-2");
    }
    assert_eq!(holders(table.map()), BTreeSet::from([1, 3, 22].map(NodeIdentity)));
    complete_all_moves(&mut table);
    assert!(complete_quorum_everywhere(table.map()));
}
