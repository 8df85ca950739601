//! A simulated network between numbered nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// Delay of a message, in milliseconds.
const DELAY_MS: Range<u64> = 1..6;
/// Delay of a slow message, in milliseconds.
const SLOW_DELAY_MS: Range<u64> = 50..900;

/// What the network does to messages by itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// Of 100 messages so many are lost.
    pub drop_percent: u8,
    /// Of 100 messages so many are delivered twice.
    pub duplicate_percent: u8,
    /// Of 100 messages so many are slow.
    pub slow_percent: u8,
}

/// Messages in flight between numbered nodes. Times are milliseconds of the simulation's clock.
#[derive(Debug, Clone)]
pub struct Network<M> {
    faults: NetworkFaults,
    /// By the time of arrival and a number that keeps the order of those that arrive together.
    in_flight: BTreeMap<(u64, u64), Packet<M>>,
    next_number: u64,
    /// Ways on which nothing passes.
    partitions: BTreeSet<Link>,
}

#[derive(Debug, Clone)]
struct Packet<M> {
    to: usize,
    message: M,
}

/// The way from one node to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

impl<M: Clone> Network<M> {
    /// A network on which nothing is in flight.
    #[must_use]
    pub fn new(faults: NetworkFaults) -> Self {
        Self { faults, in_flight: BTreeMap::new(), next_number: 0, partitions: BTreeSet::new() }
    }

    /// Ends all faults and partitions.
    pub fn heal(&mut self) {
        self.faults = NetworkFaults::default();
        self.partitions.clear();
    }

    /// Nothing sent from now on passes this way. What is in flight still arrives.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert(Link { from, to });
    }

    /// Messages pass this way again.
    pub fn reconnect(&mut self, from: usize, to: usize) {
        self.partitions.remove(&Link { from, to });
    }

    /// Whether messages pass this way.
    #[must_use]
    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.partitions.contains(&Link { from, to })
    }

    /// Sends a message, which arrives after a random delay, unless it is lost.
    pub fn send(&mut self, random: &mut fastrand::Rng, now: u64, from: usize, to: usize, message: &M) {
        if !self.is_connected(from, to) || random.u8(0..100) < self.faults.drop_percent {
            return;
        }
        let deliveries = 1 + usize::from(random.u8(0..100) < self.faults.duplicate_percent);
        for _ in 0..deliveries {
            let is_slow = random.u8(0..100) < self.faults.slow_percent;
            let delay = random.u64(if is_slow { SLOW_DELAY_MS } else { DELAY_MS });
            self.deliver_at(now + delay, to, message.clone());
        }
    }

    /// Delivers a message again at a later moment: its receiver is frozen until then.
    pub fn redeliver_at(&mut self, at: u64, to: usize, message: M) {
        self.deliver_at(at, to, message);
    }

    /// Removes the next message that has pop_arrived. Returns its receiver and the message.
    pub fn pop_arrived(&mut self, now: u64) -> Option<(usize, M)> {
        let first = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now)?;
        let packet = first.remove();
        Some((packet.to, packet.message))
    }

    fn deliver_at(&mut self, at: u64, to: usize, message: M) {
        self.next_number += 1;
        self.in_flight.insert((at, self.next_number), Packet { to, message });
    }
}
