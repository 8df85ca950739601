//! Rendezvous hashing of partitions over stores.

use super::Spread;
use opalrun_wire::{
    feed::{StoreNode, stable_hash},
    ids::{NodeIdentity, Partition},
};

/// The weight of a store for a partition. It depends on the machine's name, so that a machine that
/// lost its disk gets its slots back.
pub(super) fn weight(partition: Partition, node_name: &str) -> u64 {
    let mut key = Vec::with_capacity(node_name.len() + 2);
    key.extend_from_slice(&partition.0.to_le_bytes());
    key.extend_from_slice(node_name.as_bytes());
    stable_hash(&key)
}

/// The identities of the stores that should have a partition: in a zone of its own each as far as there are so many, and
/// never more in one failure domain than the spread allows, even if they are fewer than `count` then.
pub(super) fn choose(
    partition: Partition,
    candidates: &[&StoreNode],
    count: usize,
    spread: &Spread,
) -> Vec<NodeIdentity> {
    let mut ordered: Vec<&StoreNode> = candidates.to_vec();
    ordered.sort_by_key(|node| (std::cmp::Reverse(weight(partition, &node.node_name)), node.identity));
    let mut chosen: Vec<&StoreNode> = Vec::with_capacity(count);
    for node in &ordered {
        let own_zone = chosen.iter().all(|other| other.zone != node.zone);
        if chosen.len() < count && own_zone && spread.allows(node, &chosen) {
            chosen.push(node);
        }
    }
    for node in &ordered {
        let is_other = chosen.iter().all(|other| other.identity != node.identity);
        if chosen.len() < count && is_other && spread.allows(node, &chosen) {
            chosen.push(node);
        }
    }
    chosen.into_iter().map(|node| node.identity).collect()
}
