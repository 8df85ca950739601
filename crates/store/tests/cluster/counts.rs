//! Lease acquisition and reduction on the counts of programs.

use crate::harness::{Control, SHORT_TIMEOUT, TEST_TIMEOUT, TestStore, run, three_stores};
use opalrun_store_client::{CountError, LeaseGrant, StoreClient};
use opalrun_wire::ids::NodeIdentity;

#[test]
fn holders_see_what_others_have_taken() {
    run(async {
        let stores = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let control = Control::new(&stores.each_ref());
        let (first, second) = (StoreClient::new(11, "zone-1"), StoreClient::new(12, "zone-2"));
        control.publish_to_all(&stores.each_ref(), &[&first, &second]);

        // When holders acquire units, each sees what the others have taken.
        assert_eq!(first.acquire_lease("p", 0, 100, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 0 }));
        assert_eq!(
            second.acquire_lease("p", 0, 50, TEST_TIMEOUT).await,
            Ok(LeaseGrant { others_taken: 100 })
        );
        assert_eq!(
            first.acquire_lease("p", 100, 130, TEST_TIMEOUT).await,
            Ok(LeaseGrant { others_taken: 50 })
        );

        // When one holder gives units back, then the others see that, and other programs are not affected.
        first.reduce_lease("p", 20);
        assert!(first.flush(TEST_TIMEOUT).await);
        assert_eq!(
            second.acquire_lease("p", 50, 60, TEST_TIMEOUT).await,
            Ok(LeaseGrant { others_taken: 20 })
        );
        assert_eq!(second.acquire_lease("q", 0, 1, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 0 }));
    });
}

#[test]
fn a_count_survives_the_loss_of_one_store_and_the_restart_of_the_others() {
    run(async {
        let ([one, two, three], control, client) = three_stores().await;
        // Given a lease that is stored on two of three stores.
        drop(one);
        client.acquire_lease("p", 0, 70, TEST_TIMEOUT).await.unwrap();

        // When both restart, then another holder sees the lease.
        let (two, three) = (two.restart().await, three.restart().await);
        let other = StoreClient::new(12, "zone-1");
        control.publish_to_all(&[&two, &three], &[&other]);
        assert_eq!(other.acquire_lease("p", 0, 1, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 70 }));
    });
}

#[test]
fn without_a_quorum_nothing_is_granted_and_the_entry_is_reverted() {
    run(async {
        let [one, two, three] = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let control = Control::new(&[&one, &two, &three]);
        let (client, other) = (StoreClient::new(11, "zone-1"), StoreClient::new(12, "zone-1"));
        control.publish_to_all(&[&one, &two, &three], &[&client, &other]);
        client.acquire_lease("p", 0, 10, TEST_TIMEOUT).await.unwrap();

        // When two stores have no map, as after a restart, then the third one alone is not a quorum.
        let (two, three) = (two.restart().await, three.restart().await);
        assert_eq!(client.acquire_lease("p", 10, 90, SHORT_TIMEOUT).await, Err(CountError::Unavailable));

        // And once they have received the map, the entry is reverted to the units leased before.
        control.publish_to_all(&[&two, &three], &[]);
        assert!(client.flush(TEST_TIMEOUT).await);
        assert_eq!(other.acquire_lease("p", 0, 1, TEST_TIMEOUT).await, Ok(LeaseGrant { others_taken: 10 }));
    });
}

#[test]
fn an_acquisition_that_is_cancelled_is_reverted() {
    run(async {
        let stores = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let control = Control::new(&stores.each_ref());
        let (client, other) = (StoreClient::new(11, "zone-1"), StoreClient::new(12, "zone-1"));
        control.publish_to_all(&stores.each_ref(), &[&client, &other]);
        client.acquire_lease("p", 0, 5, TEST_TIMEOUT).await.unwrap();

        // When the future of an acquisition is dropped,
        {
            let mut acquisition = std::pin::pin!(client.acquire_lease("p", 5, 500, TEST_TIMEOUT));
            let first_poll =
                std::future::poll_fn(|cx| std::task::Poll::Ready(acquisition.as_mut().poll(cx))).await;
            assert!(first_poll.is_pending(), "an acquisition can't complete without waiting for replies");
            // The requests are sent in the meantime. The future is not polled again, so it can't complete.
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
        }
        // then another holder eventually sees the reverted entry.
        while other.acquire_lease("p", 0, 1, TEST_TIMEOUT).await != Ok(LeaseGrant { others_taken: 5 }) {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn without_a_map_operations_wait_for_it() {
    run(async {
        let stores = [
            TestStore::start(NodeIdentity(1)).await,
            TestStore::start(NodeIdentity(2)).await,
            TestStore::start(NodeIdentity(3)).await,
        ];
        let control = Control::new(&stores.each_ref());
        let client = StoreClient::new(11, "zone-1");
        assert_eq!(client.acquire_lease("p", 0, 1, SHORT_TIMEOUT).await, Err(CountError::Unavailable));
        let acquiring = client.clone();
        let acquisition =
            tokio::task::spawn_local(async move { acquiring.acquire_lease("p", 0, 1, TEST_TIMEOUT).await });
        tokio::task::yield_now().await;
        control.publish_to_all(&stores.each_ref(), &[&client]);
        assert_eq!(acquisition.await.unwrap(), Ok(LeaseGrant { others_taken: 0 }));
    });
}
