//! Identities that were replaced because their machine lost its disk, so that a delayed join request of an old
//! identity does not replace the new one.

use opalrun_wire::ids::NodeIdentity;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of remembered identities; the oldest is evicted first.
const MAX_REMEMBERED_IDENTITIES: usize = 256;
/// An identity that has sent this many join requests since its replacement is alive: after the loss of the disk at
/// most a few delayed requests arrive.
const JOIN_REQUESTS_OF_LIVE_PROCESS: u32 = 8;

/// An identity that was replaced by a newer one of the same machine.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq)]
struct ReplacedIdentity {
    identity: NodeIdentity,
    /// Number of join requests received from this identity since it was replaced.
    join_requests: u32,
}

/// The replaced identities.
///
/// Of two identities of one machine, the one whose join request arrives later is taken for the newer. If a process
/// lost its disk right after its start, the join requests may arrive in the opposite order and the live identity is
/// rejected. It repeats its join request, and is admitted once it has sent `JOIN_REQUESTS_OF_LIVE_PROCESS`.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct ReplacedIdentities {
    replaced: VecDeque<ReplacedIdentity>,
}

impl ReplacedIdentities {
    /// Records that an identity was replaced by another one of the same machine.
    pub fn remember(&mut self, identity: NodeIdentity) {
        if self.replaced.len() == MAX_REMEMBERED_IDENTITIES {
            self.replaced.pop_front();
        }
        self.replaced.push_back(ReplacedIdentity { identity, join_requests: 0 });
    }

    /// Counts a join request. Returns whether to reject it because the identity was replaced and is not known to be
    /// alive.
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
