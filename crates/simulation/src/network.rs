//! A simulated network between numbered nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

/// Range of the delay of a regular message, in milliseconds.
const DELAY_MS: Range<u64> = 1..6;
/// Range of the delay of a slow message, in milliseconds.
const SLOW_DELAY_MS: Range<u64> = 50..900;

/// Probabilities of random faults of the network.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// Probability that a message is dropped, in percent.
    pub drop_percent: u8,
    /// Probability that a message is delivered twice, in percent.
    pub duplicate_percent: u8,
    /// Probability that a message is slow, in percent.
    pub slow_percent: u8,
}

/// A simulated network between numbered nodes. Times are in milliseconds of the simulation's clock.
#[derive(Debug, Clone)]
pub struct Network<M> {
    faults: NetworkFaults,
    /// Packets in flight, by arrival time and a sequence number that orders packets with the same arrival time.
    in_flight: BTreeMap<(u64, u64), Packet<M>>,
    next_number: u64,
    /// Partitioned links.
    partitions: BTreeSet<Link>,
}

#[derive(Debug, Clone)]
struct Packet<M> {
    to: usize,
    message: M,
}

/// A link from one node to another, in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

impl<M: Clone> Network<M> {
    /// Creates a network without messages in flight.
    #[must_use]
    pub fn new(faults: NetworkFaults) -> Self {
        Self { faults, in_flight: BTreeMap::new(), next_number: 0, partitions: BTreeSet::new() }
    }

    /// Removes all partitions and disables random faults.
    pub fn heal(&mut self) {
        self.faults = NetworkFaults::default();
        self.partitions.clear();
    }

    /// Drops messages sent on this link from now on. Messages in flight still arrive.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert(Link { from, to });
    }

    /// Ends the partition of this link.
    pub fn reconnect(&mut self, from: usize, to: usize) {
        self.partitions.remove(&Link { from, to });
    }

    /// Returns whether this link is not partitioned.
    #[must_use]
    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        !self.partitions.contains(&Link { from, to })
    }

    /// Sends a message, which arrives after a random delay unless it is dropped.
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

    /// Delivers a message again at `at`, until when its receiver is frozen.
    pub fn redeliver_at(&mut self, at: u64, to: usize, message: M) {
        self.deliver_at(at, to, message);
    }

    /// Removes and returns the next message that has arrived by `now`, with its receiver.
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
