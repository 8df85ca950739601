//! Unit tests of the store's state machine.

mod retention;

use opalrun_store::state::{PAGE_BYTES, PartitionPage, RequestOutcome, StoreLimits, StoreState};
use opalrun_wire::{
    ResultCode,
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, partition_of},
    ids::{Epoch, NodeIdentity, Partition},
    store::{CountEntry, StoreReply, StoreRequest, Turn, keep_ms},
};
use std::{rc::Rc, time::Duration};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 1 << 30, disk_bytes: 1 << 30 };
const START: Duration = Duration::from_secs(5);
const OWN_STORE: u64 = 1;
/// Requested retention of the turns, in milliseconds.
const RETENTION_MS: u64 = 60_000;

fn replica(store: u64, is_complete: bool) -> Replica {
    Replica { store: NodeIdentity(store), is_complete }
}

fn map(epoch: u64, replicas: &[Replica], sources: &[u64]) -> Rc<StoreMap> {
    let partition = PartitionReplicas {
        replicas: replicas.to_vec(),
        sources: sources.iter().copied().map(NodeIdentity).collect(),
    };
    Rc::new(StoreMap {
        epoch: Epoch(epoch),
        stores: Vec::new(),
        partitions: vec![partition; usize::from(STORE_PARTITIONS)],
    })
}

fn complete_map(epoch: u64) -> Rc<StoreMap> {
    map(epoch, &[replica(OWN_STORE, true), replica(2, true), replica(3, true)], &[])
}

fn state() -> StoreState {
    let mut state = StoreState::new(NodeIdentity(OWN_STORE), LIMITS);
    state.set_map(complete_map(4));
    state
}

fn turn(id: &str, bytes: usize) -> Turn {
    Turn {
        id: id.to_owned(),
        ancestors: Vec::new(),
        input: vec![b'x'; bytes],
        output: Vec::new(),
        retention_ms: RETENTION_MS,
        worker: String::new(),
    }
}

fn put(epoch: u64, id: &str) -> StoreRequest {
    StoreRequest::PutTurn { epoch: Epoch(epoch), turn: turn(id, 10) }
}

fn get(epoch: u64, id: &str) -> StoreRequest {
    StoreRequest::GetTurn { epoch: Epoch(epoch), id: id.to_owned() }
}

/// Extends the retention of turns of the partition of the first one.
fn extend(epoch: u64, ids: &[&str]) -> StoreRequest {
    extend_for(epoch, ids, RETENTION_MS)
}

fn extend_for(epoch: u64, ids: &[&str], retention_ms: u64) -> StoreRequest {
    StoreRequest::ExtendTurns {
        epoch: Epoch(epoch),
        partition: partition_of(ids[0]),
        ids: ids.iter().map(|id| (*id).to_owned()).collect(),
        retention_ms,
    }
}

/// Returns how long a store keeps a turn whose requested retention is `retention_ms`.
fn keep(retention_ms: u64) -> Duration {
    Duration::from_millis(keep_ms(retention_ms))
}

/// Returns a millisecond less than [`keep`].
fn almost(retention_ms: u64) -> Duration {
    Duration::from_millis(keep_ms(retention_ms) - 1)
}

/// Rewrites all records of the log.
fn compact(state: &mut StoreState, now: Duration) {
    let end = state.next_record();
    while state.oldest_record() < end {
        state.rewrite_oldest(100, now);
    }
}

fn count(epoch: u64, holder: u64, sequence: u64, taken: u64) -> StoreRequest {
    StoreRequest::WriteCount {
        epoch: Epoch(epoch),
        program: "p".to_owned(),
        entry: CountEntry { holder, sequence, taken },
    }
}

fn reply(handled: RequestOutcome) -> StoreReply {
    match handled {
        RequestOutcome::Reply(reply) | RequestOutcome::AfterSync { reply, .. } => reply,
        RequestOutcome::NewerEpoch => panic!("the epoch is unknown"),
    }
}

fn has_turn(state: &mut StoreState, id: &str, now: Duration) -> bool {
    let epoch = state.epoch();
    matches!(reply(state.handle(&get(epoch.0, id), now)), StoreReply::Turn { turn: Some(_), .. })
}

fn entries(handled: RequestOutcome) -> Vec<CountEntry> {
    match reply(handled) {
        StoreReply::Count { entries, .. } => entries,
        other => panic!("no count: {other:?}"),
    }
}

/// Returns the state after a restart at `now`, replayed from `records`.
fn restarted(records: &[Vec<u8>], now: Duration) -> StoreState {
    let mut state = StoreState::new(NodeIdentity(OWN_STORE), LIMITS);
    for (number, record) in records.iter().enumerate() {
        state.replay(number as u64, record, now).unwrap();
    }
    state.set_next_record(records.len() as u64);
    state
}

fn records(state: &mut StoreState) -> Vec<Vec<u8>> {
    state.take_pending_records().iter().map(|record| record.to_vec()).collect()
}

#[test]
fn a_request_of_an_old_epoch_is_rejected_only_if_the_placement_has_changed() {
    let mut state = state();
    assert!(state.set_map(complete_map(5)));
    assert!(matches!(reply(state.handle(&put(4, "t"), START)), StoreReply::Stored { is_complete: true }));
    assert!(state.set_map(map(6, &[replica(OWN_STORE, true), replica(2, true), replica(9, false)], &[3])));
    assert_eq!(
        state.handle(&put(5, "t"), START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(6) })
    );
    assert!(matches!(reply(state.handle(&put(6, "t"), START)), StoreReply::Stored { is_complete: true }));
    assert_eq!(state.handle(&put(7, "t"), START), RequestOutcome::NewerEpoch);
}

#[test]
fn without_the_preceding_map_every_placement_counts_as_changed() {
    let mut state = state();
    state.set_map(complete_map(9));
    assert_eq!(
        state.handle(&put(8, "t"), START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(9) })
    );
}

#[test]
fn the_highest_epoch_is_restored_after_a_restart() {
    let mut state = state();
    state.set_map(complete_map(5));
    let mut state = restarted(&records(&mut state), START);
    assert_eq!(state.epoch(), Epoch(5));
    assert!(!state.set_map(complete_map(4)), "a map of an older epoch is rejected");
    assert_eq!(state.handle(&put(5, "t"), START), RequestOutcome::NewerEpoch);
    assert!(state.set_map(complete_map(5)));
    assert_eq!(
        state.handle(&put(4, "t"), START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(5) })
    );
}

#[test]
fn no_reply_is_sent_before_its_epoch_is_on_disk() {
    let mut state = state();
    let RequestOutcome::AfterSync { record: first, .. } = state.handle(&put(4, "t"), START) else { panic!() };
    state.set_map(complete_map(5));
    let epoch_record = state.next_record() - 1;
    assert!(first < epoch_record);
    for request in [put(5, "t"), get(5, "t"), get(5, "other")] {
        let RequestOutcome::AfterSync { record, .. } = state.handle(&request, START) else { panic!() };
        assert!(record >= epoch_record);
    }
}

#[test]
fn partitions_placed_elsewhere_are_neither_served_nor_stored() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    state.set_map(map(5, &[replica(2, true), replica(3, true), replica(4, false)], &[OWN_STORE]));
    assert!(state.live_bytes() > 0, "a source keeps its data");
    assert_eq!(
        state.handle(&put(5, "t"), START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(5) })
    );
    let copy_request =
        StoreRequest::CopyPartition { epoch: Epoch(5), partition: partition_of("t"), cursor: 0 };
    assert!(matches!(reply(state.handle(&copy_request, START)), StoreReply::Page { next: None, .. }));
    state.set_map(map(6, &[replica(2, true), replica(3, true), replica(4, true)], &[]));
    assert_eq!(state.live_bytes(), 0);
    assert_eq!(
        state.handle(&copy_request, START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(6) })
    );
}

#[test]
fn an_incomplete_replica_reports_itself_incomplete_and_is_not_a_source() {
    let mut state = StoreState::new(NodeIdentity(OWN_STORE), LIMITS);
    state.set_map(map(2, &[replica(OWN_STORE, false), replica(2, true), replica(3, true)], &[]));
    assert_eq!(reply(state.handle(&put(2, "t"), START)), StoreReply::Stored { is_complete: false });
    assert!(matches!(
        reply(state.handle(&get(2, "u"), START)),
        StoreReply::Turn { is_complete: false, turn: None, .. }
    ));
    let copy_request = StoreRequest::CopyPartition { epoch: Epoch(2), partition: Partition(0), cursor: 0 };
    assert_eq!(
        state.handle(&copy_request, START),
        RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(2) })
    );
    assert_eq!(state.required_transfers().len(), usize::from(STORE_PARTITIONS));
}

/// A source that has not learned the requester's epoch could accept a write of an older epoch after it has sent the page,
/// and the transfer would miss that write.
#[test]
fn a_page_is_served_only_once_the_requesters_epoch_is_learned() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let copy_request =
        StoreRequest::CopyPartition { epoch: Epoch(5), partition: partition_of("t"), cursor: 0 };
    assert_eq!(state.handle(&copy_request, START), RequestOutcome::NewerEpoch);
    state.set_map(map(5, &[replica(OWN_STORE, true), replica(2, true), replica(4, false)], &[]));
    assert!(matches!(reply(state.handle(&copy_request, START)), StoreReply::Page { .. }));
}

#[test]
fn the_highest_sequence_of_a_holder_wins() {
    let mut state = state();
    state.handle(&count(4, 7, 2, 50), START);
    state.handle(&count(4, 7, 1, 90), START);
    state.handle(&count(4, 8, 1, 5), START);
    let mut found = entries(state.handle(&count(4, 7, 2, 50), START));
    found.sort_by_key(|entry| entry.holder);
    let expected =
        [CountEntry { holder: 7, sequence: 2, taken: 50 }, CountEntry { holder: 8, sequence: 1, taken: 5 }];
    assert_eq!(found, expected);
    let mut state = restarted(&records(&mut state), START);
    state.set_map(complete_map(4));
    assert_eq!(entries(state.handle(&count(4, 8, 1, 5), START)).len(), 2);
}

#[test]
fn a_retried_write_waits_for_the_record_of_the_first_and_adds_none() {
    let mut state = state();
    let RequestOutcome::AfterSync { record, .. } = state.handle(&count(4, 7, 1, 50), START) else { panic!() };
    let next = state.next_record();
    let RequestOutcome::AfterSync { record: again, .. } = state.handle(&count(4, 7, 1, 50), START) else {
        panic!()
    };
    assert_eq!((again, state.next_record()), (record, next));
}

#[test]
fn pages_cover_a_partition_while_compaction_moves_its_records() {
    let mut state = state();
    let partition = partition_of("p");
    let ids: Vec<String> = (0..100_000)
        .map(|number| format!("t{number}"))
        .filter(|id| partition_of(id) == partition)
        .take(20)
        .collect();
    for id in &ids {
        let request = StoreRequest::PutTurn { epoch: Epoch(4), turn: turn(id, PAGE_BYTES / 6) };
        state.handle(&request, START);
    }
    state.handle(&count(4, 7, 1, 50), START);
    let (mut found, mut counts, mut cursor, mut pages) = (Vec::new(), 0, Some(0), 0);
    while let Some(from) = cursor {
        let copy_request = StoreRequest::CopyPartition { epoch: Epoch(4), partition, cursor: from };
        let StoreReply::Page { counts: page_counts, turns, next, is_complete } =
            reply(state.handle(&copy_request, START))
        else {
            panic!()
        };
        assert!(is_complete);
        found.extend(turns.into_iter().map(|(turn, _)| turn.id));
        counts += page_counts.len();
        cursor = next;
        pages += 1;
        // Compaction moves the oldest records to the end: an item may be in two pages, but none is missed.
        state.rewrite_oldest(1, START);
        assert!(pages < 100);
    }
    assert!(pages > 3);
    assert!(counts >= 1);
    assert!(ids.iter().all(|id| found.contains(id)));
}

#[test]
fn a_transferred_page_is_merged() {
    let mut source = state();
    source.handle(&put(4, "t"), START);
    source.handle(&count(4, 7, 3, 50), START);
    let mut target = StoreState::new(NodeIdentity(9), LIMITS);
    target.set_map(map(4, &[replica(OWN_STORE, true), replica(2, true), replica(9, false)], &[]));
    target.handle(&count(4, 7, 2, 80), START);
    target.handle(&count(4, 8, 1, 1), START);
    for partition in [partition_of("t"), partition_of("p")] {
        let request = StoreRequest::CopyPartition { epoch: Epoch(4), partition, cursor: 0 };
        let StoreReply::Page { counts, turns, .. } = reply(source.handle(&request, START)) else { panic!() };
        let record = target.merge_page(PartitionPage::from_wire(counts, turns), START);
        assert_eq!(record, target.next_record() - 1);
    }
    assert!(has_turn(&mut target, "t", START));
    let found = entries(target.handle(&count(4, 8, 1, 1), START));
    assert!(found.contains(&CountEntry { holder: 7, sequence: 3, taken: 50 }));
    assert_eq!(found.len(), 2);
}

#[test]
fn compaction_rewrites_live_items_and_drops_expired_ones() {
    let mut state = state();
    for number in 0..30 {
        state.handle(&put(4, &format!("t{number}")), START);
        state.handle(&count(4, 7, number, number), START);
    }
    let end = state.next_record();
    let later = START + keep(RETENTION_MS);
    compact(&mut state, later);
    assert_eq!(state.next_record() - end, 2, "only the epoch and the count are rewritten");
    assert_eq!(entries(state.handle(&count(4, 7, 0, 0), later))[0].taken, 29);
}

#[test]
fn a_full_store_rejects_writes_and_serves_reads() {
    let mut state =
        StoreState::new(NodeIdentity(OWN_STORE), StoreLimits { memory_bytes: 1000, disk_bytes: 1000 });
    state.set_map(complete_map(4));
    let full = RequestOutcome::Reply(StoreReply::Failed { code: ResultCode::DISK_FULL.0 });
    let large = StoreRequest::PutTurn { epoch: Epoch(4), turn: turn("large", 1000) };
    assert!(matches!(state.handle(&large, START), RequestOutcome::AfterSync { .. }));
    assert_eq!(state.handle(&put(4, "t"), START), full);
    assert!(matches!(state.handle(&count(4, 7, 1, 1), START), RequestOutcome::AfterSync { .. }));
    state.set_disk_status(1000, false);
    assert_eq!(state.handle(&count(4, 7, 2, 1), START), full);
    assert!(has_turn(&mut state, "large", START));
    state.set_disk_status(999, true);
    assert_eq!(state.handle(&count(4, 7, 2, 1), START), full);
    state.set_disk_status(999, false);
    assert!(matches!(state.handle(&count(4, 7, 2, 1), START), RequestOutcome::AfterSync { .. }));
}

#[test]
fn requests_for_partitions_that_do_not_exist_are_rejected() {
    let mut state = state();
    for partition in [STORE_PARTITIONS, u16::MAX] {
        let copy_request =
            StoreRequest::CopyPartition { epoch: Epoch(4), partition: Partition(partition), cursor: 0 };
        assert_eq!(
            state.handle(&copy_request, START),
            RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(4) })
        );
        let extend = StoreRequest::ExtendTurns {
            epoch: Epoch(4),
            partition: Partition(partition),
            ids: Vec::new(),
            retention_ms: 1,
        };
        assert_eq!(
            state.handle(&extend, START),
            RequestOutcome::Reply(StoreReply::StaleEpoch { epoch: Epoch(4) })
        );
    }
}

#[test]
fn replay_of_a_record_that_cannot_be_decoded_fails() {
    assert!(StoreState::new(NodeIdentity(OWN_STORE), LIMITS).replay(0, &[1, 2, 3], START).is_err());
}
