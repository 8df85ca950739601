//! The directory of control processes.

use crate::replaced_identities::ReplacedIdentities;
use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use rkyv::{Archive, Deserialize, Serialize};

/// The control processes that are members of the tier. The members of every replication group follow it.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq, Eq, Default)]
pub struct Directory {
    nodes: Vec<ControlNode>,
    replaced_identities: ReplacedIdentities,
}

impl Directory {
    /// Admits a process; returns whether the directory has changed.
    ///
    /// A process on the same machine with another identity has lost its disk; the new identity replaces the old one.
    pub fn admit(&mut self, node: ControlNode) -> bool {
        if self.nodes.contains(&node) || self.replaced_identities.rejects_join(node.identity) {
            return false;
        }
        let same_machine = |known: &ControlNode| {
            known.node_name == node.node_name || known.control_address == node.control_address
        };
        let replaced: Vec<NodeIdentity> =
            self.nodes.iter().filter(|known| same_machine(known)).map(|known| known.identity).collect();
        for identity in replaced.into_iter().filter(|identity| *identity != node.identity) {
            self.replaced_identities.remember(identity);
        }
        self.nodes.retain(|known| known.identity != node.identity && !same_machine(known));
        self.nodes.push(node);
        self.nodes.sort_by_key(|known| known.identity);
        true
    }

    /// Removes a process; returns whether the directory has changed.
    pub fn drop_node(&mut self, identity: NodeIdentity) -> bool {
        let before = self.nodes.len();
        self.nodes.retain(|known| known.identity != identity);
        self.nodes.len() != before
    }

    /// All processes in the order of their identities.
    #[must_use]
    pub fn nodes(&self) -> &[ControlNode] {
        &self.nodes
    }

    /// Returns a process by its identity.
    #[must_use]
    pub fn node(&self, identity: NodeIdentity) -> Option<&ControlNode> {
        self.nodes.iter().find(|node| node.identity == identity)
    }
}
