//! The frames that control processes send over the links between them.

use opalrun_replication::{Message, MessageBody};
use opalrun_wire::{
    feed::ControlNode,
    ids::{NodeIdentity, Shard},
};
use rkyv::{Archive, Deserialize, Serialize};

/// A frame on a link between two control processes.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) enum PeerFrame {
    /// The first frame of a connection: who connects.
    Handshake(ControlNode),
    /// The join request of a process that is no member.
    Join(ControlNode),
    /// Messages between replicas, of any number of groups.
    Replication(Vec<GroupMessage>),
    /// A call of the other process.
    Call {
        /// The identity of the process that is meant.
        to: NodeIdentity,
        /// The number that the answer repeats.
        number: u64,
        /// The encoded call.
        bytes: Vec<u8>,
    },
    /// The answer to a call.
    Answer {
        /// The call's number.
        number: u64,
        /// The encoded answer; none where the process called is another one than meant.
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
    /// About how many bytes the message takes in a frame.
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
