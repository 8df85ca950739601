//! Selection of the sources that a replica catches up from, and their required number.

use opalrun_store::transfer::{NextPage, TransferPlan};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica},
    ids::NodeIdentity,
};

const OWN_STORE: u64 = 50;

/// Returns a partition with this store as an incomplete replica, and the given other replicas and sources.
fn partition(complete: &[u64], incomplete: &[u64], sources: &[u64]) -> PartitionReplicas {
    let replica = |is_complete| move |store: &u64| Replica { store: NodeIdentity(*store), is_complete };
    let replicas = complete
        .iter()
        .map(replica(true))
        .chain(incomplete.iter().map(replica(false)))
        .chain([Replica { store: NodeIdentity(OWN_STORE), is_complete: false }])
        .collect();
    PartitionReplicas { replicas, sources: sources.iter().copied().map(NodeIdentity).collect() }
}

/// Executes a plan: each source returns its only page, and requests to stores in `down` fail. Returns the stores that were
/// read, in order.
fn read(plan: &mut TransferPlan, down: &[u64]) -> Vec<u64> {
    let mut read = Vec::new();
    for _ in 0..50 {
        let Some(NextPage { store, .. }) = plan.next_page() else { break };
        if down.contains(&store.0) {
            plan.record_failure(store);
        } else {
            plan.record_page(store, None);
            read.push(store.0);
        }
    }
    read
}

#[test]
fn with_three_replicas_two_others_are_read() {
    let mut plan = TransferPlan::new(&partition(&[1, 2], &[], &[]), NodeIdentity(OWN_STORE));
    assert_eq!(read(&mut plan, &[]), [1, 2]);
    assert!(plan.is_complete());
}

#[test]
fn with_five_replicas_three_others_are_read() {
    let mut plan = TransferPlan::new(&partition(&[1, 2, 3, 4], &[], &[]), NodeIdentity(OWN_STORE));
    assert_eq!(read(&mut plan, &[2]), [1, 3, 4]);
    assert!(plan.is_complete());
}

#[test]
fn with_two_replicas_the_other_one_is_read() {
    let mut plan = TransferPlan::new(&partition(&[1], &[], &[]), NodeIdentity(OWN_STORE));
    assert_eq!(read(&mut plan, &[]), [1]);
    assert!(plan.is_complete());
}

#[test]
fn a_former_replica_is_read_in_place_of_one_that_is_down() {
    let mut plan = TransferPlan::new(&partition(&[1, 2], &[], &[3]), NodeIdentity(OWN_STORE));
    assert_eq!(read(&mut plan, &[1]), [2, 3]);
    assert!(plan.is_complete());
}

#[test]
fn incomplete_replicas_are_not_read() {
    let mut plan = TransferPlan::new(&partition(&[1], &[2], &[]), NodeIdentity(OWN_STORE));
    assert!(!plan.has_enough_sources());
    assert_eq!(read(&mut plan, &[]), [1]);
    assert!(!plan.is_complete());
    assert_eq!(plan.next_page(), None);
}

#[test]
fn a_retry_continues_at_the_cursor_after_the_last_page_read() {
    let mut plan = TransferPlan::new(&partition(&[1, 2], &[], &[3]), NodeIdentity(OWN_STORE));
    plan.record_page(NodeIdentity(1), Some(40));
    assert_eq!(plan.next_page(), Some(NextPage { store: NodeIdentity(1), cursor: 40 }));
    plan.record_failure(NodeIdentity(1));
    assert_eq!(plan.next_page(), Some(NextPage { store: NodeIdentity(2), cursor: 0 }));
    plan.record_page(NodeIdentity(2), None);
    plan.record_failure(NodeIdentity(3));
    assert_eq!(plan.next_page(), Some(NextPage { store: NodeIdentity(1), cursor: 40 }));
}

#[test]
fn a_source_that_was_read_counts_after_the_map_no_longer_lists_it() {
    let mut plan = TransferPlan::new(&partition(&[1, 2], &[], &[3]), NodeIdentity(OWN_STORE));
    plan.record_page(NodeIdentity(3), None);
    plan.record_page(NodeIdentity(1), Some(7));
    plan.set_sources(&partition(&[1, 2], &[], &[]), NodeIdentity(OWN_STORE));
    assert_eq!(plan.next_page(), Some(NextPage { store: NodeIdentity(1), cursor: 7 }));
    plan.record_page(NodeIdentity(1), None);
    assert!(plan.is_complete());
}

#[test]
fn the_plan_of_a_partition_without_replicas_is_never_complete() {
    let plan = TransferPlan::new(&PartitionReplicas::default(), NodeIdentity(OWN_STORE));
    assert!(!plan.is_complete());
    assert_eq!(plan.next_page(), None);
}
