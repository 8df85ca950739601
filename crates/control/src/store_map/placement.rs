//! Rendezvous hashing of partitions over stores.

use super::Spread;
use opalrun_wire::{
    feed::{StoreNode, stable_hash},
    ids::{NodeIdentity, Partition},
};

/// Rendezvous weight of a store for a partition. It is computed from the machine's name, so that a machine that lost
/// its disk gets the same partitions again.
pub(super) fn weight(partition: Partition, node_name: &str) -> u64 {
    let mut key = Vec::with_capacity(node_name.len() + 2);
    key.extend_from_slice(&partition.0.to_le_bytes());
    key.extend_from_slice(node_name.as_bytes());
    stable_hash(&key)
}

/// Selects the stores for a partition by weight. As far as possible each is in a different zone, and the number of
/// stores in one failure domain never exceeds the limit of the spread, even if fewer than `count` are selected as a
/// result.
pub(super) fn select_stores(
    partition: Partition,
    candidates: &[&StoreNode],
    count: usize,
    spread: &Spread,
) -> Vec<NodeIdentity> {
    let mut ordered: Vec<&StoreNode> = candidates.to_vec();
    ordered.sort_by_key(|node| (std::cmp::Reverse(weight(partition, &node.node_name)), node.identity));
    let mut chosen: Vec<&StoreNode> = Vec::with_capacity(count);
    for node in &ordered {
        let is_in_new_zone = chosen.iter().all(|other| other.zone != node.zone);
        if chosen.len() < count && is_in_new_zone && spread.allows(node, &chosen) {
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
