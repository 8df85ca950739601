//! Retention of turns: expiry, extensions, and what of them outlives compaction, transfers and restarts.

use crate::{
    LIMITS, OWN_STORE, RETENTION_MS, START, almost, compact, complete_map, count, extend, extend_for,
    has_turn, keep, put, records, reply, restarted, state, turn,
};
use opalrun_store::{
    record::Record,
    state::{COUNT_RETENTION, PartitionPage, RequestOutcome, StoreState},
};
use opalrun_wire::{
    ResultCode,
    feed::{STORE_PARTITIONS, partition_of},
    ids::{Epoch, NodeIdentity, Partition},
    store::{RETENTION_SLACK_MS, StoreReply, StoreRequest, Turn, keep_ms},
};
use std::time::Duration;

#[test]
fn turns_and_counts_expire() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    state.handle(&count(4, 7, 1, 50), START);
    let kept = Duration::from_millis(keep_ms(60_000));
    assert!(has_turn(&mut state, "t", START + Duration::from_millis(keep_ms(60_000) - 1)));
    assert!(!has_turn(&mut state, "t", START + kept));
    (0..STORE_PARTITIONS).for_each(|partition| state.expire(Partition(partition), START + kept));
    assert!(state.live_bytes() > 0, "the count expires later than the turn");
    (0..STORE_PARTITIONS).for_each(|partition| state.expire(Partition(partition), START + COUNT_RETENTION));
    assert_eq!(state.live_bytes(), 0);
    assert_eq!(state.oldest_record(), 0, "the record of the epoch is still needed");
}

/// Guards against a route whose turns are forgotten after two hours although it asks for more.
#[test]
fn a_turn_is_retained_as_long_as_its_route_asks_up_to_the_longest_duration_of_a_configuration() {
    let hour_ms = 3_600_000;
    for retention_ms in [2 * hour_ms, 30 * 24 * hour_ms] {
        let mut state = state();
        let request = StoreRequest::PutTurn { epoch: Epoch(4), turn: Turn { retention_ms, ..turn("t", 10) } };
        state.handle(&request, START);
        let later = START + Duration::from_millis(retention_ms + RETENTION_SLACK_MS);
        assert!(has_turn(&mut state, "t", later), "{retention_ms} ms");
        state.handle(&extend_for(4, &["t"], retention_ms), later);
        assert!(has_turn(&mut state, "t", later + Duration::from_millis(retention_ms + RETENTION_SLACK_MS)));
    }
}

#[test]
fn an_extension_prolongs_the_retention_of_a_turn() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let later = START + Duration::from_secs(100);
    let extend = extend(4, &["t"]);
    assert_eq!(reply(state.handle(&extend, later)), StoreReply::Stored { is_complete: true });
    assert!(has_turn(&mut state, "t", later + Duration::from_millis(keep_ms(60_000) - 1)));
}

/// Guards against an extension that is acknowledged by a replica which lacks the turn, and so retains nothing of it.
#[test]
fn an_extension_counts_towards_no_quorum_at_a_replica_that_lacks_one_of_the_turns() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let later = START + Duration::from_secs(100);
    let with_unknown = extend(4, &["t", "unknown"]);
    assert_eq!(reply(state.handle(&with_unknown, later)), StoreReply::Stored { is_complete: false });
    assert!(
        has_turn(&mut state, "t", later + Duration::from_millis(keep_ms(60_000) - 1)),
        "the turns that the replica has are extended"
    );
}

/// Guards against an extension that is acknowledged by a replica which loses the turn itself when it is killed.
#[test]
fn an_extension_is_acknowledged_only_once_its_turns_are_on_disk() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let turn_record = state.next_record() - 1;
    let RequestOutcome::AfterSync { record, .. } = state.handle(&extend(4, &["t"]), START) else { panic!() };
    assert!(record >= turn_record);
}

#[test]
fn after_a_restart_a_turn_is_retained_for_its_full_retention_time() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let records = records(&mut state);
    let later = Duration::from_secs(1000);
    let mut state = restarted(&records, later);
    state.set_map(complete_map(4));
    assert!(has_turn(&mut state, "t", later + Duration::from_millis(keep_ms(60_000) - 1)));
}

/// Guards against the loss of a continued conversation when all processes are killed: compaction stored the time that was
/// left of a turn, and an extension after it was in memory only.
#[test]
fn an_extension_after_a_compaction_survives_a_restart() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    // These records are in segments that compaction deletes.
    records(&mut state);
    let later = START + almost(RETENTION_MS);
    compact(&mut state, later);
    state.handle(&extend(4, &["t"]), later);
    let mut state = restarted(&records(&mut state), later);
    state.set_map(complete_map(4));
    assert!(has_turn(&mut state, "t", later + almost(RETENTION_MS)));
}

/// Guards against the same loss at a store that has received the turn in a transfer, with the time that was left.
#[test]
fn an_extension_of_a_transferred_turn_survives_a_restart() {
    let mut source = state();
    source.handle(&put(4, "t"), START);
    let later = START + almost(RETENTION_MS);
    let request = StoreRequest::CopyPartition { epoch: Epoch(4), partition: partition_of("t"), cursor: 0 };
    let StoreReply::Page { counts, turns, .. } = reply(source.handle(&request, later)) else { panic!() };
    let mut target = StoreState::new(NodeIdentity(OWN_STORE), LIMITS);
    target.set_map(complete_map(4));
    target.merge_page(PartitionPage::from_wire(counts, turns), later);
    assert!(
        !has_turn(&mut target, "t", later + Duration::from_millis(1)),
        "the transfer keeps the time that is left"
    );
    target.handle(&extend(4, &["t"]), later);
    let mut target = restarted(&records(&mut target), later);
    target.set_map(complete_map(4));
    assert!(has_turn(&mut target, "t", later + almost(RETENTION_MS)));
}

/// Guards against the same loss when a turn is continued on a route with a longer retention than its own.
#[test]
fn an_extension_beyond_the_own_retention_of_a_turn_survives_a_restart() {
    let longer_ms = 10 * RETENTION_MS;
    for write_again in [false, true] {
        let mut state = state();
        state.handle(&put(4, "t"), START);
        let before = state.next_record();
        let extension = if write_again {
            let turn = Turn { retention_ms: longer_ms, ..turn("t", 10) };
            StoreRequest::PutTurn { epoch: Epoch(4), turn }
        } else {
            extend_for(4, &["t"], longer_ms)
        };
        let RequestOutcome::AfterSync { record, .. } = state.handle(&extension, START) else { panic!() };
        assert_eq!((record, state.next_record()), (before, before + 1), "the extension is written");
        let mut state = restarted(&records(&mut state), START);
        state.set_map(complete_map(4));
        assert!(has_turn(&mut state, "t", START + almost(longer_ms)));
        let later = START + almost(longer_ms);
        compact(&mut state, later);
        let mut state = restarted(&records(&mut state), later);
        state.set_map(complete_map(4));
        assert!(
            has_turn(&mut state, "t", later + almost(longer_ms)),
            "compaction keeps the longer retention"
        );
    }
}

/// The epoch is checked for the partition that the request names.
#[test]
fn a_turn_of_another_partition_is_not_extended() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let mut request = extend(4, &["t"]);
    if let StoreRequest::ExtendTurns { partition, .. } = &mut request {
        *partition = Partition((partition.0 + 1) % STORE_PARTITIONS);
    }
    let later = START + almost(RETENTION_MS);
    assert_eq!(reply(state.handle(&request, later)), StoreReply::Stored { is_complete: false });
    assert!(!has_turn(&mut state, "t", START + keep(RETENTION_MS)));
}

#[test]
fn an_extension_that_the_log_covers_writes_no_record() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    let later = START + almost(RETENTION_MS);
    compact(&mut state, later);
    let end = state.next_record();
    state.handle(&extend(4, &["t"]), later);
    assert_eq!(state.next_record(), end);
}

/// An earlier build stored the time that was left of a turn with each compaction and transfer.
#[test]
fn a_record_with_less_than_the_full_retention_time_is_replayed_with_the_full_time() {
    let record = Record::Turn { turn: turn("t", 10), keep_ms: 1 };
    let mut state = restarted(&[record.encode().to_vec()], START);
    state.set_map(complete_map(4));
    assert!(has_turn(&mut state, "t", START + almost(RETENTION_MS)));
}

#[test]
fn an_extension_that_has_to_be_written_is_rejected_while_the_disk_is_full() {
    let mut state = state();
    state.handle(&put(4, "t"), START);
    state.set_disk_status(0, true);
    let full = RequestOutcome::Reply(StoreReply::Failed { code: ResultCode::DISK_FULL.0 });
    assert_eq!(state.handle(&extend_for(4, &["t"], 10 * RETENTION_MS), START), full);
    let later = START + almost(RETENTION_MS);
    assert_eq!(reply(state.handle(&extend(4, &["t"]), later)), StoreReply::Stored { is_complete: true });
    assert!(!has_turn(&mut state, "t", later + keep(RETENTION_MS)));
}
