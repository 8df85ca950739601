//! Retention of the turns of a chain, which a gatekeeper extends when it stores a further turn of the conversation.

use crate::harness::{
    Control, RETENTION_MS, SHORT_TIMEOUT, TEST_TIMEOUT, TestStore, run, three_stores, turn, turn_after,
};
use opalrun_store_client::{StoreClient, TurnError};
use opalrun_wire::{
    feed::{Replica, partition_of},
    ids::NodeIdentity,
    store::{StoreReply, StoreRequest, Turn},
};
use std::time::Duration;

/// Requested retention of a turn that expires before [`RETENTION_MS`] unless it is extended, in milliseconds.
const SHORT_RETENTION_MS: u64 = 1;
/// Requested retention of a turn that needs no extension, in milliseconds.
const LONG_RETENTION_MS: u64 = 10 * RETENTION_MS;

/// Writes a turn to one replica alone.
async fn put_at(store: &TestStore, control: &Control, turn: &Turn) {
    let request = StoreRequest::PutTurn { epoch: control.map.epoch, turn: turn.clone() };
    assert_eq!(store.call(&request).await, StoreReply::Stored { is_complete: true });
}

/// Returns the number of stores that retain a turn for at least [`RETENTION_MS`] from now on.
async fn retaining_stores(stores: &[TestStore], control: &Control, id: &str) -> usize {
    let mut count = 0;
    for store in stores {
        let remaining = store.remaining_retention(control.map.epoch, id).await.unwrap_or_default();
        count += usize::from(remaining >= Duration::from_millis(RETENTION_MS));
    }
    count
}

/// Guards against the loss of a conversation one of whose replicas was restarted: that replica retains a turn for longer
/// than the others, and its word was taken for that of a quorum, so that the turn was not extended anywhere.
#[test]
fn a_turn_that_one_replica_retains_longer_is_still_extended_at_a_quorum() {
    run(async {
        let (stores, control, _client) = three_stores().await;
        let retention_ms = [SHORT_RETENTION_MS, LONG_RETENTION_MS, SHORT_RETENTION_MS];
        for (store, retention_ms) in stores.iter().zip(retention_ms) {
            put_at(store, &control, &Turn { retention_ms, ..turn("t1") }).await;
        }
        // The replica in this client's zone, which it reads first, is the one that retains the turn longer.
        let client = StoreClient::new(12, "zone-2");
        control.publish_to_all(&[], &[&client]);
        assert!(client.get_turn("t1", TEST_TIMEOUT).await.unwrap().is_some());
        client.put_turn(&turn_after("t2", &["t1"]), TEST_TIMEOUT).await.unwrap();
        assert!(client.flush(TEST_TIMEOUT).await);
        assert!(retaining_stores(&stores, &control, "t1").await >= 2);
    });
}

/// Guards against an extension that a replica without the turn acknowledges: one disk held the only copy of a turn that
/// its gatekeeper took for retained by a quorum.
#[test]
fn an_extension_writes_a_turn_again_to_a_replica_that_lacks_it() {
    run(async {
        let ([one, two, three], control, client) = three_stores().await;
        for store in [&one, &two] {
            put_at(store, &control, &Turn { retention_ms: SHORT_RETENTION_MS, ..turn("t1") }).await;
        }
        drop(two);
        client.put_turn(&turn_after("t2", &["t1"]), TEST_TIMEOUT).await.unwrap();
        assert!(client.flush(TEST_TIMEOUT).await);
        assert_eq!(retaining_stores(&[one, three], &control, "t1").await, 2);
    });
}

/// Guards against an answer that promises to keep a chain which no quorum retains: the extension ran after the answer,
/// and was lost when it failed or its gatekeeper was killed.
#[test]
fn a_turn_is_not_acknowledged_before_its_chain_is_retained_by_a_quorum() {
    run(async {
        let (stores, mut control, client) = three_stores().await;
        for store in &stores {
            put_at(store, &control, &Turn { retention_ms: SHORT_RETENTION_MS, ..turn("t1") }).await;
        }
        // Two of three replicas of the partition of t1 are lost, those of t2 are all there.
        assert_ne!(partition_of("t1"), partition_of("t2"));
        let lost = [NodeIdentity(8), NodeIdentity(9)].map(|store| Replica { store, is_complete: true });
        control.change(|_| ());
        control.map.partitions[partition_of("t1").position()].replicas[1..].clone_from_slice(&lost);
        control.publish_to_all(&stores.each_ref(), &[&client]);
        client.put_turn(&turn("t2"), TEST_TIMEOUT).await.unwrap();
        let continued = client.put_turn(&turn_after("t2", &["t1"]), SHORT_TIMEOUT).await;
        assert_eq!(continued, Err(TurnError::Unavailable));
    });
}
