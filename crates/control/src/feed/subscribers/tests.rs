//! Reports of store contacts over time.

use super::{ConnectionId, StoreContact, Subscribers};
use opalrun_wire::ids::{Generation, NodeIdentity};
use std::time::Duration;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn contact(store: u64, age_ms: u64) -> StoreContact {
    StoreContact { identity: NodeIdentity(store), age_ms }
}

#[test]
fn store_is_reported_with_time_since_last_contact() {
    let mut subscribers = Subscribers::default();
    subscribers.add_store(ConnectionId(1), NodeIdentity(70), millis(1_000));
    assert_eq!(subscribers.store_contacts(millis(1_000)), [contact(70, 0)]);
    assert_eq!(subscribers.store_contacts(millis(2_300)), [contact(70, 1_300)]);
    subscribers.record_heartbeat(ConnectionId(1), Generation(0), millis(2_400));
    assert_eq!(subscribers.store_contacts(millis(2_500)), [contact(70, 100)]);
}

#[test]
fn store_with_two_connections_counts_by_the_later_contact() {
    let mut subscribers = Subscribers::default();
    subscribers.add_store(ConnectionId(1), NodeIdentity(70), millis(1_000));
    subscribers.add_store(ConnectionId(2), NodeIdentity(70), millis(1_800));
    subscribers.add_store(ConnectionId(3), NodeIdentity(71), millis(1_500));
    assert_eq!(subscribers.store_contacts(millis(2_000)), [contact(70, 200), contact(71, 500)]);
    subscribers.remove(ConnectionId(2));
    assert_eq!(subscribers.store_contacts(millis(2_000)), [contact(70, 1_000), contact(71, 500)]);
}

#[test]
fn store_without_recent_contact_is_not_reported() {
    let mut subscribers = Subscribers::default();
    subscribers.add_store(ConnectionId(1), NodeIdentity(70), millis(1_000));
    assert!(subscribers.store_contacts(millis(2_501)).is_empty());
}
