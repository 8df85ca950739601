//! Tracks which replicas have replied, and whether those that are complete make a quorum.

use opalrun_wire::{feed::PartitionReplicas, ids::NodeIdentity};

/// The replies of a partition's replicas to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuorumTracker {
    replicas: Vec<ReplicaStatus>,
    quorum: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReplicaStatus {
    store: NodeIdentity,
    /// By the map, and by what the replica says of itself.
    is_complete: bool,
    has_replied: bool,
}

impl QuorumTracker {
    /// No replies yet.
    #[must_use]
    pub fn new(partition: &PartitionReplicas) -> Self {
        let replicas = partition
            .replicas
            .iter()
            .map(|replica| ReplicaStatus {
                store: replica.store,
                is_complete: replica.is_complete,
                has_replied: false,
            })
            .collect();
        Self { replicas, quorum: partition.quorum() }
    }

    /// Records the reply of a replica; `is_complete` is what it says of itself. Only a replica that is complete by both the map
    /// and its own reply counts.
    pub fn record(&mut self, store: NodeIdentity, is_complete: bool) {
        if let Some(replica) = self.replicas.iter_mut().find(|replica| replica.store == store) {
            replica.has_replied = true;
            replica.is_complete &= is_complete;
        }
    }

    /// Whether a quorum of complete replicas has replied.
    #[must_use]
    pub fn is_quorum(&self) -> bool {
        self.replicas.iter().filter(|replica| replica.has_replied && replica.is_complete).count()
            >= self.quorum
    }

    /// Whether all replicas have replied and are complete.
    #[must_use]
    pub fn is_unanimous(&self) -> bool {
        !self.replicas.is_empty()
            && self.replicas.iter().all(|replica| replica.has_replied && replica.is_complete)
    }
}
