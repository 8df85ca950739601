//! Selects the subset of workers that a gatekeeper prefers when many gatekeepers share a service.
//!
//! With few gatekeepers, each one observes much of the service's load and uses all workers. With many, each observes
//! little of it, and if all preferred the same workers, these would be overloaded before any gatekeeper noticed. Each
//! gatekeeper therefore prefers a subset of its own, drawn by rendezvous hashing, with workers of its own zone first.
//! Every worker is then in about the same number of subsets, and each gatekeeper keeps connections to few workers. The
//! subset is only a preference: other workers serve while those in the subset are busy.

use fnv::FnvHashSet;
use opalrun_wire::feed::stable_hash;

use crate::proxy::balance::WorkerId;

/// Average number of subsets that contain a given worker, with enough gatekeepers.
const SUBSETS_PER_WORKER: usize = 12;
/// Minimum size of a subset, so that several workers remain if some fail.
const MIN_SUBSET_SIZE: usize = 8;

/// Parameters from which a gatekeeper's subset is computed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Subset {
    /// Rendezvous key of this gatekeeper.
    pub gatekeeper: u64,
    /// Number of gatekeepers that share the service.
    pub gatekeepers: u32,
}

impl Subset {
    /// Whether the subset of this gatekeeper has fewer than `workers` workers.
    pub fn is_smaller_than(self, workers: usize) -> bool {
        self.size(workers) < workers
    }

    fn size(self, workers: usize) -> usize {
        let share = (workers * SUBSETS_PER_WORKER).div_ceil(self.gatekeepers.max(1) as usize);
        share.max(MIN_SUBSET_SIZE)
    }

    /// Selects the subset from `workers`, each given with whether it is in this gatekeeper's zone.
    pub fn select(self, workers: &[(WorkerId, bool)]) -> FnvHashSet<WorkerId> {
        let mut order: Vec<(bool, u64, &WorkerId)> =
            workers.iter().map(|(id, local)| (*local, rendezvous(self.gatekeeper, id), id)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().take(self.size(workers.len())).map(|(_, _, id)| id.clone()).collect()
    }
}

/// Rendezvous weight of a worker for `key`; the highest weight ranks first.
pub(super) fn rendezvous(key: u64, worker: &str) -> u64 {
    let mut bytes = Vec::with_capacity(size_of::<u64>() + worker.len());
    bytes.extend_from_slice(&key.to_le_bytes());
    bytes.extend_from_slice(worker.as_bytes());
    stable_hash(&bytes)
}
