//! Which control process a worker should send its heartbeats to, so that they are spread evenly.

use opalrun_wire::{
    feed::{ControlNode, stable_hash},
    ids::NodeIdentity,
};
use std::time::Duration;

/// A process that was not heard from for so long is no target.
const TARGET_TIMEOUT: Duration = Duration::from_millis(500);

/// The control process that a worker should send its heartbeats to: of those that were heard from recently, the first in
/// an order of the worker's own (rendezvous hashing). So each is the target of about as many workers, and when one fails
/// only its own workers move.
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
