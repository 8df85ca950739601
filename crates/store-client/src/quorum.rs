//! Tracks which replicas have replied, and whether the complete ones among them form a quorum.

use opalrun_wire::{feed::PartitionReplicas, ids::NodeIdentity};

/// Tracks the replies of a partition's replicas to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuorumTracker {
    replicas: Vec<ReplicaStatus>,
    quorum: usize,
    has_refusal: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReplicaStatus {
    store: NodeIdentity,
    /// Whether the replica is complete according to the store map and, once it has replied, to its own reply.
    is_complete: bool,
    has_replied: bool,
}

impl QuorumTracker {
    /// Creates a tracker without replies.
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
        Self { replicas, quorum: partition.quorum(), has_refusal: false }
    }

    /// Records the reply of a replica; `is_complete` is the replica's own statement in the reply. A replica counts towards
    /// the quorum only if it is complete according to both the store map and its reply.
    pub fn record(&mut self, store: NodeIdentity, is_complete: bool) {
        if let Some(replica) = self.replicas.iter_mut().find(|replica| replica.store == store) {
            replica.has_replied = true;
            self.has_refusal |= replica.is_complete && !is_complete;
            replica.is_complete &= is_complete;
        }
    }

    /// Whether a quorum of complete replicas has replied.
    #[must_use]
    pub fn is_quorum(&self) -> bool {
        self.replicas.iter().filter(|replica| replica.has_replied && replica.is_complete).count()
            >= self.quorum
    }

    /// Whether a replica that the store map lists as complete has replied that it does not count.
    #[must_use]
    pub fn has_refusal(&self) -> bool {
        self.has_refusal
    }

    /// Whether all replicas have replied and are complete.
    #[must_use]
    pub fn is_unanimous(&self) -> bool {
        !self.replicas.is_empty()
            && self.replicas.iter().all(|replica| replica.has_replied && replica.is_complete)
    }
}
