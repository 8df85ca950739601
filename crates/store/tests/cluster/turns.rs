//! Writes and reads of retained turns.

use crate::harness::{Control, SHORT_TIMEOUT, TEST_TIMEOUT, TestStore, run, three_stores, turn};
use opalrun_store_client::{StoreClient, TurnError};
use opalrun_wire::ids::NodeIdentity;

#[test]
fn a_turn_is_readable_by_another_gatekeeper_and_an_unknown_one_is_absent() {
    run(async {
        let stores = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let control = Control::new(&stores.each_ref());
        let (writer, reader) = (StoreClient::new(11, "zone-1"), StoreClient::new(12, "zone-9"));
        control.publish_to_all(&stores.each_ref(), &[&writer, &reader]);
        writer.put_turn(&turn("t1"), TEST_TIMEOUT).await.unwrap();
        writer.put_turn(&turn("t1"), TEST_TIMEOUT).await.unwrap();
        assert_eq!(reader.get_turn("t1", TEST_TIMEOUT).await, Ok(Some(turn("t1"))));
        assert_eq!(reader.get_turn("t2", TEST_TIMEOUT).await, Ok(None));
    });
}

#[test]
fn a_turn_survives_the_loss_of_one_store_and_the_restart_of_the_others() {
    run(async {
        let ([one, two, three], control, client) = three_stores().await;
        drop(one);
        client.put_turn(&turn("t1"), TEST_TIMEOUT).await.unwrap();
        let (two, three) = (two.restart().await, three.restart().await);
        control.publish_to_all(&[&two, &three], &[]);
        assert_eq!(client.get_turn("t1", TEST_TIMEOUT).await, Ok(Some(turn("t1"))));
        assert_eq!(client.get_turn("t2", TEST_TIMEOUT).await, Ok(None));
    });
}

#[test]
fn without_a_quorum_a_turn_is_not_reported_as_absent() {
    run(async {
        let ([_one, two, three], _control, client) = three_stores().await;
        drop(two);
        drop(three);
        assert_eq!(client.get_turn("t1", SHORT_TIMEOUT).await, Err(TurnError::Unavailable));
        assert_eq!(client.put_turn(&turn("t1"), SHORT_TIMEOUT).await, Err(TurnError::Unavailable));
        // A reply of a single store that has the turn is enough.
        assert_eq!(client.get_turn("t1", TEST_TIMEOUT).await, Ok(Some(turn("t1"))));
    });
}
