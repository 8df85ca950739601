//! Chooses the control process to which a worker should send its heartbeats, so that they are spread evenly.

use opalrun_wire::{
    feed::{ControlNode, stable_hash},
    ids::NodeIdentity,
};
use std::time::Duration;

/// A process without contact for this long is not chosen.
const TARGET_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the control process to which a worker should send its heartbeats, by rendezvous hashing over the processes
/// with recent contact; `None` if there is none. Each process is the target of about the same number of workers, and
/// when one fails only its workers move.
pub(super) fn heartbeat_target<'a>(
    worker_id: &str,
    nodes: &'a [ControlNode],
    since_last_contact: impl Fn(NodeIdentity) -> Duration,
) -> Option<&'a ControlNode> {
    let rank = |node: &&ControlNode| {
        let bytes = [worker_id.as_bytes(), &node.identity.0.to_le_bytes()].concat();
        (stable_hash(&bytes), node.identity)
    };
    nodes.iter().filter(|node| since_last_contact(node.identity) < TARGET_TIMEOUT).max_by_key(rank)
}

#[cfg(test)]
mod tests;
