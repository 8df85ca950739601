//! The frames that control processes exchange over the links between them.

use opalrun_replication::{Message, MessageBody};
use opalrun_wire::{
    feed::ControlNode,
    ids::{NodeIdentity, Shard},
};
use rkyv::{Archive, Deserialize, Serialize};

/// A frame on a link between two control processes.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) enum PeerFrame {
    /// First frame of a connection, with the directory entry of the process that connects.
    Handshake(ControlNode),
    /// Join request of a process that is not a member.
    Join(ControlNode),
    /// Replication messages of any number of groups.
    Replication(Vec<GroupMessage>),
    /// Remote call to the receiver.
    Call {
        /// Identity of the process that the call is addressed to.
        to: NodeIdentity,
        /// Number that the answer repeats.
        number: u64,
        /// Encoded call.
        bytes: Vec<u8>,
    },
    /// Answer to a remote call.
    Answer {
        /// Number of the call.
        number: u64,
        /// Encoded answer; `None` if the receiver of the call has another identity than the one addressed, or no
        /// handler yet.
        bytes: Option<Vec<u8>>,
    },
}

/// A message between two replicas of a group.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) struct GroupMessage {
    pub shard: Shard,
    pub message: Message,
}

impl GroupMessage {
    /// Returns the approximate size of the message in a frame, in bytes.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 96;
        match &self.message.body {
            MessageBody::AppendEntries { entries, .. } => {
                FIXED_BYTES + entries.iter().map(|entry| entry.size()).sum::<usize>()
            }
            MessageBody::InstallSnapshot { data, .. } => FIXED_BYTES + data.len(),
            _ => FIXED_BYTES,
        }
    }
}
