//! Partition transfer to stores that lost their disk and to stores that replace a retired one.

use crate::harness::{Control, SHORT_TIMEOUT, TEST_TIMEOUT, TestStore, run, three_stores, turn};
use opalrun_store_client::{CountError, LeaseGrant, StoreClient};
use opalrun_wire::ids::NodeIdentity;

const TURNS: usize = 40;

async fn write_all(client: &std::rc::Rc<StoreClient>) {
    for number in 0..TURNS {
        client.put_turn(&turn(&format!("t{number}")), TEST_TIMEOUT).await.unwrap();
        client.acquire_lease(&format!("p{number}"), 0, 7, TEST_TIMEOUT).await.unwrap();
    }
}

async fn check_all(holder: u64, control: &Control, stores: &[&TestStore]) {
    let client = StoreClient::new(holder, "zone-1");
    control.publish_to_all(stores, &[&client]);
    for number in 0..TURNS {
        let id = format!("t{number}");
        assert_eq!(client.get_turn(&id, TEST_TIMEOUT).await, Ok(Some(turn(&id))));
        let acquired = client.acquire_lease(&format!("p{number}"), 0, 0, TEST_TIMEOUT).await;
        assert_eq!(acquired, Ok(LeaseGrant { others_taken: 7 }));
    }
}

#[test]
fn a_store_that_lost_its_disk_catches_up_completely() {
    run(async {
        let ([one, two, three], mut control, client) = three_stores().await;
        // Given writes that two stores have acknowledged while the third was down.
        drop(three);
        write_all(&client).await;

        // When the third store returns without its disk and has caught up,
        let three = TestStore::start(NodeIdentity(33)).await;
        control.replace(NodeIdentity(3), &three, false);
        control.publish_to_all(&[&one, &two, &three], &[&client]);
        let completed = three.wait_completed(control.map.epoch).await;
        assert!(completed.iter().all(|transfer| transfer.epoch == control.map.epoch));
        control.mark_complete(NodeIdentity(33));
        control.publish_to_all(&[&one, &two, &three], &[&client]);

        // then no acknowledged write is lost if another store goes down.
        drop(one);
        check_all(12, &control, &[&two, &three]).await;
    });
}

#[test]
fn an_incomplete_replica_does_not_count_towards_a_quorum() {
    run(async {
        let ([one, two, three], mut control, client) = three_stores().await;
        write_all(&client).await;
        drop(three);
        let three = TestStore::start(NodeIdentity(33)).await;
        control.replace(NodeIdentity(3), &three, false);
        drop(two);
        control.publish_to_all(&[&one, &three], &[&client]);
        assert_eq!(client.acquire_lease("p", 0, 1, SHORT_TIMEOUT).await, Err(CountError::Unavailable));
        assert!(three.completed().is_empty(), "one source alone does not complete a transfer");
    });
}

#[test]
fn a_retired_store_is_a_source_while_another_store_is_down() {
    run(async {
        let ([one, two, three], mut control, client) = three_stores().await;
        write_all(&client).await;
        let four = TestStore::start(NodeIdentity(4)).await;
        control.replace(NodeIdentity(1), &four, true);
        drop(two);
        control.publish_to_all(&[&one, &three, &four], &[&client]);
        four.wait_completed(control.map.epoch).await;
        control.mark_complete(NodeIdentity(4));
        control.publish_to_all(&[&one, &three, &four], &[&client]);
        drop(one);
        check_all(12, &control, &[&three, &four]).await;
    });
}

#[test]
fn a_transfer_restarts_when_the_replicas_change() {
    run(async {
        let ([one, two, three], mut control, client) = three_stores().await;
        write_all(&client).await;
        let four = TestStore::start(NodeIdentity(4)).await;
        control.replace(NodeIdentity(1), &four, true);
        control.publish_to_all(&[&one, &two, &three, &four], &[&client]);
        let first = four.wait_completed(control.map.epoch).await;
        drop(three);
        let three = TestStore::start(NodeIdentity(33)).await;
        control.replace(NodeIdentity(3), &three, false);
        control.publish_to_all(&[&one, &two, &three, &four], &[&client]);
        let (second, third) =
            (four.wait_completed(control.map.epoch).await, three.wait_completed(control.map.epoch).await);
        assert!(first.iter().all(|transfer| transfer.epoch < control.map.epoch));
        assert!(second.iter().chain(&third).all(|transfer| transfer.epoch == control.map.epoch));
        control.mark_complete(NodeIdentity(4));
        control.mark_complete(NodeIdentity(33));
        control.publish_to_all(&[&two, &three, &four], &[]);
        drop(one);
        drop(two);
        check_all(12, &control, &[&three, &four]).await;
    });
}
