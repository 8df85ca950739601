//! The subscribers connected to this control process, with their last contact and configuration generation. Sans I/O.

use crate::calls::{StoreContact, SubscribedGatekeeper};
use opalrun_wire::ids::{Generation, NodeIdentity};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// Time without contact after which a subscriber no longer counts as active.
const SUBSCRIBER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Identifies a subscriber's connection within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Subscription of a gatekeeper.
#[derive(Debug)]
struct GatekeeperSubscription {
    node_name: String,
    /// Generation of the configuration in force at the gatekeeper.
    generation: Generation,
    last_contact: Duration,
}

/// Subscription of a store.
#[derive(Debug)]
struct StoreSubscription {
    identity: NodeIdentity,
    last_contact: Duration,
}

/// All subscribers by connection. Times are those of the process's steady clock.
#[derive(Debug)]
pub struct Subscribers {
    last_connection: ConnectionId,
    gatekeepers: HashMap<ConnectionId, GatekeeperSubscription>,
    stores: HashMap<ConnectionId, StoreSubscription>,
    changed: watch::Sender<u64>,
}

impl Default for Subscribers {
    fn default() -> Self {
        Self {
            last_connection: ConnectionId(1),
            gatekeepers: HashMap::new(),
            stores: HashMap::new(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Subscribers {
    /// Returns the id for a new connection.
    pub fn next_connection(&mut self) -> ConnectionId {
        self.last_connection.0 += 1;
        self.last_connection
    }

    /// Adds the subscription of a gatekeeper.
    pub fn add_gatekeeper(&mut self, connection: ConnectionId, node_name: String, now: Duration) {
        let subscription = GatekeeperSubscription { node_name, generation: Generation(0), last_contact: now };
        self.gatekeepers.insert(connection, subscription);
    }

    /// Adds the subscription of a store.
    pub fn add_store(&mut self, connection: ConnectionId, identity: NodeIdentity, now: Duration) {
        self.stores.insert(connection, StoreSubscription { identity, last_contact: now });
    }

    /// Records a heartbeat; `generation` is that of the configuration in force at the subscriber.
    pub fn record_heartbeat(&mut self, connection: ConnectionId, generation: Generation, now: Duration) {
        if let Some(store) = self.stores.get_mut(&connection) {
            store.last_contact = now;
        }
        let Some(gatekeeper) = self.gatekeepers.get_mut(&connection) else { return };
        gatekeeper.last_contact = now;
        if gatekeeper.generation != generation {
            gatekeeper.generation = generation;
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Removes the subscriptions of a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.gatekeepers.remove(&connection);
        self.stores.remove(&connection);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when the generation of a gatekeeper changes or a connection ends.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Whether all active gatekeepers have at least this generation in force.
    #[must_use]
    pub fn all_gatekeepers_have(&self, generation: Generation, now: Duration) -> bool {
        self.active_gatekeepers(now).all(|gatekeeper| gatekeeper.generation >= generation)
    }

    /// The machine and the generation in force of each active gatekeeper.
    #[must_use]
    pub fn gatekeeper_generations(&self, now: Duration) -> Vec<SubscribedGatekeeper> {
        let gatekeepers = self.active_gatekeepers(now);
        gatekeepers
            .map(|gatekeeper| SubscribedGatekeeper {
                node_name: gatekeeper.node_name.clone(),
                generation: gatekeeper.generation,
            })
            .collect()
    }

    /// Number of machines with an active gatekeeper.
    #[must_use]
    pub fn gatekeeper_count(&self, now: Duration) -> u32 {
        let gatekeepers = self.active_gatekeepers(now);
        let names: BTreeSet<&str> = gatekeepers.map(|gatekeeper| gatekeeper.node_name.as_str()).collect();
        names.len() as u32
    }

    /// The active stores, each with the time since its last contact.
    #[must_use]
    pub fn store_contacts(&self, now: Duration) -> Vec<StoreContact> {
        let mut ages: BTreeMap<NodeIdentity, Duration> = BTreeMap::new();
        for store in self.stores.values().filter(|store| is_active(store.last_contact, now)) {
            let age = now.saturating_sub(store.last_contact);
            let min_age = ages.entry(store.identity).or_insert(age);
            *min_age = age.min(*min_age);
        }
        let contact = |(identity, age): (NodeIdentity, Duration)| StoreContact {
            identity,
            age_ms: age.as_millis() as u64,
        };
        ages.into_iter().map(contact).collect()
    }

    fn active_gatekeepers(&self, now: Duration) -> impl Iterator<Item = &GatekeeperSubscription> {
        self.gatekeepers.values().filter(move |gatekeeper| is_active(gatekeeper.last_contact, now))
    }
}

fn is_active(last_contact: Duration, now: Duration) -> bool {
    now.saturating_sub(last_contact) <= SUBSCRIBER_TIMEOUT
}
