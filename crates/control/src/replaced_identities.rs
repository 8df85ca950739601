//! Identities of machines that lost their disk (data loss), so that a late join request of one is not taken for its
//! successor's.

use opalrun_wire::ids::NodeIdentity;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::VecDeque;

/// Most identities that are remembered; the oldest is forgotten first.
const MAX_REMEMBERED_IDENTITIES: usize = 256;
/// A process that sends so many join requests is alive: of one whose disk is gone a few late ones arrive at most.
const JOIN_REQUESTS_OF_LIVE_PROCESS: u32 = 8;

/// An identity whose place another one of the same machine has taken.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
struct ReplacedIdentity {
    identity: NodeIdentity,
    /// Join requests of it since it was replaced.
    join_requests: u32,
}

/// Identities whose disks are gone.
///
/// Of two identities of one machine the one whose join request comes later counts as the newer. Where the join requests of
/// a process that lost its disk right after its start arrive in the other order, that is wrong; then the live one goes on
/// with its join requests, and is believed in the end.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct ReplacedIdentities {
    replaced: VecDeque<ReplacedIdentity>,
}

impl ReplacedIdentities {
    /// An identity was replaced by another one of the same machine.
    pub fn remember(&mut self, identity: NodeIdentity) {
        if self.replaced.len() == MAX_REMEMBERED_IDENTITIES {
            self.replaced.pop_front();
        }
        self.replaced.push_back(ReplacedIdentity { identity, join_requests: 0 });
    }

    /// Counts a join request. Returns whether it is to be rejected, as of an identity whose disk is gone.
    pub fn rejects_join(&mut self, identity: NodeIdentity) -> bool {
        let Some(index) = self.replaced.iter().position(|replaced| replaced.identity == identity) else {
            return false;
        };
        let replaced = &mut self.replaced[index];
        replaced.join_requests += 1;
        let is_alive = replaced.join_requests >= JOIN_REQUESTS_OF_LIVE_PROCESS;
        if is_alive {
            self.replaced.remove(index);
        }
        !is_alive
    }
}
