//! Operations with replicas that accept connections but never reply, as if frozen or partitioned.

use crate::harness::{Control, SHORT_TIMEOUT, TEST_TIMEOUT, TestStore, run, turn};
use opalrun_store_client::{CountError, LeaseGrant, StoreClient, TurnError};
use opalrun_wire::{
    feed::{Replica, StoreNode, StoreState},
    ids::NodeIdentity,
};
use std::net::TcpListener;

/// Adds a replica that accepts connections but never replies, in place of the store `identity` if there is one.
fn add_unresponsive_replica(control: &mut Control, identity: NodeIdentity) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    control.map.stores.retain(|node| node.identity != identity);
    control.map.stores.push(StoreNode {
        identity,
        node_name: "unresponsive".to_owned(),
        address: listener.local_addr().unwrap().to_string(),
        zone: "zone-1".to_owned(),
        state: StoreState::Active,
    });
    let unresponsive = Replica { store: identity, is_complete: true };
    control.change(|partition| {
        partition.replicas.retain(|replica| replica.store != identity);
        partition.replicas.push(unresponsive);
    });
    listener
}

#[test]
fn operations_succeed_with_one_unresponsive_replica() {
    run(async {
        let stores = [TestStore::start(NodeIdentity(1)).await, TestStore::start(NodeIdentity(2)).await];
        let mut control = Control::new(&stores.each_ref());
        let _unresponsive = add_unresponsive_replica(&mut control, NodeIdentity(3));
        // The unresponsive replica is in the clients' zone, so reads try it first.
        let (client, other) = (StoreClient::new(11, "zone-1"), StoreClient::new(12, "zone-1"));
        control.publish_to_all(&stores.each_ref(), &[&client, &other]);
        client.put_turn(&turn("t"), TEST_TIMEOUT).await.unwrap();
        assert_eq!(other.get_turn("t", TEST_TIMEOUT).await, Ok(Some(turn("t"))));
        assert_eq!(other.get_turn("u", TEST_TIMEOUT).await, Ok(None));
        client.acquire_lease("p", 0, 4, TEST_TIMEOUT).await.unwrap();
        assert_eq!(other.acquire_lease("p", 0, 3, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 4 }));
        client.reduce_lease("p", 1);
        assert!(client.flush(TEST_TIMEOUT).await);
        assert_eq!(other.acquire_lease("p", 3, 5, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 1 }));
    });
}

#[test]
fn without_a_quorum_operations_fail_at_their_time_limit() {
    run(async {
        let stores = [TestStore::start(NodeIdentity(1)).await];
        let mut control = Control::new(&stores.each_ref());
        let _unresponsive = [
            add_unresponsive_replica(&mut control, NodeIdentity(2)),
            add_unresponsive_replica(&mut control, NodeIdentity(3)),
        ];
        let client = StoreClient::new(11, "zone-1");
        control.publish_to_all(&stores.each_ref(), &[&client]);
        assert_eq!(client.acquire_lease("p", 0, 4, SHORT_TIMEOUT).await, Err(CountError::Unavailable));
        assert_eq!(client.put_turn(&turn("t"), SHORT_TIMEOUT).await, Err(TurnError::Unavailable));
        assert_eq!(client.get_turn("u", SHORT_TIMEOUT).await, Err(TurnError::Unavailable));
    });
}

#[test]
fn an_operation_continues_in_a_new_layout() {
    run(async {
        let [one, two, three] = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let mut control = Control::new(&[&one]);
        let _unresponsive = [
            add_unresponsive_replica(&mut control, NodeIdentity(8)),
            add_unresponsive_replica(&mut control, NodeIdentity(9)),
        ];
        let client = StoreClient::new(11, "zone-1");
        control.publish_to_all(&[&one], &[&client]);
        let acquiring = client.clone();
        let acquisition =
            tokio::task::spawn_local(async move { acquiring.acquire_lease("p", 0, 4, TEST_TIMEOUT).await });
        let putting = client.clone();
        let put = tokio::task::spawn_local(async move { putting.put_turn(&turn("t"), TEST_TIMEOUT).await });
        assert_eq!(client.get_turn("u", SHORT_TIMEOUT).await, Err(TurnError::Unavailable));
        control.add_store(&two);
        control.add_store(&three);
        let replicas: Vec<Replica> =
            (1..=3).map(|store| Replica { store: NodeIdentity(store), is_complete: true }).collect();
        control.change(|partition| partition.replicas.clone_from(&replicas));
        control.publish_to_all(&[&one, &two, &three], &[&client]);
        assert_eq!(acquisition.await.unwrap(), Ok(LeaseGrant { others_taken: 0 }));
        assert_eq!(put.await.unwrap(), Ok(()));
        assert_eq!(client.get_turn("t", TEST_TIMEOUT).await, Ok(Some(turn("t"))));
    });
}

#[test]
fn a_client_with_an_outdated_map_waits_for_a_newer_one() {
    run(async {
        let stores = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let mut control = Control::new(&stores.each_ref());
        let client = StoreClient::new(11, "zone-1");
        control.publish_to_all(&stores.each_ref(), &[&client]);
        client.acquire_lease("p", 0, 1, TEST_TIMEOUT).await.unwrap();
        // The stores miss the map in between, so they treat all placements as changed, though none has.
        control.change(|_| {});
        control.change(|_| {});
        control.publish_to_all(&stores.each_ref(), &[]);
        while client.acquire_lease("p", 1, 1, SHORT_TIMEOUT).await.is_ok() {}
        let acquiring = client.clone();
        let acquisition =
            tokio::task::spawn_local(async move { acquiring.acquire_lease("p", 1, 2, TEST_TIMEOUT).await });
        tokio::task::yield_now().await;
        control.publish_to_all(&[], &[&client]);
        assert_eq!(acquisition.await.unwrap(), Ok(LeaseGrant { others_taken: 0 }));
    });
}
